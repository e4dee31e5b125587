"""No adapter is evicted while a request uses it, even if another agent takes over.

A paused agent may resume after its successor has taken over the engine, and both may
then order evictions. The naive variants show that the tests detect missing protection.
"""

import pytest
from attrs import evolve
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from nutmegdeal.agent.eviction import WeightedEviction
from nutmegdeal.agent.leasing import LeaseController
from nutmegdeal.agent.policy import EvictionPolicy
from nutmegdeal.agent.slots import SlotState, SlotTable
from nutmegdeal.agent.takeover import TakeoverGuard
from nutmegdeal.clock import ManualClock
from nutmegdeal.configuration import Fencing
from nutmegdeal.fakes.memory import MemoryTable
from nutmegdeal.order_kinds import OrderKind
from nutmegdeal.tests.agent_harness import build_harness
from nutmegdeal.tests.builders import build_configuration, build_submit
from nutmegdeal.tests.shared_engine import SharedEngine

ADAPTER_COUNT = 4
TICK_MS = 500
LEASE_LAPSE_MS = 80_000
DEADLINE_UNIX_MS = 1_700_009_000_000
REPORT_LAGS_MS = (0, 1_000, 1_900)
SETTINGS = settings(max_examples=40, stateful_step_count=40)
NAIVE_SETTINGS = settings(
    max_examples=300, stateful_step_count=40, phases=[Phase.generate]
)


def build_fast_loading_configuration(fencing):
    """Return a configuration whose weight store never delays a load."""
    configuration = build_configuration()
    service = configuration.services["assist-llm"]
    store = configuration.weight_store
    services = {"assist-llm": evolve(service, slot_count=2, fencing=fencing)}
    return evolve(
        configuration, services=services, weight_store=evolve(store, loads_per_s=1e6)
    )


class EvictionMachine(RuleBasedStateMachine):
    """Two agents of one engine, each of which may be paused at any time."""

    slots_class = SlotTable
    leases_class = LeaseController
    guard_class = TakeoverGuard
    eviction = WeightedEviction(0.5)

    @initialize(fencing=st.sampled_from(Fencing), lag=st.sampled_from(REPORT_LAGS_MS))
    def start(self, fencing, lag):
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.configuration = build_fast_loading_configuration(fencing)
        self.engine = SharedEngine(self.clock, fencing is Fencing.CHECKED)
        self.engine.report_lag_ms = lag
        self.agents = []
        self.paused = set()
        self.request_count = 0
        self.start_agent()

    def start_agent(self):
        harness = build_harness(
            self.engine,
            self.configuration,
            self.table,
            self.clock,
            incarnation=f"a{len(self.agents)}",
            is_started=False,
        )
        slots = self.slots_class(2)
        harness.agent.board.slots = harness.agent.planner.slots = slots
        harness.agent.board.takeover = self.guard_class()
        harness.agent.planner.eviction = self.eviction
        harness.parts.leases = self.leases_class(
            harness.agent.board, self.engine, self.clock, harness.agent.drain.begin
        )
        self.agents.append(harness)
        self.step_agent(harness)

    def step_agent(self, harness):
        harness.parts.leases.step()
        harness.report()

    def running(self):
        return [harness for harness in self.agents if harness not in self.paused]

    @rule(agent=st.integers(0, 1), adapter=st.integers(0, ADAPTER_COUNT - 1))
    def submit(self, agent, adapter):
        harness = self.agents[min(agent, len(self.agents) - 1)]
        if harness in self.paused:
            return
        self.request_count += 1
        harness.submit(
            build_submit(
                attempt_id=f"r-{self.request_count}.1",
                adapter=f"quote-{adapter:04}",
                deadline_unix_ms=DEADLINE_UNIX_MS,
            )
        )

    @rule(
        agent=st.integers(0, 1),
        adapters=st.lists(st.integers(0, ADAPTER_COUNT - 1), min_size=2, max_size=6),
    )
    def serve(self, agent, adapters):
        """Run requests one after another, so that adapters have to be evicted."""
        for adapter in adapters:
            self.submit(agent, adapter)
            self.clock.advance(TICK_MS)
            self.finish_oldest()

    @rule()
    def finish_oldest(self):
        self.engine.finish_oldest()
        self.tick()

    @rule(tick_count=st.integers(1, 8))
    def pass_time(self, tick_count):
        for _ in range(tick_count):
            self.clock.advance(TICK_MS)
            self.tick()

    def tick(self):
        for harness in self.running():
            self.step_agent(harness)

    @rule()
    def let_lease_lapse(self):
        """Let a paused agent's lease lapse while running agents renew theirs."""
        for _ in range(LEASE_LAPSE_MS // 2_500):
            self.clock.advance(2_500)
            self.tick()

    @rule(agent=st.integers(0, 1))
    def pause(self, agent):
        if agent < len(self.agents):
            self.paused.add(self.agents[agent])

    @precondition(lambda self: self.paused)
    @rule(agent=st.integers(0, 1), submits_first=st.booleans())
    def wake(self, agent, submits_first):
        """Resume an agent, whose scheduler may run before its lease is checked."""
        harness = self.agents[min(agent, len(self.agents) - 1)]
        self.paused.discard(harness)
        if submits_first:
            self.submit(agent, 0)
        self.step_agent(harness)

    @precondition(lambda self: len(self.agents) == 1)
    @rule()
    def start_successor(self):
        self.start_agent()

    @rule()
    def lose_an_answer(self):
        self.engine.lost_answer_count = 1

    @rule()
    def restart_engine(self):
        self.engine.restart()
        self.tick()

    @rule(is_down=st.booleans())
    def switch_store(self, is_down):
        self.table.down = is_down

    @invariant()
    def nothing_was_evicted_in_use(self):
        evicted = self.engine.evicted_in_use
        assert not evicted, f"evicted in use: {evicted}"

    def teardown(self):
        while self.engine._runs:
            self.engine.finish_oldest()
        for harness in self.agents:
            harness.settle()


class DisabledGuard(TakeoverGuard):
    """Naive variant: a successor ignores requests of its predecessor when it evicts."""

    is_active = False


class LeasesWithoutFenceAnnouncement(LeaseController):
    """Naive variant: a successor's first real order announces its fence."""

    def _announce_fence(self):
        return None


class LeasesWithoutPauseCheck(LeaseController):
    """Naive variant: an agent keeps relying on its state from before a pause."""

    def _set_in_charge(self):
        self._board.in_charge_until_ms = float("inf")

    def _detect_pause(self):
        self._last_step_ms = self._clock.monotonic_ms()


class SlotsWithoutPins(SlotTable):
    """Naive variant: evicts any resident adapter, as a cache of plain values may."""

    def begin_evict(self, adapter, now_ms):
        if self.state(adapter) is not SlotState.RESIDENT:
            return None
        return self._begin(OrderKind.UNLOAD, SlotState.EVICTING, adapter, now_ms)


class LeastRecentlyUsed(EvictionPolicy):
    """Naive variant: evicts by last use alone, as caches usually do."""

    def choose_victim(self, slots, now_ms):
        return min(slots, key=lambda slot: slot.last_used_ms).adapter


class UncheckedLeases(LeaseController):
    """Naive variant: takes charge at once and never checks the lease."""

    def step(self):
        self._board.lease = AlwaysHeldLease()
        self._board.reports_trusted_from_ms = float("-inf")
        self._board.in_charge_until_ms = float("inf")


class AlwaysHeldLease:
    """Naive variant: a lease that every agent holds."""

    fence = 1
    has_predecessor = False

    def may_order(self):
        return True


@pytest.mark.promise(2)
def test_nothing_is_evicted_in_use():
    run_state_machine_as_test(EvictionMachine, settings=SETTINGS)


def assert_evicts_in_use(naive):
    machine = type("Naive", (EvictionMachine,), naive)
    with pytest.raises(AssertionError, match="evicted in use"):
        run_state_machine_as_test(machine, settings=NAIVE_SETTINGS)


@pytest.mark.promise(2)
def test_slots_without_pins_evict_in_use():
    assert_evicts_in_use(
        {"slots_class": SlotsWithoutPins, "eviction": LeastRecentlyUsed()}
    )


@pytest.mark.promise(2)
def test_leases_without_checks_evict_in_use():
    assert_evicts_in_use({"leases_class": UncheckedLeases})


def start_machine(fencing, naive):
    machine = type("Machine", (EvictionMachine,), naive)()
    machine.start(fencing, lag=0)
    for adapter in (0, 1):
        machine.submit(0, adapter)
        machine.pass_time(1)
    return machine


def finish_all(machine):
    for _ in range(4):
        machine.finish_oldest()


def take_over_busy_agent(naive):
    """Let a successor need a slot while its predecessor's requests still run."""
    machine = start_machine(Fencing.CHECKED, naive)
    machine.pause(0)
    machine.start_successor()
    machine.pass_time(8)
    machine.submit(1, 2)
    machine.pass_time(2)
    return machine


def order_after_takeover(naive):
    """Let a predecessor that doesn't know of its successor need a slot."""
    machine = start_machine(Fencing.CHECKED, naive)
    finish_all(machine)
    machine.start_successor()
    machine.pass_time(8)
    machine.submit(1, 0)
    machine.submit(1, 1)
    machine.submit(0, 2)
    return machine


def dispatch_after_pause(naive):
    """Resume an agent after its lease has lapsed, and send it requests at once."""
    machine = start_machine(Fencing.IGNORED, naive)
    finish_all(machine)
    machine.pause(0)
    machine.start_successor()
    machine.let_lease_lapse()
    machine.pass_time(8)
    machine.paused.clear()
    machine.submit(0, 0)
    machine.submit(0, 1)
    machine.submit(1, 2)
    machine.pass_time(2)
    return machine


@pytest.mark.promise(2)
@pytest.mark.parametrize(
    ("scenario", "naive"),
    [
        (take_over_busy_agent, {"guard_class": DisabledGuard}),
        (order_after_takeover, {"leases_class": LeasesWithoutFenceAnnouncement}),
        (dispatch_after_pause, {"leases_class": LeasesWithoutPauseCheck}),
    ],
)
def test_scenario_evicts_in_use_only_with_the_naive_variant(scenario, naive):
    machine = scenario({})
    assert len(machine.agents) == 2
    assert machine.engine.evicted_in_use == []
    machine.teardown()
    naive_machine = scenario(naive)
    assert naive_machine.engine.evicted_in_use
    naive_machine.teardown()
