"""Planning of the next adapter that a model engine loads or unloads.

There are thousands of adapters, a few of them very popular. An engine holds about
twenty and loads four at a time. An order may stay unanswered and be executed late.
"""

import attrs

from nutmegdeal.order_kinds import OrderKind
from nutmegdeal.placer.orders import AnsweredOrder, Order, UnansweredOrders
from nutmegdeal.placer.turnover import NO_RANK, PlaceQueue, PlaceTurnover
from nutmegdeal.site_configuration import (
    CONCURRENT_LOADS_MAX,
    UNCONTENDED_LOAD_MS,
    split_adapter,
)
from nutmegdeal.usage_rates import UsageRates

# Decay time of the use average for eviction; popularity changes within seconds.
USE_DECAY_MS = 15_000.0
# A loaded adapter is kept for at least this time, or until it has been used, so that
# the requests that waited for it can use it.
MIN_RESIDENCE_MS = 400.0
# Pause between orders for the base model, whose load takes up to some seconds.
MODEL_ORDER_INTERVAL_MS = 1_000.0
# Version of an adapter that is not loaded: below every version and below 0, which
# stands for any version.
NOT_HELD = -1


@attrs.frozen
class AdapterDemand:
    """One gateway's demand for an adapter.

    Parameters
    ----------
    version : int
        Least version needed, 0 for any.
    deadline_ms : float
        When the adapter is no longer needed, on the monotonic clock.
    due_ms : float
        When the adapter must be loaded for the first of the waiting requests to get its
        first event in time.
    waiting_count : int
        Requests that wait for the adapter, 0 for a copy for later requests.
    rank : int
        Urgency of the most urgent of them; 0 is the first.
    resumed_rank : int or None
        The same of the resumed streams among them, None if there are none. With some,
        `due_ms` is when the last of them needs the adapter.
    """

    version: int
    deadline_ms: float
    due_ms: float
    waiting_count: int = 1
    rank: int = 0
    resumed_rank: int | None = None


class AdapterPlanner:
    """Plans the orders to one engine.

    Attributes
    ----------
    limits : EngineLimits or None
        None until a gateway has sent them.
    report : EngineReport or None
        Last report, None while the engine does not answer.
    """

    def __init__(self):
        self.limits = None
        self.report = None
        self._held = {}
        self._loading = frozenset()
        self._announced_loads = frozenset()
        self._demands = {}
        self._running = {}
        self._rates = UsageRates(USE_DECAY_MS)
        self._resident_since_ms = {}
        self._used = set()
        self._turnover = PlaceTurnover()
        self._limits_by_session = {}
        self._unanswered = UnansweredOrders()
        self._answered = []
        self._model_ordered_ms = float("-inf")

    def apply_report(self, report, now_ms):
        """Apply a report of the engine, None if the engine does not answer."""
        self.report = report
        if report is None:
            self._held, self._loading = {}, frozenset()
            self._used = set()
            return
        self._held = dict(map(split_adapter, report.resident))
        self._loading = frozenset(split_adapter(name)[0] for name in report.loading)
        self._resident_since_ms = {
            name: self._resident_since_ms.get(name, now_ms) for name in self._held
        }
        self._used &= self._held.keys()
        self._turnover.keep(self._held)
        self._unanswered.remove_expired(now_ms)
        self._check_answers(report, now_ms)

    def _check_answers(self, report, now_ms):
        """Treat orders whose answers the report does not confirm as unanswered."""
        answered, self._answered = self._answered, []
        for item in answered:
            if not item.is_settled(report):
                self._unanswered.record(item.order, item.expected_count, now_ms)

    def apply_limits(self, session, limits):
        """Apply the EngineLimits of a session's gateway."""
        self.limits = limits
        self._limits_by_session[session] = limits

    @property
    def engine_id(self):
        """Return the id of the present instance, "" if no gateway knows it (str)."""
        if self.report is None:
            return ""
        started = self.report.started_unix_ms
        ids = (
            limits.backend_id
            for limits in self._limits_by_session.values()
            if started and limits.backend_started_unix_ms == started
        )
        return next(ids, "")

    @property
    def _awaits_engine_id(self):
        """Return whether a gateway will send the id of the present instance.

        Gateways of an earlier release do not send it, and some registrations do not
        contain the start time.
        """
        if self.engine_id or not self.report.started_unix_ms:
            return False
        return any(
            limits.backend_started_unix_ms
            for limits in self._limits_by_session.values()
        )

    def add_demand(self, session, adapter, demand):
        """Set the demand of a session's gateway for an adapter."""
        self._demands.setdefault(adapter, {})[session] = demand

    def remove_demand(self, session, adapter):
        """Remove the demand of a session's gateway for an adapter."""
        by_session = self._demands.get(adapter, {})
        by_session.pop(session, None)
        if not by_session:
            self._demands.pop(adapter, None)

    def apply_uses(self, session, uses, now_ms):
        """Record the adapters that a session's gateway uses.

        Parameters
        ----------
        session : Session
        uses : tuple of AdapterUse
            All adapters in use; an adapter that is missing is not in use.
        now_ms : float
        """
        self._running[session] = {use.adapter for use in uses if use.running_count > 0}
        started = {use.adapter for use in uses if use.started_count > 0}
        for use in uses:
            for _ in range(use.started_count):
                self._rates.record(use.adapter, now_ms)
        self._used |= (started | self._running[session]) & self._held.keys()
        self._turnover.record_uses(self._in_use, started, now_ms)

    def remove_session(self, session):
        """Remove what a session that has ended has sent."""
        self._running.pop(session, None)
        self._limits_by_session.pop(session, None)
        for adapter in list(self._demands):
            self.remove_demand(session, adapter)

    def record_unanswered(self, order, now_ms):
        """Record an unanswered order, which may still be executed."""
        self._unanswered.record(order, self.report.order_count, now_ms)

    def record_answered(self, order):
        """Record an answered order, which the next report has to confirm."""
        report = self.report
        self._answered.append(
            AnsweredOrder(order, report.order_count, report.started_unix_ms)
        )

    @property
    def _in_use(self):
        """Return the adapters on which requests run (frozenset of str)."""
        return frozenset().union(*self._running.values())

    def _is_settling(self, adapter, now_ms):
        """Return whether an adapter was just loaded and waits for its first use."""
        return (
            adapter not in self._used
            and now_ms - self._resident_since_ms[adapter] < MIN_RESIDENCE_MS
        )

    def place_queue(self, now_ms):
        """Return the PlaceQueue of the engine."""
        if self.limits is None or self.report is None:
            return PlaceQueue(0)
        held_back = {
            adapter for adapter in self._held if self._is_settling(adapter, now_ms)
        }
        kept = (self._in_use & self._held.keys()) | held_back | self._loading
        unmet = self._unmet_demands(now_ms)
        in_time = [
            by_session
            for by_session in unmet.values()
            if not self._is_late(by_session, now_ms)
        ]
        place_count = self.limits.adapter_slots_max
        spare_count = place_count - len(kept) - len(unmet)
        queue = self._turnover.estimate(place_count, spare_count, len(in_time), now_ms)
        return attrs.evolve(
            queue,
            resumed_count=sum(_resumed_rank(item) < NO_RANK for item in in_time),
            urgent_rank=self._urgent_rank(unmet, now_ms),
        )

    def _urgent_rank(self, demanded, now_ms):
        """Return the most urgent rank that waits for an adapter in time (int)."""
        return min(
            (
                demand.rank
                for by_session in demanded.values()
                if not self._is_late(by_session, now_ms)
                for demand in by_session.values()
                if demand.waiting_count
            ),
            default=NO_RANK,
        )

    @property
    def queued_count(self):
        """Return how many adapters are in demand and not being loaded (int)."""
        return len(self._demands.keys() - self._loading)

    @property
    def unanswered_count(self):
        """Return how many unanswered orders may still be executed (int)."""
        return len(self._unanswered)

    @property
    def has_model(self):
        """Return whether the engine holds its base model.

        Assumed of an engine that answers until a gateway has sent the limits.
        """
        if self.report is None:
            return False
        return self.limits is None or self.limits.model in self.report.models

    @property
    def has_work(self):
        """Return whether an adapter is in demand or being loaded."""
        return bool(self._demands) or bool(self.report and self.report.loading)

    def next_order(self, now_ms):
        """Return the Order to send now, or None.

        A leaving engine gets no orders: it finishes its runs with what it holds.
        """
        if self.limits is None or self.report is None or self.report.is_changing_model:
            return None
        if self.report.is_leaving:
            return None
        if self.limits.model not in self.report.models:
            return self._order_model(now_ms)
        if self._awaits_engine_id:
            return None
        # At the present count the engine executes only one order, this or a late one.
        late_loads = self._unanswered.count_late_loads(
            self.report.order_count + 1, self.engine_id
        )
        if len(self.report.loading) + late_loads >= CONCURRENT_LOADS_MAX:
            return None
        demanded = self._unmet_demands(now_ms)
        if not demanded:
            return None
        occupied = len(self.report.resident) + len(self.report.loading) + late_loads
        adapter, version = self._most_urgent(demanded, now_ms)
        if occupied < self.limits.adapter_slots_max:
            return self._make_order(OrderKind.LOAD, adapter, version or None)
        victim = self._find_victim(now_ms)
        if victim is None or occupied - 1 > self.limits.adapter_slots_max:
            return None
        if not self._is_late(demanded[adapter], now_ms):
            self._turnover.record_taken_in_time(victim, now_ms)
        return self._make_order(OrderKind.UNLOAD, victim)

    def _make_order(self, operation, adapter="", version=None):
        model = self.limits.model
        return Order(operation, model, adapter, version, self.engine_id)

    def _order_model(self, now_ms):
        if now_ms - self._model_ordered_ms < MODEL_ORDER_INTERVAL_MS:
            return None
        self._model_ordered_ms = now_ms
        return self._make_order(OrderKind.LOAD)

    def remove_ended_demands(self, now_ms):
        """Remove the demands that are fulfilled or past their deadline.

        Returns
        -------
        dict of session to set of str
            Adapters for which requests of these sessions waited and that are loaded.
        """
        fulfilled = {}
        for adapter, by_session in list(self._demands.items()):
            for session, demand in list(by_session.items()):
                if self._held.get(adapter, NOT_HELD) >= demand.version:
                    if demand.waiting_count:
                        fulfilled.setdefault(session, set()).add(adapter)
                    self.remove_demand(session, adapter)
                elif now_ms >= demand.deadline_ms:
                    self.remove_demand(session, adapter)
        return fulfilled

    def take_started_sessions(self):
        """Return the sessions that wait for an adapter whose load has just begun (set).

        Each load is returned once.
        """
        begun = self._loading - self._announced_loads
        self._announced_loads = self._loading
        return {
            session for adapter in begun for session in self._demands.get(adapter, ())
        }

    def _unmet_demands(self, now_ms):
        """Return the demands that a load could fulfil, by adapter and session."""
        return {
            adapter: by_session
            for adapter, by_session in self._demands.items()
            if adapter not in self._loading
            and any(
                now_ms < demand.deadline_ms
                and self._held.get(adapter, NOT_HELD) < demand.version
                for demand in by_session.values()
            )
        }

    @staticmethod
    def _is_late(by_session, now_ms):
        """Return whether a load begun now is too late for all that wait for it."""
        return now_ms + UNCONTENDED_LOAD_MS > _due_ms(by_session)

    def _most_urgent(self, demanded, now_ms):
        """Return the adapter to load next, and its version.

        Adapters that can still be loaded in time come first, and among them those for
        which the most requests wait. When more is in demand than can be loaded, as
        after a cold start, each load thus serves the most requests.

        Those of resumed streams precede the others, unless requests of a more urgent
        rank wait for an adapter in time.
        """
        urgent_rank = self._urgent_rank(demanded, now_ms)

        def urgency(item):
            is_resumed = _resumed_rank(item[1]) <= urgent_rank < NO_RANK
            count = sum(demand.waiting_count for demand in item[1].values())
            is_late = self._is_late(item[1], now_ms)
            return is_late, not is_resumed, -count, _due_ms(item[1])

        adapter, by_session = min(demanded.items(), key=urgency)
        return adapter, max(demand.version for demand in by_session.values())

    def _find_victim(self, now_ms):
        """Return the adapter to evict, or None.

        This is the least used of the adapters that are neither in use nor in demand.
        """
        in_use = self._in_use
        idle = [
            adapter
            for adapter in self._resident_since_ms
            if adapter not in in_use
            and adapter not in self._demands
            and adapter not in self._loading
            and not self._is_settling(adapter, now_ms)
        ]
        if not idle:
            return None
        return min(
            idle,
            key=lambda adapter: (
                self._rates.rate_per_s(adapter, now_ms),
                self._resident_since_ms[adapter],
            ),
        )


def _resumed_rank(by_session):
    """Return the most urgent rank of the resumed streams, NO_RANK if none (int)."""
    ranks = [
        demand.resumed_rank
        for demand in by_session.values()
        if demand.resumed_rank is not None
    ]
    return min(ranks, default=NO_RANK)


def _due_ms(by_session):
    """Return when an adapter must be loaded (float).

    Callers of resumed streams wait until they give up, so a load is of use until then.
    """
    demands = by_session.values()
    resumed = [item.due_ms for item in demands if item.resumed_rank is not None]
    return max(resumed) if resumed else min(item.due_ms for item in demands)
