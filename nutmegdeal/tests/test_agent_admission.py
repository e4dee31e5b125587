"""The agent refuses requests at once, before sending them, with a retry time."""

import pytest
from attrs import evolve

from nutmegdeal.agent.admission import AdmissionView, admit
from nutmegdeal.agent.replication_degree import DEGREE_MAX, advise_replication_degree
from nutmegdeal.errors import Reason
from nutmegdeal.messages import Urgency
from nutmegdeal.tests.builders import build_booking, build_configuration, build_submit

NOW_MS = 1_700_000_000_000
VIEW = AdmissionView(peer="agent-1", configuration=build_configuration())


def reason_of(view, submit=None):
    refusal = admit(submit or build_submit(), view, NOW_MS)
    return refusal.failure.reason if refusal else None


def test_ordinary_request_is_admitted():
    assert reason_of(VIEW) is None


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"is_leaving": True}, Reason.LEAVING),
        ({"has_policy": False}, Reason.NOT_CONFIGURED),
        ({"has_report": False}, Reason.NO_REPLICA),
        ({"may_dispatch": False}, Reason.LEASE_LOST),
        ({"needs_order": True, "may_order": False}, Reason.LEASE_LOST),
        ({"queued_count": 512}, Reason.QUEUE_FULL),
        ({"queue_wait_ms": 40_000.0}, Reason.DEADLINE_UNREACHABLE),
        ({"load_wait_ms": 40_000.0}, Reason.DEADLINE_UNREACHABLE),
        ({"run_ms": 40_000.0}, Reason.DEADLINE_UNREACHABLE),
        ({"queue_wait_ms": 20_000.0, "run_ms": 11_000.0}, Reason.DEADLINE_UNREACHABLE),
    ],
)
def test_refusal_has_the_expected_reason(changes, reason):
    assert reason_of(evolve(VIEW, **changes)) is reason


def test_resident_adapters_are_served_while_orders_are_forbidden():
    assert reason_of(evolve(VIEW, may_order=False)) is None


def test_past_deadline_is_refused():
    late = build_submit(deadline_unix_ms=NOW_MS - 1)
    assert reason_of(VIEW, late) is Reason.DEADLINE_PASSED


@pytest.mark.parametrize(
    ("urgency", "allowed_count"),
    [(Urgency.URGENT, 99), (Urgency.NORMAL, 74), (Urgency.BULK, 49)],
)
def test_each_urgency_class_may_fill_its_fraction_of_the_queue(urgency, allowed_count):
    submit = build_submit(urgency=urgency)
    view = evolve(VIEW, queue_max=100, queued_count=allowed_count)
    assert reason_of(view, submit) is None
    full = evolve(view, queued_count=allowed_count + 1)
    assert reason_of(full, submit) is Reason.QUEUE_FULL


def test_retry_time_follows_the_expected_wait():
    view = evolve(VIEW, load_wait_ms=40_000.0)
    assert admit(build_submit(), view, NOW_MS).retry_after_ms == 40_000.0


def test_operation_that_became_non_idempotent_is_not_run_as_idempotent():
    stale = build_booking(idempotent=True)
    assert reason_of(VIEW, stale) is Reason.STALE_GENERATION
    assert reason_of(VIEW, build_booking()) is None


def test_submit_resolved_under_a_newer_generation_is_accepted():
    assert reason_of(VIEW, build_submit(version="9", generation=2)) is None
    assert reason_of(VIEW, build_submit(version="9")) is Reason.STALE_GENERATION


def test_replication_is_advised_only_if_queueing_exceeds_a_load():
    assert advise_replication_degree(200.0, 250.0, own_count=8, total_count=8) == 0
    assert advise_replication_degree(900.0, 250.0, own_count=1, total_count=8) == 0
    advised = advise_replication_degree(900.0, 250.0, own_count=8, total_count=8)
    assert 2 <= advised <= DEGREE_MAX
    assert (
        advise_replication_degree(1e9, 250.0, own_count=8, total_count=8) == DEGREE_MAX
    )
