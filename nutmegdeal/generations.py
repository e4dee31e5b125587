"""Tracks which configuration generation is in force in this process."""

import abc

from nutmegdeal.configuration_head import HEAD_KEY, Head, read_configuration_head
from nutmegdeal.configuration_store import PartCache
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.log import get_logger

logger = get_logger(__name__)

RETRY_DELAY_MS = 500


class ConfigurationTracker(abc.ABC):
    """Holds the newest configuration that this process has seen.

    It never returns to an older one.
    """

    @property
    @abc.abstractmethod
    def current(self):
        """The Configuration in force, or None before the first was fetched."""

    @property
    @abc.abstractmethod
    def is_confirmed(self):
        """True if the head row has been read since this process started."""

    @abc.abstractmethod
    def record_peer_generation(self, generation, manifest=""):
        """Record a generation that a peer has; a newer one makes `refresh` due.

        Parameters
        ----------
        generation : int
        manifest : str
            Hash of its manifest if the peer sent it. With this hash the generation
            can be fetched while the table service is down.
        """

    @abc.abstractmethod
    def refresh(self):
        """Read the head row and fetch its configuration if that is newer.

        Returns
        -------
        Configuration or Failure
            The Configuration in force after the call.
        """


class StoredConfigurationTracker(ConfigurationTracker):
    """Fetches the configuration that the head row in the table service names.

    Parameters
    ----------
    table : TableService
    objects : ObjectStore
    clock : Clock
    """

    def __init__(self, table, objects, clock):
        self._table = table
        self._clock = clock
        self._parts = PartCache(objects)
        self._current = None
        self._is_confirmed = False
        self._observed_generation = 0
        self._peer_head = Head(0, "", "")
        self._manifest = ""
        self._retry_at_ms = 0.0

    @property
    def current(self):
        """The Configuration in force, or None before the first was fetched."""
        return self._current

    @property
    def is_confirmed(self):
        """True if the head row has been read since this process started."""
        return self._is_confirmed

    @property
    def generation(self):
        """Generation in force, 0 before the first was fetched."""
        return self._current.generation if self._current else 0

    @property
    def is_refresh_due(self):
        """True if a peer has a newer generation and no retry delay is running.

        The delay of RETRY_DELAY_MS begins when a refresh fails.
        """
        is_behind = self._observed_generation > self.generation
        return is_behind and self._clock.monotonic_ms() >= self._retry_at_ms

    @property
    def manifest(self):
        """Hash of the manifest in force, for peers; "" before the first."""
        return self._manifest

    def record_peer_generation(self, generation, manifest=""):
        """Record a generation that a peer has; a newer one makes `refresh` due."""
        self._observed_generation = max(self._observed_generation, generation)
        if manifest and generation > self._peer_head.generation:
            self._peer_head = Head(generation, manifest, "")

    def refresh(self):
        """Read the head row and fetch its configuration if that is newer.

        While the table service is down, the newest generation for which a peer sent
        the manifest hash is fetched instead.
        """
        head = self._read_head()
        if isinstance(head, Failure) and self._peer_head.generation <= self.generation:
            return self._delay_retry(head)
        newest = self._peer_head if isinstance(head, Failure) else head
        if newest.generation <= self.generation:
            return self._current
        fetched = self._parts.fetch(newest.manifest, newest.generation)
        if isinstance(fetched, Failure):
            return self._delay_retry(fetched)
        self._put_in_force(fetched, newest.manifest)
        return self._current

    def _put_in_force(self, configuration, manifest):
        """Put a fetched configuration in force unless it is no longer newer.

        Another refresh may have put a newer one in force during the fetch.
        """
        if configuration.generation > self.generation:
            self._current = configuration
            self._manifest = manifest

    def _delay_retry(self, failure):
        self._retry_at_ms = self._clock.monotonic_ms() + RETRY_DELAY_MS
        return failure

    def _read_head(self):
        """Return the Head in the table service, or a Failure."""
        stored = read_configuration_head(self._table)
        if isinstance(stored, Failure):
            return stored
        if stored is None and self._current is None:
            detail = "no configuration was accepted yet"
            return Failure(Reason.NOT_CONFIGURED, Step.CONFIGURE, HEAD_KEY, detail)
        self._is_confirmed = True
        head = stored.head if stored else Head(0, "", "")
        if head.generation < self.generation:
            logger.warning(
                "head_is_older", head=head.generation, in_force=self.generation
            )
        return head
