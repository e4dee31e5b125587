"""Rows of the store with the prompt parts that are suspected of crashing engines."""

import collections
import json

import attrs
import gevent
import gevent.event

from nutmegdeal.errors import Failure
from nutmegdeal.gateway.crash_blame import Crash, SuspectRecord
from nutmegdeal.gateway.stream_rows import record_mark_row
from nutmegdeal.gateway.watching import RETRY_INITIAL_MS, RETRY_MAX_MS, TableWatcher
from nutmegdeal.log import get_logger
from nutmegdeal.platform.rows import (
    DECODE_ERRORS,
    PARTS_TABLE,
    VERSIONS_MARK_KEY,
)

logger = get_logger(__name__)

# Times that a change is decided anew because another gateway has changed a row.
CONFLICTS_MAX = 8
# Changes that wait for the store; the oldest one is dropped first.
CHANGES_MAX = 256
# Pause after an answer with changes: many gateways write of one crash at the same time.
PARTS_PAUSE_MS = 200.0
# Longest wait for a change while no engine has crashed and no call has failed lately. A
# lost answer is noticed only after it.
QUIET_WAIT_MS = 8_000.0
# How long a crash or a failed call counts as recent.
RECENT_MS = 30_000.0


def encode_record(record):
    """Return the value (bytes) of a row with a SuspectRecord."""
    data = {
        "crashes": list(record.crashes),
        "refused_until_ms": record.refused_until_ms,
        "updated_ms": record.updated_ms,
        "explained": list(record.explained),
        "probe_count": record.probe_count,
    }
    return json.dumps(data).encode()


def decode_record(key, value):
    """Return the SuspectRecord in a row.

    Raises
    ------
    KeyError, TypeError, ValueError, AttributeError
        If it is not one.
    """
    data = json.loads(value)
    return SuspectRecord(
        suspect_id=key,
        crashes=tuple(sorted(str(item) for item in data["crashes"])),
        refused_until_ms=float(data["refused_until_ms"]),
        updated_ms=float(data["updated_ms"]),
        explained=tuple(sorted(str(item) for item in data["explained"])),
        probe_count=int(data["probe_count"]),
    )


@attrs.frozen
class _Change:
    """A change of rows.

    Parameters
    ----------
    crash : Crash or None
        Evidence to store.
    records : tuple of SuspectRecord
        Rows to store.
    removed_parts : tuple of str
    is_restore : bool
        Rows that the store has lost are to be stored again.
    """

    crash: Crash | None = None
    records: tuple = ()
    removed_parts: tuple = ()
    is_restore: bool = False


class SuspectRowWriter:
    """Writes what this gateway has learned of prompt parts to the store.

    Parameters
    ----------
    store : StoreClient
    board : Blackboard
    book : SuspectBook
    telemetry : GatewayTelemetry
    """

    def __init__(self, store, board, book, telemetry):
        self._store = store
        self._board = board
        self._book = book
        self._telemetry = telemetry
        self._changes = collections.deque()
        self._has_changes = gevent.event.Event()
        self._removing = set()

    @property
    def waiting_count(self):
        """Return the number of changes that wait for the store (int)."""
        return len(self._changes)

    def submit(self, crash):
        """Store the evidence of a crash, as soon as the store answers."""
        self._add(_Change(crash=crash))

    def restore(self):
        """Store the records again that the store has lost."""
        self._add(_Change(is_restore=True))

    def remove(self, parts):
        """Remove the rows of parts that are known to be sound, or have expired.

        Each request with a sound part asks for it until the row is gone.
        """
        new_parts = tuple(part for part in parts if part not in self._removing)
        if not new_parts:
            return
        self._removing.update(new_parts)
        self._add(_Change(removed_parts=new_parts))

    def _remove_expired(self):
        expired = self._book.expired_parts(self._board.store_now_ms())
        if expired:
            self.remove(expired)

    def _add(self, change):
        if len(self._changes) == CHANGES_MAX:
            dropped = self._changes.popleft()
            self._removing.difference_update(dropped.removed_parts)
            logger.warning("prompt_part_change_dropped", changes=CHANGES_MAX)
        self._changes.append(change)
        self._has_changes.set()

    def claim_probe(self, parts):
        """Extend the refusal of a prompt's parts for one probe.

        Returns
        -------
        tuple of str
            The parts that this gateway may probe, empty if another one does.
        """
        planned = self._book.plan_probe(parts, self._board.store_now_ms())
        if self._write(planned) is not True:
            return ()
        return tuple(record.suspect_id for record in planned)

    def release_probe(self, parts):
        """Let another request probe parts, as the one that claimed them has not run."""
        planned = self._book.plan_unused_probe(parts, self._board.store_now_ms())
        self._add(_Change(records=planned))

    def run(self):
        """Write the changes one after the other, until killed."""
        failure_count = 0
        while True:
            if not self._changes:
                self._has_changes.clear()
                self._has_changes.wait()
            change = self._changes[0]
            if self._try_change(change):
                self._changes.popleft()
                self._removing.difference_update(change.removed_parts)
                if change.crash is not None:
                    # Each crash brings new rows, so one gateway looks for old ones.
                    self._remove_expired()
                failure_count = 0
                continue
            failure_count += 1
            pause_ms = min(RETRY_INITIAL_MS * 2 ** (failure_count - 1), RETRY_MAX_MS)
            gevent.sleep(pause_ms / 1000)

    def _try_change(self, change):
        """Write a change; return whether it is done with (bool)."""
        for _ in range(CONFLICTS_MAX):
            records, removed_parts = self._plan(change)
            if not records and not removed_parts:
                return True
            result = self._write(records, removed_parts)
            if result is not False:
                return result is True
        logger.warning("prompt_part_conflict", conflicts=CONFLICTS_MAX)
        return True

    def _plan(self, change):
        """Return the records to write and the parts to remove."""
        if change.crash is not None:
            now_ms = self._board.store_now_ms()
            return self._book.plan_crash(change.crash, now_ms), ()
        if change.is_restore:
            return self._book.unstored_records(), ()
        removed = [part for part in change.removed_parts if self._book.version(part)]
        return change.records, removed

    def _write(self, records, removed_parts=()):
        """Write rows that have not changed; return False after a conflict.

        Returns None if the store did not answer.
        """
        parts = [*(record.suspect_id for record in records), *removed_parts]
        expected = {part: self._book.version(part) for part in parts}
        writes = {record.suspect_id: encode_record(record) for record in records}
        started_ms = self._board.clock.monotonic_ms()
        result = self._store.write_rows(PARTS_TABLE, expected, writes, removed_parts)
        taken_ms = self._board.clock.monotonic_ms() - started_ms
        outcome = "failed" if isinstance(result, Failure) else "written"
        self._telemetry.record_store_call(PARTS_TABLE, outcome, taken_ms)
        if isinstance(result, Failure):
            return None
        if result.era != self._board.prompt_parts_era:
            # The versions are those of another era; the table is read again first.
            return None
        now_ms = self._board.store_now_ms()
        if not result.is_done:
            self._apply_conflict(parts, result.rows, now_ms)
            return False
        for record in records:
            self._book.apply(record.suspect_id, record, result.version, now_ms)
            change = "refused" if record.refused_until_ms else "suspected"
            self._telemetry.record_part(change, record)
        for part in removed_parts:
            self._book.apply(part, None, 0, now_ms)
            self._telemetry.record_part("removed", SuspectRecord(part))
        return True

    def _apply_conflict(self, parts, rows, now_ms):
        found = {row.key: row for row in rows if row.value is not None}
        for part in parts:
            row = found.get(part)
            record = _decode_row(row) if row is not None else None
            self._book.apply(part, record, row.version if row else 0, now_ms)


class SuspectsWatcher(TableWatcher):
    """Watches the suspected prompt parts.

    Parameters
    ----------
    store : StoreClient
    board : Blackboard
    telemetry : GatewayTelemetry
    book : SuspectBook
    writer : SuspectRowWriter
    on_changed : callable
        Called after rows were read.
    """

    def __init__(self, store, board, telemetry, book, writer, on_changed):
        super().__init__(store, PARTS_TABLE, PARTS_PAUSE_MS, board, telemetry)
        self._book = book
        self._writer = writer
        self._on_changed = on_changed

    @property
    def wait_ms(self):
        """Return how long a call waits for a change (float)."""
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._board.last_trouble_ms < RECENT_MS:
            return self._wait_ms
        return max(self._wait_ms, QUIET_WAIT_MS)

    def handle_store_regained(self):
        """Do nothing: what is known stays in force."""

    def handle_known(self, answer, sent_ms, received_ms):
        """Do nothing: suspects do not need to be confirmed."""

    def apply_snapshot(self, rows, is_from_copy):
        """Apply all rows; write again what a copy lacks."""
        rows = self._take_mark(rows)
        self._board.software_versions.record_mark_read(self.made_ms)
        listed = {row.key: record for row in rows if (record := _decode_row(row))}
        missing = self._book.missing_records(listed) if is_from_copy else ()
        self._board.prompt_parts_era = self._store.newest_era
        now_ms = self._board.store_now_ms()
        for part in set(self._book.stored_parts()) - listed.keys():
            self._book.apply(part, None, 0, now_ms)
        self.apply_changes(rows)
        if missing:
            self._writer.restore()
        expired = self._book.expired_parts(now_ms)
        if expired:
            self._writer.remove(expired)
        self._board.has_prompt_parts = True
        self._board.update_initialized()

    def apply_changes(self, rows):
        """Apply changed and removed rows, in order."""
        rows = self._take_mark(rows)
        now_ms = self._board.store_now_ms()
        sound = []
        for row in rows:
            record = _decode_row(row)
            version = row.version if row.value is not None else 0
            if self._book.apply(row.key, record, version, now_ms):
                sound.append(row.key)
        if sound:
            self._writer.remove(sound)
        self._on_changed()

    def _take_mark(self, rows):
        """Apply the mark of software versions; return the rows of suspects."""
        for row in rows:
            if row.key == VERSIONS_MARK_KEY and row.value is not None:
                record_mark_row(self._board, row)
        return [row for row in rows if row.key != VERSIONS_MARK_KEY]


def _decode_row(row):
    """Return the SuspectRecord of a row, None if it was removed or is malformed."""
    if row.value is None:
        return None
    try:
        return decode_record(row.key, row.value)
    except DECODE_ERRORS as error:
        logger.warning("row_malformed", key=row.key, error=repr(error))
        return None
