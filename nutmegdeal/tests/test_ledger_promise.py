"""Proofs that non-idempotent requests run at most once and that not_run is true.

Each naive version or omission below must be caught by the same machine.
"""

import attrs
import pytest
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
from nutmegdeal.ledger_rules import BeginRule, FenceRule, VersionedRow
from nutmegdeal.tests.ledger_machine import LedgerMachine
from nutmegdeal.tests.searches import SEARCH, catch_within

CATCH = catch_within(4_000)
NOTHING = VersionedRow()


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

    def _apply_rule(self, submit, rule):
        clock, self._clock = self._clock, _StoppedClock(self._clock)
        try:
            return super()._apply_rule(submit, rule)
        finally:
            self._clock = clock


class _StoppedClock:
    def __init__(self, clock):
        self._unix_ms = clock.unix_ms()

    def unix_ms(self):
        return self._unix_ms


EVERY_FAULT = {}
HEALTHY_STORE = {
    "has_store_faults": False,
    "has_crashes": False,
    "has_long_waits": False,
    "has_odd_bodies": False,
}
ONE_CALLER = {**HEALTHY_STORE, "request_max": 1}
LOST_ANSWERS = {**ONE_CALLER, "has_store_faults": True}
TWO_CALLERS = {**HEALTHY_STORE, "request_max": 2}
FROZEN_LONG = {**TWO_CALLERS, "has_long_waits": True}
FAULT_SETS = (EVERY_FAULT, ONE_CALLER, TWO_CALLERS, FROZEN_LONG)
NAIVE_VERSIONS = (
    (ChecksThenSends, EVERY_FAULT),
    (TrustsLostAnswers, LOST_ANSWERS),
    (FencesWithoutWriting, ONE_CALLER),
    (FencesDispatched, ONE_CALLER),
    (ForgetsFencedAttempts, ONE_CALLER),
    (ReusesFailedClaims, EVERY_FAULT),
    (ChecksExpiryOnce, FROZEN_LONG),
)


def machine_of(tried_class, faults):
    return type("Machine", (LedgerMachine,), {"ledger_class": tried_class, **faults})


@pytest.mark.promise(4)
@pytest.mark.promise(5)
@pytest.mark.parametrize("faults", FAULT_SETS)
def test_ledger_holds(faults):
    run_state_machine_as_test(machine_of(TableLedger, faults), settings=SEARCH)


@pytest.mark.promise(5)
@pytest.mark.parametrize(("naive_class", "faults"), NAIVE_VERSIONS)
def test_naive_version_is_caught(naive_class, faults):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine_of(naive_class, faults), settings=CATCH)


@pytest.mark.promise(4)
def test_lost_attempt_is_fenced_again_once_the_row_that_hid_it_is_withdrawn():
    """Two callers use one key; the first agent sleeps, the second gives its claim back.

    The first entry finds the second attempt's claim when it fences its own, and must
    not take the withdrawal of that claim for proof about its own attempt.
    """
    machine = machine_of(TableLedger, {})()
    first, second = _start_two_requests(machine)
    machine.finish_calls(second.agent)
    first.entry.resume(None)
    machine.finish_calls(first.entry)
    second.agent.resume("give_up")
    machine.finish_calls(second.agent)
    while not first.entry.is_done:
        is_polling = first.entry.waits_for.name == "poll"
        first.entry.resume("go" if is_polling else None)
        machine.finish_calls(first.entry)
    machine.finish_calls(first.agent)
    if not first.agent.is_done:
        first.agent.resume("go")
    machine.not_run_is_true()


@attrs.frozen
class _Pair:
    entry: object
    agent: object


def _start_two_requests(machine):
    pairs = []
    for _ in range(2):
        machine.request(key="k1", odd_body=0)
        entry = machine.actors[-1]
        machine.finish_calls(entry)
        pairs.append(_Pair(entry, machine.actors[-1]))
    return pairs
