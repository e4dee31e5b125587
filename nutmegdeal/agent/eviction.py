"""Choice of the adapter to evict."""

from nutmegdeal.agent.policy import EvictionPolicy

MS_PER_S = 1_000.0
# Every load uses up part of the weight store's rate, so the rate of use counts most for
# every team.
RATE_WEIGHT_MIN = 0.7


class WeightedEviction(EvictionPolicy):
    """Evicts the adapter with the lowest score of use rate and recency.

    An adapter that any request uses or waits for is never evicted. The use rate
    predicts how soon the adapter would have to be loaded again, so its weight rises
    with the weight of load stalls. Recency predicts which adapters join the next
    batches and gets the remaining weight.

    Parameters
    ----------
    stall_weight : float
        From 0 to 1.
    """

    def __init__(self, stall_weight):
        self._rate_weight = RATE_WEIGHT_MIN + (1.0 - RATE_WEIGHT_MIN) * stall_weight

    def choose_victim(self, slots, now_ms):
        """Return the adapter to evict, or None if none may be evicted."""
        idle = [slot for slot in slots if not slot.pin_count and not slot.waiting_count]
        if not idle:
            return None
        return min(idle, key=lambda slot: self._retention_score(slot, now_ms)).adapter

    def _retention_score(self, slot, now_ms):
        used_ms = max(slot.last_used_ms, slot.loaded_at_ms)
        idle_s = max(now_ms - used_ms, 0.0) / MS_PER_S
        recency_per_s = 1.0 / (1.0 + idle_s)
        return (
            self._rate_weight * slot.use_rate_per_s
            + (1.0 - self._rate_weight) * recency_per_s,
            used_ms,
            slot.adapter,
        )
