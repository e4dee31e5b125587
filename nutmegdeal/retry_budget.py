"""Retry budgets, which limit retries to a fixed ratio of first attempts."""

import collections

RETRY_BURST_TOKENS = 10.0


def compute_burst_tokens(ratio, in_flight_max):
    """Return the burst that lets all requests of a lost agent be retried.

    Parameters
    ----------
    ratio : float
        Tokens that a first attempt earns.
    in_flight_max : int
        Most requests that the entry has in progress.
    """
    return max(RETRY_BURST_TOKENS, ratio * in_flight_max)


class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    Parameters
    ----------
    ratio : float
        Tokens that a first attempt earns; a retry spends one.
    burst_tokens : float
        Capacity of the bucket, which is full at the start.
    """

    def __init__(self, ratio, burst_tokens=RETRY_BURST_TOKENS):
        self._ratio = ratio
        self._burst_tokens = burst_tokens
        self._tokens = burst_tokens

    def earn(self):
        """Record a first attempt."""
        self._tokens = min(self._burst_tokens, self._tokens + self._ratio)

    def try_spend(self):
        """Take one token for a retry; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class WindowedRetryBudget:
    """Limits retries to a ratio of the first attempts in a time window, plus a burst.

    Unlike a token bucket it allows all of these retries at once. This is needed when a
    backend server fails with many requests in progress.

    Parameters
    ----------
    ratio : float
        Retries allowed for each first attempt in the window.
    burst_count : float
        Retries allowed in addition.
    window_ms : float
        Length of the window.
    """

    def __init__(self, ratio, burst_count, window_ms):
        self._ratio = ratio
        self._burst_count = burst_count
        self._window_ms = window_ms
        self._attempts_ms = collections.deque()
        self._retries_ms = collections.deque()

    def set_burst_count(self, burst_count):
        """Set the number of retries allowed in addition to the ratio."""
        self._burst_count = burst_count

    def earn(self, now_ms):
        """Record a first attempt."""
        self._expire(now_ms)
        self._attempts_ms.append(now_ms)

    def try_spend(self, now_ms):
        """Record a retry if it is allowed; return whether it is."""
        self._expire(now_ms)
        allowed = self._ratio * len(self._attempts_ms) + self._burst_count
        if len(self._retries_ms) + 1 > allowed:
            return False
        self._retries_ms.append(now_ms)
        return True

    def give_back(self, spent_ms):
        """Remove a retry that was allowed at a time and has not been made."""
        if spent_ms in self._retries_ms:
            self._retries_ms.remove(spent_ms)

    def _expire(self, now_ms):
        for times in (self._attempts_ms, self._retries_ms):
            while times and times[0] <= now_ms - self._window_ms:
                times.popleft()
