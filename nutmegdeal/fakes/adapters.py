"""Adapter slots of the model engine stand-in."""

import collections
import enum


class OrderResult(enum.Enum):
    """What an engine makes of an order, before any loading."""

    DONE = "done"
    START = "start"
    WAIT = "wait"
    NO_FREE_SLOT = "no_free_slot"
    OLD_FENCE = "old_fence"


class AdapterSlots:
    """Adapters of one incarnation of an engine.

    Parameters
    ----------
    slot_count : int
        Adapters held or being loaded at once.
    """

    def __init__(self, slot_count):
        self._slot_count = slot_count
        self._fence_max = 0
        self._use_counts = collections.Counter()
        self.resident = set()
        self.loading = set()

    def accept_fence(self, fence, is_checked):
        """Return whether an order of this fencing number is to be followed."""
        if is_checked and fence < self._fence_max:
            return False
        self._fence_max = max(self._fence_max, fence)
        return True

    def begin_load(self, engine_name):
        """Return the OrderResult of a load order; START marks it as loading."""
        if engine_name in self.resident:
            return OrderResult.DONE
        if engine_name in self.loading:
            return OrderResult.WAIT
        if len(self.resident) + len(self.loading) >= self._slot_count:
            return OrderResult.NO_FREE_SLOT
        self.loading.add(engine_name)
        return OrderResult.START

    def end_load(self, engine_name, succeeded):
        """Note that a load has ended."""
        self.loading.discard(engine_name)
        if succeeded:
            self.resident.add(engine_name)

    def unload(self, engine_name):
        """Drop an adapter; return the number of requests (int) that were using it."""
        self.resident.discard(engine_name)
        return self._use_counts[engine_name]

    def try_use(self, engine_name):
        """Mark a request's use of an adapter; return False if it is not resident."""
        if engine_name not in self.resident:
            return False
        self._use_counts[engine_name] += 1
        return True

    def end_use(self, engine_name):
        """Note that a request is done with an adapter."""
        self._use_counts[engine_name] -= 1
