"""The ledger of non-idempotent requests: each runs at most once.

A row in the table service is the one authority on whether a request may still be sent
to a backend server.
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
    StoredRow,
    WithdrawRule,
    fail_expired,
    find_misuse,
    ledger_key,
)
from nutmegdeal.records import decode_record, encode_record
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


class TableLedger(Ledger):
    """Rules of the ledger over the table service.

    A row is inserted only where none is, and changed only by compare-and-set. So a
    write that arrives late finds another version and does nothing.

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
        result = self._run(submit, BeginRule(submit, agent_incarnation))
        if not isinstance(result, MayDispatch):
            return result
        if self._clock.unix_ms() >= submit.deadline_unix_ms:
            detail = "the deadline passed while the claim was written"
            return Failure(
                Reason.DEADLINE_PASSED, Step.LEDGER, "", detail, maybe_applied=True
            )
        return result

    def fence(self, submit):
        """Stop an attempt whose agent was lost; called by an entry."""
        return self._run(submit, FenceRule(submit))

    def withdraw(self, submit):
        """Mark an attempt that its agent knows it did not send as not run."""
        return self._run(submit, WithdrawRule(submit))

    def finish(self, claim, state, answer=None):
        """Record the outcome of a MayDispatch claim; return a LedgerRow or Failure.

        An answer longer than ``ledger_rules.ANSWER_BYTES_MAX`` is left out.
        """
        key = ledger_key(claim.row.service, claim.row.key)
        stored = StoredRow(claim.row, claim.version)
        rule = FinishRule(claim, state, answer)
        return self._write_until_known(key, rule, stored, lambda row: None)

    def lookup(self, submit):
        """Return the LedgerRow of the request's key, None, or a Failure."""
        stored = self._read(ledger_key(submit.service, submit.idempotency_key))
        if isinstance(stored, Failure):
            return stored
        if stored.row is None:
            return None
        misuse = find_misuse(submit, stored.row, self._clock.unix_ms())
        return misuse or stored.row

    def _run(self, submit, rule):
        """Follow a rule on a Submit's row.

        The expiry is checked again at the end: a row is deleted only after its expiry
        and the clock skew, so before it no write can have missed a deleted row.
        """
        if self._clock.unix_ms() >= submit.expiry_unix_ms:
            return fail_expired()
        key = ledger_key(submit.service, submit.idempotency_key)

        def check(row):
            return find_misuse(submit, row, self._clock.unix_ms())

        result = self._write_until_known(key, rule, StoredRow(), check)
        is_granted = isinstance(result, (MayDispatch, Fenced))
        if is_granted and self._clock.unix_ms() >= submit.expiry_unix_ms:
            return fail_expired(maybe_applied=True)
        return result

    def _write_until_known(self, key, rule, stored, check):
        """Write what the rule decides until its result is known.

        Parameters
        ----------
        key : str
        rule : Rule
        stored : StoredRow
            Where to begin; a guess costs at most one more write.
        check : callable
            Returns the Failure of a row that may not be used, else None.
        """
        in_doubt = False
        for _ in range(WRITE_ATTEMPTS_MAX):
            misuse = check(stored.row) if stored.row else None
            decision = misuse or rule.decide(stored, in_doubt)
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
            stored = self._see(key, result)
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

    def _see(self, key, result):
        """Return the StoredRow after a write that was not confirmed, or a Failure."""
        if not isinstance(result, Conflict):
            return self._read(key)
        if not result.rows:
            return StoredRow()
        return _decode(result.rows[0])

    def _read(self, key):
        row = self._table.read(key)
        if isinstance(row, Failure):
            return attrs.evolve(row, step=Step.LEDGER)
        return StoredRow() if row is None else _decode(row)


def _decode(row):
    try:
        return StoredRow(decode_record(row.value, LedgerRow), row.version)
    except ValueError as error:
        return Failure(Reason.STORE_CONFLICT, Step.LEDGER, row.key, str(error))
