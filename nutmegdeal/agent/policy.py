"""Abstract policies of an agent: eviction, queue order and load budget."""

import abc

import attrs

from nutmegdeal.messages import Urgency


@attrs.frozen
class WaitingRequest:
    """A request in the agent's queue.

    Parameters
    ----------
    attempt_id : str
    adapter : str
        Engine name, "" for a plain service.
    urgency : Urgency
    arrived_ms, deadline_ms : float
        Monotonic times.
    """

    attempt_id: str
    adapter: str
    urgency: Urgency
    arrived_ms: float
    deadline_ms: float


@attrs.frozen
class SlotView:
    """A resident adapter as an eviction policy sees it.

    Parameters
    ----------
    adapter : str
    pin_count : int
    waiting_count : int
        Requests in the queue for it.
    last_used_ms : float
    use_rate_per_s : float
        Decayed rate of its requests.
    loaded_at_ms : float
    """

    adapter: str
    pin_count: int
    waiting_count: int
    last_used_ms: float
    use_rate_per_s: float
    loaded_at_ms: float


class EvictionPolicy(abc.ABC):
    """Chooses the adapter to evict."""

    @abc.abstractmethod
    def choose_victim(self, slots, now_ms):
        """Return the adapter to evict (str), or None if none may be evicted.

        Parameters
        ----------
        slots : sequence of SlotView
        now_ms : float
        """


class QueueOrder(abc.ABC):
    """Orders the queue for dispatch and for loading."""

    @abc.abstractmethod
    def order_dispatch(self, waiting, resident, running, now_ms):
        """Return the waiting requests for resident adapters in dispatch order.

        Parameters
        ----------
        waiting : sequence of WaitingRequest
        resident : frozenset of str
        running : mapping of str to int
            Requests now running, by adapter.
        now_ms : float
        """

    @abc.abstractmethod
    def order_loads(self, waiting, present, now_ms):
        """Return the adapters to load that are not in `present`, most urgent first."""


class LoadBudget(abc.ABC):
    """One agent's share of the weight store's limits."""

    @abc.abstractmethod
    def try_start(self, now_ms):
        """Reserve the start of one load; return whether the budget allows it (bool)."""

    @abc.abstractmethod
    def finish(self, now_ms):
        """Record the end of a load in transit, whether it succeeded or not."""

    @abc.abstractmethod
    def next_start_ms(self, now_ms):
        """Return the monotonic time at which the next load may start (float)."""
