"""Agents together stay within the weight store's limits, without a coordinator."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from nutmegdeal.agent.blackboard import Blackboard
from nutmegdeal.agent.budgets import (
    HOLD_LIFETIME_MS,
    DemandShareBudget,
    EqualShareBudget,
    RateBudget,
    TrancheRow,
    take_grants,
)
from nutmegdeal.agent.tranches import (
    SHARED_KEY,
    SharedBudget,
    TrancheController,
    TrancheRunner,
)
from nutmegdeal.clock import ManualClock
from nutmegdeal.configuration import WeightStorePolicy
from nutmegdeal.fakes.memory import MemoryTable
from nutmegdeal.row_encoding import decode_record

STORE = WeightStorePolicy(loads_per_s=4.0)
NOW_MS = 1_700_000_000_000


def count_in_window(starts, first, window_ms):
    return sum(first <= start < first + window_ms for start in starts)


STEPS = st.lists(
    st.tuples(
        st.integers(0, 5), st.integers(0, 8), st.integers(0, 3), st.integers(0, 900)
    ),
    max_size=60,
)


@given(STEPS)
def test_grants_never_exceed_rate_or_transit(steps):
    row, now_ms, starts = TrancheRow(), NOW_MS, []
    for agent, wanted_count, ended_count, pause_ms in steps:
        now_ms += pause_ms
        grant = take_grants(row, STORE, f"a{agent}", wanted_count, ended_count, now_ms)
        row = grant.row
        starts.extend(grant.starts_unix_ms)
        assert len(row.holds) <= STORE.transit_max
    for first in starts:
        allowed_count = STORE.full_speed_count + STORE.loads_per_s * 2
        assert count_in_window(starts, first, 2_000) <= allowed_count


@given(STEPS)
def test_per_agent_budgets_at_full_rate_exceed_the_limit(steps):
    """Naive variant: each agent's budget has the whole rate."""
    budgets = [RateBudget(STORE.loads_per_s, STORE.transit_max) for _ in range(6)]
    assert sum(budget.try_start(0.0) for budget in budgets) > STORE.full_speed_count


def test_holds_of_a_dead_agent_expire():
    row = TrancheRow()
    now_ms = NOW_MS
    while len(row.holds) < STORE.transit_max:
        row = take_grants(row, STORE, "dead", 1, 0, now_ms).row
        now_ms += 1
    assert not take_grants(row, STORE, "a1", 1, 0, now_ms).starts_unix_ms
    later_ms = now_ms + 2 * HOLD_LIFETIME_MS
    assert take_grants(row, STORE, "a1", 1, 0, later_ms).starts_unix_ms


class SharingAgent:
    """An agent's budget and the controller that obtains its grants."""

    def __init__(self, name, table, clock):
        self.clock = clock
        self.board = Blackboard("", name, "assist-llm", "z")
        self.budget = SharedBudget(clock, STORE, 6)
        controller = TrancheController(self.budget, table, name, clock)
        controller.step(0)
        self.runner = TrancheRunner(controller, self.board)

    def request_loads(self, load_count):
        """Request loads; return how many start now."""
        self.board.wanted_load_count = load_count
        self.runner.step()
        now_ms = self.clock.monotonic_ms()
        start_count = 0
        while start_count < load_count and self.budget.try_start(now_ms):
            start_count += 1
        for _ in range(start_count):
            self.budget.finish(now_ms)
        return start_count


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table():
    return MemoryTable()


def test_two_agents_share_one_rate(clock, table):
    agents = [SharingAgent(f"a{number}", table, clock) for number in range(2)]
    started = 0
    for _ in range(1_000):
        started += sum(agent.request_loads(2) for agent in agents)
        clock.advance(10)
    assert 38 <= started <= 42


def test_one_busy_agent_has_the_whole_rate(clock, table):
    agent = SharingAgent("a0", table, clock)
    started = 0
    for _ in range(1_000):
        started += agent.request_loads(2)
        clock.advance(10)
    assert 38 <= started <= 42


def test_store_outage_falls_back_to_the_equal_share(clock, table):
    agent = SharingAgent("a0", table, clock)
    table.down = True
    started = 0
    for _ in range(3_000):
        started += agent.request_loads(2)
        clock.advance(10)
    assert 18 <= started <= 20
    table.down = False
    clock.advance(1_000)
    agent.request_loads(1)
    assert agent.budget.uses_shared_row


def test_grant_whose_answer_was_lost_is_not_used(clock, table):
    agent = SharingAgent("a0", table, clock)
    table.lose_answers = 1
    assert agent.request_loads(1) == 0
    assert not agent.budget.uses_shared_row
    clock.advance(1_000)
    agent.request_loads(1)
    assert agent.budget.uses_shared_row
    starts_unix_ms = agent.budget.tranches._starts_unix_ms
    assert len(starts_unix_ms) <= 1


def test_expired_grants_are_returned(clock, table):
    agent = SharingAgent("a0", table, clock)
    agent.board.wanted_load_count = 2
    agent.runner.step()
    assert agent.budget.tranches.granted_count == 2
    clock.advance(5_000)
    assert not agent.budget.try_start(clock.monotonic_ms())
    assert agent.budget.tranches.ended_count == 2


def test_equal_shares_sum_to_the_limits():
    budgets = [EqualShareBudget(STORE, 4) for _ in range(4)]
    started = 0
    for now_ms in range(0, 10_000, 5):
        for budget in budgets:
            if budget.try_start(float(now_ms)):
                budget.finish(float(now_ms))
                started += 1
    assert started <= 10 * STORE.loads_per_s + len(budgets)


def test_demand_share_follows_the_queue():
    busy, idle = DemandShareBudget(STORE, 2), DemandShareBudget(STORE, 2)
    for budget, own_count in ((busy, 8), (idle, 0)):
        budget.set_demand(own_count, 8, 2)
        assert budget.try_start(0.0)
    assert busy.next_start_ms(0.0) < idle.next_start_ms(0.0)


def test_unneeded_grants_are_returned(clock, table):
    agent = SharingAgent("a0", table, clock)
    agent.board.wanted_load_count = 2
    agent.runner.step()
    assert agent.budget.tranches.granted_count == 2
    agent.board.wanted_load_count = 1
    for _ in range(3):
        clock.advance(600)
        agent.runner.step()
    assert agent.budget.tranches.granted_count <= 1
    agent.board.wanted_load_count = 0
    for _ in range(3):
        clock.advance(600)
        agent.runner.step()
    assert agent.budget.tranches.granted_count == 0
    row = decode_record(table.rows[SHARED_KEY].value, TrancheRow)
    assert row.holds == ()
