"""Replication degree: on how many replicas each adapter should be loaded."""

import math

import attrs

RATE_HALF_LIFE_MS = 10_000.0
HINT_HALF_LIFE_MS = 30_000.0
# Requests/s that one request adds, so that the decayed rate approaches the true one.
RATE_PER_REQUEST = 1_000.0 * math.log(2) / RATE_HALF_LIFE_MS
REQUESTS_PER_S_PER_REPLICA = 4.0
DEGREE_MAX = 64
TRACKED_ADAPTERS_MAX = 50_000


@attrs.define
class _Demand:
    """Exponentially decayed request rate and degree hint of one adapter."""

    rate_per_s: float = 0.0
    rate_at_ms: float = 0.0
    hint: float = 0.0
    hint_at_ms: float = 0.0


class ReplicationDegreeTracker:
    """Computes the degree from the request rate and the agents' hints, both decaying.

    Parameters
    ----------
    requests_per_s_per_replica : float
        Requests a second of this entry for which one replica is enough.
    """

    def __init__(self, requests_per_s_per_replica=REQUESTS_PER_S_PER_REPLICA):
        self._requests_per_s_per_replica = requests_per_s_per_replica
        self._demand = {}

    def count_request(self, adapter, now_ms):
        """Count a request for an adapter, given by its engine name."""
        demand = self._touch_demand(adapter, now_ms)
        demand.rate_per_s = self._decayed_rate(demand, now_ms) + RATE_PER_REQUEST
        demand.rate_at_ms = now_ms

    def record_hint(self, adapter, degree, now_ms):
        """Record an agent's degree hint; a hint of 0 is ignored."""
        if degree < 1:
            return
        demand = self._touch_demand(adapter, now_ms)
        demand.hint = max(self._decayed_hint(demand, now_ms), float(degree))
        demand.hint_at_ms = now_ms

    def degree(self, adapter, now_ms):
        """Return the replication degree of an adapter (int, at least 1)."""
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
