"""The largest offered rate that a policy sustains."""

import attrs

from nutmegdeal.bench.runs import play_policy
from nutmegdeal.bench.traffic import Scenario
from nutmegdeal.messages import Urgency

STALL_MAX_MS = 500.0
RATE_MIN_PER_S = 0.125
RATE_MAX_PER_S = 256.0
PRECISION = 1.05


@attrs.frozen
class Sustained:
    """The largest rates found, in requests a second."""

    team: str
    skew: float
    seed: int
    ours_per_s: float
    naive_per_s: float


def is_sustained(result):
    """Return whether a PolicyResult keeps urgent stalls short and refuses nothing."""
    urgent = result.classes[Urgency.URGENT.value]
    everything = result.all_classes
    if everything.good_count < everything.offered_count:
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
    while high < RATE_MAX_PER_S and _holds(name, options, high):
        low, high = high, high * 2
    if high == RATE_MIN_PER_S:
        return 0.0
    while high / low > PRECISION:
        middle = (low * high) ** 0.5
        if _holds(name, options, middle):
            low = middle
        else:
            high = middle
    return round(low, 2)


def _holds(name, options, rate_per_s):
    tried = attrs.evolve(
        options,
        scenario=Scenario.STEADY,
        rate_per_s=rate_per_s,
        stops_when_refused=True,
    )
    fleet = play_policy(name, tried)
    return not fleet.loop.is_stopped and is_sustained(fleet.measure())
