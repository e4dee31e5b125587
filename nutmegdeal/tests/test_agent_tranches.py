"""Tests of the weight store's limits shared through a row of the table service."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from nutmegdeal.agent.tranches import SharedBudget, TrancheController
from nutmegdeal.clock import ManualClock
from nutmegdeal.configuration import WeightStorePolicy
from nutmegdeal.errors import Failure
from nutmegdeal.fakes.memory import MemoryTable

AGENT_COUNT = 3
WEIGHT_STORE = WeightStorePolicy(loads_per_s=4.0)


class SharingAgent:
    """A budget and its controller, with loads that run until `finish_all`."""

    def __init__(self, table, clock, name):
        self.clock = clock
        self.budget = SharedBudget(clock, WEIGHT_STORE, AGENT_COUNT)
        self.controller = TrancheController(self.budget, table, name, clock)
        self.start_times_ms = []

    def request_loads(self, wanted_count):
        if self.controller.is_due(wanted_count):
            self.controller.step(wanted_count)
        now_ms = self.clock.monotonic_ms()
        for _ in range(wanted_count):
            if self.budget.try_start(now_ms):
                self.start_times_ms.append(now_ms)

    def finish_all(self):
        for _ in self.start_times_ms[-self.budget.tranches.transit_count :]:
            self.budget.finish(self.clock.monotonic_ms())


def build_agents(table, clock):
    return [SharingAgent(table, clock, f"agent-{n}") for n in range(AGENT_COUNT)]


steps = st.tuples(
    st.integers(0, AGENT_COUNT - 1),
    st.integers(0, 4),
    st.integers(0, 400),
    st.sampled_from(["", "", "lose_answers", "drop_writes"]),
)


@given(st.lists(steps, max_size=40))
def test_agents_together_stay_within_the_rate(sequence):
    table, clock = MemoryTable(), ManualClock()
    agents = build_agents(table, clock)
    for agent in agents:
        agent.controller.step(0)
        agent.start_times_ms.clear()
    for index, wanted_count, step_ms, fault in sequence:
        clock.advance(step_ms)
        if fault:
            setattr(table, fault, 1)
        agent = agents[index]
        was_shared = agent.budget.uses_shared_row
        agent.request_loads(wanted_count)
        if not agent.budget.uses_shared_row or not was_shared:
            return
    starts_ms = sorted(at_ms for agent in agents for at_ms in agent.start_times_ms)
    for first, start_ms in enumerate(starts_ms):
        for count, end_ms in enumerate(starts_ms[first:], start=1):
            span_s = (end_ms - start_ms) / 1000
            # Grants may be used some time after they were obtained, so the bound also
            # allows the loads that may be in transit at once.
            allowed = WEIGHT_STORE.transit_max + WEIGHT_STORE.loads_per_s * span_s
            assert count <= allowed + 1


def test_one_agent_may_use_the_whole_rate():
    table, clock = MemoryTable(), ManualClock()
    agent, *_ = build_agents(table, clock)
    for _ in range(1000):
        agent.request_loads(2)
        agent.finish_all()
        clock.advance(10)
    assert 38 <= len(agent.start_times_ms) <= 44


@pytest.mark.parametrize("switch", ["down", "lose_answers", "drop_writes"])
def test_equal_share_while_the_table_gives_no_answer(switch):
    table, clock = MemoryTable(), ManualClock()
    agent, *_ = build_agents(table, clock)
    setattr(table, switch, 1)
    assert isinstance(agent.controller.step(4), Failure)
    assert not agent.budget.uses_shared_row
    for _ in range(100):
        agent.start_times_ms += [0.0] * agent.budget.try_start(clock.monotonic_ms())
        agent.budget.finish(clock.monotonic_ms())
        clock.advance(30)
    share_count = 3 * WEIGHT_STORE.loads_per_s / AGENT_COUNT
    assert share_count <= len(agent.start_times_ms) <= share_count + 1
    setattr(table, switch, 0)
    assert agent.controller.is_due(1)
    assert agent.controller.step(1) is None
    assert agent.budget.uses_shared_row


def test_conflict_retries_with_the_row_that_won():
    table, clock = MemoryTable(), ManualClock()
    first, second, _ = build_agents(table, clock)
    assert first.controller.step(1) is None
    assert second.controller.step(1) is None
    read_count = table.read_count
    assert first.controller.step(2) is None
    assert table.read_count == read_count
    assert first.budget.tranches.granted_count == 2


def test_loads_in_transit_are_bounded_until_they_end():
    table, clock = MemoryTable(), ManualClock()
    agent, other, _ = build_agents(table, clock)
    for _ in range(WEIGHT_STORE.transit_max * 2):
        agent.request_loads(1)
        clock.advance(200)
    assert agent.budget.tranches.transit_count <= WEIGHT_STORE.transit_max + 1


def test_unneeded_grants_are_returned():
    table, clock = MemoryTable(), ManualClock()
    agent, *_ = build_agents(table, clock)
    assert agent.controller.step(2) is None
    assert agent.budget.tranches.granted_count == 2
    assert agent.controller.step(0) is None
    tranches = agent.budget.tranches
    assert (tranches.granted_count, tranches.ended_count) == (0, 0)
