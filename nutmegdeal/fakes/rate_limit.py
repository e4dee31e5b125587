"""Rate limit of the stand-ins."""


class RateLimit:
    """Token bucket whose rate is passed to each call, so that it may change.

    Parameters
    ----------
    burst_count : float
        Capacity of the bucket in tokens.
    """

    def __init__(self, burst_count):
        self._burst_count = burst_count
        self._token_count = float(burst_count)
        self._refilled_at_ms = None

    def try_take(self, now_ms, rate_per_s):
        """Take a token; return False if none is available."""
        self._refill(now_ms, rate_per_s)
        if self._token_count < 1:
            return False
        self._token_count -= 1
        return True

    def reserve(self, now_ms, rate_per_s):
        """Reserve a token; return the time in ms (float) when it is available."""
        self._refill(now_ms, rate_per_s)
        self._token_count -= 1
        if self._token_count >= 0:
            return now_ms
        return now_ms - self._token_count * 1000 / rate_per_s

    def _refill(self, now_ms, rate_per_s):
        if self._refilled_at_ms is not None:
            new_tokens = (now_ms - self._refilled_at_ms) * rate_per_s / 1000
            self._token_count = min(self._burst_count, self._token_count + new_tokens)
        self._refilled_at_ms = now_ms
