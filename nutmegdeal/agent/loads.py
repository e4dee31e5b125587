"""Backoff after failed adapter loads, and estimates of when a load completes."""

import attrs

FIRST_BACKOFF_MS = 500.0
BACKOFF_MAX_MS = 30_000.0
JITTER_FRACTION = 0.5
DOUBLINGS_MAX = 10
MS_PER_S = 1_000.0


@attrs.frozen
class _FailureRecord:
    count: int
    retry_at_ms: float


class LoadBackoff:
    """Delays loads of an adapter whose loads fail; others are not affected.

    Parameters
    ----------
    random_source : random.Random
        Spreads the retries of several agents.
    """

    def __init__(self, random_source):
        self._random = random_source
        self._failures = {}

    def may_try(self, adapter, now_ms):
        """Return whether a load of the adapter may start now."""
        return now_ms >= self.retry_at_ms(adapter)

    def retry_at_ms(self, adapter):
        """Return when a load may be tried, 0 for an adapter that did not fail."""
        record = self._failures.get(adapter)
        return record.retry_at_ms if record else 0.0

    def record_failure(self, adapter, now_ms):
        """Record a failed load; return when it may be tried again (float)."""
        previous = self._failures.get(adapter)
        count = previous.count + 1 if previous else 1
        doublings = min(count - 1, DOUBLINGS_MAX)
        backoff_ms = min(FIRST_BACKOFF_MS * 2**doublings, BACKOFF_MAX_MS)
        jitter = 1.0 - JITTER_FRACTION * self._random.random()
        self._failures[adapter] = _FailureRecord(count, now_ms + backoff_ms * jitter)
        return self._failures[adapter].retry_at_ms

    def record_success(self, adapter):
        """Record a successful load."""
        self._failures.pop(adapter, None)


@attrs.frozen
class LoadArrivalEstimate:
    """Estimate of when an adapter that is not loaded yet will be resident.

    Parameters
    ----------
    next_start_ms : float
        When the budget allows the next load.
    ahead_count : int
        Loads that will start before it.
    gap_ms : float
        Time between two load starts of this agent.
    load_ms : float
        Time of one load.
    retry_at_ms : float
        Earliest start after failures, 0 if there were none.
    """

    next_start_ms: float
    ahead_count: int
    gap_ms: float
    load_ms: float
    retry_at_ms: float = 0.0

    def arrival_ms(self, now_ms):
        """Return when the adapter is expected to be resident (float)."""
        start_ms = max(now_ms, self.next_start_ms) + self.ahead_count * self.gap_ms
        return max(start_ms, self.retry_at_ms) + self.load_ms


class LoadTimes:
    """Moving averages of the duration of loads and of the gaps between their starts.

    Parameters
    ----------
    weight_store : WeightStorePolicy
        Provides the initial averages.
    agent_count : int
        Agents that share the weight store.
    """

    SMOOTHING = 0.2

    def __init__(self, weight_store, agent_count):
        self._last_start_ms = None
        self.set_limits(weight_store, agent_count)

    def set_limits(self, weight_store, agent_count):
        """Reset the averages from the store's limits."""
        self.load_ms = weight_store.load_ms
        self._equal_gap_ms = MS_PER_S * agent_count / weight_store.loads_per_s
        self.gap_ms = self._equal_gap_ms

    def record_start(self, now_ms, was_waiting):
        """Record a start; the gap counts only if the load had to wait for it."""
        if was_waiting and self._last_start_ms is not None:
            gap_ms = min(now_ms - self._last_start_ms, self._equal_gap_ms)
            self.gap_ms += self.SMOOTHING * (gap_ms - self.gap_ms)
        self._last_start_ms = now_ms

    def record_load(self, load_ms):
        """Record the duration of a load."""
        self.load_ms += self.SMOOTHING * (load_ms - self.load_ms)
