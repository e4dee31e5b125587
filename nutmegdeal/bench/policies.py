"""The policies that a run of the bench compares."""

import abc
import enum
import random

from nutmegdeal.agent.batches import WeightedBatchOrder
from nutmegdeal.agent.budgets import EqualShareBudget
from nutmegdeal.agent.eviction import WeightedEviction
from nutmegdeal.entry.rendezvous import RendezvousChooser, RoutingWeights


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
    def make_budget(self):
        """Return the LoadBudget of an agent."""


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

    def make_budget(self):
        """Return an EqualShareBudget."""
        return EqualShareBudget(self.configuration.weight_store, self.engine_count)
