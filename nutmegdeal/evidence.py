"""What a reader holds of a request's events, and what it knows to be missing."""

import enum

import attrs

from nutmegdeal.accounts import Event, Outcome
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.ledger_rows import LedgerRow
from nutmegdeal.messages import Fate

NO_END_UNIX_MS = 2**63 - 1
CLOCK_SKEW_MAX_MS = 5_000
FATES = {fate.value: fate for fate in Fate}
END_OUTCOMES = frozenset(FATES) | {Reason.CANCELLED.value}


def is_end(event):
    """Return whether its process records nothing after this event.

    An entry records nothing more of the request, an agent nothing more of the attempt.
    """
    return event.step is Step.ANSWER and event.outcome in END_OUTCOMES


def is_completion(event):
    """Return whether a request or attempt ended with its whole answer."""
    return event.step is Step.ANSWER and event.outcome == Fate.COMPLETED.value


def is_submit(event):
    """Return whether the entry sends an attempt to an agent with this event."""
    return event.step is Step.SUBMIT and event.outcome == Outcome.SENT


def is_dispatch(event):
    """Return whether an agent sends to its backend server with this event."""
    return event.step is Step.DISPATCH and event.outcome == Outcome.SENT


class Cause(enum.Enum):
    """Why events may be missing."""

    NOT_STORED = "not_stored"
    DROPPED = "dropped"
    SEGMENT_MISSING = "segment_missing"
    UNREADABLE = "unreadable"
    PROCESS_UNKNOWN = "process_unknown"


def have_attempts_ended(agent_events, sent_events):
    """Return whether an agent's events end each attempt that is known to be its.

    Parameters
    ----------
    agent_events : sequence of Event
    sent_events : sequence of Event
        The entry's events that send attempts to this agent.
    """
    known = {event.attempt_id for event in (*agent_events, *sent_events)} - {""}
    ended = {event.attempt_id for event in agent_events if is_end(event)}
    return bool(agent_events) and known <= ended


@attrs.frozen
class Hole:
    """A time span in which events of an incarnation may be missing.

    Parameters
    ----------
    first_unix_ms, last_unix_ms : int
        Both ends included; ``NO_END_UNIX_MS`` for an open end.
    cause : Cause
    """

    first_unix_ms: int
    last_unix_ms: int
    cause: Cause

    def overlaps(self, first_unix_ms, last_unix_ms):
        """Return whether the hole shares a moment with a time span."""
        return self.first_unix_ms <= last_unix_ms and first_unix_ms <= self.last_unix_ms


@attrs.frozen
class Coverage:
    """How much of one incarnation's events a reader holds.

    Parameters
    ----------
    incarnation : str
    process : str
        Its name, ``""`` if nothing of it could be read.
    covers_to_unix_ms : int
        Every event before this time is held, but for those in the holes.
    is_final : bool
        True if the process ended in order, so that there is nothing after.
    holes : tuple of Hole
    """

    incarnation: str
    process: str = ""
    covers_to_unix_ms: int = 0
    is_final: bool = False
    holes: tuple[Hole, ...] = ()


def is_whole(entry_events, coverage):
    """Return whether an entry's events of a request are at hand without a gap.

    Parameters
    ----------
    entry_events : sequence of Event
        In the order of recording.
    coverage : Coverage
        Of the entry.
    """
    if not entry_events or entry_events[0].step is not Step.RECEIVE:
        return False
    if not is_end(entry_events[-1]):
        return False
    span = (entry_events[0].at_unix_ms, entry_events[-1].at_unix_ms)
    return not any(hole.overlaps(*span) for hole in coverage.holes)


@attrs.frozen
class Evidence:
    """What the object store gave about one request.

    Parameters
    ----------
    events : tuple of Event
        Those of one incarnation in the order in which it recorded them.
    coverages : tuple of Coverage
        One for each incarnation that was looked up.
    ledger_row : LedgerRow, None or Failure
        None if the request has none, as idempotent work; a Failure if it could not
        be read.
    """

    events: tuple[Event, ...] = ()
    coverages: tuple[Coverage, ...] = ()
    ledger_row: LedgerRow | Failure | None = None
