"""Rules that decide, without I/O, what an agent or an entry writes to a ledger row.

A rule takes the row as it was last read, and returns the LedgerRow to write in its
place or the final result of the call.
"""

import abc

import attrs

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.identifiers import body_digest
from nutmegdeal.ledger_rows import (
    AlreadyRecorded,
    Fenced,
    LedgerRow,
    LedgerState,
    MayDispatch,
)

FENCED_ATTEMPTS_MAX = 64
ANSWER_BYTES_MAX = 65_536


def request_digest(submit):
    """Return the SHA-256 of a Submit's method, path and body in hexadecimal."""
    head = f"{submit.method} {submit.path}\n".encode()
    return body_digest(head + submit.body)


def ledger_key(service, idempotency_key):
    """Return the key of a row in the table service."""
    return f"ledger/{service}/{idempotency_key}"


@attrs.frozen
class VersionedRow:
    """A row as it was last read, with its version.

    Parameters
    ----------
    row : LedgerRow or None
        None if there is no row.
    version : int
        Version in the table service, 0 if there is no row.
    """

    row: LedgerRow | None = None
    version: int = 0


def check_key_use(submit, row, unix_ms):
    """Return a Failure if a Submit may not use a row under its key, else None."""
    if row.body_digest != request_digest(submit):
        detail = "the key was used for another request"
        return Failure(Reason.KEY_REUSED, Step.LEDGER, "", detail)
    if unix_ms >= row.expiry_unix_ms:
        return build_expired_failure()
    return None


def build_expired_failure(maybe_applied=False):
    """Return the Failure of a key whose expiry has passed."""
    detail = "the key's expiry has passed"
    return Failure(
        Reason.KEY_EXPIRED, Step.LEDGER, "", detail, maybe_applied=maybe_applied
    )


def _build_row(submit, state, agent_incarnation=""):
    return LedgerRow(
        key=submit.idempotency_key,
        body_digest=request_digest(submit),
        request_id=submit.request_id,
        attempt_id=submit.attempt_id,
        agent_incarnation=agent_incarnation,
        state=state,
        expiry_unix_ms=submit.expiry_unix_ms,
        service=submit.service,
    )


def _take_over(row, new_row):
    """Return `new_row` with the attempt of `row` and all that `row` fences off.

    The later expiry holds, so that the row outlives every attempt it fences off.
    """
    return attrs.evolve(
        new_row,
        expiry_unix_ms=max(row.expiry_unix_ms, new_row.expiry_unix_ms),
        fenced_attempts=(*row.fenced_attempts, row.attempt_id),
    )


def _has_max_fenced_attempts(row):
    return len(row.fenced_attempts) >= FENCED_ATTEMPTS_MAX


class Rule(abc.ABC):
    """Decides the result of one ledger call, anew each time the row was read."""

    @abc.abstractmethod
    def decide(self, stored, in_doubt):
        """Return the LedgerRow to write, or the result of the call.

        Parameters
        ----------
        stored : VersionedRow
        in_doubt : bool
            True if a write of this call may have taken effect.
        """

    @abc.abstractmethod
    def confirm(self, row, version):
        """Return the result of the call once `row` is known to have been written."""


class BeginRule(Rule):
    """Rule of `Ledger.begin`: an agent claims the right to send a request."""

    def __init__(self, submit, agent_incarnation):
        self._own_row = _build_row(submit, LedgerState.DISPATCHED, agent_incarnation)

    def decide(self, stored, in_doubt):
        """Insert the row, or replace that of an attempt that never ran."""
        row = stored.row
        if row is None:
            return self._own_row
        if in_doubt and self._is_own_claim(row):
            return MayDispatch(row, stored.version)
        if row.state is not LedgerState.NOT_RUN:
            return AlreadyRecorded(row)
        if row.has_fenced(self._own_row.attempt_id) or _has_max_fenced_attempts(row):
            return AlreadyRecorded(row)
        return _take_over(row, self._own_row)

    def _is_own_claim(self, row):
        return (
            row.state is LedgerState.DISPATCHED
            and row.attempt_id == self._own_row.attempt_id
            and row.agent_incarnation == self._own_row.agent_incarnation
        )

    def confirm(self, row, version):
        """Return the claim."""
        return MayDispatch(row, version)


class FenceRule(Rule):
    """Rule of `Ledger.fence`: an entry prevents an attempt from running."""

    def __init__(self, submit):
        self._own_row = _build_row(submit, LedgerState.NOT_RUN)

    def decide(self, stored, in_doubt):
        """Record the attempt as fenced off unless some attempt may have been sent."""
        row = stored.row
        if row is None:
            return self._own_row
        if row.has_fenced(self._own_row.attempt_id):
            return Fenced(row)
        if row.state is not LedgerState.NOT_RUN:
            return self._decide_claimed(row)
        return (
            Fenced(row)
            if _has_max_fenced_attempts(row)
            else _take_over(row, self._own_row)
        )

    def _decide_claimed(self, row):
        return AlreadyRecorded(row)

    def confirm(self, row, version):
        """Return Fenced, as the attempt can no longer run."""
        return Fenced(row)


class WithdrawRule(FenceRule):
    """Rule of `Ledger.withdraw`: gives back a claim that was not used."""

    def _decide_claimed(self, row):
        is_own = row.attempt_id == self._own_row.attempt_id
        if is_own and row.state is LedgerState.DISPATCHED:
            return attrs.evolve(row, state=LedgerState.NOT_RUN)
        return AlreadyRecorded(row)


class FinishRule(Rule):
    """Rule of `Ledger.finish`: an agent records the outcome of its claim."""

    def __init__(self, claim, state, answer):
        if answer is not None and len(answer.body) > ANSWER_BYTES_MAX:
            answer = None
        self._claim = claim
        self.outcome = attrs.evolve(claim.row, state=state, answer=answer)

    def decide(self, stored, in_doubt):
        """Replace the claim by the outcome."""
        if stored.row == self.outcome:
            return stored.row
        if stored.row == self._claim.row:
            return self.outcome
        detail = "the row no longer holds this attempt's claim"
        return Failure(Reason.STORE_CONFLICT, Step.LEDGER, "", detail)

    def confirm(self, row, version):
        """Return the recorded row."""
        return row
