"""Simple baseline of every policy, for comparison."""

from nutmegdeal.agent.budgets import EqualShareBudget
from nutmegdeal.agent.policy import EvictionPolicy, QueueOrder
from nutmegdeal.bench.policies import PolicySet
from nutmegdeal.entry.routing import ReplicaChooser
from nutmegdeal.errors import Failure, Reason, Step


class LeastInFlightChooser(ReplicaChooser):
    """Chooses the replica with the fewest requests in flight.

    Parameters
    ----------
    random_source : random.Random
        Breaks ties.
    """

    def __init__(self, random_source):
        self._random = random_source

    def choose(self, request, replicas, now_ms):
        """Return the replica with the fewest requests in flight, or a Failure."""
        candidates = [r for r in replicas if r.agent_id not in request.excluded]
        if not candidates:
            return Failure(Reason.NO_REPLICA, Step.ROUTE, "", "none is left")
        return min(candidates, key=lambda r: (r.in_flight_count, self._random.random()))


class LeastRecentlyUsed(EvictionPolicy):
    """Evicts the least recently used adapter."""

    def choose_victim(self, slots, now_ms):
        """Return the adapter to evict, or None if all are in use."""
        idle = [slot for slot in slots if not slot.pin_count]
        if not idle:
            return None
        return min(idle, key=_last_use_key).adapter


def _last_use_key(slot):
    return max(slot.last_used_ms, slot.loaded_at_ms), slot.adapter


class FirstComeFirstServed(QueueOrder):
    """Orders dispatches and loads by arrival time only."""

    def order_dispatch(self, waiting, resident, running, now_ms):
        """Return the WaitingRequests for resident adapters in order of arrival."""
        ready = [item for item in waiting if item.adapter in resident]
        return sorted(ready, key=_arrival_key)

    def order_loads(self, waiting, present, now_ms):
        """Return the adapters to load in order of their first request's arrival."""
        ordered = sorted(waiting, key=_arrival_key)
        adapters = (item.adapter for item in ordered if item.adapter not in present)
        return list(dict.fromkeys(adapters))


def _arrival_key(item):
    return item.arrived_ms, item.attempt_id


class NaivePolicies(PolicySet):
    """Fewest requests in flight, LRU eviction, arrival order, equal load shares."""

    refuses_early = False

    def make_chooser(self, entry_id):
        """Return a LeastInFlightChooser."""
        return LeastInFlightChooser(self.make_random_source(f"chooser {entry_id}"))

    def make_queue_order(self):
        """Return a FirstComeFirstServed."""
        return FirstComeFirstServed()

    def make_eviction_policy(self):
        """Return a LeastRecentlyUsed."""
        return LeastRecentlyUsed()

    def make_load_budget(self, loop):
        """Return an EqualShareBudget."""
        return EqualShareBudget(self.configuration.weight_store, self.engine_count)
