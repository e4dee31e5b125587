"""The adapters at a model engine as its agent knows them, and the requests using them.

The table is a plain state machine that sends no orders itself. A controller asks it
whether an order is allowed, sends the order and passes the outcome to the table.
"""

import enum
import math

import attrs

from nutmegdeal.errors import Failure
from nutmegdeal.order_kinds import OrderKind

# Number of incarnations remembered to recognize late reports of earlier ones.
ENGINE_INCARNATIONS_MAX = 16


class SlotState(enum.Enum):
    """State of an adapter at the engine, as far as the agent knows."""

    ABSENT = "absent"
    QUEUED = "queued"
    LOADING = "loading"
    RESIDENT = "resident"
    EVICTING = "evicting"
    UNKNOWN = "unknown"


@attrs.frozen
class Order:
    """A load or unload order that the table has allowed.

    Parameters
    ----------
    number : int
        Unique among the orders and pins of the table.
    kind : OrderKind
    adapter : str
    started_ms : float
    """

    number: int
    kind: OrderKind
    adapter: str
    started_ms: float


@attrs.frozen
class Pin:
    """Marks an adapter as in use by a request, which forbids its eviction."""

    number: int
    adapter: str


@attrs.define
class Slot:
    """One adapter's entry in the table.

    Parameters
    ----------
    adapter : str
    state : SlotState
    changed_ms : float
        When the state was entered.
    order : Order or None
        Last order sent; its outcome is not known in LOADING, EVICTING and UNKNOWN.
    is_unload_due : bool
        True if an unload got no answer and a later report still shows the adapter.
    """

    adapter: str
    state: SlotState
    changed_ms: float
    order: Order | None = None
    is_unload_due: bool = False


OCCUPYING_STATES = frozenset(
    {SlotState.LOADING, SlotState.RESIDENT, SlotState.EVICTING, SlotState.UNKNOWN}
)


class SlotTable:
    """State and pins of the adapters at one model engine.

    Parameters
    ----------
    slot_count : int
        Adapters that the engine holds at once.
    """

    def __init__(self, slot_count):
        self.slot_count = slot_count
        self._slots = {}
        self._pins = {}
        self._pin_counts = {}
        self._absent_since_ms = {}
        self._incarnations = []
        self._next_number = 0

    @property
    def engine_incarnation(self):
        """Incarnation of the engine by its newest report, "" before the first."""
        return self._incarnations[-1] if self._incarnations else ""

    @property
    def free_count(self):
        """Slots that no adapter occupies or may occupy."""
        occupied = [s for s in self._slots.values() if s.state in OCCUPYING_STATES]
        return self.slot_count - len(occupied)

    def state(self, adapter):
        """Return the SlotState of an adapter."""
        slot = self._slots.get(adapter)
        return slot.state if slot else SlotState.ABSENT

    def changed_ms(self, adapter):
        """Return when the adapter's state was entered, 0 for an unknown adapter."""
        slot = self._slots.get(adapter)
        return slot.changed_ms if slot else 0.0

    def adapters_in(self, *states):
        """Return the adapters in any of the states (frozenset of str)."""
        slots = self._slots.values()
        return frozenset(slot.adapter for slot in slots if slot.state in states)

    def pin_count(self, adapter):
        """Return the number of requests that use an adapter."""
        return self._pin_counts.get(adapter, 0)

    def try_pin(self, adapter):
        """Return a Pin if the adapter is resident, otherwise None."""
        if self.state(adapter) is not SlotState.RESIDENT:
            return None
        pin = Pin(self._allocate_number(), adapter)
        self._pins[pin.number] = pin
        self._pin_counts[adapter] = self.pin_count(adapter) + 1
        return pin

    def unpin(self, pin):
        """Release a Pin; releasing it again changes nothing.

        Pins outlive a restart of the engine: a request that started just after the
        restart, before a report showed it, still protects its adapter.
        """
        if self._pins.pop(pin.number, None) is None:
            return
        count = self._pin_counts[pin.adapter] - 1
        if count:
            self._pin_counts[pin.adapter] = count
        else:
            del self._pin_counts[pin.adapter]

    def enqueue(self, adapter, now_ms):
        """Queue an absent adapter for loading."""
        if self.state(adapter) is SlotState.ABSENT:
            self._slots[adapter] = Slot(adapter, SlotState.QUEUED, now_ms)

    def dequeue(self, adapter):
        """Remove a queued adapter for which no request waits any more."""
        if self.state(adapter) is SlotState.QUEUED:
            del self._slots[adapter]

    def begin_load(self, adapter, now_ms):
        """Return an Order to load, or None if it is present or no slot is free."""
        if self.state(adapter) not in (SlotState.ABSENT, SlotState.QUEUED):
            return None
        if self.free_count <= 0:
            return None
        return self._begin(OrderKind.LOAD, SlotState.LOADING, adapter, now_ms)

    def begin_evict(self, adapter, now_ms):
        """Return an Order to unload, or None if it is in use or not resident."""
        if self.pin_count(adapter):
            return None
        if self.state(adapter) is not SlotState.RESIDENT:
            return None
        return self._begin(OrderKind.UNLOAD, SlotState.EVICTING, adapter, now_ms)

    def repeat_unload(self, adapter, now_ms):
        """Return an Order to unload again if a report still shows the adapter.

        An unanswered unload may still take effect, so the adapter can't be pinned until
        the order has been repeated and answered.
        """
        slot = self._slots.get(adapter)
        if slot is None or not slot.is_unload_due or self.pin_count(adapter):
            return None
        return self._begin(OrderKind.UNLOAD, SlotState.EVICTING, adapter, now_ms)

    def _begin(self, kind, state, adapter, now_ms):
        order = Order(self._allocate_number(), kind, adapter, now_ms)
        self._slots[adapter] = Slot(adapter, state, now_ms, order)
        return order

    def finish(self, order, outcome, now_ms):
        """Apply the outcome of an order.

        Parameters
        ----------
        order : Order
        outcome : None or Failure
            As the engine's client returned it.
        now_ms : float
        """
        slot = self._slots.get(order.adapter)
        if slot is None or slot.order is not order:
            self._finish_superseded(order, outcome, now_ms)
            return
        if isinstance(outcome, Failure) and outcome.maybe_applied:
            self._set_state(slot, SlotState.UNKNOWN, now_ms)
            return
        is_done = outcome is None
        if is_done == (order.kind is OrderKind.LOAD):
            self._set_state(slot, SlotState.RESIDENT, now_ms)
        else:
            self._remove(order.adapter, now_ms)

    def _finish_superseded(self, order, outcome, now_ms):
        """Keep a slot for a load that was answered after a restart was noticed."""
        is_loaded = order.kind is OrderKind.LOAD and outcome is None
        if is_loaded and self.state(order.adapter) in (
            SlotState.ABSENT,
            SlotState.QUEUED,
        ):
            slot = Slot(order.adapter, SlotState.UNKNOWN, now_ms, order)
            self._slots[order.adapter] = slot

    def mark_missing(self, adapter, now_ms):
        """Remove an adapter that the engine lacked when it refused a request."""
        if self.state(adapter) is SlotState.RESIDENT:
            self._remove(adapter, now_ms)

    def process_report(self, report, taken_after_ms, now_ms):
        """Reconcile the table with a report of the engine.

        Parameters
        ----------
        report : EngineReport
        taken_after_ms : float
            Earliest time at which the engine can have taken the report. State that
            changed then or later isn't reconciled with it.
        now_ms : float

        Returns
        -------
        bool
            True if the report shows that the engine has restarted.
        """
        if report.incarnation in self._incarnations[:-1]:
            return False
        is_restart = self._detect_restart(report.incarnation)
        for slot in tuple(self._slots.values()):
            if slot.changed_ms < taken_after_ms:
                self._reconcile(slot, report, now_ms)
        for adapter in report.resident:
            self._add_resident(adapter, taken_after_ms, now_ms)
        self._forget_absences(taken_after_ms)
        return is_restart

    def _detect_restart(self, incarnation):
        if incarnation == self.engine_incarnation:
            return False
        is_restart = bool(self._incarnations)
        self._incarnations.append(incarnation)
        del self._incarnations[:-ENGINE_INCARNATIONS_MAX]
        self._slots.clear()
        self._absent_since_ms.clear()
        return is_restart

    def _reconcile(self, slot, report, now_ms):
        is_resident = slot.adapter in report.resident
        is_loading = slot.adapter in report.loading
        if slot.state is SlotState.RESIDENT and not is_resident:
            self._remove(slot.adapter, now_ms)
        if slot.state is not SlotState.UNKNOWN or is_loading:
            return
        if not is_resident:
            self._remove(slot.adapter, now_ms)
            return
        if slot.order.kind is OrderKind.UNLOAD:
            slot.is_unload_due = True
            return
        self._set_state(slot, SlotState.RESIDENT, now_ms)

    def _add_resident(self, adapter, taken_after_ms, now_ms):
        """Add a resident adapter that this agent did not load."""
        if self.state(adapter) not in (SlotState.ABSENT, SlotState.QUEUED):
            return
        if self._absent_since_ms.get(adapter, -math.inf) >= taken_after_ms:
            return
        self._slots[adapter] = Slot(adapter, SlotState.RESIDENT, now_ms)

    def _forget_absences(self, before_ms):
        kept = {a: t for a, t in self._absent_since_ms.items() if t >= before_ms}
        self._absent_since_ms = kept

    def _set_state(self, slot, state, now_ms):
        slot.state = state
        slot.changed_ms = now_ms

    def _remove(self, adapter, now_ms):
        del self._slots[adapter]
        self._absent_since_ms[adapter] = now_ms

    def _allocate_number(self):
        self._next_number += 1
        return self._next_number
