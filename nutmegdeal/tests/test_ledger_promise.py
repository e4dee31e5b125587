"""Proofs that non-idempotent requests run at most once and that not_run is true.

Each naive version or omission below must be caught by the same machine.
"""

import attrs
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from nutmegdeal.errors import Failure
from nutmegdeal.ledger import (
    AlreadyRecorded,
    Fenced,
    LedgerState,
    MayDispatch,
    TableLedger,
)
from nutmegdeal.ledger_rows import LedgerRow
from nutmegdeal.ledger_rules import BeginRule, FenceRule, StoredRow
from nutmegdeal.tests.ledger_machine import LedgerMachine

SEARCH = settings(
    max_examples=max(settings().max_examples, 600),
    stateful_step_count=50,
    suppress_health_check=list(HealthCheck),
)
CATCH = settings(
    SEARCH,
    max_examples=4_000,
    phases=[Phase.generate],
    report_multiple_bugs=False,
    derandomize=True,
)
NOTHING = StoredRow()


class ChecksThenSends(TableLedger):
    """Looks for a row, sends, and writes a row only with the outcome."""

    def begin(self, submit, agent_incarnation):
        found = self.lookup(submit)
        if found is not None:
            is_row = isinstance(found, LedgerRow)
            return AlreadyRecorded(found) if is_row else found
        row = BeginRule(submit, agent_incarnation).decide(NOTHING, False)
        return MayDispatch(row, 0)


class TrustsLostAnswers(TableLedger):
    """Takes a claim for granted whose answer was lost."""

    def begin(self, submit, agent_incarnation):
        result = super().begin(submit, agent_incarnation)
        if isinstance(result, Failure) and result.maybe_applied:
            row = BeginRule(submit, agent_incarnation).decide(NOTHING, False)
            return MayDispatch(row, 1)
        return result


class FencesWithoutWriting(TableLedger):
    """Takes the absence of a row for proof that nothing will run."""

    def fence(self, submit):
        if self.lookup(submit) is not None:
            return super().fence(submit)
        return Fenced(FenceRule(submit).decide(NOTHING, False))


class FencesDispatched(TableLedger):
    """Lets an entry call an attempt off whose claim is recorded."""

    def fence(self, submit):
        return self.withdraw(submit)


class ForgetsFencedAttempts(TableLedger):
    """Keeps only the last attempt that was fenced off."""

    def _write(self, key, row, expected_version):
        row = attrs.evolve(row, fenced_attempts=())
        return super()._write(key, row, expected_version)


class ReusesFailedClaims(TableLedger):
    """Takes over a claim that a crashed agent left behind."""

    def begin(self, submit, agent_incarnation):
        result = super().begin(submit, agent_incarnation)
        if not isinstance(result, AlreadyRecorded):
            return result
        if result.row.state is LedgerState.DISPATCHED:
            return MayDispatch(result.row, 1)
        return result


class ChecksExpiryOnce(TableLedger):
    """Does not look at the clock again after its write."""

    def _run(self, submit, rule):
        clock, self._clock = self._clock, _StoppedClock(self._clock)
        try:
            return super()._run(submit, rule)
        finally:
            self._clock = clock


class _StoppedClock:
    def __init__(self, clock):
        self._unix_ms = clock.unix_ms()

    def unix_ms(self):
        return self._unix_ms


EVERY_FAULT = {}
ONLY_FROZEN = {"request_max": 1, "is_only_frozen": True}
NAIVE_VERSIONS = (
    (ChecksThenSends, EVERY_FAULT),
    (TrustsLostAnswers, EVERY_FAULT),
    (FencesWithoutWriting, EVERY_FAULT),
    (FencesDispatched, EVERY_FAULT),
    (ForgetsFencedAttempts, ONLY_FROZEN),
    (ReusesFailedClaims, EVERY_FAULT),
    (ChecksExpiryOnce, EVERY_FAULT),
)


def machine_of(tried_class, faults):
    return type("Machine", (LedgerMachine,), {"ledger_class": tried_class, **faults})


@pytest.mark.promise(4)
@pytest.mark.promise(5)
@pytest.mark.parametrize("faults", [EVERY_FAULT, ONLY_FROZEN])
def test_ledger_holds(faults):
    run_state_machine_as_test(machine_of(TableLedger, faults), settings=SEARCH)


@pytest.mark.promise(5)
@pytest.mark.parametrize(("naive_class", "faults"), NAIVE_VERSIONS)
def test_naive_version_is_caught(naive_class, faults):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine_of(naive_class, faults), settings=CATCH)
