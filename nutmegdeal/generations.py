"""Which configuration generation is in force in this process."""

import abc

from nutmegdeal.configuration_store import PartCache
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.heads import HEAD_KEY, read_head
from nutmegdeal.log import get_logger

logger = get_logger(__name__)

RETRY_PAUSE_MS = 500


class ConfigurationKeeper(abc.ABC):
    """Holds the newest configuration this process has seen; never steps back."""

    @property
    @abc.abstractmethod
    def current(self):
        """The Configuration in force, or None before the first was fetched."""

    @property
    @abc.abstractmethod
    def is_confirmed(self):
        """True if the head row has been read since this process started."""

    @abc.abstractmethod
    def observe(self, generation):
        """Note a generation that a peer has; a newer one makes `refresh` due."""

    @abc.abstractmethod
    def refresh(self):
        """Read the head and fetch what is newer.

        Returns
        -------
        Configuration or Failure
            The Configuration in force after the call.
        """


class StoredConfigurationKeeper(ConfigurationKeeper):
    """Keeps the configuration that the platform's head row names.

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
        """True if a peer has a newer generation and no call failed just now."""
        is_behind = self._observed_generation > self.generation
        return is_behind and self._clock.monotonic_ms() >= self._retry_at_ms

    def observe(self, generation):
        """Note a generation that a peer has; a newer one makes `refresh` due."""
        self._observed_generation = max(self._observed_generation, generation)

    def refresh(self):
        """Read the head and fetch what is newer."""
        fetched = self._fetch_newer()
        if isinstance(fetched, Failure):
            self._retry_at_ms = self._clock.monotonic_ms() + RETRY_PAUSE_MS
            return fetched
        if fetched is not None and fetched.generation > self.generation:
            self._current = fetched
        return self._current

    def _fetch_newer(self):
        """Return a newer Configuration, None if there is none, or a Failure."""
        stored = read_head(self._table)
        if isinstance(stored, Failure):
            return stored
        if stored is None and self._current is None:
            return Failure(
                Reason.NOT_CONFIGURED,
                Step.CONFIGURE,
                HEAD_KEY,
                "no configuration was accepted yet",
            )
        self._is_confirmed = True
        generation = stored.head.generation if stored else 0
        if generation < self.generation:
            logger.warning("head_is_older", head=generation, in_force=self.generation)
        if generation <= self.generation:
            return None
        return self._parts.fetch(stored.head.manifest, generation)
