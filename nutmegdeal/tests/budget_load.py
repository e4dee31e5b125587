"""Retries of many simulated gateways that share one budget."""

import random

from nutmegdeal.gateway.burst_share import BurstShare
from nutmegdeal.gateway.retries import BUDGET_SHARE
from nutmegdeal.retry_budget import WindowedRetryBudget

STEP_MS = 200.0
# Time from the start of a gateway until its placers count it, and until the others are
# told.
CONNECT_MS = 100.0
REPORT_LAG_MS = 450.0


class SimulatedGateway:
    """One gateway that retries as often as it may.

    Parameters
    ----------
    bounds : Bounds
    started_ms : float
    """

    def __init__(self, bounds, started_ms):
        self.started_ms = started_ms
        self._share = BurstShare(bounds, started_ms)
        self._budget = WindowedRetryBudget(
            bounds.retry_ratio * BUDGET_SHARE, 0.0, bounds.retry_window_ms
        )

    def earn(self, now_ms):
        """Count a request."""
        self._budget.earn(now_ms)

    def spend_all(self, reported_count, now_ms):
        """Retry until the budget is spent; return the number of retries (int)."""
        self._budget.set_burst_count(self._share.compute(reported_count, now_ms))
        count = 0
        while self._budget.try_spend(now_ms):
            count += 1
        return count


class BudgetSite:
    """Gateways that start, are restarted and retry at a service that always fails.

    Parameters
    ----------
    bounds : Bounds
    starts_ms : list of float
        When each gateway starts.
    has_placers : bool
        Placers count the gateways.
    requests_per_s : float
        Requests for the service, at all gateways together.
    """

    def __init__(self, bounds, starts_ms, has_placers=True, requests_per_s=0.0):
        self._bounds = bounds
        self._has_placers = has_placers
        self._request_chance = requests_per_s * STEP_MS / 1000 / len(starts_ms)
        self._random = random.Random(1)
        self._gateways = [SimulatedGateway(bounds, at_ms) for at_ms in starts_ms]
        self._requests_ms = []
        self._retries_ms = []

    def restart(self, number, at_ms):
        """Let a gateway forget everything and start again."""
        self._gateways[number] = SimulatedGateway(self._bounds, at_ms)

    def run(self, begin_ms, end_ms):
        """Play a time span; return the most retries beyond the bound (float)."""
        worst = -self._bounds.retry_burst
        for step in range(round((end_ms - begin_ms) / STEP_MS)):
            now_ms = begin_ms + step * STEP_MS
            self._step(now_ms)
            worst = max(worst, self._excess(now_ms))
        return worst

    @property
    def retry_count(self):
        """Return the number of all retries (int)."""
        return len(self._retries_ms)

    def _step(self, now_ms):
        for gateway in self._gateways:
            if gateway.started_ms > now_ms:
                continue
            if self._random.random() < self._request_chance:
                gateway.earn(now_ms)
                self._requests_ms.append(now_ms)
            reported_count = self._count(now_ms, gateway)
            retries = gateway.spend_all(reported_count, now_ms)
            self._retries_ms.extend([now_ms] * retries)

    def _count(self, now_ms, gateway):
        """Return what the placers have told a gateway (int)."""
        if not self._has_placers or gateway.started_ms + CONNECT_MS > now_ms:
            return 0
        told_ms = max(now_ms - REPORT_LAG_MS, gateway.started_ms)
        return sum(
            item.started_ms + CONNECT_MS <= max(told_ms, CONNECT_MS)
            for item in self._gateways
        )

    def _excess(self, now_ms):
        since_ms = now_ms - self._bounds.retry_window_ms
        retries = sum(at_ms > since_ms for at_ms in self._retries_ms)
        requests = sum(at_ms > since_ms for at_ms in self._requests_ms)
        allowed = self._bounds.retry_ratio * requests + self._bounds.retry_burst
        return retries - allowed
