"""Order of the queue: for dispatch and for loading adapters."""

from nutmegdeal.agent.policy import BatchOrder
from nutmegdeal.messages import Urgency

# A request ranks as if it had come later by this much. The offsets are fixed, so that
# a request rises as it waits and none is overtaken for longer than its offset.
CLASS_OFFSET_MS = {
    Urgency.URGENT: 0.0,
    Urgency.NORMAL: 2_000.0,
    Urgency.BULK: 120_000.0,
}
SHARED_LOAD_GAIN_MS = 1_000.0
SHARED_LOAD_COUNT_MAX = 16


def rank_ms(waiting):
    """Return the time by which a Waiting is ordered (float); earlier goes first."""
    return waiting.arrived_ms + CLASS_OFFSET_MS[waiting.urgency]


class WeightedBatchOrder(BatchOrder):
    """Orders by class and age; loads also by how many requests one load serves.

    Parameters
    ----------
    stall_weight : float
        From 0 to 1. The lower it is, the more a load that fills the batch with many
        requests goes before one that a single request has waited for longer.
    """

    def __init__(self, stall_weight):
        self._gain_ms = SHARED_LOAD_GAIN_MS * (1.0 - stall_weight)

    def order_dispatch(self, waiting, resident, running, now_ms):
        """Return the Waiting of resident adapters in the order to dispatch them."""
        ready = [w for w in waiting if not w.adapter or w.adapter in resident]
        return sorted(ready, key=lambda w: (rank_ms(w), w.attempt_id))

    def order_loads(self, waiting, present, now_ms):
        """Return adapters that are not in `present`, most urgent load first."""
        ranks = {}
        for item in waiting:
            if item.adapter and item.adapter not in present:
                ranks.setdefault(item.adapter, []).append(rank_ms(item))
        return sorted(
            ranks, key=lambda adapter: (self._load_rank(ranks[adapter]), adapter)
        )

    def _load_rank(self, ranks_ms):
        first_ms = min(ranks_ms)
        # Only requests of about the same rank count, or bulk work would pull a load
        # ahead of urgent work.
        sharing = [
            r for r in ranks_ms if r - first_ms < CLASS_OFFSET_MS[Urgency.NORMAL]
        ]
        sharing_count = min(len(sharing), SHARED_LOAD_COUNT_MAX)
        return first_ms - self._gain_ms * (sharing_count - 1)
