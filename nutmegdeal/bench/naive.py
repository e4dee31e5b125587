"""A naive version of every policy, to compare with."""

from nutmegdeal.agent.budgets import EqualShareBudget
from nutmegdeal.agent.policy import BatchOrder, EvictionPolicy
from nutmegdeal.bench.policies import PolicySet
from nutmegdeal.entry.routing import ReplicaChooser
from nutmegdeal.errors import Failure, Reason, Step


class LeastInFlightChooser(ReplicaChooser):
    """Chooses the replica with the fewest requests in flight.

    Parameters
    ----------
    random_source : random.Random
        Decides between equals.
    """

    def __init__(self, random_source):
        self._random = random_source

    def choose(self, request, replicas, now_ms):
        """Return the replica with the fewest requests in flight, or a Failure."""
        usable = [r for r in replicas if r.agent_id not in request.excluded]
        if not usable:
            return Failure(Reason.NO_REPLICA, Step.ROUTE, "", "none is left")
        return min(usable, key=lambda r: (r.in_flight_count, self._random.random()))


class LeastRecentlyUsed(EvictionPolicy):
    """Evicts the adapter that was used longest ago."""

    def choose_victim(self, slots, now_ms):
        """Return the adapter to evict, or None if all are in use."""
        idle = [slot for slot in slots if not slot.pin_count]
        if not idle:
            return None
        return min(idle, key=_used_ms).adapter


def _used_ms(slot):
    return max(slot.last_used_ms, slot.loaded_at_ms), slot.adapter


class FirstComeFirstServed(BatchOrder):
    """Orders dispatches and loads by arrival alone."""

    def order_dispatch(self, waiting, resident, running, now_ms):
        """Return the Waiting of resident adapters by arrival."""
        ready = [item for item in waiting if item.adapter in resident]
        return sorted(ready, key=_arrival)

    def order_loads(self, waiting, present, now_ms):
        """Return the adapters to load by the arrival of their first request."""
        ordered = sorted(waiting, key=_arrival)
        adapters = (item.adapter for item in ordered if item.adapter not in present)
        return list(dict.fromkeys(adapters))


def _arrival(item):
    return item.arrived_ms, item.attempt_id


class NaivePolicies(PolicySet):
    """Least in flight, LRU slots, first come first served, equal shares."""

    refuses_early = False

    def make_chooser(self, entry_id):
        """Return a LeastInFlightChooser."""
        return LeastInFlightChooser(self.random_source(f"chooser {entry_id}"))

    def make_batch_order(self):
        """Return a FirstComeFirstServed."""
        return FirstComeFirstServed()

    def make_eviction(self):
        """Return a LeastRecentlyUsed."""
        return LeastRecentlyUsed()

    def make_budget(self, loop):
        """Return an EqualShareBudget."""
        return EqualShareBudget(self.configuration.weight_store, self.engine_count)
