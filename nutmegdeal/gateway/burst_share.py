"""A gateway's part of the burst of the retry budget, which all gateways share.

Gateways have no channel to each other. The placers count the gateways and tell them.
"""

from nutmegdeal.gateway.retries import BUDGET_SHARE

# Number of gateways, assumed until the placers' count can be used: more than the
# largest installation can have.
ASSUMED_COUNT = 100


class BurstShare:
    """Computes a gateway's share of the burst.

    Parameters
    ----------
    bounds : Bounds
    started_ms : float
        When the gateway started.
    """

    def __init__(self, bounds, started_ms):
        self._burst = bounds.retry_burst * BUDGET_SHARE
        # In the first window others may have retried without counting this gateway, or
        # this gateway itself, before a restart. And the placers do not know all yet.
        self._counted_from_ms = started_ms + bounds.retry_window_ms
        self._reported_count = 0

    def compute(self, reported_count, now_ms):
        """Return how many retries this gateway adds to the ratio in a window (float).

        Parameters
        ----------
        reported_count : int
            Highest number of gateways that a placer reports, 0 if none does.
        now_ms : float
        """
        # The count never decreases: a lost stream does not mean that a gateway is gone.
        self._reported_count = max(self._reported_count, reported_count)
        if not self._reported_count or now_ms < self._counted_from_ms:
            return self._burst / max(self._reported_count, ASSUMED_COUNT)
        return self._burst / self._reported_count
