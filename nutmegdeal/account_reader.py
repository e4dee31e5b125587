"""Reads the events of one request from the object store."""

import attrs

from nutmegdeal import accounts
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.evidence import (
    CLOCK_SKEW_MAX_MS,
    NO_END_UNIX_MS,
    Coverage,
    Evidence,
    Hole,
    HoleCause,
    have_attempts_ended,
    is_complete,
    is_final_event,
)
from nutmegdeal.identifiers import entry_of_request
from nutmegdeal.ledger_rows import LedgerRow, belongs_to_request
from nutmegdeal.ledger_rules import ledger_key
from nutmegdeal.row_encoding import decode_record
from nutmegdeal.segment_search import find_first_segment, request_number

NAMES_PER_PAGE = 1_000


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
    """Reads the ledger row that the entry's events identify.

    Parameters
    ----------
    table : TableService
    """

    def __init__(self, table):
        self._table = table

    def find_row(self, entry_events):
        """Return a LedgerRow, None if there is none, or a Failure."""
        keyed_events = [event for event in entry_events if event.idempotency_key]
        if not keyed_events:
            return None
        key = ledger_key(keyed_events[0].service, keyed_events[0].idempotency_key)
        row = self._table.read(key)
        if row is None or isinstance(row, Failure):
            return row
        try:
            return decode_record(row.value, LedgerRow)
        except ValueError as error:
            return Failure(Reason.STORE_CONFLICT, Step.LEDGER, key, str(error))


@attrs.frozen
class _IncarnationEvents:
    """Events of a request that were read of one incarnation."""

    events: tuple[accounts.Event, ...]
    coverage: Coverage


def find_earliest_ms(entry_events):
    """Return the earliest possible time of an agent's events, given the clock skew."""
    if not entry_events or entry_events[0].step is not Step.RECEIVE:
        return 0
    return entry_events[0].at_unix_ms - CLOCK_SKEW_MAX_MS


def has_entry_ended(entry_events):
    """Return whether the entry's events include its last one of the request."""
    return bool(entry_events) and is_final_event(entry_events[-1])


class AccountReader:
    """Collects the Evidence about one request; each request needs a new reader.

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
        """Return the Evidence; events that could not be read are covered by holes."""
        entry = entry_of_request(request_id)
        results = [self._read_entry(entry, request_id)]
        entry_events = results[0].events
        is_entry_complete = is_complete(entry_events, results[0].coverage)
        ledger_row = self._find_row(entry_events)
        agents = {event.peer_incarnation: None for event in entry_events}
        if belongs_to_request(ledger_row, request_id):
            agents[ledger_row.agent_incarnation] = None
        for incarnation in agents:
            if incarnation and incarnation != entry:
                results.append(
                    self._read_agent(
                        incarnation, request_id, entry_events, is_entry_complete
                    )
                )
        events = tuple(event for result in results for event in result.events)
        coverages = tuple(result.coverage for result in results)
        return Evidence(events, coverages, ledger_row)

    def _read_entry(self, incarnation, request_id):
        names = self._list_segments(incarnation)
        if isinstance(names, Failure):
            return _build_unread(incarnation)
        chosen = names[self._find_first_index(names, request_id) :]
        return self._read_segments(
            incarnation, names, chosen, request_id, has_entry_ended
        )

    def _read_agent(self, incarnation, request_id, entry_events, is_entry_complete):
        names = self._list_segments(incarnation)
        if isinstance(names, Failure):
            return _build_unread(incarnation)
        first_ms = find_earliest_ms(entry_events)
        chosen = [name for name in names if name.last_unix_ms >= first_ms]
        sent = [e for e in entry_events if e.peer_incarnation == incarnation]

        def has_ended(events):
            return is_entry_complete and have_attempts_ended(events, sent)

        return self._read_segments(incarnation, names, chosen, request_id, has_ended)

    def _find_first_index(self, names, request_id):
        return find_first_segment(
            len(names),
            request_number(request_id),
            lambda index: self._read_segment(names[index]),
        )

    def _list_segments(self, incarnation):
        """Return the SegmentNames of an incarnation by sequence, or a Failure."""
        prefix = accounts.account_prefix(incarnation)
        names, after = [], ""
        while True:
            page = self._objects.list_names(prefix, after, NAMES_PER_PAGE)
            if isinstance(page, Failure):
                return page
            names += page
            if len(page) < NAMES_PER_PAGE:
                break
            after = page[-1]
        parsed = [segment for segment in map(SegmentName.parse, names) if segment]
        return sorted(parsed, key=lambda segment: segment.sequence)

    def _read_segments(self, incarnation, names, chosen, request_id, has_ended):
        """Read segments in order until no more events of the request can follow.

        Parameters
        ----------
        incarnation : str
        names, chosen : list of SegmentName
            All segments of the incarnation, and those to read.
        request_id : str
        has_ended : callable
            Takes the request's events so far; returns whether no more can follow.
        """
        segments, events, holes = [], [], find_missing_segments(names)
        for name in chosen:
            segment = self._read_segment(name)
            if segment is None:
                span = (name.first_unix_ms, name.last_unix_ms)
                holes.append(Hole(*span, HoleCause.UNREADABLE))
                continue
            segments.append(segment)
            events += [e for e in segment.events if e.request_id == request_id]
            holes += [
                Hole(
                    dropped_span.first_unix_ms,
                    dropped_span.last_unix_ms,
                    HoleCause.DROPPED,
                )
                for dropped_span in segment.dropped_spans
            ]
            if has_ended(events):
                break
        coverage = self._build_coverage(incarnation, names, segments, holes)
        return _IncarnationEvents(tuple(events), coverage)

    def _build_coverage(self, incarnation, names, segments, holes):
        """Return the Coverage by the segments read and the watermark."""
        last = self._read_segment(names[-1]) if names else None
        watermark = self._read_watermark(incarnation)
        if watermark is not None and watermark.segment_count > count_segments(names):
            holes.append(find_tail_hole(names, watermark))
        records = [record for record in (*segments, last, watermark) if record]
        return Coverage(
            incarnation,
            process=records[0].process if records else "",
            covers_to_unix_ms=max(
                (record.covers_to_unix_ms for record in records),
                default=0,
            ),
            is_final=watermark is not None and watermark.is_final,
            holes=tuple(holes),
        )

    def _read_segment(self, name):
        """Return the Segment under a SegmentName, or None; read it only once."""
        if name not in self._segments:
            self._segments[name] = self._read_record(name.name, accounts.Segment)
        return self._segments[name]

    def _read_watermark(self, incarnation):
        name = accounts.watermark_name(incarnation)
        return self._read_record(name, accounts.Watermark)

    def _read_record(self, name, record_class):
        """Return the record under a name, or None if it is missing or unreadable."""
        body = self._objects.get(name)
        if body is None or isinstance(body, Failure):
            return None
        try:
            return accounts.decode(body, record_class)
        except ValueError:
            return None


def _build_unread(incarnation):
    hole = Hole(0, NO_END_UNIX_MS, HoleCause.UNREADABLE)
    return _IncarnationEvents((), Coverage(incarnation, holes=(hole,)))


def count_segments(names):
    """Return how many segments were written according to the highest number."""
    return names[-1].sequence + 1 if names else 0


def find_missing_segments(names):
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
            holes.append(Hole(first_ms, name.last_unix_ms, HoleCause.SEGMENT_MISSING))
        expected, first_ms = name.sequence + 1, name.first_unix_ms
    return holes


def find_tail_hole(names, watermark):
    """Return the Hole of missing segments that a Watermark counts after `names`."""
    first_ms = names[-1].first_unix_ms if names else 0
    last_ms = watermark.covers_to_unix_ms + accounts.RECORDING_LAG_MS
    return Hole(first_ms, last_ms, HoleCause.SEGMENT_MISSING)
