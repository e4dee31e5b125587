"""The policies that a run of the bench compares."""

import abc
import enum
import random

from nutmegdeal.agent.batches import WeightedBatchOrder
from nutmegdeal.agent.eviction import WeightedEviction
from nutmegdeal.agent.tranches import SharedBudget, TrancheController
from nutmegdeal.entry.rendezvous import RendezvousChooser, RoutingWeights
from nutmegdeal.fakes.memory import MemoryTable

TABLE_CALL_MS = 5.0


class PolicyName(enum.Enum):
    """Names of the compared policies in reports."""

    OURS = "ours"
    NAIVE = "naive"


class PolicySet(abc.ABC):
    """Everything that differs between the compared systems.

    Parameters
    ----------
    configuration : Configuration
    engine_count : int
    seed : int

    Attributes
    ----------
    refuses_early : bool
        True if agents refuse at once what they expect to be late.
    """

    refuses_early = True

    def __init__(self, configuration, engine_count, seed):
        self.configuration = configuration
        self.engine_count = engine_count
        self._seed = seed
        self._table = None

    def random_source(self, purpose):
        """Return a seeded random.Random of its own for each purpose (str)."""
        return random.Random(f"{purpose} {self._seed}")

    @abc.abstractmethod
    def make_chooser(self, entry_id):
        """Return the ReplicaChooser of an entry."""

    @abc.abstractmethod
    def make_batch_order(self):
        """Return the BatchOrder of an agent."""

    @abc.abstractmethod
    def make_eviction(self):
        """Return the EvictionPolicy of an agent."""

    @abc.abstractmethod
    def make_budget(self, loop):
        """Return the LoadBudget of an agent."""

    def make_claims(self, budget, loop, holder):
        """Return the controller that takes leave for loads, or None."""
        return


class OwnPolicies(PolicySet):
    """The policies that the programs use."""

    def make_chooser(self, entry_id):
        """Return a RendezvousChooser."""
        weights = RoutingWeights(
            self.configuration.stall_weight, self.configuration.weight_store.load_ms
        )
        return RendezvousChooser(self.random_source(f"chooser {entry_id}"), weights)

    def make_batch_order(self):
        """Return a WeightedBatchOrder."""
        return WeightedBatchOrder(self.configuration.stall_weight)

    def make_eviction(self):
        """Return a WeightedEviction."""
        return WeightedEviction(self.configuration.stall_weight)

    def make_budget(self, loop):
        """Return a SharedBudget."""
        return SharedBudget(
            loop.clock, self.configuration.weight_store, self.engine_count
        )

    def make_claims(self, budget, loop, holder):
        """Return a TrancheController on the fleet's table."""
        if self._table is None:
            self._table = BenchTable(loop)
        return TrancheController(budget, self._table, holder, loop.clock)


class BenchTable(MemoryTable):
    """Table service whose calls take simulated time.

    Parameters
    ----------
    loop : SimulationLoop
    """

    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def read(self, key):
        """Return the Row under `key` or None, half a call after it was asked."""
        self._loop.sleep(TABLE_CALL_MS / 2)
        row = super().read(key)
        self._loop.sleep(TABLE_CALL_MS / 2)
        return row

    def write(self, writes):
        """Apply all writes or none, half a call after they were sent."""
        self._loop.sleep(TABLE_CALL_MS / 2)
        outcome = super().write(writes)
        self._loop.sleep(TABLE_CALL_MS / 2)
        return outcome
