"""Ledger that lets each non-idempotent request run at most once.

The row of its idempotency key in the table service alone decides whether a request may
still be sent to a backend server.
"""

import abc

import attrs

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.ledger_rows import (
    AlreadyRecorded,
    Fenced,
    LedgerAnswer,
    LedgerRow,
    LedgerState,
    MayDispatch,
)
from nutmegdeal.ledger_rules import (
    BeginRule,
    FenceRule,
    FinishRule,
    VersionedRow,
    WithdrawRule,
    build_expired_failure,
    check_key_use,
    ledger_key,
)
from nutmegdeal.row_encoding import decode_record, encode_record
from nutmegdeal.services.table import Conflict, Write, Written

__all__ = [
    "AlreadyRecorded",
    "Fenced",
    "Ledger",
    "LedgerAnswer",
    "LedgerRow",
    "LedgerState",
    "MayDispatch",
    "TableLedger",
]

WRITE_ATTEMPTS_MAX = 3


class Ledger(abc.ABC):
    """Records which attempt may send a request; methods block on the table service.

    Any method may return a Failure: ``STORE_UNAVAILABLE`` if the state of the row could
    not be determined, ``KEY_REUSED`` if the key was used with another method,
    path or body, ``KEY_EXPIRED`` after the key's expiry.
    """

    @abc.abstractmethod
    def begin(self, submit, agent_incarnation):
        """Claim the right to send a request of `messages.Submit`; called by an agent.

        Returns
        -------
        MayDispatch, AlreadyRecorded or Failure
            AlreadyRecorded if this attempt was fenced off, the row shows that an
            attempt may have been sent, or the row has no room for another fenced
            attempt. After a Failure the request must not be sent.
        """

    @abc.abstractmethod
    def finish(self, claim, state, answer=None):
        """Record the outcome of a MayDispatch claim; return a LedgerRow or Failure."""

    @abc.abstractmethod
    def fence(self, submit):
        """Prevent an attempt from running after its agent was lost; called by an entry.

        Returns
        -------
        Fenced, AlreadyRecorded or Failure
            AlreadyRecorded if the row shows that an attempt may have been sent.
        """

    @abc.abstractmethod
    def withdraw(self, submit):
        """Mark an attempt that is known not to have been sent as not run.

        Returns
        -------
        Fenced, AlreadyRecorded or Failure
            AlreadyRecorded if the row is the claim of another attempt or has an
            outcome.
        """

    @abc.abstractmethod
    def lookup(self, submit):
        """Return the LedgerRow of the request's key, None, or a Failure."""


class TableLedger(Ledger):
    """Ledger whose rows are in the table service.

    A row is inserted only if there is none, and changed only by compare-and-set, so a
    write that arrives late finds another version and has no effect.

    Parameters
    ----------
    table : TableService
    clock : Clock
    """

    def __init__(self, table, clock):
        self._table = table
        self._clock = clock

    def begin(self, submit, agent_incarnation):
        """Claim the right to send a request of `messages.Submit`.

        After a Failure with ``maybe_applied=True`` the agent should `withdraw`.
        """
        result = self._apply_rule(submit, BeginRule(submit, agent_incarnation))
        if not isinstance(result, MayDispatch):
            return result
        if self._clock.unix_ms() >= submit.deadline_unix_ms:
            detail = "the deadline passed while the claim was written"
            return Failure(
                Reason.DEADLINE_PASSED, Step.LEDGER, "", detail, maybe_applied=True
            )
        return result

    def fence(self, submit):
        """Prevent an attempt from running after its agent was lost."""
        return self._apply_rule(submit, FenceRule(submit))

    def withdraw(self, submit):
        """Mark an attempt that is known not to have been sent as not run."""
        return self._apply_rule(submit, WithdrawRule(submit))

    def finish(self, claim, state, answer=None):
        """Record the outcome of a MayDispatch claim; return a LedgerRow or Failure.

        An answer longer than ``ledger_rules.ANSWER_BYTES_MAX`` is not stored.
        """
        key = ledger_key(claim.row.service, claim.row.key)
        stored = VersionedRow(claim.row, claim.version)
        rule = FinishRule(claim, state, answer)
        return self._write_until_confirmed(key, rule, stored, lambda row: None)

    def lookup(self, submit):
        """Return the LedgerRow of the request's key, None, or a Failure."""
        stored = self._read(ledger_key(submit.service, submit.idempotency_key))
        if isinstance(stored, Failure):
            return stored
        if stored.row is None:
            return None
        key_failure = check_key_use(submit, stored.row, self._clock.unix_ms())
        return key_failure or stored.row

    def _apply_rule(self, submit, rule):
        """Apply a rule to the row of a Submit's key.

        The expiry is checked again after the write. A row is deleted only after its
        expiry and the clock skew, so a write that is confirmed before the expiry cannot
        have overlooked a deleted row.
        """
        if self._clock.unix_ms() >= submit.expiry_unix_ms:
            return build_expired_failure()
        key = ledger_key(submit.service, submit.idempotency_key)

        def check_row(row):
            return check_key_use(submit, row, self._clock.unix_ms())

        result = self._write_until_confirmed(key, rule, VersionedRow(), check_row)
        is_granted = isinstance(result, (MayDispatch, Fenced))
        if is_granted and self._clock.unix_ms() >= submit.expiry_unix_ms:
            return build_expired_failure(maybe_applied=True)
        return result

    def _write_until_confirmed(self, key, rule, stored, check_row):
        """Write what the rule decides, and repeat it until the result is known.

        Parameters
        ----------
        key : str
        rule : Rule
        stored : VersionedRow
            The row expected in the table; a wrong one costs at most one more write.
        check_row : callable
            Takes a LedgerRow; returns a Failure if it may not be used, else None.
        """
        in_doubt = False
        for _ in range(WRITE_ATTEMPTS_MAX):
            key_failure = check_row(stored.row) if stored.row else None
            decision = key_failure or rule.decide(stored, in_doubt)
            if isinstance(decision, Failure):
                return attrs.evolve(decision, peer=key, maybe_applied=in_doubt)
            if not isinstance(decision, LedgerRow) or decision == stored.row:
                return decision
            result = self._write(key, decision, stored.version)
            if isinstance(result, Written):
                return rule.confirm(decision, result.versions[0])
            if isinstance(result, Failure):
                in_doubt = in_doubt or result.maybe_applied
                if not result.maybe_applied:
                    return attrs.evolve(result, maybe_applied=in_doubt)
            stored = self._reload(key, result)
            if isinstance(stored, Failure):
                return attrs.evolve(stored, maybe_applied=in_doubt)
        detail = "the row changed too often or the store lost too many answers"
        return Failure(
            Reason.STORE_UNAVAILABLE, Step.LEDGER, key, detail, maybe_applied=in_doubt
        )

    def _write(self, key, row, expected_version):
        value = encode_record(row)
        result = self._table.write([Write(key, value, expected_version)])
        if isinstance(result, Failure):
            return attrs.evolve(result, step=Step.LEDGER)
        return result

    def _reload(self, key, result):
        """Return the current VersionedRow after an unconfirmed write, or a Failure."""
        if not isinstance(result, Conflict):
            return self._read(key)
        if not result.rows:
            return VersionedRow()
        return _decode(result.rows[0])

    def _read(self, key):
        row = self._table.read(key)
        if isinstance(row, Failure):
            return attrs.evolve(row, step=Step.LEDGER)
        return VersionedRow() if row is None else _decode(row)


def _decode(row):
    try:
        return VersionedRow(decode_record(row.value, LedgerRow), row.version)
    except ValueError as error:
        return Failure(Reason.STORE_CONFLICT, Step.LEDGER, row.key, str(error))
