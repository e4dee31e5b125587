"""Exponentially decayed usage rates of adapters."""

import math

import attrs

DEFAULT_DECAY_MS = 120_000.0
TRACKED_ADAPTERS_MAX = 20_000
MS_PER_S = 1_000.0


@attrs.define
class _Rate:
    rate_per_s: float
    last_used_ms: float


class UsageRates:
    """Usage rate of each adapter, with exponential decay.

    Above TRACKED_ADAPTERS_MAX adapters, the least recently used one is dropped.

    Parameters
    ----------
    decay_ms : float
        Time after which an unused adapter's rate has fallen to 1/e.
    """

    def __init__(self, decay_ms=DEFAULT_DECAY_MS):
        self._decay_ms = decay_ms
        self._rates = {}

    def record(self, adapter, now_ms, age_ms=0.0):
        """Count one request for an adapter.

        Parameters
        ----------
        adapter : str
        now_ms : float
        age_ms : float
            How long ago the request was.
        """
        weight = math.exp(-age_ms / self._decay_ms)
        added_per_s = weight * MS_PER_S / self._decay_ms
        rate_per_s = self.rate_per_s(adapter, now_ms) + added_per_s
        self._rates.pop(adapter, None)
        self._rates[adapter] = _Rate(rate_per_s, now_ms)
        if len(self._rates) > TRACKED_ADAPTERS_MAX:
            del self._rates[next(iter(self._rates))]

    def rate_per_s(self, adapter, now_ms):
        """Return the decayed rate of an adapter (float)."""
        rate = self._rates.get(adapter)
        if rate is None:
            return 0.0
        age_ms = now_ms - rate.last_used_ms
        return rate.rate_per_s * math.exp(-age_ms / self._decay_ms)

    def last_used_ms(self, adapter):
        """Return the time at which an adapter was last used, 0 if it is not tracked."""
        rate = self._rates.get(adapter)
        return rate.last_used_ms if rate else 0.0
