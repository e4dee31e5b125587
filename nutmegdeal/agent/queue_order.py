"""Priority order of the queue, for dispatching requests and for loading adapters."""

from nutmegdeal.agent.policy import QueueOrder
from nutmegdeal.messages import Urgency

# Requests of an urgency class are ordered as if they had arrived this much later. Since
# the offsets are fixed, a request can be overtaken only by requests that arrive within
# its offset, so none starves.
CLASS_OFFSET_MS = {
    Urgency.URGENT: 0.0,
    Urgency.NORMAL: 2_000.0,
    Urgency.BULK: 120_000.0,
}
# A load is ordered earlier by up to this much for each further request that it serves.
SHARED_LOAD_GAIN_MS = 1_000.0
SHARED_LOAD_COUNT_MAX = 16


def rank_ms(waiting):
    """Return the sort key of a waiting request in ms (float); the lowest goes first."""
    return waiting.arrived_ms + CLASS_OFFSET_MS[waiting.urgency]


class WeightedQueueOrder(QueueOrder):
    """Orders by urgency and age, and loads also by how many requests a load serves.

    Parameters
    ----------
    stall_weight : float
        From 0 to 1. Lower values favour a load that fills the batch with many requests
        over a load that a single request has waited for longer.
    """

    def __init__(self, stall_weight):
        self._gain_ms = SHARED_LOAD_GAIN_MS * (1.0 - stall_weight)

    def order_dispatch(self, waiting, resident, running, now_ms):
        """Return the waiting requests for resident adapters in dispatch order."""
        ready = [w for w in waiting if not w.adapter or w.adapter in resident]
        return sorted(ready, key=lambda w: (rank_ms(w), w.attempt_id))

    def order_loads(self, waiting, present, now_ms):
        """Return the adapters to load that are not in `present`, most urgent first."""
        ranks = {}
        for item in waiting:
            if item.adapter and item.adapter not in present:
                ranks.setdefault(item.adapter, []).append(rank_ms(item))
        return sorted(
            ranks, key=lambda adapter: (self._load_rank(ranks[adapter]), adapter)
        )

    def _load_rank(self, ranks_ms):
        first_ms = min(ranks_ms)
        # Only requests of similar rank count; otherwise many bulk requests would move
        # their load ahead of an urgent one.
        sharing = [
            r for r in ranks_ms if r - first_ms < CLASS_OFFSET_MS[Urgency.NORMAL]
        ]
        sharing_count = min(len(sharing), SHARED_LOAD_COUNT_MAX)
        return first_ms - self._gain_ms * (sharing_count - 1)
