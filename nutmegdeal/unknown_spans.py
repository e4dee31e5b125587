"""Finds the time spans in which events of a request may be missing."""

import attrs

from nutmegdeal.errors import Step
from nutmegdeal.evidence import (
    CLOCK_SKEW_MAX_MS,
    NO_END_UNIX_MS,
    Coverage,
    Hole,
    HoleCause,
    have_attempts_ended,
    is_complete,
    is_final_event,
    is_submit,
)
from nutmegdeal.identifiers import entry_of_request
from nutmegdeal.ledger_rows import belongs_to_request


@attrs.frozen
class UnknownSpan:
    """A time span in which events of an incarnation may be missing.

    Parameters
    ----------
    process : str
        Name of the process, ``""`` if unknown.
    incarnation : str
    hole : Hole
    """

    process: str
    incarnation: str
    hole: Hole


def find_unknown_spans(request_id, events_by_incarnation, coverages, ledger_row):
    """Return an UnknownSpan for each span in which events may be missing."""
    entry = entry_of_request(request_id)
    coverage_by_incarnation = {coverage.incarnation: coverage for coverage in coverages}
    entry_coverage = coverage_by_incarnation.get(entry, _build_unread(entry))
    is_entry_complete = is_complete(
        events_by_incarnation.get(entry, []), entry_coverage
    )
    unknowns = []
    for incarnation in _list_incarnations(
        request_id, events_by_incarnation, ledger_row
    ):
        events = events_by_incarnation.get(incarnation, [])
        coverage = coverage_by_incarnation.get(incarnation, _build_unread(incarnation))
        process = coverage.process or (events[0].process if events else "")
        process = process or _find_process_name(
            events_by_incarnation.get(entry, []), incarnation
        )
        window = _find_window(
            incarnation, entry, events_by_incarnation, is_entry_complete
        )
        holes = _find_holes(coverage, window)
        unknowns += [UnknownSpan(process, incarnation, hole) for hole in holes]
    unknowns += _find_unidentified_agents(events_by_incarnation.get(entry, []))
    return tuple(unknowns)


def _build_unread(incarnation):
    hole = Hole(0, NO_END_UNIX_MS, HoleCause.UNREADABLE)
    return Coverage(incarnation, holes=(hole,))


def _list_incarnations(request_id, events_by_incarnation, ledger_row):
    """Return the incarnations that may have recorded events, the entry's first."""
    incarnations = {entry_of_request(request_id): None}
    for events in events_by_incarnation.values():
        for event in events:
            incarnations[event.incarnation] = None
            if is_submit(event) and event.peer_incarnation:
                incarnations[event.peer_incarnation] = None
    if belongs_to_request(ledger_row, request_id) and ledger_row.agent_incarnation:
        incarnations[ledger_row.agent_incarnation] = None
    return tuple(incarnations)


def _find_process_name(entry_events, incarnation):
    for event in entry_events:
        if event.peer_incarnation == incarnation:
            return event.peer
    return ""


@attrs.frozen
class _Window:
    """Time span in which an incarnation may have recorded events of the request."""

    first_unix_ms: int
    last_unix_ms: int


def _find_window(incarnation, entry, events_by_incarnation, is_entry_complete):
    """Return the _Window of an incarnation, allowing for clock skew."""
    events = events_by_incarnation.get(incarnation, [])
    entry_events = events_by_incarnation.get(entry, [])
    starts = [event for event in entry_events if event.step is Step.RECEIVE]
    first_ms = starts[0].at_unix_ms if starts else 0
    if incarnation == entry:
        last_ms = (
            events[-1].at_unix_ms
            if events and is_final_event(events[-1])
            else NO_END_UNIX_MS
        )
        return _Window(first_ms, last_ms)
    sent = [e for e in entry_events if e.peer_incarnation == incarnation]
    is_closed = is_entry_complete and have_attempts_ended(events, sent)
    last_ms = max(e.at_unix_ms for e in events) if is_closed else NO_END_UNIX_MS
    return _Window(first_ms - CLOCK_SKEW_MAX_MS, last_ms)


def _find_holes(coverage, window):
    """Return the Holes of a coverage in which events of the request may be missing."""
    span = (window.first_unix_ms, window.last_unix_ms)
    holes = [hole for hole in coverage.holes if hole.overlaps(*span)]
    is_open = window.last_unix_ms == NO_END_UNIX_MS
    if is_open and not coverage.is_final and not _is_wholly_unread(coverage):
        first_ms = max(coverage.covers_to_unix_ms, window.first_unix_ms)
        holes.append(Hole(first_ms, NO_END_UNIX_MS, HoleCause.NOT_STORED))
    return holes


def _is_wholly_unread(coverage):
    """Return whether a hole of the coverage already spans all time."""
    return any(
        hole.first_unix_ms == 0 and hole.last_unix_ms == NO_END_UNIX_MS
        for hole in coverage.holes
    )


def _find_unidentified_agents(entry_events):
    """Return an UnknownSpan for each attempt without the incarnation of its agent."""
    return [
        UnknownSpan(
            event.peer,
            "",
            Hole(event.at_unix_ms, NO_END_UNIX_MS, HoleCause.PROCESS_UNKNOWN),
        )
        for event in entry_events
        if is_submit(event) and not event.peer_incarnation
    ]
