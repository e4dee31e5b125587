"""Tests of the planning of orders to a model engine, with a state machine."""

import attrs
import hypothesis.strategies as st
import pytest
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from nutmegdeal.engine_messages import AdapterUse, EngineLimits
from nutmegdeal.order_kinds import OrderKind
from nutmegdeal.placer.orders import UNANSWERED_ORDER_MS
from nutmegdeal.placer.planning import (
    MIN_RESIDENCE_MS,
    AdapterDemand,
    AdapterPlanner,
)
from nutmegdeal.site_configuration import CONCURRENT_LOADS_MAX, split_adapter
from nutmegdeal.tests.platform_builders import build_report

SLOTS = 5
ADAPTERS = [f"a{n}" for n in range(9)]


def build_planner(report=None):
    planner = AdapterPlanner()
    planner.apply_limits("old", EngineLimits("model", SLOTS))
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


def test_leaving_engine_gets_no_orders():
    planner = build_planner(build_report(is_leaving=True))
    add_demand(planner, "a1")
    assert planner.next_order(0.0) is None


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


def test_demand_that_is_withdrawn_and_renewed_keeps_its_place():
    planner = build_planner()
    for number in range(4):
        add_demand(planner, f"a{number}", due_in_ms=2_000 + number)
    planner.remove_demand("s", "a0")
    add_demand(planner, "a0", now_ms=400.0, due_in_ms=1_600)
    assert planner.next_order(400.0).adapter == "a0"


class EngineMachine(RuleBasedStateMachine):
    """An engine and its placer, which both may restart.

    Orders may stay unanswered and be executed late, also by a later incarnation.
    """

    planner_class = AdapterPlanner

    @initialize()
    def start(self):
        self.now_ms = 0.0
        self.has_model = True
        self.order_count = 0
        self.started_unix_ms = 1
        self.engine_id = "i-1"
        self.resident = set()
        self.loading = set()
        self.delayed = []
        self.start_placer()

    def start_placer(self):
        self.planner = self.planner_class()
        self.register_engine()

    def register_engine(self):
        limits = EngineLimits("model", SLOTS, 0.0, self.engine_id, self.started_unix_ms)
        self.planner.apply_limits("s", limits)

    def read_report(self):
        report = build_report(
            started_unix_ms=self.started_unix_ms,
            order_count=self.order_count,
            models=frozenset({"model"}) if self.has_model else frozenset(),
            resident=frozenset(self.resident),
            loading=frozenset(self.loading),
        )
        self.planner.apply_report(report, self.now_ms)

    def execute(self, order, expected_count):
        if order.target_id not in ("", self.engine_id):
            return
        if expected_count != self.order_count:
            return
        if order.adapter and not self.has_model:
            return
        self.order_count += 1
        name = f"{order.adapter}@{order.version or 1}"
        if not order.adapter:
            self.has_model = True
        elif order.operation is OrderKind.LOAD:
            self.loading.add(name)
        else:
            self.resident = {n for n in self.resident if not is_of(n, order.adapter)}

    def send_next_order(self, is_executed=True, is_answered=True):
        """Let the planner send an order; return whether there was one.

        An order that is not executed at once is delayed.
        """
        self.read_report()
        self.planner.remove_ended_demands(self.now_ms)
        order = self.planner.next_order(self.now_ms)
        if order is None:
            return False
        expected = self.planner.report.order_count
        if is_executed:
            self.execute(order, expected)
        else:
            self.delayed.append((order, expected, self.now_ms + UNANSWERED_ORDER_MS))
        if is_answered:
            self.planner.record_answered(order)
        else:
            self.planner.record_unanswered(order, self.now_ms)
        return True

    @rule(adapter=st.sampled_from(ADAPTERS), version=st.sampled_from([0, 0, 2]))
    def demand_adapter(self, adapter, version):
        add_demand(self.planner, adapter, version, now_ms=self.now_ms)

    @rule()
    def answer_orders(self):
        for _ in range(2 * SLOTS):
            self.now_ms += MIN_RESIDENCE_MS
            if not self.send_next_order():
                break
            self.finish_loads()

    @rule()
    def lose_an_answer(self):
        self.send_next_order(is_answered=False)

    @rule()
    def delay_an_order(self):
        self.send_next_order(is_executed=False, is_answered=False)

    @rule()
    def repeat_an_earlier_answer(self):
        self.send_next_order(is_executed=False)

    @precondition(lambda self: self.delayed)
    @rule(data=st.data())
    def execute_delayed(self, data):
        item = data.draw(st.sampled_from(self.delayed))
        self.delayed.remove(item)
        order, expected, until_ms = item
        if self.now_ms < until_ms:
            self.execute(order, expected)

    @rule()
    def finish_loads(self):
        for name in self.loading:
            adapter = split_adapter(name)[0]
            self.resident = {n for n in self.resident if not is_of(n, adapter)}
        self.resident |= self.loading
        self.loading = set()

    @rule(keeps_id=st.booleans())
    def restart_engine(self, keeps_id):
        self.started_unix_ms += 1
        if not keeps_id:
            self.engine_id = f"i-{self.started_unix_ms}"
        self.order_count = 0
        self.has_model = False
        self.resident, self.loading = set(), set()
        self.register_engine()

    @rule()
    def restart_placer(self):
        # A new placer does not know of delayed orders, which is safe only as long as no
        # later incarnation has the same id.
        self.start_placer()
        self.restart_engine(keeps_id=False)

    @rule(step_ms=st.sampled_from([10.0, 500.0, 3_000.0]))
    def advance_time(self, step_ms):
        self.now_ms += step_ms

    @invariant()
    def respects_the_engines_limits(self):
        assert len(self.resident) + len(self.loading) <= SLOTS
        assert len(self.loading) <= CONCURRENT_LOADS_MAX


def is_of(name, adapter):
    """Return whether ``name@version`` is a version of an adapter."""
    return split_adapter(name)[0] == adapter


TestEngineMachine = EngineMachine.TestCase


class PlannerWithoutTargets(AdapterPlanner):
    """Naive variant: does not name the instance that an order is for."""

    def _make_order(self, *args):
        return attrs.evolve(super()._make_order(*args), target_id="")


class PlannerForgettingOrders(AdapterPlanner):
    """Naive variant: takes an order without an answer for one that failed."""

    def record_unanswered(self, order, now_ms):
        pass


class PlannerTrustingAnswers(AdapterPlanner):
    """Naive variant: takes each answer for that to the last order."""

    def record_answered(self, order):
        pass


def execute_after_restart(planner_class, restart, delay=EngineMachine.delay_an_order):
    """Execute a delayed load when a restarted engine is about to be full."""
    machine = type("Machine", (EngineMachine,), {"planner_class": planner_class})()
    machine.start()
    for adapter in ADAPTERS[:SLOTS]:
        machine.demand_adapter(adapter, 0)
    machine.answer_orders()
    machine.demand_adapter(ADAPTERS[SLOTS], 0)
    machine.send_next_order()
    delay(machine)
    machine.planner.remove_demand("s", ADAPTERS[SLOTS])
    restart(machine)
    for adapter in ADAPTERS[:SLOTS]:
        machine.demand_adapter(adapter, 0)
    machine.answer_orders()
    ((order, expected, _),) = machine.delayed
    machine.execute(order, expected)
    machine.respects_the_engines_limits()


@pytest.mark.parametrize(
    "restart, naive_class",
    [
        (lambda machine: machine.restart_engine(True), PlannerForgettingOrders),
        (lambda machine: machine.restart_placer(), PlannerWithoutTargets),
    ],
    ids=["engine_with_same_id", "placer_and_engine"],
)
def test_delayed_load_does_not_overfill_a_restarted_engine(restart, naive_class):
    execute_after_restart(AdapterPlanner, restart)
    with pytest.raises(AssertionError):
        execute_after_restart(naive_class, restart)


def test_delayed_load_that_seemed_answered_does_not_overfill_a_restarted_engine():
    """A second copy of an earlier answer came in place of the missing one."""

    def restart(machine):
        machine.restart_engine(keeps_id=True)

    delay = EngineMachine.repeat_an_earlier_answer
    execute_after_restart(AdapterPlanner, restart, delay)
    with pytest.raises(AssertionError):
        execute_after_restart(PlannerTrustingAnswers, restart, delay)


def test_orders_wait_for_the_id_of_a_restarted_engine():
    planner = build_planner()
    planner.apply_limits("s", EngineLimits("model", SLOTS, 0.0, "i-1", 1))
    add_demand(planner, "a1")
    assert planner.next_order(0.0).target_id == "i-1"
    planner.apply_report(build_report(started_unix_ms=2), 10.0)
    assert planner.next_order(10.0) is None
    planner.apply_limits("t", EngineLimits("model", SLOTS, 0.0, "i-2", 2))
    assert planner.next_order(20.0).target_id == "i-2"


@pytest.mark.parametrize(
    "limits",
    [EngineLimits("model", SLOTS), EngineLimits("model", SLOTS, 0.0, "i-1", 0)],
    ids=["no_id", "no_start_time"],
)
def test_gateways_that_do_not_know_the_instance_get_their_adapters(limits):
    planner = build_planner()
    planner.apply_limits("s", limits)
    add_demand(planner, "a1")
    assert planner.next_order(0.0).target_id == ""
