"""The retry budget: retries stay a fixed part of first attempts."""

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

    def limit(self, burst_tokens):
        """Hold at most `burst_tokens` from now on; those that are new are there."""
        gained = max(burst_tokens - self._burst_tokens, 0.0)
        self._burst_tokens = burst_tokens
        self._tokens = min(self._tokens + gained, burst_tokens)

    def earn(self):
        """Note a first attempt."""
        self._tokens = min(self._burst_tokens, self._tokens + self._ratio)

    def try_spend(self):
        """Take the token of a retry; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
