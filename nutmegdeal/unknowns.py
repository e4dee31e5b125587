"""Finds where events may be missing from the evidence about a request."""

import attrs

from nutmegdeal.errors import Step
from nutmegdeal.evidence import (
    CLOCK_SKEW_MAX_MS,
    NO_END_UNIX_MS,
    Cause,
    Coverage,
    Hole,
    have_attempts_ended,
    is_end,
    is_submit,
    is_whole,
)
from nutmegdeal.identifiers import entry_of_request
from nutmegdeal.ledger_rows import belongs_to_request


@attrs.frozen
class Unknown:
    """Events that may be missing from the account.

    Parameters
    ----------
    process : str
        ``""`` if its name is not known.
    incarnation : str
    hole : Hole
    """

    process: str
    incarnation: str
    hole: Hole


def find_unknowns(request_id, split, watermarks, ledger_row):
    """Return an Unknown for each span in which events may be missing."""
    entry = entry_of_request(request_id)
    coverages = {coverage.incarnation: coverage for coverage in watermarks}
    entry_coverage = coverages.get(entry, _nothing_read(entry))
    is_entry_whole = is_whole(split.get(entry, []), entry_coverage)
    unknowns = []
    for incarnation in _list_incarnations(request_id, split, ledger_row):
        own = split.get(incarnation, [])
        coverage = coverages.get(incarnation, _nothing_read(incarnation))
        process = coverage.process or (own[0].process if own else "")
        process = process or _name_by_peers(split.get(entry, []), incarnation)
        window = _find_window(incarnation, entry, split, is_entry_whole)
        holes = _find_holes(coverage, window)
        unknowns += [Unknown(process, incarnation, hole) for hole in holes]
    unknowns += _find_unnamed_agents(split.get(entry, []))
    return tuple(unknowns)


def _nothing_read(incarnation):
    hole = Hole(0, NO_END_UNIX_MS, Cause.UNREADABLE)
    return Coverage(incarnation, holes=(hole,))


def _list_incarnations(request_id, split, ledger_row):
    """Return the incarnations that may have recorded events, the entry's first."""
    named = {entry_of_request(request_id): None}
    for events in split.values():
        for event in events:
            named[event.incarnation] = None
            if is_submit(event) and event.peer_incarnation:
                named[event.peer_incarnation] = None
    if belongs_to_request(ledger_row, request_id) and ledger_row.agent_incarnation:
        named[ledger_row.agent_incarnation] = None
    return tuple(named)


def _name_by_peers(entry_events, incarnation):
    for event in entry_events:
        if event.peer_incarnation == incarnation:
            return event.peer
    return ""


@attrs.frozen
class _Window:
    """When an incarnation may have recorded events of the request."""

    first_unix_ms: int
    last_unix_ms: int


def _find_window(incarnation, entry, split, is_entry_whole):
    """Return the _Window of an incarnation, allowing for clock skew."""
    own = split.get(incarnation, [])
    entry_events = split.get(entry, [])
    starts = [event for event in entry_events if event.step is Step.RECEIVE]
    first_ms = starts[0].at_unix_ms if starts else 0
    if incarnation == entry:
        last_ms = own[-1].at_unix_ms if own and is_end(own[-1]) else NO_END_UNIX_MS
        return _Window(first_ms, last_ms)
    sent = [e for e in entry_events if e.peer_incarnation == incarnation]
    is_closed = is_entry_whole and have_attempts_ended(own, sent)
    last_ms = max(e.at_unix_ms for e in own) if is_closed else NO_END_UNIX_MS
    return _Window(first_ms - CLOCK_SKEW_MAX_MS, last_ms)


def _find_holes(coverage, window):
    """Return the Holes of a coverage that may hide events of the request."""
    span = (window.first_unix_ms, window.last_unix_ms)
    holes = [hole for hole in coverage.holes if hole.overlaps(*span)]
    is_open = window.last_unix_ms == NO_END_UNIX_MS
    if is_open and not coverage.is_final and not _is_unread(coverage):
        first_ms = max(coverage.covers_to_unix_ms, window.first_unix_ms)
        holes.append(Hole(first_ms, NO_END_UNIX_MS, Cause.NOT_STORED))
    return holes


def _is_unread(coverage):
    """Return whether a hole of the coverage already spans all time."""
    return any(
        hole.first_unix_ms == 0 and hole.last_unix_ms == NO_END_UNIX_MS
        for hole in coverage.holes
    )


def _find_unnamed_agents(entry_events):
    """Return an Unknown for each attempt whose agent's incarnation is not recorded."""
    return [
        Unknown(
            event.peer,
            "",
            Hole(event.at_unix_ms, NO_END_UNIX_MS, Cause.PROCESS_UNKNOWN),
        )
        for event in entry_events
        if is_submit(event) and not event.peer_incarnation
    ]
