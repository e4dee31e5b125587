"""Keeps the configuration up to date and applies it to the agent's policies."""

import gevent
import gevent.event

from nutmegdeal.agent.eviction import WeightedEviction
from nutmegdeal.agent.queue_order import WeightedQueueOrder
from nutmegdeal.errors import Failure
from nutmegdeal.log import get_logger
from nutmegdeal.messages import BackendKind, GenerationNotice

logger = get_logger(__name__)

# With a current configuration, the head is polled this many times less often.
IDLE_POLL_FACTOR = 3


def engine_count(configuration):
    """Return the number of model engines that share the team's weight store."""
    services = configuration.services.values()
    engines = [s for s in services if s.kind is BackendKind.MODEL_ENGINE]
    return max(1, sum(service.replica_count for service in engines))


class ConfigurationController:
    """Fetches a newer generation when a peer has one, and polls for one otherwise.

    Parameters
    ----------
    board : Blackboard
    configuration_tracker : ConfigurationTracker
    settings : PlatformSettings
    """

    def __init__(self, board, configuration_tracker, settings):
        self._board = board
        self._configuration_tracker = configuration_tracker
        self._settings = settings
        self._is_behind = gevent.event.Event()
        self.on_change = []

    def record_peer_generation(self, generation, manifest=""):
        """Record a generation that a peer has, and its manifest; never blocks."""
        self._configuration_tracker.record_peer_generation(generation, manifest)
        if generation > self._board.generation:
            self._is_behind.set()

    def refresh(self):
        """Read the head and apply a newer configuration; return None or a Failure."""
        result = self._configuration_tracker.refresh()
        if isinstance(result, Failure):
            logger.warning("configuration_not_read", error=str(result))
            return result
        if result is not None and result.generation > self._board.generation:
            self._put_in_force(result)
        return None

    def _put_in_force(self, configuration):
        self._board.configuration = configuration
        logger.info("configuration_in_force", generation=configuration.generation)
        for callback in self.on_change:
            callback(configuration)
        for session in tuple(self._board.sessions):
            session.send(GenerationNotice(configuration.generation))
        self._board.notify()

    def run(self):
        """Refresh until the greenlet is killed."""
        while True:
            failure = self.refresh()
            is_current = failure is None and self._board.configuration is not None
            factor = IDLE_POLL_FACTOR if is_current else 1
            poll_ms = self._settings.head_poll_every_ms * factor
            if failure is not None:
                # A peer's notice must not turn an outage into a busy loop.
                gevent.sleep(poll_ms / 1000)
                continue
            self._is_behind.wait(poll_ms / 1000)
            self._is_behind.clear()


class PolicyTuner:
    """Applies a configuration to a planner and its slots.

    Parameters
    ----------
    board : Blackboard
    planner : Planner
    load_times : LoadTimes
    """

    def __init__(self, board, planner, load_times):
        self._board = board
        self._planner = planner
        self._load_times = load_times

    def apply(self, configuration):
        """Set the policies' weights, the load limits and the slot count."""
        weight = configuration.stall_weight
        self._planner.queue_order = WeightedQueueOrder(weight)
        self._planner.eviction = WeightedEviction(weight)
        agent_count = engine_count(configuration)
        weight_store = configuration.weight_store
        self._planner.budget.set_limits(weight_store, agent_count)
        self._load_times.set_limits(weight_store, agent_count)
        if self._board.policy is not None:
            self._board.slots.slot_count = self._board.policy.slot_count
