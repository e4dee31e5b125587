"""Finds the largest request rate that a policy sustains."""

import attrs

from nutmegdeal.bench.policy_comparison import run_policy
from nutmegdeal.bench.traffic import Scenario
from nutmegdeal.messages import Urgency

STALL_MAX_MS = 500.0
RATE_MIN_PER_S = 0.125
RATE_MAX_PER_S = 256.0
RATE_RATIO_MAX = 1.05


@attrs.frozen
class SustainedRates:
    """Largest sustained rate of each policy, in requests per second."""

    team: str
    skew: float
    seed: int
    ours_per_s: float
    naive_per_s: float


def is_sustained(result):
    """Return whether all requests were answered in time, with short load stalls.

    Short means that the 95th percentile of the urgent class is at most `STALL_MAX_MS`.
    """
    urgent = result.classes[Urgency.URGENT.value]
    overall = result.all_classes
    if overall.good_count < overall.offered_count:
        return False
    return urgent.load_stall.p95_ms <= STALL_MAX_MS


def find_sustained_rate(name, options):
    """Return the largest rate (float) that a policy sustains, by bisection.

    Parameters
    ----------
    name : PolicyName
    options : RunOptions
    """
    low, high = RATE_MIN_PER_S, RATE_MIN_PER_S
    while high < RATE_MAX_PER_S and _is_rate_sustained(name, options, high):
        low, high = high, high * 2
    if high == RATE_MIN_PER_S:
        return 0.0
    while high / low > RATE_RATIO_MAX:
        middle = (low * high) ** 0.5
        if _is_rate_sustained(name, options, middle):
            low = middle
        else:
            high = middle
    return round(low, 2)


def _is_rate_sustained(name, options, rate_per_s):
    trial_options = attrs.evolve(
        options,
        scenario=Scenario.STEADY,
        rate_per_s=rate_per_s,
        stops_on_failure=True,
    )
    fleet = run_policy(name, trial_options)
    return not fleet.loop.is_stopped and is_sustained(fleet.measure())
