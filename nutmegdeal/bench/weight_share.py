"""Measures ways to share the weight store's limits; prints one JSON line for each.

Run ``python -m nutmegdeal.bench.weight_share --seed N``. Agents want loads at random
times, a few of them far more than the rest; the budgets are those of the agent.
"""

import abc
import argparse
import collections
import json
import random

import attrs

from nutmegdeal.agent.budgets import (
    DemandShareBudget,
    EqualShareBudget,
)
from nutmegdeal.agent.tranches import (
    SHARED_KEY,
    SharedBudget,
    TrancheController,
)
from nutmegdeal.clock import ManualClock
from nutmegdeal.configuration import WeightStorePolicy
from nutmegdeal.fakes.memory import MemoryTable

TICK_MS = 5
DEMAND_LAG_MS = 1_000
DURATION_MS = 600_000
SKEW = 1.0
WANTED_MAX = 4


@attrs.frozen
class Site:
    """A team's engines and weight store.

    Parameters
    ----------
    name : str
    agent_count : int
    loads_per_s : float
    """

    name: str
    agent_count: int
    loads_per_s: float


SITES = (Site("knusepool", 6, 4.0), Site("cascadia", 9, 6.0))
LOAD_FRACTIONS = (0.5, 0.8, 0.95)


class Sharing(abc.ABC):
    """A way to share the limits."""

    def __init__(self, site, store, clock):
        self.clock = clock
        self.write_count = 0
        self.conflict_count = 0
        self.budgets = self.build_budgets(site, store)

    @abc.abstractmethod
    def build_budgets(self, site, store):
        """Return the LoadBudget of each agent."""

    def update(self, queues):
        """Bring the shares up to date; `queues` holds what each agent waits for."""
        return


class EqualSharing(Sharing):
    """Each agent has the same part."""

    def build_budgets(self, site, store):
        """Return the LoadBudget of each agent."""
        count = site.agent_count
        return [EqualShareBudget(store, count) for _ in range(count)]


class DemandSharing(Sharing):
    """Parts follow the queues as they were reported a lag ago."""

    def build_budgets(self, site, store):
        """Return the LoadBudget of each agent."""
        self._reports = collections.deque()
        count = site.agent_count
        return [DemandShareBudget(store, count) for _ in range(count)]

    def update(self, queues):
        """Share by the lagging report, once a second."""
        now_ms = self.clock.monotonic_ms()
        if now_ms % DEMAND_LAG_MS:
            return
        self._reports.append([len(queue) for queue in queues])
        if len(self._reports) < 2:
            return
        counts = self._reports.popleft()
        for own_count, budget in zip(counts, self.budgets, strict=True):
            budget.set_demand(own_count, sum(counts), len(counts))


class TrancheSharing(Sharing):
    """Start times are taken from one row by compare-and-set."""

    def build_budgets(self, site, store):
        """Return the LoadBudget of each agent."""
        self._table = MemoryTable()
        count = site.agent_count
        budgets = [SharedBudget(self.clock, store, count) for _ in range(count)]
        self._controllers = [
            TrancheController(budget, self._table, f"agent-{index}", self.clock)
            for index, budget in enumerate(budgets)
        ]
        for controller in self._controllers:
            controller.step(0)
        return budgets

    def update(self, queues):
        """Let the agents that want to write, a call's time apart, in turn."""
        turn = int(self.clock.monotonic_ms() / TICK_MS) % len(queues)
        wanted_count = min(len(queues[turn]), WANTED_MAX)
        if self._controllers[turn].is_due(wanted_count):
            self._controllers[turn].step(wanted_count)
        row = self._table.rows.get(SHARED_KEY)
        written_count = row.version if row else 0
        self.write_count = written_count
        self.conflict_count = self._table.write_count - written_count


WAYS = {
    "equal": EqualSharing,
    "demand": DemandSharing,
    "tranches": TrancheSharing,
}


@attrs.define
class Tally:
    """What a run has seen."""

    waits_ms: list = attrs.field(factory=list)
    starts_ms: list = attrs.field(factory=list)
    transit_peak_count: int = 0

    def starts_per_s_peak(self):
        """Return the most starts within any second (int)."""
        peak, first = 0, 0
        for last, start_ms in enumerate(self.starts_ms):
            while self.starts_ms[first] <= start_ms - 1_000:
                first += 1
            peak = max(peak, last - first + 1)
        return peak

    def wait_ms(self, fraction):
        """Return a quantile of the waits from wanting a load to its start."""
        ordered = sorted(self.waits_ms)
        return round(ordered[int(fraction * (len(ordered) - 1))])


def arrivals(site, fraction, seed):
    """Return the times (ms) and agents of all wanted loads, in order."""
    source = random.Random(seed)
    weights = [1 / (rank + 1) ** SKEW for rank in range(site.agent_count)]
    wanted = []
    at_ms = 0.0
    while at_ms < DURATION_MS:
        # The skewed agents change places half-way, as popularity shifts.
        order = weights if at_ms < DURATION_MS / 2 else weights[::-1]
        agent = source.choices(range(site.agent_count), order)[0]
        wanted.append((at_ms, agent))
        at_ms += source.expovariate(site.loads_per_s * fraction) * 1_000
    return wanted


def run(site, fraction, way, seed):
    """Return the Tally and the Sharing of one run."""
    store = WeightStorePolicy(site.loads_per_s)
    clock = ManualClock()
    sharing = way(site, store, clock)
    queues = [collections.deque() for _ in range(site.agent_count)]
    wanted = collections.deque(arrivals(site, fraction, seed))
    ends = []
    tally = Tally()
    while wanted or any(queues):
        now_ms = clock.monotonic_ms()
        if now_ms > 2 * DURATION_MS:
            break
        while wanted and wanted[0][0] <= now_ms:
            at_ms, agent = wanted.popleft()
            queues[agent].append(at_ms)
        for end in [end for end in ends if end[0] <= now_ms]:
            ends.remove(end)
            sharing.budgets[end[1]].finish(now_ms)
        sharing.update(queues)
        for agent, queue in enumerate(queues):
            while queue and sharing.budgets[agent].try_start(now_ms):
                tally.waits_ms.append(now_ms - queue.popleft())
                tally.starts_ms.append(now_ms)
                slow = max(1.0, (len(ends) + 1) / store.transit_max)
                ends.append((now_ms + store.load_ms * slow, agent))
        tally.transit_peak_count = max(tally.transit_peak_count, len(ends))
        clock.advance(TICK_MS)
    return tally, sharing


def describe(site, fraction, name, seed):
    """Return the figures of one run (dict, for JSON)."""
    tally, sharing = run(site, fraction, WAYS[name], seed)
    minutes = max(tally.starts_ms) / 60_000
    return {
        "site": site.name,
        "load_fraction": fraction,
        "way": name,
        "seed": seed,
        "load_count": len(tally.starts_ms),
        "wait_p50_ms": tally.wait_ms(0.5),
        "wait_p95_ms": tally.wait_ms(0.95),
        "starts_per_s_peak": tally.starts_per_s_peak(),
        "transit_peak_count": tally.transit_peak_count,
        "writes_per_s": round(sharing.write_count / minutes / 60, 2),
        "conflicts_per_s": round(sharing.conflict_count / minutes / 60, 2),
    }


def main():
    """Run every way at every site and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    for site in SITES:
        for fraction in LOAD_FRACTIONS:
            for name in WAYS:
                print(json.dumps(describe(site, fraction, name, seed)), flush=True)


if __name__ == "__main__":
    main()
