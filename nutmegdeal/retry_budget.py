"""Retry budgets: retries stay a fixed part of first attempts."""

import collections

RETRY_BURST_TOKENS = 10.0


def burst_for(ratio, in_flight_max):
    """Return the tokens to hold: all requests of a lost agent may be tried again.

    Parameters
    ----------
    ratio : float
    in_flight_max : int
        Requests that the entry has in progress at most.
    """
    return max(RETRY_BURST_TOKENS, ratio * in_flight_max)


class RetryBudget:
    """Tokens earned by first attempts and spent by retries.

    Parameters
    ----------
    ratio : float
        Tokens that a first attempt earns; a retry spends one.
    burst_tokens : float
        Most tokens held, and those held at the start.
    """

    def __init__(self, ratio, burst_tokens=RETRY_BURST_TOKENS):
        self._ratio = ratio
        self._burst_tokens = burst_tokens
        self._tokens = burst_tokens

    def earn(self):
        """Note a first attempt."""
        self._tokens = min(self._burst_tokens, self._tokens + self._ratio)

    def try_spend(self):
        """Take the token of a retry; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class WindowedRetryBudget:
    """Retries of the last span of time stay a part of its first attempts, and a burst.

    Unlike a bucket of tokens it lets all of that part through at once, as is needed
    when a backend server takes many requests with it.

    Parameters
    ----------
    ratio : float
        Retries allowed for each first attempt.
    burst_count : float
        Retries allowed beyond them.
    window_ms : float
        Length of the span.
    """

    def __init__(self, ratio, burst_count, window_ms):
        self._ratio = ratio
        self._burst_count = burst_count
        self._window_ms = window_ms
        self._attempts_ms = collections.deque()
        self._retries_ms = collections.deque()

    def limit(self, burst_count):
        """Allow `burst_count` retries beyond the ratio from now on."""
        self._burst_count = burst_count

    def earn(self, now_ms):
        """Note a first attempt."""
        self._expire(now_ms)
        self._attempts_ms.append(now_ms)

    def try_spend(self, now_ms):
        """Note a retry if it is allowed; return whether it is."""
        self._expire(now_ms)
        allowed = self._ratio * len(self._attempts_ms) + self._burst_count
        if len(self._retries_ms) + 1 > allowed:
            return False
        self._retries_ms.append(now_ms)
        return True

    def _expire(self, now_ms):
        for times in (self._attempts_ms, self._retries_ms):
            while times and times[0] <= now_ms - self._window_ms:
                times.popleft()
