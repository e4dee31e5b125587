"""Admission control by urgency class and number of requests in progress."""

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.messages import Urgency

IN_FLIGHT_FRACTION = {Urgency.URGENT: 1.0, Urgency.NORMAL: 0.93, Urgency.BULK: 0.8}
INITIAL_DURATION_MS = 1_000.0
# Weight of the latest duration in the moving average.
DURATION_SMOOTHING = 0.05


class AdmissionLimiter:
    """Limits the requests in progress; less urgent classes have a lower limit.

    Parameters
    ----------
    in_flight_max : int
        Limit for the most urgent class; the others get a fraction of it.
    """

    def __init__(self, in_flight_max):
        self._in_flight_max = in_flight_max
        self._mean_duration_ms = INITIAL_DURATION_MS
        self.in_flight_count = 0
        self.refused_count = 0

    def try_admit(self, urgency):
        """Admit a request; return None, or a Failure with reason OVERLOADED."""
        limit = max(1, int(self._in_flight_max * IN_FLIGHT_FRACTION[urgency]))
        if self.in_flight_count >= limit:
            self.refused_count += 1
            detail = f"{self.in_flight_count} requests in progress"
            return Failure(Reason.OVERLOADED, Step.ADMIT, "", detail)
        self.in_flight_count += 1
        return None

    def release(self, duration_ms):
        """Release the place of an admitted request that took `duration_ms`."""
        self.in_flight_count -= 1
        self._mean_duration_ms += DURATION_SMOOTHING * (
            duration_ms - self._mean_duration_ms
        )

    def suggest_retry_unix_ms(self, now_unix_ms):
        """Return when a refused caller may retry: one mean duration from now."""
        return now_unix_ms + int(self._mean_duration_ms)
