"""Rows of the ledger and results of its calls."""

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


def is_row_of(row, request_id):
    """Return whether a LedgerRow, or what was found in its place, is a request's."""
    return isinstance(row, LedgerRow) and row.request_id == request_id


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
