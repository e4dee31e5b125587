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
    """The record of an idempotency key.

    Parameters
    ----------
    key : str
    body_digest : str
        SHA-256 of method, path and body in hexadecimal.
    request_id, attempt_id : str
        The attempt that wrote the row.
    agent_incarnation : str
        Empty if the row was written to fence the attempt off.
    state : LedgerState
    expiry_unix_ms : int
    answer : LedgerAnswer or None
        Set in the states COMPLETED and, if the server answered, FAILED.
    fenced_attempts : tuple of str
        Earlier attempts that were fenced off.
    service : str
        The service to which the key belongs.
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

    def has_fenced(self, attempt_id):
        """Return whether an attempt was fenced off by this row or an earlier one."""
        if self.state is LedgerState.NOT_RUN and self.attempt_id == attempt_id:
            return True
        return attempt_id in self.fenced_attempts


def belongs_to_request(row, request_id):
    """Return whether `row` (LedgerRow, None or Failure) was written for a request."""
    return isinstance(row, LedgerRow) and row.request_id == request_id


@attrs.frozen
class MayDispatch:
    """The attempt has written the row, so it alone may send the request."""

    row: LedgerRow
    version: int


@attrs.frozen
class AlreadyRecorded:
    """The existing row decides, and the call did not change it.

    From `Ledger.begin`: the attempt must not send the request, now or later. From
    `Ledger.fence` and `Ledger.withdraw`: an attempt may have been sent.
    """

    row: LedgerRow


@attrs.frozen
class Fenced:
    """The attempt has not run and never will; a new attempt may be made."""

    row: LedgerRow
