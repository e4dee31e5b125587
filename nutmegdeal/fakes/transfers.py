"""How long the weight store takes to hand over an adapter."""

import attrs

from nutmegdeal.configuration import WeightStorePolicy
from nutmegdeal.fakes.rates import RateLimit

DELAY_IGNORED_MS = 50.0


@attrs.frozen
class Transfer:
    """One adapter on its way to an engine.

    Parameters
    ----------
    starts_at_ms, ends_at_ms : float
    """

    starts_at_ms: float
    ends_at_ms: float


class TransferSchedule:
    """Limits of the weight store, applied to loads as they are ordered.

    A load waits for the rate limit and for one of the places at full speed. Its time
    grows in proportion once more than `transit_max` loads are ordered and not done.

    Parameters
    ----------
    policy : WeightStorePolicy
    """

    def __init__(self, policy: WeightStorePolicy):
        self._policy = policy
        self._rate_limit = RateLimit(burst_count=policy.full_speed_count)
        self._free_at_ms = [0.0] * policy.full_speed_count
        self.rate_factor = 1.0
        self.transit_count = 0
        self.transit_count_max = 0
        self.delayed_count = 0

    @property
    def rate_per_s(self):
        """Loads a second at present."""
        return self._policy.loads_per_s * self.rate_factor

    def try_begin(self, now_ms):
        """Begin a load; return its Transfer, or None if it is over the rate."""
        if not self._rate_limit.try_take(now_ms, self.rate_per_s):
            return None
        return self._transfer(now_ms, now_ms)

    def begin(self, now_ms):
        """Begin a load, in line if it is over the rate; return its Transfer."""
        due_ms = self._rate_limit.take(now_ms, self.rate_per_s)
        self.delayed_count += due_ms > now_ms + DELAY_IGNORED_MS
        return self._transfer(now_ms, due_ms)

    def finish(self):
        """Note that a load has ended."""
        self.transit_count -= 1

    def _transfer(self, now_ms, due_ms):
        self.transit_count += 1
        self.transit_count_max = max(self.transit_count_max, self.transit_count)
        slowdown = max(1.0, self.transit_count / self._policy.transit_max)
        place = min(range(len(self._free_at_ms)), key=self._free_at_ms.__getitem__)
        starts_at_ms = max(now_ms, due_ms, self._free_at_ms[place])
        ends_at_ms = starts_at_ms + self._policy.load_ms * slowdown
        self._free_at_ms[place] = ends_at_ms
        return Transfer(starts_at_ms, ends_at_ms)
