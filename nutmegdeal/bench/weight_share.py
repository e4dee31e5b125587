"""Compares ways to share the limits of the weight store among agents.

Run ``python -m nutmegdeal.bench.weight_share --seed N``; it prints one JSON line for
each site, load and way. Agents want loads at random times, a few of them far more often
than the rest. The load budgets are those of the agent program.
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
DEMAND_SKEW = 1.0
WANTED_COUNT_MAX = 4


@attrs.frozen
class Site:
    """Number of agents and rate limit of the weight store of a team.

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


class BudgetSharing(abc.ABC):
    """Way to share the limits of the weight store among the agents of a site."""

    def __init__(self, site, store, clock):
        self.clock = clock
        self.write_count = 0
        self.conflict_count = 0
        self.budgets = self.build_budgets(site, store)

    @abc.abstractmethod
    def build_budgets(self, site, store):
        """Return the LoadBudget of each agent."""

    def update(self, queues):
        """Update the shares; `queues` holds the waiting loads of each agent."""
        return


class EqualBudgetSharing(BudgetSharing):
    """Each agent has the same share."""

    def build_budgets(self, site, store):
        """Return the LoadBudget of each agent."""
        count = site.agent_count
        return [EqualShareBudget(store, count) for _ in range(count)]


class DemandBudgetSharing(BudgetSharing):
    """Shares follow the queue lengths that were reported `DEMAND_LAG_MS` ago."""

    def build_budgets(self, site, store):
        """Return the LoadBudget of each agent."""
        self._reports = collections.deque()
        count = site.agent_count
        return [DemandShareBudget(store, count) for _ in range(count)]

    def update(self, queues):
        """Set the shares by the previous report, once per `DEMAND_LAG_MS`."""
        now_ms = self.clock.monotonic_ms()
        if now_ms % DEMAND_LAG_MS:
            return
        self._reports.append([len(queue) for queue in queues])
        if len(self._reports) < 2:
            return
        counts = self._reports.popleft()
        for own_count, budget in zip(counts, self.budgets, strict=True):
            budget.set_demand(own_count, sum(counts), len(counts))


class TrancheBudgetSharing(BudgetSharing):
    """Agents claim start times from one shared row by compare-and-set."""

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
        """Let the next agent in turn write if it is due.

        There is one turn per tick, as `TICK_MS` is the time of a table call.
        """
        agent_index = int(self.clock.monotonic_ms() / TICK_MS) % len(queues)
        wanted_count = min(len(queues[agent_index]), WANTED_COUNT_MAX)
        if self._controllers[agent_index].is_due(wanted_count):
            self._controllers[agent_index].step(wanted_count)
        row = self._table.rows.get(SHARED_KEY)
        written_count = row.version if row else 0
        self.write_count = written_count
        self.conflict_count = self._table.write_count - written_count


SHARING_CLASSES = {
    "equal": EqualBudgetSharing,
    "demand": DemandBudgetSharing,
    "tranches": TrancheBudgetSharing,
}


@attrs.define
class LoadStatistics:
    """Start times, waits and concurrency of the loads of a run."""

    waits_ms: list = attrs.field(factory=list)
    starts_ms: list = attrs.field(factory=list)
    transit_peak_count: int = 0

    def starts_per_s_peak(self):
        """Return the largest number of starts within any second (int)."""
        peak, first = 0, 0
        for last, start_ms in enumerate(self.starts_ms):
            while self.starts_ms[first] <= start_ms - 1_000:
                first += 1
            peak = max(peak, last - first + 1)
        return peak

    def wait_ms(self, fraction):
        """Return a quantile of the waits from the request of a load to its start."""
        ordered = sorted(self.waits_ms)
        return round(ordered[int(fraction * (len(ordered) - 1))])


def generate_wanted_loads(site, fraction, seed):
    """Return (time in ms, agent index) of all wanted loads, in order of time (list)."""
    random_source = random.Random(seed)
    weights = [1 / (rank + 1) ** DEMAND_SKEW for rank in range(site.agent_count)]
    wanted = []
    at_ms = 0.0
    while at_ms < DURATION_MS:
        # Popularity shifts: halfway, the order of the agents by demand is reversed.
        order = weights if at_ms < DURATION_MS / 2 else weights[::-1]
        agent = random_source.choices(range(site.agent_count), order)[0]
        wanted.append((at_ms, agent))
        at_ms += random_source.expovariate(site.loads_per_s * fraction) * 1_000
    return wanted


def simulate(site, fraction, sharing_class, seed):
    """Return the LoadStatistics and the BudgetSharing of one run."""
    store = WeightStorePolicy(site.loads_per_s)
    clock = ManualClock()
    sharing = sharing_class(site, store, clock)
    queues = [collections.deque() for _ in range(site.agent_count)]
    wanted = collections.deque(generate_wanted_loads(site, fraction, seed))
    ends = []
    statistics = LoadStatistics()
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
                statistics.waits_ms.append(now_ms - queue.popleft())
                statistics.starts_ms.append(now_ms)
                slowdown = max(1.0, (len(ends) + 1) / store.transit_max)
                ends.append((now_ms + store.load_ms * slowdown, agent))
        statistics.transit_peak_count = max(statistics.transit_peak_count, len(ends))
        clock.advance(TICK_MS)
    return statistics, sharing


def summarize_run(site, fraction, name, seed):
    """Return the results of one run (dict, for JSON)."""
    statistics, sharing = simulate(site, fraction, SHARING_CLASSES[name], seed)
    minutes = max(statistics.starts_ms) / 60_000
    return {
        "site": site.name,
        "load_fraction": fraction,
        "way": name,
        "seed": seed,
        "load_count": len(statistics.starts_ms),
        "wait_p50_ms": statistics.wait_ms(0.5),
        "wait_p95_ms": statistics.wait_ms(0.95),
        "starts_per_s_peak": statistics.starts_per_s_peak(),
        "transit_peak_count": statistics.transit_peak_count,
        "writes_per_s": round(sharing.write_count / minutes / 60, 2),
        "conflicts_per_s": round(sharing.conflict_count / minutes / 60, 2),
    }


def main():
    """Run every way at every site and load, and print the results."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    for site in SITES:
        for fraction in LOAD_FRACTIONS:
            for name in SHARING_CLASSES:
                print(json.dumps(summarize_run(site, fraction, name, seed)), flush=True)


if __name__ == "__main__":
    main()
