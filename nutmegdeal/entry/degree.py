"""How many homes each adapter has now."""

import math

import attrs

RATE_HALF_LIFE_MS = 10_000.0
HINT_HALF_LIFE_MS = 30_000.0
RATE_PER_REQUEST = 1_000.0 * math.log(2) / RATE_HALF_LIFE_MS
REQUESTS_PER_S_PER_REPLICA = 4.0
DEGREE_MAX = 64
TRACKED_ADAPTERS_MAX = 50_000


@attrs.define
class _Demand:
    """Decayed demand for one adapter."""

    rate_per_s: float = 0.0
    rate_at_ms: float = 0.0
    hint: float = 0.0
    hint_at_ms: float = 0.0


class DegreeTracker:
    """Follows demand and the agents' hints; both fade away.

    Parameters
    ----------
    per_home_per_s : float
        Requests a second, seen by this entry, that one home carries.
    """

    def __init__(self, requests_per_s_per_replica=REQUESTS_PER_S_PER_REPLICA):
        self._requests_per_s_per_replica = requests_per_s_per_replica
        self._demand = {}

    def observe_request(self, adapter, now_ms):
        """Note a request for an engine name."""
        demand = self._touch_demand(adapter, now_ms)
        demand.rate_per_s = self._decayed_rate(demand, now_ms) + RATE_PER_REQUEST
        demand.rate_at_ms = now_ms

    def observe_hint(self, adapter, degree, now_ms):
        """Note an agent's advice; 0 is none."""
        if degree < 1:
            return
        demand = self._touch_demand(adapter, now_ms)
        demand.hint = max(self._decayed_hint(demand, now_ms), float(degree))
        demand.hint_at_ms = now_ms

    def degree(self, adapter, now_ms):
        """Return the number of homes (int, at least 1)."""
        demand = self._demand.get(adapter)
        if demand is None:
            return 1
        by_rate = self._decayed_rate(demand, now_ms) / self._requests_per_s_per_replica
        by_hint = self._decayed_hint(demand, now_ms)
        return max(1, min(DEGREE_MAX, round(max(by_rate, by_hint))))

    def _touch_demand(self, adapter, now_ms):
        demand = self._demand.pop(adapter, None)
        if demand is None:
            demand = _Demand(rate_at_ms=now_ms, hint_at_ms=now_ms)
        self._demand[adapter] = demand
        if len(self._demand) > TRACKED_ADAPTERS_MAX:
            self._demand.pop(next(iter(self._demand)))
        return demand

    def _decayed_rate(self, demand, now_ms):
        age_ms = now_ms - demand.rate_at_ms
        return demand.rate_per_s * 0.5 ** (age_ms / RATE_HALF_LIFE_MS)

    def _decayed_hint(self, demand, now_ms):
        age_ms = now_ms - demand.hint_at_ms
        return demand.hint * 0.5 ** (age_ms / HINT_HALF_LIFE_MS)
