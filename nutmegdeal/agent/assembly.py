"""Builds the parts of an agent and connects them, without opening any socket."""

import math
import random
import urllib.parse

from nutmegdeal.agent.attempt_finalizer import AttemptFinalizer
from nutmegdeal.agent.blackboard import Blackboard
from nutmegdeal.agent.claims import ClaimRunner
from nutmegdeal.agent.configuring import ConfigurationController, PolicyTuner
from nutmegdeal.agent.dispatch import Dispatcher
from nutmegdeal.agent.draining import Drain
from nutmegdeal.agent.events import EventLog
from nutmegdeal.agent.eviction import WeightedEviction
from nutmegdeal.agent.forecast import Forecast
from nutmegdeal.agent.leasing import LeaseController
from nutmegdeal.agent.loads import LoadBackoff, LoadTimes
from nutmegdeal.agent.orders import OrderController, ReportController
from nutmegdeal.agent.planning import Planner
from nutmegdeal.agent.queue_order import WeightedQueueOrder
from nutmegdeal.agent.relay import FrameFlusher, Relay
from nutmegdeal.agent.reports import Reporter
from nutmegdeal.agent.scheduling import Scheduler
from nutmegdeal.agent.streams import StreamHandler
from nutmegdeal.agent.tranches import (
    SharedBudget,
    TrancheController,
    TrancheRunner,
)
from nutmegdeal.configuration import WeightStorePolicy
from nutmegdeal.leases import TableLease

STALL_WEIGHT_DEFAULT = 0.5
# Used only until the first configuration arrives; nothing is admitted before that.
WEIGHT_STORE_DEFAULT = WeightStorePolicy(loads_per_s=1.0)


def lease_key(service, backend_url):
    """Return the row key of the lease on a backend server."""
    return f"lease/{service}/{urllib.parse.urlsplit(backend_url).netloc}"


class Agent:
    """The parts of an agent that don't depend on the kind of its backend server.

    Parameters
    ----------
    settings : Settings
    incarnation : str
    clock : Clock
    platform : PlatformClients
    """

    def __init__(self, settings, incarnation, clock, platform):
        agent = settings.agent
        self.settings = settings
        self.clock = clock
        self.platform = platform
        self.board = Blackboard("", incarnation, agent.service, settings.process.zone)
        self.planner = Planner(
            self.board.slots,
            WeightedQueueOrder(STALL_WEIGHT_DEFAULT),
            WeightedEviction(STALL_WEIGHT_DEFAULT),
            SharedBudget(clock, WEIGHT_STORE_DEFAULT, agent_count=1),
            LoadBackoff(random.Random(incarnation)),
        )
        self.load_times = LoadTimes(WEIGHT_STORE_DEFAULT, agent_count=1)
        self.forecast = Forecast(self.board, self.planner, self.load_times, clock)
        self.events = EventLog(
            self.board, platform.recorder, clock, settings.process.name
        )
        self.attempt_finalizer = AttemptFinalizer(self.board, self.events)
        self.reporter = Reporter(self.board, self.forecast, clock, agent)
        self.configuration = self._build_configuration()
        self.drain = Drain(
            self.board, self.reporter, self.attempt_finalizer, self.events, clock, agent
        )
        self.streams = StreamHandler(
            self.board,
            self.forecast,
            self.reporter,
            self.configuration,
            self.attempt_finalizer,
            self.events,
            clock,
            agent,
        )
        self.flusher = FrameFlusher(agent.merge_frames_within_ms)

    def _build_configuration(self):
        controller = ConfigurationController(
            self.board, self.platform.configuration_tracker, self.settings.platform
        )
        tuner = PolicyTuner(self.board, self.planner, self.load_times)
        controller.on_change.append(tuner.apply)
        return controller

    def build_lease(self):
        """Return the lease on the backend server."""
        agent = self.settings.agent
        return TableLease(
            self.platform.table,
            lease_key(agent.service, agent.backend_url),
            self.board.incarnation,
            self.clock,
            agent,
            self.board.policy.fencing,
        )

    def build_scheduler(self, backend, execute_order):
        """Return the Scheduler that sends attempts to a Backend."""
        dispatcher = Dispatcher(
            self.board,
            backend,
            Relay(self.flusher),
            self.attempt_finalizer,
            self.events,
            self.clock,
            self.settings.agent.backend_url,
        )
        claims = ClaimRunner(
            self.board,
            self.platform.ledger,
            dispatcher,
            self.attempt_finalizer,
            self.events,
            self.clock,
        )

        def run_attempt(attempt):
            runner = dispatcher if attempt.submit.idempotent else claims
            runner.run(attempt)

        return Scheduler(
            self.board,
            self.planner,
            run_attempt,
            execute_order,
            self.attempt_finalizer,
            self.clock,
            self.load_times,
        )


class PlainServiceParts:
    """Additional parts of an agent whose backend server is a plain service.

    Parameters
    ----------
    agent : Agent
    service : Backend
    """

    def __init__(self, agent, service):
        agent.board.has_report = True
        agent.board.in_charge_until_ms = math.inf
        self.scheduler = agent.build_scheduler(service, execute_order=None)

    def loops(self):
        """Return the functions to run in greenlets."""
        return (self.scheduler.run,)


class EngineParts:
    """Additional parts of an agent whose backend server is a model engine.

    Parameters
    ----------
    agent : Agent
    engine : ModelEngine
    """

    def __init__(self, agent, engine):
        agent.board.lease = agent.build_lease()
        self.leases = LeaseController(
            agent.board, engine, agent.clock, agent.drain.begin
        )
        self.orders = OrderController(
            agent.board,
            engine,
            agent.planner,
            agent.attempt_finalizer,
            agent.events,
            agent.clock,
            agent.load_times,
            self.leases.handle_lease_loss,
        )
        self.reports = ReportController(
            agent.board, engine, agent.clock, agent.settings.agent
        )
        self.scheduler = agent.build_scheduler(engine, self.orders.give)
        controller = TrancheController(
            agent.planner.budget,
            agent.platform.table,
            agent.board.incarnation,
            agent.clock,
        )
        self.tranches = TrancheRunner(controller, agent.board)

    def loops(self):
        """Return the functions to run in greenlets."""
        return (
            self.leases.run,
            self.reports.run,
            self.scheduler.run,
            self.tranches.run,
        )
