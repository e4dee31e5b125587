"""Adapter slots of the stand-in model engine."""

import collections
import enum


class OrderResult(enum.Enum):
    """Result of an order to load an adapter, before the weights are fetched."""

    DONE = "done"
    START = "start"
    WAIT = "wait"
    NO_FREE_SLOT = "no_free_slot"
    OLD_FENCE = "old_fence"


class AdapterSlots:
    """Adapters that one incarnation of an engine holds, loads and uses.

    Methods name an adapter as ``adapter@version`` (``engine_name``).

    Parameters
    ----------
    slot_count : int
        Maximum number of adapters that are resident or loading.
    """

    def __init__(self, slot_count):
        self._slot_count = slot_count
        self._fence_max = 0
        self._use_counts = collections.Counter()
        self.resident = set()
        self.loading = set()

    def accept_fence(self, fence, is_checked):
        """Return whether an order with this fencing number may be executed.

        If `is_checked` is set, numbers below the highest one seen are rejected.
        """
        if is_checked and fence < self._fence_max:
            return False
        self._fence_max = max(self._fence_max, fence)
        return True

    def begin_load(self, engine_name):
        """Return the OrderResult of a load order.

        For START, the adapter is marked as loading.
        """
        if engine_name in self.resident:
            return OrderResult.DONE
        if engine_name in self.loading:
            return OrderResult.WAIT
        if len(self.resident) + len(self.loading) >= self._slot_count:
            return OrderResult.NO_FREE_SLOT
        self.loading.add(engine_name)
        return OrderResult.START

    def end_load(self, engine_name, succeeded):
        """Record the end of a load; the adapter is resident if it succeeded."""
        self.loading.discard(engine_name)
        if succeeded:
            self.resident.add(engine_name)

    def unload(self, engine_name):
        """Unload an adapter; return the number of requests (int) still using it."""
        self.resident.discard(engine_name)
        return self._use_counts[engine_name]

    def try_use(self, engine_name):
        """Count a request that uses an adapter; return False if it is not resident."""
        if engine_name not in self.resident:
            return False
        self._use_counts[engine_name] += 1
        return True

    def end_use(self, engine_name):
        """Record that a request no longer uses an adapter."""
        self._use_counts[engine_name] -= 1
