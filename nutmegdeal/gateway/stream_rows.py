"""Rows of the store that name the software version of each stream.

They are written only while several versions of a service are registered. One more row,
the mark, names the versions of each service; it is written when they change.
"""

import gevent

from nutmegdeal.errors import Failure
from nutmegdeal.log import get_logger
from nutmegdeal.platform import rows as platform_rows

logger = get_logger(__name__)

# Least pause between two writes of one gateway.
WRITE_EVERY_MS = 150.0
# Pause after a call that failed.
FAILURE_PAUSE_MS = 400.0
# How often is looked for several versions, and for rows that are no longer needed.
IDLE_PAUSE_MS = 2_000.0
# Rows in one transaction, which may hold 100.
ROWS_MAX = 90
# Time after its start within which a gateway writes the first mark. Those that start
# together do so at different times, so that mostly one of them writes.
FIRST_MARK_WITHIN_MS = 4_000.0
# Times that the mark is decided anew because another gateway has changed it.
CONFLICTS_MAX = 8
# How often rows are read to remove those of gateways that are gone.
CLEAN_EVERY_MS = 30_000.0
# Age at which such rows are removed, on the store's clock.
ROW_KEPT_MS = 90_000.0


class StreamRowKeeper:
    """Writes the rows of the streams that this gateway has begun.

    Parameters
    ----------
    store : StoreClient
    board : Blackboard
    telemetry : GatewayTelemetry
    random_state : random.Random
        Spreads the reads of several gateways.
    """

    def __init__(self, store, board, telemetry, random_state):
        self._store = store
        self._board = board
        self._telemetry = telemetry
        self._wake = board.stream_rows_due
        self._era = 0
        self._has_rows = False
        self._first_mark_ms = board.clock.monotonic_ms() + (
            FIRST_MARK_WITHIN_MS * random_state.random()
        )
        self._clean_due_ms = board.clock.monotonic_ms() + (
            CLEAN_EVERY_MS * (1 + random_state.random())
        )

    def handle_begun(self, service, now_ms):
        """Write soon, if a stream has begun whose version may matter."""
        if self._board.software_versions.has_several(service, now_ms):
            self._wake.set()

    def run(self):
        """Keep the rows up to date until killed."""
        while True:
            is_done = self.write()
            pause_ms = WRITE_EVERY_MS if is_done else FAILURE_PAUSE_MS
            gevent.sleep(pause_ms / 1000)
            self._wake.wait(IDLE_PAUSE_MS / 1000)
            self._wake.clear()
            self._clean_if_due()

    def write(self):
        """Write and remove what is due in one call; return whether it succeeded."""
        now_ms = self._board.clock.monotonic_ms()
        streams = self._board.streams
        streams.expire(now_ms)
        self._check_era()
        services = self._board.software_versions.services_with_several(now_ms)
        if not self._mark(now_ms):
            return False
        unstored = streams.find_unstored(services, ROWS_MAX) if services else {}
        removed_ids = streams.find_removable(ROWS_MAX - len(unstored))
        if not (unstored or removed_ids):
            return True
        if len(unstored) == ROWS_MAX:
            self._wake.set()
        answer = self._store.write_rows(
            platform_rows.STREAMS_TABLE,
            {},
            self._encode(unstored, now_ms),
            map(platform_rows.encode_stream_key, removed_ids),
        )
        if isinstance(answer, Failure):
            logger.warning("stream_rows_unwritten", failure=str(answer))
            return False
        self._has_rows = True
        streams.record_stored(unstored, removed_ids)
        self._telemetry.record_stream_rows(len(unstored), len(removed_ids))
        return True

    def _encode(self, unstored, now_ms):
        """Return the values of rows, by key."""
        offset_ms = self._board.store_now_ms() - now_ms
        return {
            platform_rows.encode_stream_key(request_id): (
                platform_rows.encode_stream_row(
                    platform_rows.StreamRow(
                        stream.service, stream.version, stream.begun_ms + offset_ms
                    )
                )
            )
            for request_id, stream in unstored.items()
        }

    def _mark(self, now_ms):
        """Tell all gateways which versions there are; return whether it succeeded.

        The row is replaced only as this gateway has seen it, so that no version is lost
        which another gateway has written meanwhile.
        """
        versions = self._board.software_versions
        for _ in range(CONFLICTS_MAX):
            if not versions.is_mark_due(now_ms, now_ms >= self._first_mark_ms):
                return True
            named = versions.build_mark(now_ms)
            result = self._write_mark(named, now_ms)
            if isinstance(result, Failure):
                logger.warning("stream_rows_unwritten", failure=str(result))
                return False
            if result.is_done:
                versions.mark_row_version = result.version
                versions.record_mark(now_ms, named, now_ms)
                return True
            found = [row for row in result.rows if row.value is not None]
            if found:
                record_mark_row(self._board, found[0])
            else:
                versions.forget_mark()
        logger.info("versions_mark_conflict", conflicts=CONFLICTS_MAX)
        return False

    def _write_mark(self, named, now_ms):
        offset_ms = self._board.store_clock_offset_ms
        value = platform_rows.encode_versions_mark(now_ms, named, offset_ms)
        key = platform_rows.VERSIONS_MARK_KEY
        row_version = self._board.software_versions.mark_row_version
        return self._store.write_rows(
            platform_rows.PARTS_TABLE, {key: row_version}, {key: value}
        )

    def _check_era(self):
        if self._store.newest_era != self._era:
            self._era = self._store.newest_era
            self._board.streams.record_rows_lost()
            self._board.software_versions.forget_mark()

    def _clean_if_due(self):
        """Remove old rows, if this gateway has written some or seen others' rows."""
        now_ms = self._board.clock.monotonic_ms()
        has_several = self._board.software_versions.services_with_several(now_ms)
        if now_ms < self._clean_due_ms or not (self._has_rows or has_several):
            return
        self._clean_due_ms = now_ms + CLEAN_EVERY_MS
        answer = self._store.read_table(platform_rows.STREAMS_TABLE)
        if isinstance(answer, Failure):
            logger.warning("stream_rows_unread", failure=str(answer))
            return
        self._has_rows = bool(answer.rows)
        old_keys = [
            row.key
            for row in answer.rows
            if answer.store_ms - _begun_ms(row) >= ROW_KEPT_MS
        ]
        if not old_keys:
            return
        removed = self._store.write_rows(
            platform_rows.STREAMS_TABLE, {}, {}, old_keys[:ROWS_MAX]
        )
        if isinstance(removed, Failure):
            logger.warning("stream_rows_unwritten", failure=str(removed))


def record_mark_row(board, row):
    """Record the mark of software versions in a row of the store."""
    versions = board.software_versions
    versions.mark_row_version = row.version
    now_ms = board.clock.monotonic_ms()
    # A version must not seem to have joined earlier than it has.
    offset_ms = board.store_clock_least_offset_ms()
    error_ms = max(board.store_clock_offset_ms - offset_ms, 0.0)
    try:
        marked_ms, named = platform_rows.decode_versions_mark(row.value, offset_ms)
    except platform_rows.DECODE_ERRORS as error:
        logger.warning("row_malformed", key=row.key, error=repr(error))
        marked_ms, named = float("-inf"), {}
    versions.record_mark(marked_ms, named, now_ms, error_ms)


def _begun_ms(row):
    """Return when the stream of a row began; a row that is not valid is an old one."""
    try:
        return platform_rows.decode_stream_row(row.value).begun_ms
    except platform_rows.DECODE_ERRORS as error:
        logger.warning("row_malformed", key=row.key, error=repr(error))
        return float("-inf")
