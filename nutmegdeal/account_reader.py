"""Reads the events of one request back from the object store."""

import attrs

from nutmegdeal import accounts
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.evidence import (
    CLOCK_SKEW_MAX_MS,
    NO_END_UNIX_MS,
    Cause,
    Coverage,
    Evidence,
    Hole,
    is_end,
)
from nutmegdeal.identifiers import entry_of_request
from nutmegdeal.ledger_rows import LedgerRow, is_row_of
from nutmegdeal.ledger_rules import ledger_key
from nutmegdeal.records import decode_record
from nutmegdeal.segment_search import find_start, request_number

NAMES_PAGE_COUNT = 1_000


@attrs.frozen
class SegmentName:
    """The parts of the name of a segment's object."""

    name: str
    first_unix_ms: int
    last_unix_ms: int
    sequence: int

    @classmethod
    def parse(cls, name):
        """Return the parts of `name`, or None if it is not a segment's name."""
        parts = name.rpartition("/")[2].split("-")
        if len(parts) != 3 or not all(part.isdigit() for part in parts):
            return None
        return cls(name, *map(int, parts))


@attrs.frozen
class Window:
    """The time span in which a request's events are looked for."""

    first_unix_ms: int = 0
    last_unix_ms: int = NO_END_UNIX_MS

    def meets(self, segment):
        """Return whether a SegmentName's time span shares a moment with this one."""
        return (
            segment.last_unix_ms >= self.first_unix_ms
            and segment.first_unix_ms <= self.last_unix_ms
        )


class LedgerReader:
    """Finds the ledger row that the entry's events name.

    Parameters
    ----------
    table : TableService
    """

    def __init__(self, table):
        self._table = table

    def find_row(self, entry_events):
        """Return a LedgerRow, None if there is none, or a Failure."""
        named = [event for event in entry_events if event.idempotency_key]
        if not named:
            return None
        key = ledger_key(named[0].service, named[0].idempotency_key)
        row = self._table.read(key)
        if row is None or isinstance(row, Failure):
            return row
        try:
            return decode_record(row.value, LedgerRow)
        except ValueError as error:
            return Failure(Reason.STORE_CONFLICT, Step.LEDGER, key, str(error))


@attrs.frozen
class _Reading:
    """What was read of one incarnation."""

    events: tuple[accounts.Event, ...]
    coverage: Coverage


def find_window(entry_events):
    """Return the Window of the agents' events, allowing for clock skew."""
    if not entry_events:
        return Window()
    first_ms = entry_events[0].at_unix_ms - CLOCK_SKEW_MAX_MS
    if not is_end(entry_events[-1]):
        return Window(first_ms)
    return Window(first_ms, entry_events[-1].at_unix_ms + CLOCK_SKEW_MAX_MS)


class AccountReader:
    """Collects the evidence about one request; not to be used for a second one.

    Parameters
    ----------
    objects : ObjectStore
    find_row : callable
        Takes the entry's events; returns a LedgerRow, None or a Failure.
    """

    def __init__(self, objects, find_row):
        self._objects = objects
        self._find_row = find_row
        self._segments = {}

    def read(self, request_id):
        """Return the Evidence about a request; what could not be read is a hole."""
        entry = entry_of_request(request_id)
        readings = [self._read_incarnation(entry, request_id, Window())]
        entry_events = readings[0].events
        window = find_window(entry_events)
        ledger_row = self._find_row(entry_events)
        agents = {event.peer_incarnation: None for event in entry_events}
        if is_row_of(ledger_row, request_id):
            agents[ledger_row.agent_incarnation] = None
        for incarnation in agents:
            if incarnation and incarnation != entry:
                reading = self._read_incarnation(incarnation, request_id, window)
                readings.append(reading)
        events = tuple(event for reading in readings for event in reading.events)
        coverages = tuple(reading.coverage for reading in readings)
        return Evidence(events, coverages, ledger_row)

    def _read_incarnation(self, incarnation, request_id, window):
        names = self._list_segments(incarnation)
        if isinstance(names, Failure):
            hole = Hole(0, NO_END_UNIX_MS, Cause.UNREADABLE)
            return _Reading((), Coverage(incarnation, holes=(hole,)))
        chosen = [name for name in names if window.meets(name)]
        if incarnation == entry_of_request(request_id):
            chosen = names[self._find_start(names, request_id) :]
        segments, holes = self._read_segments(chosen, names, request_id)
        holes += find_missing(names)
        watermark = self._read_watermark(incarnation)
        if watermark is not None and watermark.segment_count > count_segments(names):
            holes.append(find_tail_hole(names, watermark))
        holders = [*segments, watermark] if watermark else segments
        coverage = Coverage(
            incarnation,
            process=holders[0].process if holders else "",
            covers_to_unix_ms=max(
                (holder.covers_to_unix_ms for holder in holders), default=0
            ),
            is_final=watermark is not None and watermark.is_final,
            holes=tuple(holes),
        )
        events = tuple(
            event
            for segment in segments
            for event in segment.events
            if event.request_id == request_id
        )
        return _Reading(events, coverage)

    def _find_start(self, names, request_id):
        return find_start(
            len(names),
            request_number(request_id),
            lambda index: self._read_segment(names[index]),
        )

    def _list_segments(self, incarnation):
        """Return the SegmentNames of an incarnation by sequence, or a Failure."""
        prefix = accounts.account_prefix(incarnation)
        names, after = [], ""
        while True:
            page = self._objects.list_names(prefix, after, NAMES_PAGE_COUNT)
            if isinstance(page, Failure):
                return page
            names += page
            if len(page) < NAMES_PAGE_COUNT:
                break
            after = page[-1]
        parsed = [segment for segment in map(SegmentName.parse, names) if segment]
        return sorted(parsed, key=lambda segment: segment.sequence)

    def _read_segments(self, chosen, names, request_id):
        """Return the Segments under chosen names, and the last, and their holes.

        Reading stops where the entry has answered the request.
        """
        segments, holes = [], []
        for name in chosen:
            segment = self._read_segment(name)
            if segment is None:
                span = (name.first_unix_ms, name.last_unix_ms)
                holes.append(Hole(*span, Cause.UNREADABLE))
                continue
            segments.append(segment)
            holes += [
                Hole(gap.first_unix_ms, gap.last_unix_ms, Cause.DROPPED)
                for gap in segment.gaps
            ]
            if has_entry_end(segment, request_id):
                return segments, holes
        last = self._read_segment(names[-1]) if names else None
        if last is not None and last not in segments:
            segments.append(last)
        return segments, holes

    def _read_segment(self, name):
        """Return the Segment under a SegmentName, or None; keep it for this reader."""
        if name not in self._segments:
            self._segments[name] = self._read_record(name.name, accounts.Segment)
        return self._segments[name]

    def _read_watermark(self, incarnation):
        name = accounts.watermark_name(incarnation)
        return self._read_record(name, accounts.Watermark)

    def _read_record(self, name, record_class):
        """Return the record under a name, or None if there is none to be read."""
        body = self._objects.get(name)
        if body is None or isinstance(body, Failure):
            return None
        try:
            return accounts.decode(body, record_class)
        except ValueError:
            return None


def has_entry_end(segment, request_id):
    """Return whether a Segment holds the last event of a request at its entry."""
    if segment.incarnation != entry_of_request(request_id):
        return False
    own = (event for event in segment.events if event.request_id == request_id)
    return any(map(is_end, own))


def count_segments(names):
    """Return the number of segments that were ever written, as far as is known."""
    return names[-1].sequence + 1 if names else 0


def find_missing(names):
    """Return a Hole for each run of sequence numbers that is not in `names`.

    Parameters
    ----------
    names : list of SegmentName
        In the order of their sequence numbers.
    """
    holes = []
    expected, first_ms = 0, 0
    for name in names:
        if name.sequence > expected:
            holes.append(Hole(first_ms, name.last_unix_ms, Cause.SEGMENT_MISSING))
        expected, first_ms = name.sequence + 1, name.first_unix_ms
    return holes


def find_tail_hole(names, watermark):
    """Return the Hole of segments that a Watermark knows and the store does not."""
    first_ms = names[-1].first_unix_ms if names else 0
    last_ms = watermark.covers_to_unix_ms + accounts.RECORDING_LAG_MS
    return Hole(first_ms, last_ms, Cause.SEGMENT_MISSING)
