"""Controllers that watch the store: configuration, adapter versions, registrations."""

import abc
import random

import gevent

from nutmegdeal.errors import Failure
from nutmegdeal.log import get_logger
from nutmegdeal.platform import rows as platform_rows
from nutmegdeal.platform.store import FEED_MARGIN_MS, HistoryGoneError

logger = get_logger(__name__)

# Backoff after failed calls; each call is charged.
RETRY_INITIAL_MS = 100.0
RETRY_MAX_MS = 800.0
RETRY_JITTER = 0.3
# Longest description of an error in a log line: it may quote what was read.
ERROR_CHARACTERS_MAX = 300
# Time for a connection and an answer of a busy store.
ANSWER_MS = 170.0
# Time between the end of a call's wait and a renewed read after its answer was lost:
# the timeout margin of the call, the pause after the first failed call, and ANSWER_MS.
LOSS_DETECTION_MS = FEED_MARGIN_MS + RETRY_INITIAL_MS * (1 + RETRY_JITTER) + ANSWER_MS
# Least time that a call waits for changes, whatever the bounds: calls are charged.
FEED_WAIT_MIN_MS = 500.0
# Time that a call waits while the last confirmation of the keys is late, as after a
# suspension: short, so that its answer comes soon, but no busy loop.
LATE_CONFIRMATION_WAIT_MS = 100.0
# Pause after an answer with changes, so that the next call returns several of them.
OPERATOR_PAUSE_MS = 100.0
# The same pause for the registrations, as a share of the time within which requests to
# a leaving server must stop. The servers' heartbeats change their table all the time,
# and each call is charged.
BACKENDS_PAUSE_SHARE = 0.4


class TableWatcher(abc.ABC):
    """Watches one table of the store.

    Parameters
    ----------
    store : StoreClient
    table : str
    pause_ms : float
        Pause after an answer with changes.
    board : Blackboard
    telemetry : GatewayTelemetry
    """

    def __init__(self, store, table, pause_ms, board, telemetry):
        self._store = store
        self._table = table
        self._pause_ms = pause_ms
        contact_ms = board.settings.bounds.contact_ms
        self._wait_ms = max(contact_ms - LOSS_DETECTION_MS, FEED_WAIT_MIN_MS)
        self._board = board
        self._clock = board.clock
        self._telemetry = telemetry
        self._position = None
        self._failure_count = 0
        self._made_ms = None
        self._made_boot_ms = None

    @property
    def made_ms(self):
        """Return when the answer that is applied was made, at the earliest (float).

        On the monotonic clock.
        """
        return self._clock.monotonic_ms() if self._made_ms is None else self._made_ms

    @property
    def wait_ms(self):
        """Return how long a call waits for a change (float)."""
        return self._wait_ms

    def run(self):
        """Watch the table until killed."""
        while True:
            started_ms = self._clock.monotonic_ms()
            result = self._poll()
            taken_ms = self._clock.monotonic_ms() - started_ms
            outcome = _name_outcome(result)
            self._telemetry.record_store_call(self._table, outcome, taken_ms)
            if isinstance(result, Failure):
                self._record_failure(result)
                gevent.sleep(self._retry_pause_ms() / 1000)
                continue
            self._record_success()
            if result:
                gevent.sleep(self._pause_ms / 1000)

    def _poll(self):
        """Call the store once; return a Failure or the number of rows read (int)."""
        sent_ms = self._clock.boot_ms()
        if self._position is None:
            return self._read_all(sent_ms)
        # During an outage a call that waits would delay the first read after it, as
        # long pauses between the calls already do.
        wait_ms = 0.0 if self._failure_count else self.wait_ms
        try:
            answer = self._store.read_changes(self._table, self._position, wait_ms)
        except HistoryGoneError:
            logger.info("store_history_gone", table=self._table)
            return self._read_all(self._clock.boot_ms())
        if isinstance(answer, Failure):
            return answer
        received_ms = self._clock.boot_ms()
        self._check_store_regained()
        self._record_answer(answer, sent_ms, received_ms)
        self.apply_changes(answer.rows)
        if answer.position.version >= self._position.version and not answer.has_more:
            self.handle_known(answer, sent_ms, received_ms)
        if answer.position.version > self._position.version:
            self._position = answer.position
        return len(answer.rows)

    def _read_all(self, sent_ms):
        answer = self._store.read_table(self._table)
        if isinstance(answer, Failure):
            return answer
        received_ms = self._clock.boot_ms()
        previous = self._position
        is_new_era = previous is not None and answer.position.era > previous.era
        if is_new_era:
            self._telemetry.record_era_change(self._table, previous, answer.position)
        elif previous is not None and answer.position.version < previous.version:
            logger.warning("store_answer_stale", table=self._table)
            return 1
        self._check_store_regained()
        self._record_answer(answer, sent_ms, received_ms)
        self.apply_snapshot(answer.rows, is_from_copy=is_new_era)
        self._position = answer.position
        self.handle_known(answer, sent_ms, received_ms)
        return len(answer.rows)

    def _record_answer(self, answer, sent_ms, received_ms):
        board = self._board
        self._made_ms = board.find_made_ms(sent_ms, answer.as_of_ms)
        # The host may be suspended while the answer is applied.
        suspended_ms = self._clock.boot_ms() - self._clock.monotonic_ms()
        self._made_boot_ms = self._made_ms + suspended_ms
        board.record_store_answer(answer.store_ms, answer.position.era, sent_ms)
        confirmation = self._board.keys.confirmation
        confirmation.record_clock(sent_ms, answer.as_of_ms, received_ms)

    @abc.abstractmethod
    def handle_known(self, answer, sent_ms, received_ms):
        """Handle that all is known and applied that the store had at an answer.

        Parameters
        ----------
        answer : RowsRead
        sent_ms, received_ms : float
            When the call was sent and its answer arrived, on the boot-time clock.
        """

    def _check_store_regained(self):
        if self._failure_count:
            self.handle_store_regained()

    @abc.abstractmethod
    def handle_store_regained(self):
        """Handle the first answer of the store after failed calls."""

    @abc.abstractmethod
    def apply_snapshot(self, rows, is_from_copy):
        """Apply all rows of the table.

        Parameters
        ----------
        rows : tuple of StoredRow
        is_from_copy : bool
            The store has returned from a copy since the last read, so the rows may be
            older than what is known.
        """

    @abc.abstractmethod
    def apply_changes(self, rows):
        """Apply changed and removed rows, in order."""

    def _record_failure(self, failure):
        if not self._failure_count:
            logger.warning("store_lost", table=self._table, failure=str(failure))
        self._failure_count += 1
        self._board.record_trouble()

    def _record_success(self):
        if self._failure_count:
            logger.info(
                "store_regained", table=self._table, failed_calls=self._failure_count
            )
        self._failure_count = 0

    def _retry_pause_ms(self):
        pause_ms = min(RETRY_INITIAL_MS * 2 ** (self._failure_count - 1), RETRY_MAX_MS)
        return pause_ms * (1 + RETRY_JITTER * (2 * random.random() - 1))


def _let_others_run():
    """Serve requests before a long piece of work goes on."""
    gevent.sleep(0)


def _name_outcome(result):
    if isinstance(result, Failure):
        return "failed"
    return "rows" if result else "no_change"


class OperatorWatcher(TableWatcher):
    """Watches the configuration and the adapters' versions.

    Parameters
    ----------
    store : StoreClient
    board : Blackboard
    telemetry : GatewayTelemetry
    """

    def __init__(self, store, board, telemetry):
        super().__init__(
            store, platform_rows.OPERATOR_TABLE, OPERATOR_PAUSE_MS, board, telemetry
        )
        # When the newest answer was made after which nothing was left to read.
        self._complete_boot_ms = float("-inf")

    @property
    def wait_ms(self):
        """Return how long a call waits for a change (float).

        Keys have to be confirmed often, also if the answer to one call is lost.
        """
        keys = self._board.keys
        if keys.directory is None:
            return self._wait_ms
        age_max_ms = keys.limits.shortest_ms
        age_ms = keys.age_ms(self._clock.boot_ms())
        if age_ms > age_max_ms / 2 and not keys.confirmation.is_blocked:
            return min(self._wait_ms, LATE_CONFIRMATION_WAIT_MS)
        wait_ms = max(age_max_ms - LOSS_DETECTION_MS, FEED_WAIT_MIN_MS)
        return min(self._wait_ms, wait_ms)

    def handle_store_regained(self):
        """Do nothing: a configuration stays in force until a newer one is known."""

    def handle_known(self, answer, sent_ms, received_ms):
        """Record that the configuration was the newest one at an answer."""
        self._complete_boot_ms = self._made_boot_ms
        confirmation = self._board.keys.confirmation
        # Before, too, so that a short time without is logged.
        self._board.key_state_log.update()
        confirmation.record_answer(sent_ms, answer.as_of_ms, received_ms)
        self._board.key_state_log.update()

    def apply_snapshot(self, rows, is_from_copy):
        """Apply all rows of the table; versions never decrease."""
        for row in rows:
            self._apply_row(row)

    def apply_changes(self, rows):
        """Apply changed rows; removed ones are ignored."""
        for row in rows:
            self._apply_row(row)

    def _apply_row(self, row):
        if row.value is None:
            return
        try:
            if row.key == platform_rows.CONFIGURATION_KEY:
                # Until it has been decoded, it may be one that takes keys away.
                self._board.keys.confirmation.is_blocked = True
                self._apply_configuration(
                    platform_rows.decode_configuration(row.value, _let_others_run)
                )
                self._board.keys.confirmation.is_blocked = False
            elif row.key.startswith(platform_rows.VERSION_KEY_PREFIX):
                adapter_version = platform_rows.decode_adapter_version(row.value)
                changed_after_ms = self._complete_boot_ms
                self._board.versions.record_version(adapter_version, changed_after_ms)
                change_age_ms = self._clock.boot_ms() - changed_after_ms
                self._telemetry.record_adapter_version(adapter_version, change_age_ms)
        except platform_rows.DECODE_ERRORS as error:
            logger.warning("row_malformed", key=row.key, error=repr(error))

    def _apply_configuration(self, configuration):
        current = self._board.configuration
        if current is not None and configuration.version <= current.version:
            return
        self._board.put_in_force(configuration)
        logger.info(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.routes),
        )


class BackendsWatcher(TableWatcher):
    """Watches the registrations of the backend servers.

    Parameters
    ----------
    store : StoreClient
    board : Blackboard
    telemetry : GatewayTelemetry
    """

    def __init__(self, store, board, telemetry):
        pause_ms = BACKENDS_PAUSE_SHARE * board.settings.bounds.drain_ms
        super().__init__(
            store, platform_rows.BACKENDS_TABLE, pause_ms, board, telemetry
        )

    def handle_store_regained(self):
        """Start the grace period for registrations that expired during the outage."""
        self._board.membership.record_store_regained(self._clock.monotonic_ms())

    def handle_known(self, answer, sent_ms, received_ms):
        """Do nothing: registrations expire by themselves."""

    def apply_snapshot(self, rows, is_from_copy):
        """Apply all rows of the table."""
        decoded = [self._decode(row) for row in rows if row.value is not None]
        backends = [backend for backend in decoded if backend is not None]
        now_ms = self._clock.monotonic_ms()
        if is_from_copy:
            # Registrations that are missing in the copy are written again.
            self._board.membership.record_store_regained(now_ms)
        self._board.membership.replace_all(backends, now_ms, is_from_copy)
        self._board.has_registrations = True
        self._record_versions(now_ms)
        self._board.update_initialized()

    def apply_changes(self, rows):
        """Apply changed and removed rows, in order."""
        membership = self._board.membership
        now_ms = self._clock.monotonic_ms()
        for row in rows:
            backend = self._decode(row) if row.value is not None else None
            if backend is None:
                membership.remove(row.key, now_ms)
            else:
                membership.put(backend, now_ms)
        self._record_versions(now_ms)

    def _record_versions(self, now_ms):
        self._board.record_suspended()
        versions = self._board.membership.software_versions()
        is_further = self._board.software_versions.record_read(
            versions, now_ms, self.made_ms
        )
        if is_further:
            # Streams begin at a new version once the mark names it.
            self._board.stream_rows_due.set()

    def _decode(self, row):
        try:
            return platform_rows.decode_backend(row.key, row.value)
        except platform_rows.DECODE_ERRORS as error:
            described = repr(error)[:ERROR_CHARACTERS_MAX]
            logger.warning("row_malformed", key=row.key, error=described)
            return None
