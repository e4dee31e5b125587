"""Reserves slots at backend servers that limit their requests, in rows of the store.

The store is called only while this gateway knows of a server with a limit.
"""

import json
import random

import attrs
import gevent
import gevent.event

from nutmegdeal.errors import Failure
from nutmegdeal.gateway.availability import LimitSource
from nutmegdeal.gateway.limit_slots import (
    LimitRecord,
    build_record,
    choose_first_era,
    first_slot_ms,
    plan_reservation,
)
from nutmegdeal.log import get_logger
from nutmegdeal.platform.rows import DECODE_ERRORS

logger = get_logger(__name__)

LIMITS_TABLE = "limit-slots"
# Pause between two reads of the rows while no slot is needed: what the answers of a
# server have told other gateways is learned within it.
READ_EVERY_MS = 3_000.0
READ_JITTER = 0.3
# Least pause between two rounds of reservations.
ROUND_PAUSE_MS = 20.0
# Random pause after a reservation that failed, as another gateway was faster.
CONFLICT_PAUSE_MS = 60.0
CONFLICTS_MAX = 8
# Pause after a call that failed.
FAILURE_PAUSE_MS = 400.0
# How long a row says that a limit has ended before it is removed; other gateways read
# the rows within it. From a missing row they could not tell whether the limit ended
# before or after the last answer that named it to them.
END_TOLD_MS = 2.0 * READ_EVERY_MS
# Rows of servers that are no members are removed when they are this old.
ROW_KEPT_MS = 60_000.0


def encode_record(record):
    """Return the value (bytes) of a row with a LimitRecord."""
    return json.dumps(attrs.asdict(record)).encode()


def decode_record(value):
    """Return the LimitRecord in a row.

    Raises
    ------
    KeyError, TypeError, ValueError, AttributeError
        If it is not one.
    """
    data = json.loads(value)
    limit_per_s = data["limit_per_s"]
    if limit_per_s is not None:
        limit_per_s = float(limit_per_s)
        if not limit_per_s > 0.0:
            raise ValueError(f"not a limit: {limit_per_s}")
    return LimitRecord(
        limit_per_s=limit_per_s,
        stated_ms=float(data["stated_ms"]),
        next_slot_ms=float(data["next_slot_ms"]),
        era=int(data["era"]),
        participants={
            str(name): float(at_ms) for name, at_ms in data["participants"].items()
        },
        updated_ms=float(data["updated_ms"]),
    )


@attrs.define
class _Share:
    """What this gateway knows of the row of one limited member.

    Parameters
    ----------
    member : Member
    record : LimitRecord or None
    version : int
        0 if there is no row.
    seen_era : int or None
        Era of the store in which the row was last seen.
    seen_ms : float
        When it was last seen, on the monotonic clock.
    reservation : Reservation or None
        The last one.
    retry_at_ms : float
        Earliest time of the next try, on the monotonic clock.
    is_end_told : bool
        The row says that the limit has ended.
    """

    member: object
    record: LimitRecord | None = None
    version: int = 0
    seen_era: int | None = None
    seen_ms: float = float("-inf")
    reservation: object = None
    retry_at_ms: float = float("-inf")
    is_end_told: bool = False


class LimitKeeper:
    """Keeps the limits that members name, together with the other gateways.

    Parameters
    ----------
    store : StoreClient
    board : Blackboard
    telemetry : GatewayTelemetry
    random_state : random.Random, optional
    """

    def __init__(self, store, board, telemetry, random_state=None):
        self._store = store
        self._board = board
        self._clock = board.clock
        self._telemetry = telemetry
        self._random = random_state or random.Random()
        self._shares = {}
        self._ended = {}
        self._wake = gevent.event.Event()
        self._read_due_ms = float("-inf")

    def handle_limited(self, member, source):
        """Handle a member whose limit has changed."""
        key = _row_key(member)
        if member.availability.limit_per_s is not None:
            self._ended.pop(key, None)
            self._shares.setdefault(key, _Share(member))
            self._wake.set()
            return
        share = self._shares.pop(key, None)
        if share is not None and source is LimitSource.ANSWER:
            share.retry_at_ms = float("-inf")
            self._ended[key] = share
            self._wake.set()

    def wake(self):
        """Check soon whether slots have to be reserved."""
        self._wake.set()

    def share_per_s(self, member):
        """Return this gateway's share of a member's limit (float)."""
        limit_per_s = member.availability.limit_per_s
        share = self._shares.get(_row_key(member))
        if share is None or share.record is None:
            return limit_per_s
        count = share.record.participant_count(self._board.store_now_ms())
        return limit_per_s / count

    def run(self):
        """Reserve slots while members have limits, until killed."""
        while True:
            if not self._shares and not self._ended:
                self._wake.wait()
            self._wake.clear()
            self._run_round()
            gevent.sleep(ROUND_PAUSE_MS / 1000)
            self._wake.wait(self._pause_ms() / 1000)

    def _pause_ms(self):
        """Return the time until the next round without a new event (float)."""
        now_ms = self._clock.monotonic_ms()
        due_ms = [share.retry_at_ms for share in self._ended.values()]
        if self._shares:
            due_ms.append(self._read_due_ms)
        due_ms += [
            share.retry_at_ms
            for share in self._shares.values()
            if share.member.availability.slots.needs_reservation(now_ms)
        ]
        return max(min(due_ms, default=now_ms) - now_ms, 0.0)

    def _run_round(self):
        self._forget_departed()
        now_ms = self._clock.monotonic_ms()
        due = [
            share
            for share in self._shares.values()
            if now_ms >= share.retry_at_ms
            and share.member.availability.slots.needs_reservation(now_ms)
        ]
        ended = [
            key for key, share in self._ended.items() if now_ms >= share.retry_at_ms
        ]
        is_read_due = self._shares and now_ms >= self._read_due_ms
        if not (due or ended or is_read_due):
            return
        if not self._read_rows():
            for share in due:
                self._repeat_reservation(share)
            for key in ended:
                self._ended[key].retry_at_ms = now_ms + FAILURE_PAUSE_MS
            return
        greenlets = [gevent.spawn(self._end_row, key) for key in ended]
        greenlets += [gevent.spawn(self._reserve, share) for share in due]
        gevent.joinall(greenlets, raise_error=True)

    def _forget_departed(self):
        members = self._board.membership.members
        for key, share in list(self._shares.items()):
            if members.get(share.member.backend_id) is not share.member:
                del self._shares[key]

    def _read_rows(self):
        """Read the rows of all limited servers; return whether the store answered."""
        started_ms = self._clock.monotonic_ms()
        result = self._store.read_table(LIMITS_TABLE)
        self._record_call("read", result, started_ms)
        now_ms = self._clock.monotonic_ms()
        jitter = 1.0 + READ_JITTER * (2 * self._random.random() - 1)
        self._read_due_ms = now_ms + READ_EVERY_MS * jitter
        if isinstance(result, Failure):
            return False
        records = {}
        for row in result.rows:
            record = _decode_row(row)
            if record is not None:
                records[row.key] = record, row.version
        for key, share in list(self._shares.items()):
            share.member.availability.slots.drop_unconfirmed()
            self._apply_row(key, share, records.get(key), result.position.era)
        self._apply_unknown(records, result.position.era)
        for key, share in self._ended.items():
            share.record, share.version = records.get(key, (None, 0))
        return True

    def _apply_row(self, key, share, found, era):
        now_ms = self._clock.monotonic_ms()
        availability = share.member.availability
        if found is not None:
            share.record, share.version = found
            share.seen_era, share.seen_ms = era, now_ms
            self._apply_statement(share.member, share.record)
            return
        was_removed = share.seen_era == era and share.version
        share.record, share.version = None, 0
        if was_removed and availability.limit_stated_ms <= share.seen_ms:
            self._board.membership.record_limit(
                share.member, None, LimitSource.STORE, now_ms
            )

    def _apply_statement(self, member, record):
        """Apply what another gateway was told of a limit, if that is newer."""
        stated_ms = record.stated_ms - self._board.store_clock_offset_ms
        if stated_ms > member.availability.limit_stated_ms:
            self._board.membership.record_limit(
                member, record.limit_per_s, LimitSource.STORE, stated_ms
            )

    def _apply_unknown(self, records, era):
        """Apply the rows of servers whose limit this gateway does not know."""
        members = {
            _row_key(member): member
            for member in self._board.membership.members.values()
        }
        for key, (record, version) in records.items():
            if key in self._shares or key in self._ended:
                continue
            is_old = record.updated_ms + ROW_KEPT_MS < self._board.store_now_ms()
            if is_old and (key not in members or _is_ended(record)):
                self._write(key, version, None)
            elif key in members:
                self._apply_statement(members[key], record)
            share = self._shares.get(key)
            if share is not None:
                self._apply_row(key, share, (record, version), era)

    def _reserve(self, share):
        """Reserve slots for one member."""
        key = _row_key(share.member)
        slots = share.member.availability.slots
        for _ in range(CONFLICTS_MAX):
            if share.member.availability.limit_per_s is None:
                return
            planned = self._plan(share)
            if planned is None:
                return
            record, reservation = planned
            result = self._write(key, share.version, record)
            if isinstance(result, Failure):
                self._repeat_reservation(share)
                return
            if result.is_done:
                share.record, share.version = record, result.version
                share.seen_era = result.era
                share.seen_ms = self._clock.monotonic_ms()
                share.reservation = reservation
                if result.era == record.era:
                    slots.add(self._to_monotonic(reservation.slots_ms))
                return
            self._apply_conflict(share, result)
            gevent.sleep(CONFLICT_PAUSE_MS * self._random.random() / 1000)
        logger.info("limit_slot_conflict", backend=share.member.backend_id)

    def _plan(self, share):
        """Return the LimitRecord and the Reservation to write, None to wait."""
        availability = share.member.availability
        era, store_ms = self._store.newest_era, self._board.store_now_ms()
        stated_ms = availability.limit_stated_ms + self._board.store_clock_offset_ms
        # A row that was seen in an earlier era may be missing in the copy.
        known_era = share.seen_era
        if known_era is None:
            known_era = self._choose_first_era(era)
        record = share.record or build_record(
            availability.limit_per_s, stated_ms, known_era, store_ms
        )
        if stated_ms > record.stated_ms or _is_ended(record):
            record = attrs.evolve(
                record, limit_per_s=availability.limit_per_s, stated_ms=stated_ms
            )
        wanted_count = availability.slots.wanted_count
        name = self._board.settings.node_name
        planned = plan_reservation(record, name, wanted_count, era, store_ms)
        if planned is None:
            # Gateways that wait for the same time do not try together.
            wait_ms = (first_slot_ms(record, era, store_ms) - store_ms) / 2
            pause_ms = wait_ms * (1.0 + self._random.random())
            share.retry_at_ms = self._clock.monotonic_ms() + pause_ms
        return planned

    def _choose_first_era(self, era):
        board = self._board
        now_ms = board.clock.monotonic_ms()
        # The watchers of other tables may not have seen a new era yet.
        since_ms = board.store_era_since_ms if era == board.store_era else now_ms
        return choose_first_era(era, since_ms, now_ms)

    def _apply_conflict(self, share, result):
        found = [row for row in result.rows if row.value is not None]
        share.record = _decode_row(found[0]) if found else None
        share.version = found[0].version if found else 0

    def _repeat_reservation(self, share):
        """Go on with the slots of the last reservation while the store is silent."""
        share.retry_at_ms = self._clock.monotonic_ms() + FAILURE_PAUSE_MS
        slots = share.member.availability.slots
        if share.reservation is None or slots.slots_ms:
            return
        share.reservation = share.reservation.repeat(self._board.store_now_ms())
        slots.add_unconfirmed(self._to_monotonic(share.reservation.slots_ms))

    def _end_row(self, key):
        """Let the row of a server say that it names no limit, and remove it later."""
        share = self._ended[key]
        now_ms = self._clock.monotonic_ms()
        for _ in range(CONFLICTS_MAX):
            if key not in self._ended:
                return
            is_limited_anew = share.is_end_told and not _is_ended(share.record)
            if key in self._shares or not share.version or is_limited_anew:
                self._ended.pop(key, None)
                return
            record = None if share.is_end_told else self._build_end(share)
            result = self._write(key, share.version, record)
            if isinstance(result, Failure):
                share.retry_at_ms = now_ms + FAILURE_PAUSE_MS
                return
            if result.is_done and share.is_end_told:
                self._ended.pop(key, None)
                return
            if result.is_done:
                share.record, share.version = record, result.version
                share.is_end_told = True
                share.retry_at_ms = now_ms + END_TOLD_MS
                return
            self._apply_conflict(share, result)

    def _build_end(self, share):
        """Return the LimitRecord of a server that names no limit any longer."""
        stated_ms = share.member.availability.limit_stated_ms
        store_ms = self._board.store_now_ms()
        record = share.record or build_record(
            None, store_ms, self._store.newest_era, store_ms
        )
        return attrs.evolve(
            record,
            limit_per_s=None,
            stated_ms=stated_ms + self._board.store_clock_offset_ms,
            updated_ms=store_ms,
        )

    def _write(self, key, version, record):
        """Write a row of a known version, or remove it if `record` is None."""
        started_ms = self._clock.monotonic_ms()
        writes = {} if record is None else {key: encode_record(record)}
        removed_keys = () if writes else (key,)
        result = self._store.write_rows(
            LIMITS_TABLE, {key: version}, writes, removed_keys
        )
        self._record_call("written", result, started_ms)
        return result

    def _record_call(self, outcome, result, started_ms):
        taken_ms = self._clock.monotonic_ms() - started_ms
        outcome = "failed" if isinstance(result, Failure) else outcome
        self._telemetry.record_store_call(LIMITS_TABLE, outcome, taken_ms)

    def _to_monotonic(self, slots_ms):
        offset_ms = self._board.store_clock_offset_ms
        return [at_ms - offset_ms for at_ms in slots_ms]


def _row_key(member):
    """Return the key of the row of a member's incarnation (str)."""
    return f"{member.backend_id}@{member.backend.started_unix_ms}"


def _is_ended(record):
    """Return whether a LimitRecord, which may be None, says that a limit has ended."""
    return record is not None and record.limit_per_s is None


def _decode_row(row):
    """Return the LimitRecord of a row, None if it is malformed."""
    try:
        return decode_record(row.value)
    except DECODE_ERRORS as error:
        logger.warning("row_malformed", key=row.key, error=repr(error))
        return None
