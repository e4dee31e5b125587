"""Failing loads of one adapter don't delay others; its requests are refused early."""

import random

from attrs import evolve

from nutmegdeal.agent.loads import LoadArrivalEstimate, LoadBackoff
from nutmegdeal.errors import Reason
from nutmegdeal.messages import AnswerEnd, Fate
from nutmegdeal.tests.agent_harness import build_harness, seeded_random
from nutmegdeal.tests.builders import build_configuration, build_submit

FAILING_ADAPTER = "quote-0000"
TICK_MS = 250
TICK_COUNT = 80


class NoBackoff(LoadBackoff):
    """Naive variant: retries a failed load without any delay."""

    def may_try(self, adapter, now_ms):
        return True


def count_completed(backoff):
    """Return how many of ten requests complete while another adapter's loads fail."""
    harness = build_harness(configuration=build_configuration())
    harness.agent.planner.backoff = backoff
    harness.backend.failing.add(f"{FAILING_ADAPTER}@2")
    deadline = harness.clock.unix_ms() + 10 * TICK_COUNT * TICK_MS
    harness.submit(build_submit(adapter=FAILING_ADAPTER, deadline_unix_ms=deadline))
    for number in range(1, 11):
        harness.submit(
            build_submit(
                attempt_id=f"r-{number}.2",
                adapter=f"quote-{number:04}",
                deadline_unix_ms=deadline,
            )
        )
    for _ in range(TICK_COUNT):
        harness.advance(TICK_MS)
    ends = [harness.session.last(f"r-{number}.2") for number in range(1, 11)]
    return sum(isinstance(end, AnswerEnd) for end in ends)


def test_failing_loads_of_one_adapter_do_not_slow_others():
    assert count_completed(LoadBackoff(seeded_random())) == 10


def test_without_backoff_one_failing_adapter_blocks_the_others():
    assert count_completed(NoBackoff(seeded_random())) < 10


def test_load_that_fails_past_the_deadline_is_refused_at_once():
    harness = build_harness()
    harness.backend.failing.add(f"{FAILING_ADAPTER}@2")
    deadline = harness.clock.unix_ms() + 400
    harness.submit(build_submit(adapter=FAILING_ADAPTER, deadline_unix_ms=deadline))
    ended = harness.session.last()
    assert (ended.fate, ended.reason) == (Fate.NOT_RUN, Reason.LOAD_FAILED)
    assert ended.retry_at_unix_ms > harness.clock.unix_ms()


def test_backoff_grows_with_jitter_up_to_its_bound():
    backoff = LoadBackoff(random.Random(3))
    waits = [backoff.record_failure("a@1", 0.0) for _ in range(12)]
    assert 250.0 <= waits[0] <= 500.0
    assert all(wait <= 30_000.0 for wait in waits)
    assert waits[-1] >= 15_000.0
    assert backoff.may_try("b@1", 0.0)
    backoff.record_success("a@1")
    assert backoff.may_try("a@1", 0.0)


def test_requests_for_one_adapter_share_one_load():
    harness = build_harness()
    for number in range(5):
        harness.submit(build_submit(attempt_id=f"r-{number}.1"))
    assert harness.backend.loads == ["quote-0001@2"]


def test_load_that_cannot_finish_in_time_is_refused_with_a_retry_time():
    configuration = build_configuration()
    slow = evolve(configuration.weight_store, loads_per_s=0.1)
    harness = build_harness(configuration=evolve(configuration, weight_store=slow))
    deadline = harness.clock.unix_ms() + 3_000
    for number in range(3):
        harness.submit(
            build_submit(
                attempt_id=f"r-{number}.1",
                adapter=f"quote-{number:04}",
                deadline_unix_ms=deadline,
            )
        )
    refused = harness.session.last("r-2.1")
    assert (refused.fate, refused.reason) == (
        Fate.NOT_RUN,
        Reason.DEADLINE_UNREACHABLE,
    )
    assert refused.retry_at_unix_ms > deadline


def test_arrival_estimate_counts_the_loads_ahead():
    estimate = LoadArrivalEstimate(100.0, ahead_count=3, gap_ms=500.0, load_ms=250.0)
    assert estimate.arrival_ms(0.0) == 100.0 + 3 * 500.0 + 250.0
    assert estimate.arrival_ms(1_000.0) == 1_000.0 + 3 * 500.0 + 250.0
