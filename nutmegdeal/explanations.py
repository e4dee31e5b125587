"""Derives what became of a request from the evidence, and what remains unknown."""

import enum

import attrs

from nutmegdeal.errors import Failure
from nutmegdeal.event_order import TimelineEvent, group_by_incarnation, order_events
from nutmegdeal.evidence import (
    FATES_BY_VALUE,
    HoleCause,
    is_dispatch,
    is_final_event,
    is_submit,
)
from nutmegdeal.identifiers import AdapterRef, entry_of_request, request_of_attempt
from nutmegdeal.ledger_rows import LedgerRow, LedgerState, belongs_to_request
from nutmegdeal.messages import Fate
from nutmegdeal.unknown_spans import UnknownSpan, find_unknown_spans


class Ran(enum.Enum):
    """Whether a backend server ran a request or an attempt."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


@attrs.frozen
class AttemptSummary:
    """What is known of one attempt.

    Parameters
    ----------
    attempt_id : str
    agent : str
        Name of the agent it was sent to, ``""`` if unknown.
    incarnation : str
        Incarnation of that agent, ``""`` if unknown.
    adapter, version : str
        Those that the agent sent to the backend server, ``""`` if unknown.
    ran : Ran
    is_contradicted : bool
        True if one record says that the attempt ran and another that it did not.
    """

    attempt_id: str
    agent: str
    incarnation: str
    adapter: str
    version: str
    ran: Ran
    is_contradicted: bool = False

    @property
    def engine_name(self):
        """Engine name of the adapter, "" if it is unknown or there is none."""
        if not self.adapter:
            return ""
        return AdapterRef(self.adapter, self.version).engine_name


@attrs.frozen
class Explanation:
    """What became of a request, as far as the evidence shows.

    Parameters
    ----------
    request_id : str
    fate : Fate or None
        What the caller was told; None if that is not known.
    ran : Ran
        Whether any attempt of this request ran.
    attempts : tuple of AttemptSummary
    timeline : tuple of TimelineEvent
    unknowns : tuple of UnknownSpan
    read_at_unix_ms : int
        When the evidence was read.
    ledger_row : LedgerRow or None
        The row under the request's key, if it was found.
    ledger_failure : Failure or None
        Why the ledger could not be read.
    """

    request_id: str
    fate: Fate | None
    ran: Ran
    attempts: tuple[AttemptSummary, ...]
    timeline: tuple[TimelineEvent, ...]
    unknowns: tuple[UnknownSpan, ...]
    read_at_unix_ms: int
    ledger_row: LedgerRow | None = None
    ledger_failure: Failure | None = None

    @property
    def is_empty(self):
        """True if no record of the request was found."""
        return not self.timeline and self.ledger_row is None

    @property
    def has_unreadable_records(self):
        """True if something could not be read from the object store."""
        return any(
            unknown.hole.cause is HoleCause.UNREADABLE for unknown in self.unknowns
        )

    @property
    def has_caller_left(self):
        """True if the caller closed its connection before the answer ended."""
        entry = entry_of_request(self.request_id)
        entry_events = [
            item.event for item in self.timeline if item.event.incarnation == entry
        ]
        return (
            self.fate is None
            and bool(entry_events)
            and is_final_event(entry_events[-1])
        )


def explain(request_id, events, coverages, ledger_row, now_unix_ms):
    """Derive what became of a request.

    Parameters
    ----------
    request_id : str
    events : sequence of Event
        All that were read, those of each incarnation in the order of recording.
    coverages : sequence of Coverage
    ledger_row : LedgerRow, None or Failure
        A Failure if it could not be read.
    now_unix_ms : int
        When the evidence was read.

    Returns
    -------
    Explanation
    """
    entry = entry_of_request(request_id)
    events_by_incarnation = group_by_incarnation(events)
    unknowns = find_unknown_spans(
        request_id, events_by_incarnation, coverages, ledger_row
    )
    fate = _find_fate(events_by_incarnation.get(entry, []))
    unknown_incarnations = {unknown.incarnation for unknown in unknowns}
    attempts = _summarize_attempts(request_id, events, ledger_row, unknown_incarnations)
    return Explanation(
        request_id=request_id,
        fate=fate,
        ran=_ran_by_attempts(fate, attempts, entry not in unknown_incarnations),
        attempts=attempts,
        timeline=order_events(events, entry),
        unknowns=unknowns,
        read_at_unix_ms=now_unix_ms,
        ledger_row=ledger_row if isinstance(ledger_row, LedgerRow) else None,
        ledger_failure=ledger_row if isinstance(ledger_row, Failure) else None,
    )


def _find_fate(entry_events):
    """Return the Fate that the entry told the caller, or None."""
    if not entry_events or not is_final_event(entry_events[-1]):
        return None
    return FATES_BY_VALUE.get(entry_events[-1].outcome)


def _summarize_attempts(request_id, events, ledger_row, unknown_incarnations):
    """Return an AttemptSummary for each attempt that the evidence mentions."""
    entry = entry_of_request(request_id)
    events_by_attempt = {event.attempt_id: [] for event in events if event.attempt_id}
    for event in events:
        if event.attempt_id:
            events_by_attempt[event.attempt_id].append(event)
    if belongs_to_request(ledger_row, request_id):
        events_by_attempt.setdefault(ledger_row.attempt_id, [])
    return tuple(
        _summarize_attempt(
            attempt_id, attempt_events, entry, ledger_row, unknown_incarnations
        )
        for attempt_id, attempt_events in sorted(events_by_attempt.items())
    )


def _summarize_attempt(attempt_id, events, entry, ledger_row, unknown_incarnations):
    agent_events = [event for event in events if event.incarnation != entry]
    submitted = next(filter(is_submit, events), None)
    dispatched = next(filter(is_dispatch, agent_events), None)
    is_agent_known = bool(agent_events) and not (
        unknown_incarnations & {event.incarnation for event in agent_events}
    )
    conclusions = {
        _ran_by_events(agent_events, dispatched, is_agent_known),
        _ran_by_ledger(ledger_row, attempt_id),
    }
    says_yes, says_no = Ran.YES in conclusions, Ran.NO in conclusions
    ran = Ran.YES if says_yes else Ran.NO if says_no else Ran.UNKNOWN
    return AttemptSummary(
        attempt_id=attempt_id,
        agent=agent_events[0].process
        if agent_events
        else submitted.peer
        if submitted
        else "",
        incarnation=_find_agent_incarnation(
            agent_events, submitted, ledger_row, attempt_id
        ),
        adapter=dispatched.adapter if dispatched else "",
        version=dispatched.version if dispatched else "",
        ran=Ran.UNKNOWN if says_yes and says_no else ran,
        is_contradicted=says_yes and says_no,
    )


def _find_agent_incarnation(agent_events, submitted, ledger_row, attempt_id):
    """Return the incarnation of the agent of an attempt, "" if unknown."""
    if agent_events:
        return agent_events[0].incarnation
    if submitted is not None:
        return submitted.peer_incarnation
    if isinstance(ledger_row, LedgerRow) and ledger_row.attempt_id == attempt_id:
        return ledger_row.agent_incarnation
    return ""


def _ran_by_events(agent_events, dispatched, is_agent_known):
    """Return whether an attempt ran according to its agent's events.

    An attempt that completed without being sent to the backend server was answered from
    the ledger.
    """
    outcomes = {event.outcome for event in agent_events}
    if Fate.NOT_RUN.value in outcomes:
        return Ran.NO
    if Fate.COMPLETED.value not in outcomes:
        return Ran.UNKNOWN
    if dispatched is not None:
        return Ran.YES
    return Ran.NO if is_agent_known else Ran.UNKNOWN


def _ran_by_ledger(row, attempt_id):
    """Return whether an attempt ran according to the ledger.

    A row is replaced only once it is certain that its attempt does not run. But it may
    be deleted after its expiry, so the row of another request proves nothing.
    """
    if not belongs_to_request(row, request_of_attempt(attempt_id)):
        return Ran.UNKNOWN
    if row.has_fenced(attempt_id):
        return Ran.NO
    if row.state is LedgerState.NOT_RUN:
        return Ran.UNKNOWN
    if row.attempt_id != attempt_id:
        return Ran.NO
    return Ran.YES if row.state is LedgerState.COMPLETED else Ran.UNKNOWN


def _ran_by_attempts(fate, attempts, is_entry_known):
    """Return whether any attempt of the request ran."""
    conclusions = {attempt.ran for attempt in attempts}
    if Ran.YES in conclusions:
        return Ran.YES
    if any(attempt.is_contradicted for attempt in attempts):
        return Ran.UNKNOWN
    if fate is Fate.NOT_RUN:
        return Ran.NO
    if is_entry_known and Ran.UNKNOWN not in conclusions:
        return Ran.NO
    return Ran.UNKNOWN
