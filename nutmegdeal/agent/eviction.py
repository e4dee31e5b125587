"""Choice of the adapter that makes room for another."""

from nutmegdeal.agent.policy import EvictionPolicy

MS_PER_S = 1_000.0
# Every load takes from the weight store's rate, so use counts most for every team.
RATE_WEIGHT_MIN = 0.7


class WeightedEviction(EvictionPolicy):
    """Evicts what is worth least, by rate of use and by recency.

    An adapter that any request uses or waits for never goes. The rate predicts how
    soon the adapter would have to be loaded again, so it counts by the weight of load
    stalls; recency predicts what would join the next batches and has the rest.

    Parameters
    ----------
    stall_weight : float
        From 0 to 1.
    """

    def __init__(self, stall_weight):
        self._rate_weight = RATE_WEIGHT_MIN + (1.0 - RATE_WEIGHT_MIN) * stall_weight

    def choose_victim(self, slots, now_ms):
        """Return the adapter to evict, or None if none may go."""
        idle = [slot for slot in slots if not slot.pin_count and not slot.waiting_count]
        if not idle:
            return None
        return min(idle, key=lambda slot: self._worth(slot, now_ms)).adapter

    def _worth(self, slot, now_ms):
        used_ms = max(slot.last_used_ms, slot.loaded_at_ms)
        idle_s = max(now_ms - used_ms, 0.0) / MS_PER_S
        recency_per_s = 1.0 / (1.0 + idle_s)
        return (
            self._rate_weight * slot.use_rate_per_s
            + (1.0 - self._rate_weight) * recency_per_s,
            used_ms,
            slot.adapter,
        )
