"""Tests of the planning of orders to a model engine, with a state machine."""

import hypothesis.strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from nutmegdeal.engine_messages import AdapterUse, EngineLimits
from nutmegdeal.order_kinds import OrderKind
from nutmegdeal.placer.planning import (
    UNANSWERED_ORDER_MS,
    AdapterDemand,
    AdapterPlanner,
)
from nutmegdeal.site_configuration import CONCURRENT_LOADS_MAX
from nutmegdeal.tests.platform_builders import build_report

SLOTS = 5
ADAPTERS = [f"a{n}" for n in range(9)]


def build_planner(report=None):
    planner = AdapterPlanner()
    planner.limits = EngineLimits("model", SLOTS)
    planner.apply_report(report or build_report(), 0.0)
    return planner


def add_demand(
    planner, adapter, version=0, session="s", now_ms=0.0, count=1, due_in_ms=600
):
    demand = AdapterDemand(version, now_ms + 10_000.0, now_ms + due_in_ms, count)
    planner.add_demand(session, adapter, demand)


def test_base_model_is_loaded_first():
    planner = build_planner(build_report(models=frozenset()))
    add_demand(planner, "a1")
    order = planner.next_order(0.0)
    assert (order.operation, order.model, order.adapter) == (
        OrderKind.LOAD,
        "model",
        "",
    )
    assert planner.next_order(1.0) is None


def test_adapter_past_its_deadline_is_not_loaded():
    planner = build_planner()
    add_demand(planner, "a1")
    assert planner.next_order(10_000.0) is None


def test_adapter_in_use_is_not_evicted():
    held = frozenset(f"{name}@1" for name in ADAPTERS[:SLOTS])
    planner = build_planner(build_report(resident=held))
    uses = tuple(AdapterUse(name, 1, 1) for name in ADAPTERS[: SLOTS - 1])
    planner.apply_uses("s", uses, 0.0)
    add_demand(planner, ADAPTERS[-1])
    order = planner.next_order(5_000.0)
    assert order.operation is OrderKind.UNLOAD
    assert order.adapter == ADAPTERS[SLOTS - 1]


def test_newer_version_replaces_the_older_one():
    planner = build_planner(build_report(resident=frozenset({"a1@1"})))
    add_demand(planner, "a1", version=2)
    order = planner.next_order(0.0)
    assert (order.operation, order.adapter, order.version) == (OrderKind.LOAD, "a1", 2)


def test_after_a_cold_start_each_load_serves_the_most_requests_in_time():
    planner = build_planner()
    add_demand(planner, "a1", now_ms=0.0, due_in_ms=100)
    add_demand(planner, "a2", now_ms=0.0)
    add_demand(planner, "a3", now_ms=10.0, count=3)
    add_demand(planner, "a4", session="t", now_ms=10.0, count=2)
    add_demand(planner, "a4", session="s", now_ms=10.0, count=2)
    order = []
    held = set()
    while (planned := planner.next_order(20.0)) is not None:
        order.append(planned.adapter)
        held.add(f"{planned.adapter}@1")
        planner.apply_report(build_report(resident=frozenset(held)), 20.0)
    assert order == ["a4", "a3", "a2", "a1"]


class EngineMachine(RuleBasedStateMachine):
    """An engine that may leave orders unanswered and execute them late.

    If the planner took an unanswered order for a failed one, a later execution could
    exceed the engine's adapter slots.
    """

    @initialize()
    def start(self):
        self.now_ms = 0.0
        self.order_count = 0
        self.resident = set()
        self.loading = set()
        self.delayed = []
        self.planner = build_planner()

    def report(self):
        self.planner.apply_report(
            build_report(
                order_count=self.order_count,
                resident=frozenset(self.resident),
                loading=frozenset(self.loading),
            ),
            self.now_ms,
        )

    def execute(self, order, expected_count):
        if expected_count != self.order_count:
            return
        self.order_count += 1
        if order.operation is OrderKind.LOAD:
            self.loading.add(f"{order.adapter}@1")
        else:
            self.resident.discard(f"{order.adapter}@1")

    @rule(adapter=st.sampled_from(ADAPTERS))
    def demand_adapter(self, adapter):
        add_demand(self.planner, adapter, now_ms=self.now_ms)

    @rule(is_answered=st.booleans(), is_delayed=st.booleans())
    def order(self, is_answered, is_delayed):
        self.report()
        order = self.planner.next_order(self.now_ms)
        if order is None:
            return
        expected = self.planner.report.order_count
        if is_delayed:
            self.delayed.append((order, expected, self.now_ms + UNANSWERED_ORDER_MS))
        else:
            self.execute(order, expected)
        if is_delayed or not is_answered:
            self.planner.record_unanswered(order, self.now_ms)

    @precondition(lambda self: self.delayed)
    @rule(data=st.data())
    def execute_delayed(self, data):
        order, expected, until_ms = data.draw(st.sampled_from(self.delayed))
        self.delayed.remove((order, expected, until_ms))
        if self.now_ms < until_ms:
            self.execute(order, expected)

    @rule()
    def finish_loads(self):
        self.resident |= self.loading
        self.loading = set()

    @rule(step_ms=st.sampled_from([10.0, 500.0, 3_000.0]))
    def advance_time(self, step_ms):
        self.now_ms += step_ms

    @invariant()
    def respects_the_engines_limits(self):
        assert len(self.resident) + len(self.loading) <= SLOTS
        assert len(self.loading) <= CONCURRENT_LOADS_MAX


TestEngineMachine = EngineMachine.TestCase
