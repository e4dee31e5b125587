"""A model engine that executes its planner's orders at once, on simulated time."""

from nutmegdeal.engine_messages import AdapterUse, EngineLimits
from nutmegdeal.order_kinds import OrderKind
from nutmegdeal.placer.planning import AdapterDemand, AdapterPlanner
from nutmegdeal.tests.platform_builders import build_report

DEADLINE_MS = 15_000.0
DUE_MS = 3_000.0


class PlannedEngine:
    """An engine and the planner of its placer, with one gateway.

    Parameters
    ----------
    place_count : int
    """

    def __init__(self, place_count):
        self.planner = AdapterPlanner()
        self.planner.apply_limits("s", EngineLimits("model", place_count))
        self.resident = set()
        self._order_count = 0
        self._report(0.0)

    def request(self, adapters, now_ms):
        """Add demands that can be in time, and execute all orders."""
        for adapter in adapters:
            demand = AdapterDemand(0, now_ms + DEADLINE_MS, now_ms + DUE_MS)
            self.planner.add_demand("s", adapter, demand)
        self.execute(now_ms)

    def execute(self, now_ms):
        """Execute the planner's orders until there are none."""
        while (order := self.planner.next_order(now_ms)) is not None:
            if order.operation is OrderKind.LOAD:
                self.resident.add(order.adapter)
            else:
                self.resident.remove(order.adapter)
            self._order_count += 1
            self._report(now_ms)
            self.planner.remove_ended_demands(now_ms)

    def use(self, adapters, now_ms):
        """Report the adapters on which requests run, and execute all orders."""
        uses = tuple(AdapterUse(adapter, 1, 0) for adapter in adapters)
        self.planner.apply_uses("s", uses, now_ms)
        self.execute(now_ms)

    def _report(self, now_ms):
        report = build_report(
            order_count=self._order_count,
            resident=frozenset(f"{adapter}@1" for adapter in self.resident),
        )
        self.planner.apply_report(report, now_ms)
