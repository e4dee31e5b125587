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
    have_attempts_ended,
    is_end,
    is_whole,
)
from nutmegdeal.identifiers import entry_of_request
from nutmegdeal.ledger_rows import LedgerRow, belongs_to_request
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


def find_first_ms(entry_events):
    """Return the earliest time of an agent's events, allowing for clock skew."""
    if not entry_events or entry_events[0].step is not Step.RECEIVE:
        return 0
    return entry_events[0].at_unix_ms - CLOCK_SKEW_MAX_MS


def has_entry_ended(entry_events):
    """Return whether the entry's last event of the request is at hand."""
    return bool(entry_events) and is_end(entry_events[-1])


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
        readings = [self._read_entry(entry, request_id)]
        entry_events = readings[0].events
        is_entry_whole = is_whole(entry_events, readings[0].coverage)
        ledger_row = self._find_row(entry_events)
        agents = {event.peer_incarnation: None for event in entry_events}
        if belongs_to_request(ledger_row, request_id):
            agents[ledger_row.agent_incarnation] = None
        for incarnation in agents:
            if incarnation and incarnation != entry:
                readings.append(
                    self._read_agent(
                        incarnation, request_id, entry_events, is_entry_whole
                    )
                )
        events = tuple(event for reading in readings for event in reading.events)
        coverages = tuple(reading.coverage for reading in readings)
        return Evidence(events, coverages, ledger_row)

    def _read_entry(self, incarnation, request_id):
        names = self._list_segments(incarnation)
        if isinstance(names, Failure):
            return _nothing_read(incarnation)
        chosen = names[self._find_start(names, request_id) :]
        return self._read_segments(
            incarnation, names, chosen, request_id, has_entry_ended
        )

    def _read_agent(self, incarnation, request_id, entry_events, is_entry_whole):
        names = self._list_segments(incarnation)
        if isinstance(names, Failure):
            return _nothing_read(incarnation)
        first_ms = find_first_ms(entry_events)
        chosen = [name for name in names if name.last_unix_ms >= first_ms]
        sent = [e for e in entry_events if e.peer_incarnation == incarnation]

        def has_ended(events):
            return is_entry_whole and have_attempts_ended(events, sent)

        return self._read_segments(incarnation, names, chosen, request_id, has_ended)

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

    def _read_segments(self, incarnation, names, chosen, request_id, has_ended):
        """Read chosen segments in order until the request has ended there.

        Parameters
        ----------
        incarnation : str
        names, chosen : list of SegmentName
            All of the incarnation, and those to read.
        request_id : str
        has_ended : callable
            Takes the request's events so far; returns whether no more can follow.
        """
        segments, events, holes = [], [], find_missing(names)
        for name in chosen:
            segment = self._read_segment(name)
            if segment is None:
                span = (name.first_unix_ms, name.last_unix_ms)
                holes.append(Hole(*span, Cause.UNREADABLE))
                continue
            segments.append(segment)
            events += [e for e in segment.events if e.request_id == request_id]
            holes += [
                Hole(gap.first_unix_ms, gap.last_unix_ms, Cause.DROPPED)
                for gap in segment.gaps
            ]
            if has_ended(events):
                break
        coverage = self._find_coverage(incarnation, names, segments, holes)
        return _Reading(tuple(events), coverage)

    def _find_coverage(self, incarnation, names, segments, holes):
        """Return the Coverage that the segments read and the watermark give."""
        last = self._read_segment(names[-1]) if names else None
        watermark = self._read_watermark(incarnation)
        if watermark is not None and watermark.segment_count > count_segments(names):
            holes.append(find_tail_hole(names, watermark))
        holders = [holder for holder in (*segments, last, watermark) if holder]
        return Coverage(
            incarnation,
            process=holders[0].process if holders else "",
            covers_to_unix_ms=max(
                (holder.covers_to_unix_ms for holder in holders), default=0
            ),
            is_final=watermark is not None and watermark.is_final,
            holes=tuple(holes),
        )

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


def _nothing_read(incarnation):
    hole = Hole(0, NO_END_UNIX_MS, Cause.UNREADABLE)
    return _Reading((), Coverage(incarnation, holes=(hole,)))


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
