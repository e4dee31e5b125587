"""Tests of the slot table against a model of an engine that loses answers and restarts.

A lost answer leaves open whether an order took effect, and reports lag. The naive
variants show that the tests detect evictions of adapters in use.
"""

import enum

import attrs
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from nutmegdeal.agent.slots import OCCUPYING_STATES, SlotState, SlotTable
from nutmegdeal.backends.base import EngineReport
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.order_kinds import OrderKind

SLOT_COUNT = 2
ADAPTERS = ("a@1", "a@2", "b@1")
LAG_MAX_MS = 200
LATE_MAX_MS = 150
LOST = Failure(Reason.CONNECTION_LOST, Step.LOAD, "engine", maybe_applied=True)
REFUSED = Failure(Reason.LOAD_FAILED, Step.LOAD, "engine")

NAIVE_SETTINGS = settings(
    max_examples=300, stateful_step_count=50, phases=[Phase.generate]
)


class OrderEffect(enum.Enum):
    """What an order did at the engine and whether its answer arrived."""

    DONE = "done"
    REFUSED = "refused"
    LOST_AFTER = "answer lost after it took effect"
    LOST_BEFORE = "lost before it took effect"
    LATE = "answer lost, and it takes effect later"


ORDER_EFFECTS = (*OrderEffect, OrderEffect.DONE, OrderEffect.DONE)


class SlotTableMachine(RuleBasedStateMachine):
    """One agent, whose orders take time and whose reports lag by up to `LAG_MAX_MS`.

    An order whose answer was lost may take effect up to `LATE_MAX_MS` later.
    """

    slots_class = SlotTable

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.table = self.slots_class(SLOT_COUNT)
        self.late_orders = []
        self.resident = set()
        self.incarnation = 0
        self.open_orders = []
        self.pins = []
        self.history = [(0.0, self.report())]

    def report(self):
        return EngineReport(f"e{self.incarnation}", tuple(sorted(self.resident)))

    def record_report(self):
        self.history.append((self.now_ms, self.report()))

    @rule(step_ms=st.integers(1, LATE_MAX_MS))
    def pass_time(self, step_ms):
        self.now_ms += step_ms
        due = [late for late in self.late_orders if late[0] <= self.now_ms]
        for late in due:
            self.late_orders.remove(late)
            _, order, incarnation = late
            if incarnation == self.incarnation:
                self.apply(order)

    def send_order(self, adapter, kind):
        """Send an order if the table allows it, without ending it yet."""
        begin = self.table.begin_load
        if kind is OrderKind.UNLOAD:
            begin = self.table.begin_evict
        occupied_count = len(self.table.adapters_in(*OCCUPYING_STATES))
        order = begin(adapter, self.now_ms)
        if order and kind is OrderKind.LOAD:
            assert occupied_count < SLOT_COUNT, "loaded without a free slot"
        order = order or self.table.repeat_unload(adapter, self.now_ms)
        if order:
            self.open_orders.append((order, self.incarnation))
        return order

    @rule(
        adapter=st.sampled_from(ADAPTERS),
        kind=st.sampled_from(OrderKind),
        end=st.sampled_from([None, *ORDER_EFFECTS]),
    )
    def give_order(self, adapter, kind, end):
        if self.send_order(adapter, kind) and end is not None:
            self.end_order(end, -1)

    @rule(end=st.sampled_from(ORDER_EFFECTS), number=st.integers(0, 5))
    def end_some_order(self, end, number):
        if self.open_orders:
            self.end_order(end, number % len(self.open_orders))

    def end_order(self, end, number):
        order, incarnation = self.open_orders.pop(number)
        if incarnation != self.incarnation:
            end = OrderEffect.LOST_BEFORE
        is_load = order.kind is OrderKind.LOAD
        if is_load and end is OrderEffect.DONE and len(self.resident) >= SLOT_COUNT:
            end = OrderEffect.REFUSED
        if end in (OrderEffect.DONE, OrderEffect.LOST_AFTER):
            self.apply(order)
        if end is OrderEffect.LATE:
            due_ms = self.now_ms + LATE_MAX_MS
            self.late_orders.append((due_ms, order, incarnation))
        outcome = {OrderEffect.DONE: None, OrderEffect.REFUSED: REFUSED}.get(end, LOST)
        self.table.finish(order, outcome, self.now_ms)

    @rule(adapter=st.sampled_from(ADAPTERS))
    def load_and_pin(self, adapter):
        if self.send_order(adapter, OrderKind.LOAD):
            self.end_order(OrderEffect.DONE, -1)
        self.pin(adapter)

    def apply(self, order):
        if order.kind is OrderKind.LOAD:
            if len(self.resident) < SLOT_COUNT:
                self.resident.add(order.adapter)
        else:
            assert not self.in_use(order.adapter), "evicted in use"
            self.resident.discard(order.adapter)
        self.record_report()

    def in_use(self, adapter):
        return any(
            pin.adapter == adapter and incarnation == self.incarnation
            for pin, incarnation in self.pins
        )

    @rule(adapter=st.sampled_from(ADAPTERS))
    def pin(self, adapter):
        pin = self.table.try_pin(adapter)
        if pin is None:
            return
        if adapter in self.resident:
            self.pins.append((pin, self.incarnation))
            return
        # The engine restarted, and no report has shown it yet.
        self.table.mark_missing(adapter, self.now_ms)
        self.table.unpin(pin)

    @rule(number=st.integers(0, 5))
    def unpin(self, number):
        if self.pins:
            pin, _ = self.pins.pop(number % len(self.pins))
            self.table.unpin(pin)

    @rule()
    def restart(self):
        self.incarnation += 1
        self.resident.clear()
        self.record_report()

    @rule(lag_ms=st.integers(0, LAG_MAX_MS))
    def read_report(self, lag_ms):
        taken_ms = self.now_ms - lag_ms
        older = [report for at_ms, report in self.history if at_ms <= taken_ms]
        report = older[-1] if older else self.history[0][1]
        self.table.process_report(report, self.now_ms - LAG_MAX_MS, self.now_ms)

    @invariant()
    def pinned_adapters_are_not_being_evicted(self):
        for adapter in self.table.adapters_in(SlotState.EVICTING):
            assert not self.table.pin_count(adapter)


class SlotsWithoutPins(SlotTable):
    """Naive variant: evicts without regard to pins."""

    def pin_count(self, adapter):
        return 0

    def unpin(self, pin):
        self._pins.pop(pin.number, None)


class SlotsTrustingReports(SlotTable):
    """Naive variant: treats an unload as failed if a report still shows the adapter."""

    def process_report(self, report, taken_after_ms, now_ms):
        return super().process_report(report, now_ms, now_ms)

    def _reconcile(self, slot, report, now_ms):
        if slot.state is SlotState.UNKNOWN and slot.adapter in report.resident:
            self._set_state(slot, SlotState.RESIDENT, now_ms)
            return
        super()._reconcile(slot, report, now_ms)


@pytest.mark.promise(2)
def test_slots_without_pins_evict_in_use():
    machine = type("Naive", (SlotTableMachine,), {"slots_class": SlotsWithoutPins})
    with pytest.raises(AssertionError, match="evicted in use"):
        run_state_machine_as_test(machine, settings=NAIVE_SETTINGS)


def unload_late(slots_class):
    """Try to pin an adapter between an unload order and its late effect."""
    machine = type("Machine", (SlotTableMachine,), {"slots_class": slots_class})()
    machine.read_report(0)
    machine.load_and_pin("a@1")
    machine.unpin(0)
    machine.give_order("a@1", OrderKind.UNLOAD, OrderEffect.LATE)
    machine.pass_time(1)
    machine.read_report(0)
    machine.pin("a@1")
    machine.pass_time(LATE_MAX_MS)
    return machine


@pytest.mark.promise(2)
def test_adapter_is_not_pinned_before_a_late_unload_takes_effect():
    assert unload_late(SlotTable).resident == set()
    with pytest.raises(AssertionError, match="evicted in use"):
        unload_late(SlotsTrustingReports)


SlotTableMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=50)
TestSlotTableMachine = pytest.mark.promise(2)(SlotTableMachine.TestCase)


@pytest.fixture
def table():
    table = SlotTable(2)
    table.process_report(EngineReport("e1", ()), 0.0, 0.0)
    return table


def load(table, adapter, now_ms=0.0):
    table.finish(table.begin_load(adapter, now_ms), None, now_ms)


def test_evicting_adapter_cannot_be_pinned(table):
    load(table, "a@1")
    order = table.begin_evict("a@1", 1.0)
    assert order.kind is OrderKind.UNLOAD
    assert table.try_pin("a@1") is None


def test_pinned_adapter_is_evicted_only_after_its_last_pin(table):
    load(table, "a@1")
    first, second = table.try_pin("a@1"), table.try_pin("a@1")
    table.unpin(first)
    table.unpin(first)
    assert table.begin_evict("a@1", 1.0) is None
    table.unpin(second)
    assert table.begin_evict("a@1", 1.0) is not None


def test_versions_occupy_separate_slots(table):
    load(table, "a@1")
    assert table.try_pin("a@2") is None


def test_unanswered_order_is_unknown_and_keeps_its_slot(table):
    order = table.begin_load("a@1", 0.0)
    table.finish(order, LOST, 1.0)
    assert table.state("a@1") is SlotState.UNKNOWN
    assert table.free_count == 1
    assert table.try_pin("a@1") is None


def test_report_resolves_unknown_loads(table):
    for adapter in ("a@1", "b@1"):
        table.finish(table.begin_load(adapter, 0.0), LOST, 1.0)
    table.process_report(EngineReport("e1", ("a@1",)), 2.0, 3.0)
    assert table.state("a@1") is SlotState.RESIDENT
    assert table.state("b@1") is SlotState.ABSENT


def test_unanswered_unload_is_repeated(table):
    load(table, "a@1")
    table.finish(table.begin_evict("a@1", 1.0), LOST, 1.0)
    assert table.repeat_unload("a@1", 1.5) is None
    table.process_report(EngineReport("e1", ("a@1",)), 2.0, 3.0)
    assert table.try_pin("a@1") is None
    again = table.repeat_unload("a@1", 3.0)
    table.finish(again, None, 4.0)
    assert table.state("a@1") is SlotState.ABSENT


def test_new_incarnation_clears_everything_except_pins(table):
    load(table, "a@1")
    pin = table.try_pin("a@1")
    order = table.begin_load("b@1", 0.0)
    assert table.process_report(EngineReport("e2", ()), 1.0, 2.0)
    assert table.adapters_in(*SlotState) == frozenset()
    assert table.pin_count("a@1") == 1
    table.finish(order, REFUSED, 3.0)
    assert table.state("b@1") is SlotState.ABSENT
    load(table, "a@1", 4.0)
    assert table.begin_evict("a@1", 5.0) is None
    table.unpin(pin)
    assert table.begin_evict("a@1", 5.0) is not None


def test_report_of_an_old_incarnation_changes_nothing(table):
    table.process_report(EngineReport("e2", ("b@1",)), 1.0, 2.0)
    assert not table.process_report(EngineReport("e1", ("a@1",)), 3.0, 4.0)
    assert table.state("b@1") is SlotState.RESIDENT
    assert table.state("a@1") is SlotState.ABSENT


def test_load_answered_after_a_noticed_restart_keeps_its_slot(table):
    order = table.begin_load("a@1", 0.0)
    table.process_report(EngineReport("e2", ()), 1.0, 2.0)
    table.finish(order, None, 3.0)
    assert table.state("a@1") is SlotState.UNKNOWN
    assert attrs.asdict(order)["adapter"] == "a@1"


def test_report_taken_at_the_time_of_a_change_is_ignored(table):
    load(table, "a@1", 5.0)
    table.process_report(EngineReport("e1", ()), 5.0, 6.0)
    assert table.state("a@1") is SlotState.RESIDENT
    table.finish(table.begin_evict("a@1", 7.0), None, 7.0)
    table.process_report(EngineReport("e1", ("a@1",)), 7.0, 8.0)
    assert table.state("a@1") is SlotState.ABSENT
    table.process_report(EngineReport("e1", ("a@1",)), 7.0, 9.0)
    assert table.state("a@1") is SlotState.ABSENT
