"""The events read about a request, and where events are known to be missing."""

import enum

import attrs

from nutmegdeal.accounts import Event, Outcome
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.ledger_rows import LedgerRow
from nutmegdeal.messages import Fate

NO_END_UNIX_MS = 2**63 - 1
CLOCK_SKEW_MAX_MS = 5_000
FATES_BY_VALUE = {fate.value: fate for fate in Fate}
END_OUTCOMES = frozenset(FATES_BY_VALUE) | {Reason.CANCELLED.value}


def is_final_event(event):
    """Return whether an event is the last one that its process records.

    It is an entry's last event of the request, or an agent's last of the attempt.
    """
    return event.step is Step.ANSWER and event.outcome in END_OUTCOMES


def is_completion(event):
    """Return whether an event says that a request or attempt got a complete answer."""
    return event.step is Step.ANSWER and event.outcome == Fate.COMPLETED.value


def is_submit(event):
    """Return whether an event says that the entry sends an attempt to an agent."""
    return event.step is Step.SUBMIT and event.outcome == Outcome.SENT


def is_dispatch(event):
    """Return whether an event says that an agent sends to its backend server."""
    return event.step is Step.DISPATCH and event.outcome == Outcome.SENT


class HoleCause(enum.Enum):
    """Why events may be missing."""

    NOT_STORED = "not_stored"
    DROPPED = "dropped"
    SEGMENT_MISSING = "segment_missing"
    UNREADABLE = "unreadable"
    PROCESS_UNKNOWN = "process_unknown"


def have_attempts_ended(agent_events, sent_events):
    """Return whether an agent has ended each attempt that it is known to have received.

    Parameters
    ----------
    agent_events : sequence of Event
    sent_events : sequence of Event
        The entry's events that send attempts to this agent.
    """
    known = {event.attempt_id for event in (*agent_events, *sent_events)} - {""}
    ended = {event.attempt_id for event in agent_events if is_final_event(event)}
    return bool(agent_events) and known <= ended


@attrs.frozen
class Hole:
    """A time span in which events of an incarnation may be missing.

    Parameters
    ----------
    first_unix_ms, last_unix_ms : int
        Both ends included; ``NO_END_UNIX_MS`` for an open end.
    cause : HoleCause
    """

    first_unix_ms: int
    last_unix_ms: int
    cause: HoleCause

    def overlaps(self, first_unix_ms, last_unix_ms):
        """Return whether the hole and a time span have a time in common."""
        return self.first_unix_ms <= last_unix_ms and first_unix_ms <= self.last_unix_ms


@attrs.frozen
class Coverage:
    """How much of one incarnation's events has been read.

    Parameters
    ----------
    incarnation : str
    process : str
        Name of the process, ``""`` if none of its records could be read.
    covers_to_unix_ms : int
        Every event before this time was read, except for those in the holes.
    is_final : bool
        True if the process shut down cleanly, so that there are no later events.
    holes : tuple of Hole
    """

    incarnation: str
    process: str = ""
    covers_to_unix_ms: int = 0
    is_final: bool = False
    holes: tuple[Hole, ...] = ()


def is_complete(entry_events, coverage):
    """Return whether all of an entry's events of a request were read.

    Parameters
    ----------
    entry_events : sequence of Event
        In the order of recording.
    coverage : Coverage
        Of the entry.
    """
    if not entry_events or entry_events[0].step is not Step.RECEIVE:
        return False
    if not is_final_event(entry_events[-1]):
        return False
    span = (entry_events[0].at_unix_ms, entry_events[-1].at_unix_ms)
    return not any(hole.overlaps(*span) for hole in coverage.holes)


@attrs.frozen
class Evidence:
    """Everything that was read about one request.

    Parameters
    ----------
    events : tuple of Event
        Those of each incarnation are in the order in which it recorded them.
    coverages : tuple of Coverage
        One for each incarnation that was looked up.
    ledger_row : LedgerRow, None or Failure
        None if the request has no row, such as an idempotent one; a Failure if the row
        could not be read.
    """

    events: tuple[Event, ...] = ()
    coverages: tuple[Coverage, ...] = ()
    ledger_row: LedgerRow | Failure | None = None
