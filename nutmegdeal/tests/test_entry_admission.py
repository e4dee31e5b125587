"""Tests of admission control by urgency class."""

import heapq
import random

import attrs
import pytest

from nutmegdeal.entry.admission import AdmissionLimiter
from nutmegdeal.errors import Reason
from nutmegdeal.messages import Fate, Urgency
from nutmegdeal.settings import EntrySettings
from nutmegdeal.tests.entry_fixtures import EntryFixture, build_completion

IN_FLIGHT_MAX = EntrySettings().in_flight_max
MEAN_DURATION_MS = 1_000.0
CAPACITY_PER_S = IN_FLIGHT_MAX * 1_000 / MEAN_DURATION_MS
OFFERED_PER_S = {
    Urgency.URGENT: 0.8 * CAPACITY_PER_S,
    Urgency.NORMAL: 1.0 * CAPACITY_PER_S,
    Urgency.BULK: 1.2 * CAPACITY_PER_S,
}
RUN_MS = 10_000.0


class SingleLimitLimiter(AdmissionLimiter):
    """Naive limiter for comparison: one limit for all classes."""

    def try_admit(self, urgency):
        return super().try_admit(Urgency.URGENT)


@attrs.define
class Counts:
    """Offered and admitted requests of one class."""

    offered: int = 0
    admitted: int = 0

    @property
    def admitted_fraction(self):
        return self.admitted / self.offered


def draw_arrivals(rng):
    """Return Poisson arrivals of all classes as (ms, urgency), sorted by time."""
    arrivals = []
    for urgency, per_s in OFFERED_PER_S.items():
        now_ms = rng.expovariate(per_s / 1_000)
        while now_ms < RUN_MS:
            arrivals.append((now_ms, urgency))
            now_ms += rng.expovariate(per_s / 1_000)
    return sorted(arrivals, key=lambda arrival: arrival[0])


def simulate_overload(admission_limiter, seed):
    """Offer three times the capacity to a limiter; return the Counts by class."""
    rng = random.Random(seed)
    counts = {urgency: Counts() for urgency in Urgency}
    ends_ms = []
    for now_ms, urgency in draw_arrivals(rng):
        while ends_ms and ends_ms[0] <= now_ms:
            heapq.heappop(ends_ms)
            admission_limiter.release(MEAN_DURATION_MS)
        counts[urgency].offered += 1
        if admission_limiter.try_admit(urgency) is None:
            counts[urgency].admitted += 1
            duration_ms = rng.expovariate(1 / MEAN_DURATION_MS)
            heapq.heappush(ends_ms, now_ms + duration_ms)
    return counts


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_urgent_work_is_admitted_at_three_times_the_capacity(seed):
    counts = simulate_overload(AdmissionLimiter(IN_FLIGHT_MAX), seed)
    admitted = sum(count.admitted for count in counts.values())
    assert counts[Urgency.URGENT].admitted_fraction > 0.95
    assert (
        counts[Urgency.NORMAL].admitted_fraction
        > counts[Urgency.BULK].admitted_fraction
    )
    assert admitted > 0.9 * CAPACITY_PER_S * RUN_MS / 1_000


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_single_limit_refuses_most_urgent_work(seed):
    counts = simulate_overload(SingleLimitLimiter(IN_FLIGHT_MAX), seed)
    assert counts[Urgency.URGENT].admitted_fraction < 0.5


def test_refusal_gives_a_retry_time():
    admission_limiter = AdmissionLimiter(1)
    assert admission_limiter.try_admit(Urgency.URGENT) is None
    assert admission_limiter.try_admit(Urgency.URGENT).reason is Reason.OVERLOADED
    assert admission_limiter.suggest_retry_unix_ms(5_000) > 5_000
    admission_limiter.release(10.0)
    assert admission_limiter.try_admit(Urgency.URGENT) is None


@pytest.mark.promise(4)
def test_refused_request_is_never_sent():
    fixture = EntryFixture(entry=EntrySettings(in_flight_max=1))
    assert fixture.components.admission_limiter.try_admit(Urgency.URGENT) is None
    (finish,) = fixture.run(build_completion())
    assert (finish.fate, finish.failure.reason) == (Fate.NOT_RUN, Reason.OVERLOADED)
    assert finish.retry_at_unix_ms > fixture.board.clock.unix_ms()
    assert fixture.links.submits == []
