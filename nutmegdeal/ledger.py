"""The ledger of non-idempotent requests: each runs at most once.

A row in the table service is the one authority on whether a request may still be sent
to a backend server.
"""

import abc
import enum

import attrs


class LedgerState(enum.Enum):
    """State of a row."""

    DISPATCHED = "dispatched"
    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"


@attrs.frozen
class LedgerAnswer:
    """The recorded answer of a request that ran."""

    status_code: int
    content_type: str
    body: bytes


@attrs.frozen
class LedgerRow:
    """What is recorded under an idempotency key.

    Parameters
    ----------
    key : str
    body_digest : str
        SHA-256 of method, path and body in hexadecimal.
    request_id, attempt_id : str
        The attempt that wrote the row.
    agent_incarnation : str
        Empty if an entry wrote the row to fence the attempt off.
    state : LedgerState
    expiry_unix_ms : int
    answer : LedgerAnswer or None
        Set in the states COMPLETED and, if the server answered, FAILED.
    """

    key: str
    body_digest: str
    request_id: str
    attempt_id: str
    agent_incarnation: str
    state: LedgerState
    expiry_unix_ms: int
    answer: LedgerAnswer | None = None
    fenced_attempts: tuple[str, ...] = ()
    service: str = ""

    def forbids(self, attempt_id):
        """Return whether an attempt was fenced off, now or earlier."""
        if self.state is LedgerState.NOT_RUN and self.attempt_id == attempt_id:
            return True
        return attempt_id in self.fenced_attempts


@attrs.frozen
class MayDispatch:
    """The row is written by this attempt: it alone may send the request now."""

    row: LedgerRow
    version: int


@attrs.frozen
class AlreadyRecorded:
    """Another attempt's row is there; this attempt never sends the request."""

    row: LedgerRow


@attrs.frozen
class Fenced:
    """The attempt never ran and never will; a new attempt may be made."""

    row: LedgerRow


class Ledger(abc.ABC):
    """Rules for reading and writing rows; methods block on the table service.

    Any method may return a Failure: ``STORE_UNAVAILABLE`` when the store's state could
    not be settled, ``KEY_REUSED`` for another body, ``KEY_EXPIRED`` after the expiry.
    """

    @abc.abstractmethod
    def begin(self, submit, agent_incarnation):
        """Claim the right to send a request of `messages.Submit`; called by an agent.

        Returns
        -------
        MayDispatch, AlreadyRecorded or Failure
            AlreadyRecorded if this attempt was fenced off or another attempt's row
            forbids sending. After a Failure the request must not be sent.
        """

    @abc.abstractmethod
    def finish(self, claim, state, answer=None):
        """Record the outcome of a MayDispatch claim; return a LedgerRow or Failure."""

    @abc.abstractmethod
    def fence(self, submit):
        """Stop an attempt whose agent was lost; called by an entry.

        Returns
        -------
        Fenced, AlreadyRecorded or Failure
        """

    @abc.abstractmethod
    def withdraw(self, submit):
        """Mark an attempt that its agent knows it did not send as not run.

        Returns
        -------
        Fenced, AlreadyRecorded or Failure
        """

    @abc.abstractmethod
    def lookup(self, submit):
        """Return the LedgerRow of the request's key, None, or a Failure."""
