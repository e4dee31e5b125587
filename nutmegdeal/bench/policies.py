"""Policies that the benchmark compares."""

import abc
import enum
import random

from nutmegdeal.agent.eviction import WeightedEviction
from nutmegdeal.agent.queue_order import WeightedQueueOrder
from nutmegdeal.agent.tranches import SharedBudget, TrancheController
from nutmegdeal.entry.rendezvous import RendezvousChooser, RoutingWeights
from nutmegdeal.fakes.memory import MemoryTable

TABLE_CALL_MS = 5.0


class PolicyName(enum.Enum):
    """Names of the compared policies in the output."""

    OURS = "ours"
    NAIVE = "naive"


class PolicySet(abc.ABC):
    """Factory for the components that differ between the compared policies.

    Parameters
    ----------
    configuration : Configuration
    engine_count : int
    seed : int

    Attributes
    ----------
    refuses_early : bool
        True if agents immediately refuse requests that they expect to be late.
    """

    refuses_early = True

    def __init__(self, configuration, engine_count, seed):
        self.configuration = configuration
        self.engine_count = engine_count
        self._seed = seed
        self._table = None

    def make_random_source(self, purpose):
        """Return a random.Random seeded for one purpose (str)."""
        return random.Random(f"{purpose} {self._seed}")

    @abc.abstractmethod
    def make_chooser(self, entry_id):
        """Return the ReplicaChooser of an entry."""

    @abc.abstractmethod
    def make_queue_order(self):
        """Return the QueueOrder of an agent."""

    @abc.abstractmethod
    def make_eviction_policy(self):
        """Return the EvictionPolicy of an agent."""

    @abc.abstractmethod
    def make_load_budget(self, loop):
        """Return the LoadBudget of an agent."""

    def make_tranche_controller(self, budget, loop, holder):
        """Return the controller that obtains grants of loads, or None."""
        return


class ProductionPolicies(PolicySet):
    """Policies of the agent and entry programs."""

    def make_chooser(self, entry_id):
        """Return a RendezvousChooser."""
        weights = RoutingWeights(
            self.configuration.stall_weight, self.configuration.weight_store.load_ms
        )
        return RendezvousChooser(
            self.make_random_source(f"chooser {entry_id}"), weights
        )

    def make_queue_order(self):
        """Return a WeightedQueueOrder."""
        return WeightedQueueOrder(self.configuration.stall_weight)

    def make_eviction_policy(self):
        """Return a WeightedEviction."""
        return WeightedEviction(self.configuration.stall_weight)

    def make_load_budget(self, loop):
        """Return a SharedBudget."""
        return SharedBudget(
            loop.clock, self.configuration.weight_store, self.engine_count
        )

    def make_tranche_controller(self, budget, loop, holder):
        """Return a TrancheController on the table that the fleet shares."""
        if self._table is None:
            self._table = DelayedTable(loop)
        return TrancheController(budget, self._table, holder, loop.clock)


class DelayedTable(MemoryTable):
    """In-memory table service whose calls take `TABLE_CALL_MS` of simulated time.

    Parameters
    ----------
    loop : SimulationLoop
    """

    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def read(self, key):
        """Return the Row under `key` or None, as it is halfway through the call."""
        self._loop.sleep(TABLE_CALL_MS / 2)
        row = super().read(key)
        self._loop.sleep(TABLE_CALL_MS / 2)
        return row

    def write(self, writes):
        """Apply all writes or none, halfway through the call."""
        self._loop.sleep(TABLE_CALL_MS / 2)
        outcome = super().write(writes)
        self._loop.sleep(TABLE_CALL_MS / 2)
        return outcome
