"""Limits on how often something may start."""


class RateLimit:
    """Token bucket whose rate is given at each call, so that it may change.

    Parameters
    ----------
    burst_count : float
        Tokens that a full bucket holds.
    """

    def __init__(self, burst_count):
        self._burst_count = burst_count
        self._token_count = float(burst_count)
        self._filled_at_ms = None

    def try_take(self, now_ms, rate_per_s):
        """Take a token; return False if there is none."""
        self._fill(now_ms, rate_per_s)
        if self._token_count < 1:
            return False
        self._token_count -= 1
        return True

    def take(self, now_ms, rate_per_s):
        """Take a token in advance; return when it is due in ms (float)."""
        self._fill(now_ms, rate_per_s)
        self._token_count -= 1
        if self._token_count >= 0:
            return now_ms
        return now_ms - self._token_count * 1000 / rate_per_s

    def _fill(self, now_ms, rate_per_s):
        if self._filled_at_ms is not None:
            earned = (now_ms - self._filled_at_ms) * rate_per_s / 1000
            self._token_count = min(self._burst_count, self._token_count + earned)
        self._filled_at_ms = now_ms
