"""Proof that an engine takes no order of an agent whose successor has taken over.

Agents are frozen at any step, replaced and skewed; the table loses answers and applies
writes late. The one hole that remains is named: an agent frozen between its check and
its order for more than `SAFE_PAUSE_MS`.
"""

import math

import attrs
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from nutmegdeal.clock import ManualClock
from nutmegdeal.configuration import Fencing
from nutmegdeal.errors import Failure, Reason
from nutmegdeal.fakes.memory import MemoryTable
from nutmegdeal.leases import MARGIN_RATIO, TableLease
from nutmegdeal.settings import AgentSettings
from nutmegdeal.tests.searches import SEARCH, catch_within
from nutmegdeal.tests.stepping import (
    STORE_CALLS,
    Actor,
    CallFate,
    SkewedClock,
    SteppedTable,
    StoreCalls,
    pause,
)

TERM_MS = 60_000
SKEW_MS = 10_000
MARGIN_MS = TERM_MS * MARGIN_RATIO
SAFE_PAUSE_MS = 2 * MARGIN_MS
OFFSETS_MS = (-SKEW_MS // 2, SKEW_MS // 2)
AGENT_SETTINGS = AgentSettings(lease_term_ms=TERM_MS, clock_skew_ms=SKEW_MS)
KEY = "lease/assist-llm/host-1"
INDEXES = st.integers(0, 7)


@attrs.define
class Engine:
    """An engine that refuses old fences, or does not."""

    is_fence_checked: bool
    fence: int = 0
    acquired_count: int = 0
    in_charge: int = 0
    violation_count: int = 0

    def acquire(self):
        """Note that the lease was acquired; return which acquisition it is, from 1."""
        self.acquired_count += 1
        if not self.is_fence_checked:
            self.in_charge = self.acquired_count
        return self.acquired_count

    def order(self, number, fence):
        """Take an order; count one that comes after a successor's takeover."""
        if self.is_fence_checked and fence < self.fence:
            return
        self.fence = fence
        self.violation_count += number < self.in_charge
        self.in_charge = max(self.in_charge, number)


def run_agent(lease, engine):
    """Hold the lease and give orders, as long as it is held."""
    while True:
        if not lease.fence:
            failure = lease.acquire()
            if failure is None:
                number = engine.acquire()
        else:
            failure = lease.renew()
            if isinstance(failure, Failure) and failure.reason is Reason.LEASE_LOST:
                return
        if lease.may_order():
            fence = lease.fence
            pause("send")
            engine.order(number, fence)
        pause("idle")


class LeaseMachine(RuleBasedStateMachine):
    """Agents that succeed one another beside one engine."""

    lease_class = TableLease
    fencing = Fencing.IGNORED
    agent_max = 4

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.calls = StoreCalls(MemoryTable())
        self.engine = Engine(self.fencing is Fencing.CHECKED)
        self.actors = []
        self.checked_at_ms = {}

    def _live(self, *names):
        return [
            actor
            for actor in self.actors
            if not actor.is_done and actor.waits_for.name in names
        ]

    def _note_check(self, actor):
        if not actor.is_done and actor.waits_for.name == "send":
            self.checked_at_ms[actor] = self.clock.monotonic_ms()

    @precondition(lambda self: len(self.actors) < self.agent_max)
    @rule()
    def start(self):
        """Start an agent; those before it may only be frozen."""
        number = len(self.actors)
        lease = self.lease_class(
            SteppedTable(),
            KEY,
            f"agent-{number}",
            SkewedClock(self.clock, OFFSETS_MS[number % 2]),
            AGENT_SETTINGS,
            self.fencing,
        )
        self.actors.append(Actor("agent", lambda: run_agent(lease, self.engine)))

    @precondition(lambda self: self._live(*STORE_CALLS))
    @rule(index=INDEXES, fate=st.sampled_from([*[CallFate.ANSWERED] * 4, *CallFate]))
    def call(self, index, fate):
        """Carry out an agent's call of the table, or fail it in some way."""
        actors = self._live(*STORE_CALLS)
        actor = actors[index % len(actors)]
        self.calls.carry_out(actor, fate)
        self._note_check(actor)

    @precondition(lambda self: self._live(*STORE_CALLS))
    @rule(index=INDEXES, fate=st.sampled_from([CallFate.ANSWERED, CallFate.REFUSED]))
    def run_on(self, index, fate):
        """Carry out an agent's calls, all in one way, up to its next point."""
        actors = self._live(*STORE_CALLS)
        actor = actors[index % len(actors)]
        while actor.waits_for.name in STORE_CALLS:
            self.calls.carry_out(actor, fate)
            if actor.is_done:
                return
        self._note_check(actor)

    @precondition(lambda self: self._live("idle"))
    @rule(index=INDEXES)
    def wake(self, index):
        """Let an agent look at its lease again."""
        actors = self._live("idle")
        actor = actors[index % len(actors)]
        actor.resume()
        self._note_check(actor)

    @precondition(lambda self: self._live("send"))
    @rule(index=INDEXES)
    def order(self, index):
        """Let an agent give the order it checked, unless it was frozen too long."""
        actors = self._live("send")
        actor = actors[index % len(actors)]
        paused_ms = self.clock.monotonic_ms() - self.checked_at_ms[actor]
        if self.engine.is_fence_checked or paused_ms < SAFE_PAUSE_MS:
            actor.resume()
        assert self.engine.violation_count == 0

    @precondition(lambda self: self.calls.delayed)
    @rule(index=INDEXES)
    def arrive_late(self, index):
        """Apply a write whose sender gave it up."""
        self.calls.arrive(index)

    @rule(step_ms=st.sampled_from([1, MARGIN_MS - 1, SAFE_PAUSE_MS - 2, TERM_MS / 2]))
    def wait(self, step_ms):
        """Let time pass; agents that are not resumed are frozen."""
        self.clock.advance(step_ms)


class TakesOverAtOnce(TableLease):
    """Does not wait for the old holder's deadline."""

    def _check_previous_holder(self, row):
        return None


class TakesOverAtTheDeadline(TableLease):
    """Neither waits for a margin and the skew nor stops a margin early."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._margin_ms = self._skew_ms = 0


class CountsFromTheAnswer(TableLease):
    """Measures its deadline from when the write was acknowledged."""

    def _write(self, fence, version):
        failure = super()._write(fence, version)
        if failure is None:
            self._deadline_ms = self._clock.monotonic_ms() + self._term_ms
            self._row = attrs.evolve(
                self._row, deadline_unix_ms=self._clock.unix_ms() + self._term_ms
            )
        return failure


class BelievesItHoldsIt(TableLease):
    """Gives orders until it is told that the lease is lost."""

    def may_order(self):
        return self._row is not None


class TrustsLostRenewals(TableLease):
    """Counts on a renewal whose answer was lost."""

    def _write(self, fence, version):
        failure = super()._write(fence, version)
        if failure is not None and failure.maybe_applied and self._row is not None:
            self._deadline_ms = math.inf
            self._row = attrs.evolve(self._row, deadline_unix_ms=math.inf)
        return failure


class KeepsItsFence(TableLease):
    """Does not raise the fence when it takes over."""

    def _write(self, fence, version):
        return super()._write(1, version)


CATCH = catch_within(3_000)
NAIVE_VERSIONS = (
    (TakesOverAtOnce, Fencing.IGNORED),
    (TakesOverAtTheDeadline, Fencing.IGNORED),
    (CountsFromTheAnswer, Fencing.IGNORED),
    (BelievesItHoldsIt, Fencing.IGNORED),
    (TrustsLostRenewals, Fencing.IGNORED),
    (KeepsItsFence, Fencing.CHECKED),
)


def machine_of(lease_class, fencing, agent_max=4):
    values = {"lease_class": lease_class, "fencing": fencing, "agent_max": agent_max}
    return type("Machine", (LeaseMachine,), values)


@pytest.mark.promise(2)
@pytest.mark.parametrize("fencing", Fencing)
def test_lease_holds(fencing):
    run_state_machine_as_test(machine_of(TableLease, fencing), settings=SEARCH)


@pytest.mark.promise(2)
@pytest.mark.parametrize(("naive_class", "fencing"), NAIVE_VERSIONS)
def test_naive_version_is_caught(naive_class, fencing):
    with pytest.raises(AssertionError):
        machine = machine_of(naive_class, fencing, agent_max=2)
        run_state_machine_as_test(machine, settings=CATCH)
