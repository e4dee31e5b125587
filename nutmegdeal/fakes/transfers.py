"""Model of the time that the weight store takes to transfer an adapter."""

import attrs

from nutmegdeal.configuration import WeightStorePolicy
from nutmegdeal.fakes.rate_limit import RateLimit

DELAY_IGNORED_MS = 50.0  # `delayed_count` includes only longer delays


@attrs.frozen
class Transfer:
    """Transfer of one adapter's weights to an engine.

    Parameters
    ----------
    starts_at_ms, ends_at_ms : float
    """

    starts_at_ms: float
    ends_at_ms: float


class TransferSchedule:
    """Applies the limits of the weight store to loads, in the order of calls.

    A load waits for the rate limit and for one of `full_speed_count` channels. While
    more than `transit_max` loads are unfinished, the time of a new load grows in
    proportion to their number.

    Parameters
    ----------
    policy : WeightStorePolicy
    """

    def __init__(self, policy: WeightStorePolicy):
        self._policy = policy
        self._rate_limit = RateLimit(burst_count=policy.full_speed_count)
        self._channel_free_at_ms = [0.0] * policy.full_speed_count
        self.rate_factor = 1.0
        self.transit_count = 0
        self.transit_count_max = 0
        self.delayed_count = 0

    @property
    def rate_per_s(self):
        """Current rate limit in loads per second."""
        return self._policy.loads_per_s * self.rate_factor

    def try_begin(self, now_ms):
        """Begin a load; return its Transfer, or None if it exceeds the rate limit."""
        if not self._rate_limit.try_take(now_ms, self.rate_per_s):
            return None
        return self._schedule_transfer(now_ms, now_ms)

    def begin(self, now_ms):
        """Begin a load, delayed if it exceeds the rate limit; return its Transfer."""
        earliest_start_ms = self._rate_limit.reserve(now_ms, self.rate_per_s)
        self.delayed_count += earliest_start_ms > now_ms + DELAY_IGNORED_MS
        return self._schedule_transfer(now_ms, earliest_start_ms)

    def finish(self):
        """Record the end of a load."""
        self.transit_count -= 1

    def _schedule_transfer(self, now_ms, earliest_start_ms):
        self.transit_count += 1
        self.transit_count_max = max(self.transit_count_max, self.transit_count)
        slowdown = max(1.0, self.transit_count / self._policy.transit_max)
        channel = min(
            range(len(self._channel_free_at_ms)),
            key=self._channel_free_at_ms.__getitem__,
        )
        starts_at_ms = max(now_ms, earliest_start_ms, self._channel_free_at_ms[channel])
        ends_at_ms = starts_at_ms + self._policy.load_ms * slowdown
        self._channel_free_at_ms[channel] = ends_at_ms
        return Transfer(starts_at_ms, ends_at_ms)
