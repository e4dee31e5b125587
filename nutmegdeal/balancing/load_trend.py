"""What a server's load has probably become since its last report.

Reports are 100 to 500 ms old, and many gateways choose by them at the same moment. If
requests are short, those of the report have ended meanwhile, and the load has returned
to its average. If they are long, the report still holds, and what other gateways have
added since is estimated from the rise between two reports.
"""

import math

import attrs

NEVER_MS = float("-inf")
# Decay time of the average load, several times the age of a report.
AVERAGE_DECAY_MS = 1_000.0
# Reports between which a rise is measured are so far apart: with less, single requests
# look like a trend; with more, the rise is over.
RISE_SPAN_MIN_MS = 300.0
RISE_SPAN_MAX_MS = 1_500.0
# Weight of one report in the average error of the estimates.
ERROR_WEIGHT = 0.05
# Durations of a run in which a difference from the average load falls to 1/e.
RELAXATION_RUNS = 2.0


@attrs.define
class LoadTrend:
    """Average and rise of the loads that one server reports.

    Parameters
    ----------
    average : float
        Decayed average of the reported loads, in requests.
    load : int
        In the last report.
    reported_ms : float
        Arrival of the last report, on the monotonic clock.
    error : float
        Decayed average of the difference between the estimate and the next report,
        without its sign, in requests.
    """

    average: float = 0.0
    load: int = 0
    reported_ms: float = NEVER_MS
    error: float = 0.0
    _anchor: tuple = (0, NEVER_MS)
    _rise: float = 0.0
    _rise_span_ms: float = 1.0

    def record(self, load, now_ms):
        """Record the load in a report."""
        weight = -math.expm1(-max(now_ms - self.reported_ms, 0.0) / AVERAGE_DECAY_MS)
        self.average += weight * (load - self.average)
        self.load, self.reported_ms = load, now_ms
        earlier_load, earlier_ms = self._anchor
        span_ms = now_ms - earlier_ms
        if span_ms < RISE_SPAN_MIN_MS:
            return
        self._anchor = (load, now_ms)
        self._rise = float(max(load - earlier_load, 0))
        self._rise_span_ms = span_ms
        if span_ms > RISE_SPAN_MAX_MS:
            self._rise = 0.0

    def record_error(self, difference):
        """Record by how much the estimate differs from a new report."""
        self.error += ERROR_WEIGHT * (abs(difference) - self.error)

    def expected_rise(self, age_ms):
        """Return the requests that have been added since the last report (float).

        Parameters
        ----------
        age_ms : float
            Age of the last report when it is used.
        """
        return self._rise * min(age_ms / self._rise_span_ms, 1.0)

    def settled_load(self, run_ms, now_ms):
        """Return the load that is left of the last report (float).

        Parameters
        ----------
        run_ms : float
            Duration of a run at this server.
        now_ms : float
        """
        age_ms = now_ms - self.reported_ms
        left = math.exp(-age_ms / (RELAXATION_RUNS * run_ms))
        return self.average + (self.load - self.average) * left
