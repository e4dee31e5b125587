"""Plans an agent's next steps from its queue, slots and budget, without any I/O."""

import attrs

from nutmegdeal.agent.loads import LoadBackoff
from nutmegdeal.agent.policy import EvictionPolicy, LoadBudget, QueueOrder, SlotView
from nutmegdeal.agent.slots import Order, Pin, SlotState, SlotTable
from nutmegdeal.usage_rates import UsageRates

PRESENT_STATES = (SlotState.LOADING, SlotState.RESIDENT, SlotState.UNKNOWN)


@attrs.frozen
class Dispatch:
    """A waiting request that may be sent now.

    Parameters
    ----------
    attempt_id : str
    pin : Pin or None
        Pin held for the request; None for a plain service.
    """

    attempt_id: str
    pin: Pin | None


@attrs.frozen
class Plan:
    """Next steps of an agent.

    Parameters
    ----------
    dispatches : tuple of Dispatch
    orders : tuple of slots.Order
        Loads and unloads to send; the slot table already has them as in progress.
    wanted_load_count : int
        Loads that wait for the weight store's budget, at most as many as there are
        slots that are free or can be freed.
    """

    dispatches: tuple[Dispatch, ...] = ()
    orders: tuple[Order, ...] = ()
    wanted_load_count: int = 0


@attrs.define(eq=False)
class Planner:
    """Decides on dispatches, loads and evictions of one model engine.

    Parameters
    ----------
    slots : SlotTable
    queue_order : QueueOrder
    eviction : EvictionPolicy
    budget : LoadBudget
    backoff : LoadBackoff
    rates : UsageRates
    """

    slots: SlotTable
    queue_order: QueueOrder
    eviction: EvictionPolicy
    budget: LoadBudget
    backoff: LoadBackoff
    rates: UsageRates = attrs.field(factory=UsageRates)

    def plan(self, waiting, running, free_batch_count, may_order, may_evict, now_ms):
        """Decide on the next steps and record them in the slot table.

        Parameters
        ----------
        waiting : sequence of WaitingRequest
        running : mapping of str to int
            Requests now running, by adapter.
        free_batch_count : int
            Further requests that the backend server can take now.
        may_order : bool
            False if the lease forbids load and unload orders now.
        may_evict : bool
            False while requests of a predecessor may use any adapter.
        now_ms : float

        Returns
        -------
        Plan
        """
        dispatches = self._dispatch(waiting, running, free_batch_count, now_ms)
        sent = {dispatch.attempt_id for dispatch in dispatches}
        remaining = [item for item in waiting if item.attempt_id not in sent]
        self._queue_loads(remaining, now_ms)
        if not may_order:
            return Plan(dispatches)
        repeated_unloads = self._repeat_unloads(now_ms) if may_evict else []
        loads, wanted_count = self._start_loads(remaining, now_ms)
        evictions = []
        if wanted_count and may_evict:
            evictions = self._evict_for_loads(remaining, wanted_count, now_ms)
        available_count = self._available_slot_count(remaining, may_evict)
        return Plan(
            dispatches,
            (*repeated_unloads, *loads, *evictions),
            min(wanted_count, available_count),
        )

    def _available_slot_count(self, waiting, may_evict):
        """Return the number of slots that are free or can be freed (int)."""
        evicting_count = len(self.slots.adapters_in(SlotState.EVICTING))
        if not may_evict:
            return self.slots.free_count + evicting_count
        wanted = {item.adapter for item in waiting}
        idle = self.slots.adapters_in(SlotState.RESIDENT) - wanted
        idle_count = sum(not self.slots.pin_count(adapter) for adapter in idle)
        return self.slots.free_count + evicting_count + idle_count

    def _dispatch(self, waiting, running, free_batch_count, now_ms):
        resident = self.slots.adapters_in(SlotState.RESIDENT)
        ready = self.queue_order.order_dispatch(waiting, resident, running, now_ms)
        chosen = []
        for item in ready[: max(0, free_batch_count)]:
            pin = self.slots.try_pin(item.adapter) if item.adapter else None
            if item.adapter:
                self.rates.record(item.adapter, now_ms)
            chosen.append(Dispatch(item.attempt_id, pin))
        return tuple(chosen)

    def _queue_loads(self, waiting, now_ms):
        wanted = {item.adapter for item in waiting if item.adapter}
        for adapter in self.slots.adapters_in(SlotState.QUEUED) - wanted:
            self.slots.dequeue(adapter)
        for adapter in wanted:
            self.slots.enqueue(adapter, now_ms)

    def _repeat_unloads(self, now_ms):
        unknown = sorted(self.slots.adapters_in(SlotState.UNKNOWN))
        orders = [self.slots.repeat_unload(adapter, now_ms) for adapter in unknown]
        return [order for order in orders if order]

    def _start_loads(self, waiting, now_ms):
        """Return load orders and the number of loads that can't start yet."""
        present = self.slots.adapters_in(*PRESENT_STATES)
        wanted = self.queue_order.order_loads(waiting, present, now_ms)
        wanted = [a for a in wanted if self._may_load(a, now_ms)]
        orders = []
        while wanted:
            if self.slots.free_count <= 0 or not self.budget.try_start(now_ms):
                break
            orders.append(self.slots.begin_load(wanted.pop(0), now_ms))
        return orders, len(wanted)

    def _may_load(self, adapter, now_ms):
        if self.slots.state(adapter) is SlotState.EVICTING:
            return False
        return self.backoff.may_try(adapter, now_ms)

    def _evict_for_loads(self, waiting, wanted_count, now_ms):
        """Return the unload order, if any, that frees a slot for a waiting load.

        There is none unless only the lack of a free slot keeps the load from starting.
        """
        if self.slots.free_count > 0:
            return []
        evicting_count = len(self.slots.adapters_in(SlotState.EVICTING))
        if evicting_count >= wanted_count:
            return []
        if self.budget.next_start_ms(now_ms) > now_ms:
            return []
        victim = self.eviction.choose_victim(self._slot_views(waiting, now_ms), now_ms)
        if victim is None:
            return []
        order = self.slots.begin_evict(victim, now_ms)
        return [order] if order else []

    def _slot_views(self, waiting, now_ms):
        counts = {}
        for item in waiting:
            counts[item.adapter] = counts.get(item.adapter, 0) + 1
        return [
            SlotView(
                adapter,
                self.slots.pin_count(adapter),
                counts.get(adapter, 0),
                self.rates.last_used_ms(adapter),
                self.rates.rate_per_s(adapter, now_ms),
                self.slots.changed_ms(adapter),
            )
            for adapter in sorted(self.slots.adapters_in(SlotState.RESIDENT))
        ]

    def finish_order(self, order, outcome, now_ms):
        """Apply the outcome of an order of a Plan (None or Failure)."""
        self.slots.finish(order, outcome, now_ms)
