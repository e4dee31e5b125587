"""Regression tests for weaknesses of the policies that the benchmark found."""

from nutmegdeal.agent.eviction import WeightedEviction
from nutmegdeal.agent.policy import SlotView, WaitingRequest
from nutmegdeal.agent.queue_order import CLASS_OFFSET_MS, WeightedQueueOrder
from nutmegdeal.bench.policies import PolicyName
from nutmegdeal.bench.policy_comparison import run_policy
from nutmegdeal.bench.teams import TEAMS
from nutmegdeal.bench.traffic import RunOptions, Scenario
from nutmegdeal.messages import Urgency

HOUR_MS = 3_600_000.0


def build_waiting(attempt_id, urgency, arrived_ms, allowed_ms):
    return WaitingRequest(
        attempt_id, "a@1", urgency, arrived_ms, arrived_ms + allowed_ms
    )


def order_ids(waiting, now_ms):
    order = WeightedQueueOrder(0.5).order_dispatch(
        waiting, frozenset({"a@1"}), {}, now_ms
    )
    return [item.attempt_id for item in order]


def test_bulk_request_that_waited_a_minute_is_not_dispatched_before_urgent():
    bulk = build_waiting("bulk", Urgency.BULK, 0.0, HOUR_MS)
    urgent = build_waiting("urgent", Urgency.URGENT, 60_000.0, 10_000.0)
    assert order_ids([bulk, urgent], 60_000.0) == ["urgent", "bulk"]


def test_bulk_request_that_waited_long_is_dispatched_before_new_urgent():
    now_ms = CLASS_OFFSET_MS[Urgency.BULK] + 1.0
    bulk = build_waiting("bulk", Urgency.BULK, 0.0, HOUR_MS)
    urgent = build_waiting("urgent", Urgency.URGENT, now_ms, 10_000.0)
    assert order_ids([urgent, bulk], now_ms) == ["bulk", "urgent"]


def test_usage_rate_outweighs_recency_at_low_stall_weight():
    popular = SlotView("popular@1", 0, 0, 0.0, 0.5, 0.0)
    recent = SlotView("recent@1", 0, 0, 9_500.0, 0.01, 9_500.0)
    assert (
        WeightedEviction(0.3).choose_victim([popular, recent], 10_000.0) == "recent@1"
    )


def test_overload_is_refused_immediately_rather_than_at_the_deadline():
    options = RunOptions(
        team=TEAMS["knusepool"],
        scenario=Scenario.OVERLOAD3X,
        seed=7,
        rate_per_s=16.0,
        warm_ms=20_000.0,
        measured_ms=30_000.0,
    )
    result = run_policy(PolicyName.OURS, options).measure().all_classes
    assert result.refused_count > 0
    assert result.late_refused_count <= result.refused_count * 0.5
