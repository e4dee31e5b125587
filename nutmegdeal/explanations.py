"""Joins the evidence about a request into an account that claims no more than it."""

import enum

import attrs

from nutmegdeal.errors import Failure
from nutmegdeal.event_order import PlacedEvent, order_events, split_by_incarnation
from nutmegdeal.evidence import FATES, Cause, is_dispatch, is_end, is_submit
from nutmegdeal.identifiers import AdapterRef, entry_of_request, request_of_attempt
from nutmegdeal.ledger_rows import LedgerRow, LedgerState, belongs_to_request
from nutmegdeal.messages import Fate
from nutmegdeal.unknowns import Unknown, find_unknowns


class Ran(enum.Enum):
    """Whether a backend server ran something."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


@attrs.frozen
class AttemptAccount:
    """What is known of one attempt.

    Parameters
    ----------
    attempt_id : str
    agent : str
        Name of the agent it was sent to, ``""`` if unknown.
    incarnation : str
        Incarnation of that agent, ``""`` if unknown.
    adapter, version : str
        As the agent sent it to the backend server, ``""`` if that is not known.
    ran : Ran
    is_contradicted : bool
        True if one record says that it ran and another that it did not.
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
        """Engine name of the adapter, "" if it is not known or there is none."""
        if not self.adapter:
            return ""
        return AdapterRef(self.adapter, self.version).engine_name


@attrs.frozen
class Account:
    """What became of a request, as far as the evidence shows.

    Parameters
    ----------
    request_id : str
    fate : Fate or None
        What the caller was told; None if that is not known.
    ran : Ran
        Whether any attempt of this request ran.
    attempts : tuple of AttemptAccount
    timeline : tuple of PlacedEvent
    unknowns : tuple of Unknown
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
    attempts: tuple[AttemptAccount, ...]
    timeline: tuple[PlacedEvent, ...]
    unknowns: tuple[Unknown, ...]
    read_at_unix_ms: int
    ledger_row: LedgerRow | None = None
    ledger_failure: Failure | None = None

    @property
    def is_empty(self):
        """True if there is no trace of the request."""
        return not self.timeline and self.ledger_row is None

    @property
    def is_unread(self):
        """True if something could not be read from the object store."""
        return any(u.hole.cause is Cause.UNREADABLE for u in self.unknowns)

    @property
    def has_caller_left(self):
        """True if the entry saw the caller close its connection first."""
        entry = entry_of_request(self.request_id)
        own = [p.event for p in self.timeline if p.event.incarnation == entry]
        return self.fate is None and bool(own) and is_end(own[-1])


def explain(request_id, events, watermarks, ledger_row, now_unix_ms):
    """Join the evidence about one request.

    Parameters
    ----------
    request_id : str
    events : sequence of Event
        All of the request; those of one incarnation in the order of recording.
    watermarks : sequence of Coverage
    ledger_row : LedgerRow, None or Failure
        A Failure if it could not be read.
    now_unix_ms : int
        When the evidence was read.

    Returns
    -------
    Account
    """
    entry = entry_of_request(request_id)
    split = split_by_incarnation(events)
    unknowns = find_unknowns(request_id, split, watermarks, ledger_row)
    fate = _find_fate(split.get(entry, []))
    unknown_incarnations = {unknown.incarnation for unknown in unknowns}
    attempts = _judge_attempts(request_id, events, ledger_row, unknown_incarnations)
    return Account(
        request_id=request_id,
        fate=fate,
        ran=_judge_request(fate, attempts, entry not in unknown_incarnations),
        attempts=attempts,
        timeline=order_events(events, entry),
        unknowns=unknowns,
        read_at_unix_ms=now_unix_ms,
        ledger_row=ledger_row if isinstance(ledger_row, LedgerRow) else None,
        ledger_failure=ledger_row if isinstance(ledger_row, Failure) else None,
    )


def _find_fate(entry_events):
    """Return the Fate that the entry told the caller, or None."""
    if not entry_events or not is_end(entry_events[-1]):
        return None
    return FATES.get(entry_events[-1].outcome)


def _judge_attempts(request_id, events, ledger_row, unknown_incarnations):
    """Return an AttemptAccount for each attempt that the evidence names."""
    entry = entry_of_request(request_id)
    of_attempt = {event.attempt_id: [] for event in events if event.attempt_id}
    for event in events:
        if event.attempt_id:
            of_attempt[event.attempt_id].append(event)
    if belongs_to_request(ledger_row, request_id):
        of_attempt.setdefault(ledger_row.attempt_id, [])
    return tuple(
        _judge_attempt(attempt_id, own, entry, ledger_row, unknown_incarnations)
        for attempt_id, own in sorted(of_attempt.items())
    )


def _judge_attempt(attempt_id, events, entry, ledger_row, unknown_incarnations):
    of_agent = [event for event in events if event.incarnation != entry]
    sent = next(filter(is_submit, events), None)
    dispatched = next(filter(is_dispatch, of_agent), None)
    agent_is_known = bool(of_agent) and not (
        unknown_incarnations & {event.incarnation for event in of_agent}
    )
    verdicts = {
        _judge_events(of_agent, dispatched, agent_is_known),
        _judge_row(ledger_row, attempt_id),
    }
    says_yes, says_no = Ran.YES in verdicts, Ran.NO in verdicts
    ran = Ran.YES if says_yes else Ran.NO if says_no else Ran.UNKNOWN
    return AttemptAccount(
        attempt_id=attempt_id,
        agent=of_agent[0].process if of_agent else sent.peer if sent else "",
        incarnation=_find_agent(of_agent, sent, ledger_row, attempt_id),
        adapter=dispatched.adapter if dispatched else "",
        version=dispatched.version if dispatched else "",
        ran=Ran.UNKNOWN if says_yes and says_no else ran,
        is_contradicted=says_yes and says_no,
    )


def _find_agent(of_agent, sent, ledger_row, attempt_id):
    """Return the incarnation of an attempt's agent, "" if unknown."""
    if of_agent:
        return of_agent[0].incarnation
    if sent is not None:
        return sent.peer_incarnation
    if ledger_row is not None and ledger_row.attempt_id == attempt_id:
        return ledger_row.agent_incarnation
    return ""


def _judge_events(of_agent, dispatched, is_known):
    """Return what an agent's events of an attempt say about whether it ran.

    An attempt that completed without having been sent was answered from the ledger.
    """
    outcomes = {event.outcome for event in of_agent}
    if Fate.NOT_RUN.value in outcomes:
        return Ran.NO
    if Fate.COMPLETED.value not in outcomes:
        return Ran.UNKNOWN
    if dispatched is not None:
        return Ran.YES
    return Ran.NO if is_known else Ran.UNKNOWN


def _judge_row(row, attempt_id):
    """Return what the ledger says about whether an attempt ran.

    A row is replaced only after its attempt was proved not to run, but it may be
    deleted after its expiry, so the row of another request shows nothing.
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


def _judge_request(fate, attempts, entry_is_known):
    """Return whether any attempt of the request ran."""
    verdicts = {attempt.ran for attempt in attempts}
    if Ran.YES in verdicts:
        return Ran.YES
    if any(attempt.is_contradicted for attempt in attempts):
        return Ran.UNKNOWN
    if fate is Fate.NOT_RUN:
        return Ran.NO
    if entry_is_known and Ran.UNKNOWN not in verdicts:
        return Ran.NO
    return Ran.UNKNOWN
