"""Tests that non-idempotent requests run at most once and that not_run is true.

The same state machine must find a violation in each of the faulty versions below.
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
from nutmegdeal.tests.state_machine_settings import (
    STATE_MACHINE_SETTINGS,
    faulty_version_settings,
)

FAULTY_VERSION_SETTINGS = faulty_version_settings(4_000)
NO_ROW = VersionedRow()


class ChecksThenSends(TableLedger):
    """Looks for a row, sends, and writes a row only with the outcome."""

    def begin(self, submit, agent_incarnation):
        found = self.lookup(submit)
        if found is not None:
            is_row = isinstance(found, LedgerRow)
            return AlreadyRecorded(found) if is_row else found
        row = BeginRule(submit, agent_incarnation).decide(NO_ROW, False)
        return MayDispatch(row, 0)


class AssumesLostClaimsSucceeded(TableLedger):
    """Assumes that a claim whose answer was lost took effect."""

    def begin(self, submit, agent_incarnation):
        result = super().begin(submit, agent_incarnation)
        if isinstance(result, Failure) and result.maybe_applied:
            row = BeginRule(submit, agent_incarnation).decide(NO_ROW, False)
            return MayDispatch(row, 1)
        return result


class FencesWithoutWriting(TableLedger):
    """Takes the absence of a row as proof that the attempt will not run."""

    def fence(self, submit):
        if self.lookup(submit) is not None:
            return super().fence(submit)
        return Fenced(FenceRule(submit).decide(NO_ROW, False))


class FencesDispatched(TableLedger):
    """Lets an entry fence off an attempt whose claim is recorded."""

    def fence(self, submit):
        return self.withdraw(submit)


class ForgetsFencedAttempts(TableLedger):
    """Stores only the last attempt that was fenced off."""

    def _write(self, key, row, expected_version):
        row = attrs.evolve(row, fenced_attempts=())
        return super()._write(key, row, expected_version)


class TakesOverUnfinishedClaims(TableLedger):
    """Takes over a claim without an outcome as if its agent had crashed."""

    def begin(self, submit, agent_incarnation):
        result = super().begin(submit, agent_incarnation)
        if not isinstance(result, AlreadyRecorded):
            return result
        if result.row.state is LedgerState.DISPATCHED:
            return MayDispatch(result.row, 1)
        return result


class ChecksExpiryOnce(TableLedger):
    """Does not read the clock again after its write."""

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


ALL_FAULTS = {}
HEALTHY_STORE = {
    "has_store_faults": False,
    "has_crashes": False,
    "has_long_waits": False,
    "has_odd_bodies": False,
}
ONE_CALLER = {**HEALTHY_STORE, "request_max": 1}
LOST_ANSWERS = {**ONE_CALLER, "has_store_faults": True}
TWO_CALLERS = {**HEALTHY_STORE, "request_max": 2}
LONG_PAUSES = {**TWO_CALLERS, "has_long_waits": True}
FAULT_SETS = (ALL_FAULTS, ONE_CALLER, TWO_CALLERS, LONG_PAUSES)
FAULTY_VERSIONS = (
    (ChecksThenSends, ALL_FAULTS),
    (AssumesLostClaimsSucceeded, LOST_ANSWERS),
    (FencesWithoutWriting, ONE_CALLER),
    (FencesDispatched, ONE_CALLER),
    (ForgetsFencedAttempts, ONE_CALLER),
    (TakesOverUnfinishedClaims, TWO_CALLERS),
    (ChecksExpiryOnce, LONG_PAUSES),
)


def build_machine(ledger_class, faults):
    return type("Machine", (LedgerMachine,), {"ledger_class": ledger_class, **faults})


@pytest.mark.promise(4)
@pytest.mark.promise(5)
@pytest.mark.parametrize("faults", FAULT_SETS)
def test_ledger_keeps_its_invariants(faults):
    run_state_machine_as_test(
        build_machine(TableLedger, faults), settings=STATE_MACHINE_SETTINGS
    )


@pytest.mark.promise(5)
@pytest.mark.parametrize(("naive_class", "faults"), FAULTY_VERSIONS)
def test_faulty_version_is_detected(naive_class, faults):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            build_machine(naive_class, faults), settings=FAULTY_VERSION_SETTINGS
        )


@pytest.mark.promise(4)
def test_attempt_is_fenced_again_after_another_attempts_claim_is_withdrawn():
    """The withdrawal of one attempt's claim says nothing about another attempt.

    Two requests use one key. The first agent is paused before its claim, and the second
    agent gives its claim back. The first entry finds the second claim when it fences
    its own attempt, and must fence again once that claim is withdrawn.
    """
    machine = build_machine(TableLedger, {})()
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
    machine.not_run_attempts_did_not_run()


@attrs.frozen
class _RequestActors:
    entry: object
    agent: object


def _start_two_requests(machine):
    requests = []
    for _ in range(2):
        machine.request(key="k1", odd_body=0)
        entry = machine.actors[-1]
        machine.finish_calls(entry)
        requests.append(_RequestActors(entry, machine.actors[-1]))
    return requests
