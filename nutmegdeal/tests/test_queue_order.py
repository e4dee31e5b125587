"""Tests of the queue's order: urgency, age, shared loads, and no starvation."""

import random

import pytest

from nutmegdeal.agent.policy import QueueOrder, WaitingRequest
from nutmegdeal.agent.queue_order import (
    CLASS_OFFSET_MS,
    SHARED_LOAD_GAIN_MS,
    WeightedQueueOrder,
)
from nutmegdeal.messages import URGENCY_RANK, Urgency

FAR_MS = 1e9
RESIDENT = frozenset({"a@1", "b@1"})


def build_waiting(name, adapter="a@1", urgency=Urgency.URGENT, arrived_ms=0.0):
    return WaitingRequest(name, adapter, urgency, arrived_ms, FAR_MS)


def dispatch_order(order, waiting, now_ms=0.0):
    ordered = order.order_dispatch(waiting, RESIDENT, {}, now_ms)
    return [item.attempt_id for item in ordered]


@pytest.fixture
def order():
    return WeightedQueueOrder(stall_weight=0.5)


def test_urgent_work_goes_first_and_classes_are_ordered_by_arrival(order):
    waiting = [
        build_waiting("bulk", urgency=Urgency.BULK),
        build_waiting("normal", urgency=Urgency.NORMAL),
        build_waiting("late", arrived_ms=5.0),
        build_waiting("early", arrived_ms=1.0),
    ]
    assert dispatch_order(order, waiting) == ["early", "late", "normal", "bulk"]


def test_absent_adapters_are_not_dispatched(order):
    assert dispatch_order(order, [build_waiting("w", adapter="z@1")]) == []


class StrictPriorityOrder(QueueOrder):
    """Naive variant: the more urgent class always goes first."""

    def order_dispatch(self, waiting, resident, running, now_ms):
        return sorted(
            waiting, key=lambda w: (URGENCY_RANK[w.urgency], w.arrived_ms, w.attempt_id)
        )

    def order_loads(self, waiting, present, now_ms):
        return []


def bulk_wait_ms(order, limit_ms=200_000):
    """Return how long a bulk request waits while urgent ones keep arriving."""
    waiting = [build_waiting("bulk", urgency=Urgency.BULK)]
    source = random.Random(5)
    for now_ms in range(0, limit_ms, 100):
        for number in range(source.choice((1, 2))):
            waiting.append(build_waiting(f"u{now_ms}-{number}", arrived_ms=now_ms))
        first = order.order_dispatch(waiting, RESIDENT, {}, now_ms)[0]
        if first.attempt_id == "bulk":
            return now_ms
        waiting.remove(first)
    return limit_ms


def test_bulk_work_does_not_starve(order):
    # Urgent requests arrive 1.5 times as fast as they are dispatched, so their queue
    # grows.
    offset_ms = CLASS_OFFSET_MS[Urgency.BULK]
    assert offset_ms <= bulk_wait_ms(order) < 2 * offset_ms


def test_strict_classes_starve_bulk_work():
    assert bulk_wait_ms(StrictPriorityOrder()) == 200_000


def load_order(stall_weight, waiting):
    return WeightedQueueOrder(stall_weight).order_loads(waiting, frozenset(), 0.0)


def test_loads_are_ordered_by_the_requests_that_wait():
    waiting = [
        build_waiting("n", adapter="n@1", urgency=Urgency.NORMAL),
        build_waiting("u", adapter="u@1", arrived_ms=100.0),
    ]
    assert load_order(0.5, waiting) == ["u@1", "n@1"]


def test_present_adapters_are_not_loaded(order):
    waiting = [build_waiting("w", adapter="a@1"), build_waiting("x", adapter="x@1")]
    assert order.order_loads(waiting, RESIDENT, 0.0) == ["x@1"]


def build_shared_load():
    """Return one early request for an adapter and four later ones for another."""
    early = build_waiting("e", adapter="single@1")
    later = [
        build_waiting(f"l{number}", adapter="shared@1", arrived_ms=1_000.0)
        for number in range(4)
    ]
    return [early, *later]


def test_stall_weight_decides_between_a_stall_and_a_fuller_batch():
    waiting = build_shared_load()
    assert load_order(1.0, waiting)[0] == "single@1"
    assert load_order(0.0, waiting)[0] == "shared@1"


def test_bulk_work_does_not_pull_a_load_ahead_of_urgent_work():
    bulk = [
        build_waiting(f"b{number}", adapter="bulk@1", urgency=Urgency.BULK)
        for number in range(16)
    ]
    urgent = build_waiting("u", adapter="urgent@1", arrived_ms=5_000.0)
    assert load_order(0.0, [*bulk, urgent])[0] == "urgent@1"


def test_no_load_is_delayed_indefinitely():
    order = WeightedQueueOrder(0.0)
    single = build_waiting("lonely", adapter="lonely@1")
    bound_ms = SHARED_LOAD_GAIN_MS * 16
    shared = [
        build_waiting(f"c{number}", adapter="crowd@1", arrived_ms=bound_ms)
        for number in range(64)
    ]
    assert order.order_loads([single, *shared], frozenset(), 0.0)[0] == "lonely@1"
