"""How long work takes at a backend server, relative to the usual time.

Servers differ persistently, and other workloads on their hosts disturb them for
moments. Some state in their answers how long work takes now. That figure is averaged.
A wrong figure is detected by the server's answer times, which are weighted in. They are
compared with those of the service at the same load, so that they reflect the server and
not its load. This is in use for a service once one of its servers has stated the
figure.
"""

import math

import attrs

# Figures are clamped to this range: outside of it they are taken for a mistake.
PERCENT_MIN = 25.0
PERCENT_MAX = 400.0
PERCENT_USUAL = 100.0
# Least weight of a new figure, and decay time of the earlier ones. One of many gateways
# gets an answer of an engine every few seconds, and disturbances last for a second or
# less: with a decay of 5 s the estimate follows them, up to 0.7 of its value.
FIGURE_WEIGHT_MIN = 0.03
# Most weight of one figure, however long the earlier ones are ago.
FIGURE_WEIGHT_MAX = 0.25
FIGURE_DECAY_MS = 15_000.0
# Weight of an answer time in a server's average, and in the usual time of the service,
# which is an average over all its servers and should change less.
ANSWER_WEIGHT_MIN = 0.05
USUAL_WEIGHT_MIN = 0.02
# Share of the measured time in the estimate (geometric), and the number of answers
# with which half of that share is reached.
MEASURED_SHARE = 0.6
MEASURED_HALF_COUNT = 20
# An estimate without news is kept for this time, and its difference from the usual time
# then halves in each further one.
KEPT_MS = 30_000.0
# Load is divided into this many classes, by the share of the slots in use.
LOAD_CLASSES = 4
# Usual times that are kept for one service: one for each route, part of the answer and
# load class.
USUAL_TIMES_MAX = 500
# Time of a run that is assumed of a service without observations.
RUN_INITIAL_MS = 100.0
# Homes of adapters follow the speed in steps, as the estimates of gateways differ
# and each difference costs loads: the ratio of two steps, and the ratio between the
# estimate and the step in use above which the step changes.
HOME_STEP = 2.0**0.4
HOME_CHANGE_RATIO = 1.25


@attrs.define
class MovingAverage:
    """Average of all values while there are few, and of recent ones later.

    Parameters
    ----------
    weight_min : float
        Least weight of a new value.
    value : float
    count : int
    """

    weight_min: float
    value: float = 0.0
    count: int = 0

    def add(self, value, weight=0.0):
        """Add a value with at least the given weight."""
        self.count += 1
        used = max(weight, self.weight_min, 1.0 / self.count)
        self.value += used * (value - self.value)


@attrs.define
class ServiceSpeed:
    """What the speeds of the servers of one service are relative to.

    Parameters
    ----------
    is_stated : bool
        A server of the service has stated how long work takes there.
    run_ms : MovingAverage
        Duration of a run.
    usual_ms : dict of tuple to MovingAverage
        Usual time of a part of an answer, by what was measured and load class.
    """

    is_stated: bool = False
    run_ms: MovingAverage = attrs.field(
        factory=lambda: MovingAverage(USUAL_WEIGHT_MIN, RUN_INITIAL_MS)
    )
    usual_ms: dict = attrs.field(factory=dict)


@attrs.define
class ServerSpeed:
    """Estimate of how long work takes at one server, learned with decay.

    Parameters
    ----------
    service : ServiceSpeed
    stated : MovingAverage
        What the server states, in percent of the usual time.
    measured : MovingAverage
        What its answer times show, in percent.
    stated_ms, updated_ms : float
        When the last figure, and the last figure or answer time, was recorded, on the
        monotonic clock.
    home_factor : float
        Factor on the usual time by which homes of adapters are chosen.
    """

    service: ServiceSpeed = attrs.field(factory=ServiceSpeed)
    stated: MovingAverage = attrs.field(
        factory=lambda: MovingAverage(FIGURE_WEIGHT_MIN)
    )
    measured: MovingAverage = attrs.field(
        factory=lambda: MovingAverage(ANSWER_WEIGHT_MIN)
    )
    stated_ms: float = float("-inf")
    updated_ms: float = float("-inf")
    home_factor: float = 1.0
    _factor: float = 1.0

    def record_stated(self, percent, now_ms):
        """Record how long work takes at the server now, in percent."""
        self.service.is_stated = True
        age_ms = now_ms - self.stated_ms
        weight = -math.expm1(-max(age_ms, 0.0) / FIGURE_DECAY_MS)
        self.stated_ms = now_ms
        self.stated.add(_clamp(percent), min(weight, FIGURE_WEIGHT_MAX))
        self._update(now_ms)

    def record_answer(self, measure, taken_ms, load_share, now_ms):
        """Record an answer time.

        Parameters
        ----------
        measure : tuple
            What was measured: times of the same measure are compared.
        taken_ms : float
        load_share : float
            Requests at the server over its slots. Above 1 requests wait, and the time
            says nothing of the speed.
        now_ms : float
        """
        usual_ms = self.service.usual_ms
        if not self.service.is_stated or taken_ms <= 0 or load_share > 1.0:
            return
        key = (*measure, min(int(load_share * LOAD_CLASSES), LOAD_CLASSES - 1))
        usual = usual_ms.get(key)
        if usual is None:
            if len(usual_ms) >= USUAL_TIMES_MAX:
                del usual_ms[next(iter(usual_ms))]
            usual = usual_ms[key] = MovingAverage(USUAL_WEIGHT_MIN)
        stated = self.stated.value if self.stated.count else PERCENT_USUAL
        usual.add(taken_ms * PERCENT_USUAL / stated)
        self.measured.add(_clamp(taken_ms / usual.value * PERCENT_USUAL))
        self._update(now_ms)

    def record_run(self, taken_ms):
        """Record the duration of a run."""
        if self.service.is_stated:
            self.service.run_ms.add(taken_ms)

    @property
    def is_known(self):
        """Return whether the server has ever stated a figure or answered."""
        return self.stated.count > 0 or self.measured.count > 0

    def factor(self, now_ms):
        """Return how long work takes, as a factor on the usual time (float)."""
        age_ms = now_ms - self.updated_ms
        if age_ms <= KEPT_MS:
            return self._factor
        decay = math.exp2(1.0 - age_ms / KEPT_MS)
        return 1.0 + (self._factor - 1.0) * decay

    def _update(self, now_ms):
        self.updated_ms = now_ms
        if now_ms - self.stated_ms > KEPT_MS:
            # The server states nothing any longer.
            self.stated.count = 0
        percent = self.stated.value if self.stated.count else PERCENT_USUAL
        count = self.measured.count
        if count:
            share = MEASURED_SHARE * count / (count + MEASURED_HALF_COUNT)
            percent = percent ** (1.0 - share) * self.measured.value**share
        self._factor = _clamp(percent) / PERCENT_USUAL
        ratio = self._factor / self.home_factor
        if not 1.0 / HOME_CHANGE_RATIO <= ratio <= HOME_CHANGE_RATIO:
            steps = round(math.log(self._factor, HOME_STEP))
            self.home_factor = HOME_STEP**steps


def describe_speed(speed, now_ms):
    """Return how long work takes at a server, in percent of the usual time (float).

    None if no server of its service states it.
    """
    if not speed.service.is_stated:
        return None
    return round(PERCENT_USUAL * speed.factor(now_ms), 1)


def _clamp(percent):
    return min(max(percent, PERCENT_MIN), PERCENT_MAX)
