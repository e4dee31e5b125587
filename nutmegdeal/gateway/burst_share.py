"""A gateway's part of the burst of the retry budget, which all gateways share.

Gateways have no channel to each other. The placers count the gateways and tell them.
"""

from nutmegdeal.gateway.retries import BUDGET_SHARE

# Number of gateways, assumed until the placers report the real number: that of the
# largest installation.
ASSUMED_COUNT = 30


class BurstShare:
    """Computes a gateway's share of the burst.

    Parameters
    ----------
    bounds : Bounds
    """

    def __init__(self, bounds):
        self._burst = bounds.retry_burst * BUDGET_SHARE
        self._reported_count = 0

    def compute(self, reported_count):
        """Return how many retries this gateway adds to the ratio in a window (float).

        Parameters
        ----------
        reported_count : int
            Highest number of gateways that a placer reports, 0 if none does.
        """
        # The count never decreases: a lost stream does not mean that a gateway is gone.
        self._reported_count = max(self._reported_count, reported_count)
        return self._burst / (self._reported_count or ASSUMED_COUNT)
