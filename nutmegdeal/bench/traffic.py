"""Seeded traffic of the bench: who asks for which adapter, and what goes wrong."""

import bisect
import enum
import itertools
import random

import attrs

from nutmegdeal.bench.teams import ADAPTER_COUNT, ClassShare, adapter_name
from nutmegdeal.messages import Urgency

TOKENS_MIN = 16
TOKENS_MAX = 96
INTAKE_TOKENS_MIN = 64
INTAKE_TOKENS_MAX = 192
INTAKE_COUNT = 3_000
INTAKE_SPREAD_MS = 10_000.0
INTAKE_WITHIN_MS = 3_600_000.0
COUNTER_RATE_PER_S = 4.0
OVERLOAD_FACTOR = 3.0
MS_PER_S = 1_000.0


class Scenario(enum.Enum):
    """What happens during a run."""

    STEADY = "steady"
    SHIFT = "shift"
    COLD_RESTART = "cold_restart"
    ZONE_LOSS = "zone_loss"
    HALF_RATE = "half_rate"
    OVERNIGHT = "overnight"
    OVERLOAD3X = "overload3x"


DISTURBED = frozenset(
    {Scenario.SHIFT, Scenario.COLD_RESTART, Scenario.ZONE_LOSS, Scenario.HALF_RATE}
)


@attrs.frozen
class Arrival:
    """One request of the traffic.

    Parameters
    ----------
    at_ms : float
    adapter : str
        Name without a version.
    urgency : Urgency
    token_count : int
    deadline_ms : float
    """

    at_ms: float
    adapter: str
    urgency: Urgency
    token_count: int
    deadline_ms: float


@attrs.frozen
class RunOptions:
    """What a run depends on besides the policy.

    Parameters
    ----------
    team : Team
    scenario : Scenario
    seed : int
    skew : float
        Exponent of the Zipf distribution over adapters.
    rate_per_s : float
        Offered rate before any overload factor.
    warm_ms, measured_ms : float
        The run starts empty; measuring starts after `warm_ms`. A disturbance comes
        in the middle of the measured time.
    intake_count : int
        Requests of the overnight queue.
    stops_when_refused : bool
        True if the run ends as soon as a measured request is refused or late.
    """

    team: object
    scenario: Scenario
    seed: int
    skew: float = 1.4
    rate_per_s: float = 10.0
    warm_ms: float = 60_000.0
    measured_ms: float = 120_000.0
    intake_count: int = INTAKE_COUNT
    stops_when_refused: bool = False

    @property
    def disturbed_at_ms(self):
        """When the scenario's disturbance comes (float)."""
        return self.warm_ms + self.measured_ms / 2

    @property
    def end_ms(self):
        """When the last request arrives (float)."""
        return self.warm_ms + self.measured_ms


class ZipfSource:
    """Adapters drawn by a Zipf distribution over a seeded order.

    Parameters
    ----------
    random_source : random.Random
    skew : float
    """

    def __init__(self, random_source, skew):
        self._random = random_source
        weights = [rank**-skew for rank in range(1, ADAPTER_COUNT + 1)]
        self._cumulated = list(itertools.accumulate(weights))
        self._numbers = list(range(ADAPTER_COUNT))
        self.shuffle()

    def shuffle(self):
        """Give every adapter another popularity."""
        self._random.shuffle(self._numbers)

    def draw(self):
        """Return an adapter's name."""
        point = self._random.random() * self._cumulated[-1]
        return adapter_name(self._numbers[bisect.bisect_left(self._cumulated, point)])


def generate_arrivals(options):
    """Return the Arrivals of a run in order of time (list)."""
    random_source = random.Random(f"traffic {options.seed}")
    adapters = ZipfSource(random_source, options.skew)
    if options.scenario is Scenario.OVERNIGHT:
        return _generate_overnight(options, random_source, adapters)
    rate_per_s = options.rate_per_s
    if options.scenario is Scenario.OVERLOAD3X:
        rate_per_s *= OVERLOAD_FACTOR
    is_shift = options.scenario is Scenario.SHIFT
    arrivals, at_ms = [], 0.0
    while True:
        before_ms = at_ms
        at_ms += random_source.expovariate(rate_per_s) * MS_PER_S
        if at_ms > options.end_ms:
            return arrivals
        if is_shift and before_ms < options.disturbed_at_ms <= at_ms:
            adapters.shuffle()
        share = _draw_class(random_source, options.team.classes)
        arrivals.append(_arrive(random_source, adapters, share, at_ms))


def _draw_class(random_source, classes):
    fractions = [share.fraction for share in classes]
    return random_source.choices(classes, fractions)[0]


def _arrive(random_source, adapters, share, at_ms):
    return Arrival(
        at_ms,
        adapters.draw(),
        share.urgency,
        random_source.randint(TOKENS_MIN, TOKENS_MAX),
        at_ms + share.answer_within_ms,
    )


def _generate_overnight(options, random_source, adapters):
    """Return a large intake queue and modest counter traffic."""
    counter = attrs.evolve(
        options, scenario=Scenario.STEADY, rate_per_s=COUNTER_RATE_PER_S
    )
    urgent = ClassShare(Urgency.URGENT, 1.0, options.team.classes[0].answer_within_ms)
    counter = attrs.evolve(counter, team=attrs.evolve(options.team, classes=(urgent,)))
    intake = [
        Arrival(
            options.warm_ms + random_source.uniform(0, INTAKE_SPREAD_MS),
            adapters.draw(),
            Urgency.BULK,
            random_source.randint(INTAKE_TOKENS_MIN, INTAKE_TOKENS_MAX),
            options.warm_ms + INTAKE_WITHIN_MS,
        )
        for _ in range(options.intake_count)
    ]
    both = generate_arrivals(counter) + intake
    return sorted(both, key=lambda arrival: arrival.at_ms)
