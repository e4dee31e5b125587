"""Generates seeded request traffic for the simulated scenarios."""

import bisect
import enum
import itertools
import random

import attrs

from nutmegdeal.bench.teams import ADAPTER_COUNT, ClassShare, adapter_name
from nutmegdeal.messages import Urgency

TOKENS_MIN = 16
TOKENS_MAX = 96
BULK_TOKENS_MIN = 64
BULK_TOKENS_MAX = 192
BULK_COUNT = 3_000
BULK_ARRIVAL_SPAN_MS = 10_000.0
BULK_DEADLINE_MS = 3_600_000.0
INTERACTIVE_RATE_PER_S = 4.0
OVERLOAD_FACTOR = 3.0
MS_PER_S = 1_000.0


class Scenario(enum.Enum):
    """Traffic pattern or disturbance of a run."""

    STEADY = "steady"
    SHIFT = "shift"
    COLD_RESTART = "cold_restart"
    ZONE_LOSS = "zone_loss"
    HALF_RATE = "half_rate"
    OVERNIGHT = "overnight"
    OVERLOAD3X = "overload3x"


DISTURBANCE_SCENARIOS = frozenset(
    {Scenario.SHIFT, Scenario.COLD_RESTART, Scenario.ZONE_LOSS, Scenario.HALF_RATE}
)


@attrs.frozen
class Arrival:
    """One request of the traffic.

    Parameters
    ----------
    at_ms : float
    adapter : str
        Adapter name without version.
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
    """Parameters of a run other than the policy.

    Parameters
    ----------
    team : Team
    scenario : Scenario
    seed : int
    skew : float
        Exponent of the Zipf distribution over adapters.
    rate_per_s : float
        Offered request rate, before `OVERLOAD_FACTOR` is applied.
    warm_ms, measured_ms : float
        The run starts with no adapter loaded; measuring starts after `warm_ms` and
        lasts for `measured_ms`. A disturbance occurs in the middle of that time.
    intake_count : int
        Number of bulk requests in the scenario OVERNIGHT.
    stops_on_failure : bool
        True if the run ends as soon as a measured request is refused or late, or too
        many requests are open.
    """

    team: object
    scenario: Scenario
    seed: int
    skew: float = 1.4
    rate_per_s: float = 10.0
    warm_ms: float = 60_000.0
    measured_ms: float = 120_000.0
    intake_count: int = BULK_COUNT
    stops_on_failure: bool = False

    @property
    def disturbance_at_ms(self):
        """Time of the disturbance (float)."""
        return self.warm_ms + self.measured_ms / 2

    @property
    def end_ms(self):
        """End of the measured time and of arrivals (float)."""
        return self.warm_ms + self.measured_ms


class ZipfSource:
    """Draws adapters from a Zipf distribution over a random popularity order.

    Parameters
    ----------
    random_source : random.Random
    skew : float
    """

    def __init__(self, random_source, skew):
        self._random = random_source
        weights = [rank**-skew for rank in range(1, ADAPTER_COUNT + 1)]
        self._cumulative_weights = list(itertools.accumulate(weights))
        self._adapter_numbers = list(range(ADAPTER_COUNT))
        self.shuffle()

    def shuffle(self):
        """Choose a new random popularity order."""
        self._random.shuffle(self._adapter_numbers)

    def draw(self):
        """Return the name of a randomly drawn adapter."""
        point = self._random.random() * self._cumulative_weights[-1]
        return adapter_name(
            self._adapter_numbers[bisect.bisect_left(self._cumulative_weights, point)]
        )


def generate_arrivals(options):
    """Return the Arrivals of a run (list), in order of time."""
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
        if is_shift and before_ms < options.disturbance_at_ms <= at_ms:
            adapters.shuffle()
        share = _draw_class(random_source, options.team.classes)
        arrivals.append(_draw_arrival(random_source, adapters, share, at_ms))


def _draw_class(random_source, classes):
    fractions = [share.fraction for share in classes]
    return random_source.choices(classes, fractions)[0]


def _draw_arrival(random_source, adapters, share, at_ms):
    return Arrival(
        at_ms,
        adapters.draw(),
        share.urgency,
        random_source.randint(TOKENS_MIN, TOKENS_MAX),
        at_ms + share.answer_within_ms,
    )


def _generate_overnight(options, random_source, adapters):
    """Return a large number of bulk requests and a low rate of urgent ones."""
    interactive_options = attrs.evolve(
        options, scenario=Scenario.STEADY, rate_per_s=INTERACTIVE_RATE_PER_S
    )
    urgent = ClassShare(Urgency.URGENT, 1.0, options.team.classes[0].answer_within_ms)
    interactive_options = attrs.evolve(
        interactive_options, team=attrs.evolve(options.team, classes=(urgent,))
    )
    bulk_arrivals = [
        Arrival(
            options.warm_ms + random_source.uniform(0, BULK_ARRIVAL_SPAN_MS),
            adapters.draw(),
            Urgency.BULK,
            random_source.randint(BULK_TOKENS_MIN, BULK_TOKENS_MAX),
            options.warm_ms + BULK_DEADLINE_MS,
        )
        for _ in range(options.intake_count)
    ]
    arrivals = generate_arrivals(interactive_options) + bulk_arrivals
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)
