"""One agent as a process: builds its parts, runs them and shuts them down."""

import random
import urllib.parse

import gevent

from nutmegdeal.agent.attempts import Attempt
from nutmegdeal.agent.batches import WeightedBatchOrder
from nutmegdeal.agent.blackboard import Blackboard
from nutmegdeal.agent.budgets import EqualShareBudget
from nutmegdeal.agent.claims import ClaimRunner
from nutmegdeal.agent.configuring import (
    ConfigurationController,
    PolicyTuner,
)
from nutmegdeal.agent.dispatch import Dispatcher
from nutmegdeal.agent.draining import Drain, HostWatch
from nutmegdeal.agent.endings import Endings
from nutmegdeal.agent.events import EventLog
from nutmegdeal.agent.eviction import WeightedEviction
from nutmegdeal.agent.forecast import Forecast
from nutmegdeal.agent.leasing import LeaseController
from nutmegdeal.agent.loads import LoadBackoff, LoadTimes
from nutmegdeal.agent.orders import OrderController, ReportController
from nutmegdeal.agent.planning import Planner
from nutmegdeal.agent.relay import FrameFlusher, Relay
from nutmegdeal.agent.reports import Reporter
from nutmegdeal.agent.scheduling import Scheduler
from nutmegdeal.agent.status import StatusServer
from nutmegdeal.agent.streams import StreamHandler
from nutmegdeal.backends.engine import HttpModelEngine
from nutmegdeal.backends.plain import HttpPlainService
from nutmegdeal.channel import Address, ChannelServer
from nutmegdeal.configuration import WeightStorePolicy
from nutmegdeal.leases import TableLease
from nutmegdeal.log import get_logger
from nutmegdeal.messages import BackendKind

logger = get_logger(__name__)

STALL_WEIGHT_DEFAULT = 0.5
# In force only until the first configuration, before which nothing is admitted.
WEIGHT_STORE_DEFAULT = WeightStorePolicy(loads_per_s=1.0)
FINAL_FLUSH_COUNT = 3
FINAL_FLUSH_PAUSE_S = 0.2


def lease_key(service, backend_url):
    """Return the row key of the lease on a backend server."""
    return f"lease/{service}/{urllib.parse.urlsplit(backend_url).netloc}"


class AgentProcess:
    """All parts of an agent.

    Parameters
    ----------
    settings : Settings
    incarnation : str
    clock : Clock
    bridge : channel.Bridge
    platform : PlatformClients
    """

    def __init__(self, settings, incarnation, clock, bridge, platform):
        self.settings = settings
        self._clock = clock
        self._bridge = bridge
        self._platform = platform
        self.board = Blackboard(
            "", incarnation, settings.agent.service, settings.process.zone
        )
        self._greenlets = []
        self._build_policies()
        self._build_controllers()

    def _build_policies(self):
        self.planner = Planner(
            self.board.slots,
            WeightedBatchOrder(STALL_WEIGHT_DEFAULT),
            WeightedEviction(STALL_WEIGHT_DEFAULT),
            EqualShareBudget(WEIGHT_STORE_DEFAULT, agent_count=1),
            LoadBackoff(random.Random(self.board.incarnation)),
        )
        self._load_times = LoadTimes(WEIGHT_STORE_DEFAULT, agent_count=1)
        self._forecast = Forecast(
            self.board, self.planner, self._load_times, self._clock
        )

    def _build_controllers(self):
        board, clock = self.board, self._clock
        process_name = self.settings.process.name
        self._events = EventLog(board, self._platform.recorder, clock, process_name)
        self._endings = Endings(board, self._events)
        self._reporter = Reporter(board, self._forecast, clock, self.settings.agent)
        self._configuration = ConfigurationController(
            board, self._platform.keeper, self.settings.platform
        )
        tuner = PolicyTuner(board, self.planner, self._load_times)
        self._configuration.on_change.append(tuner.apply)
        self._drain = Drain(
            board,
            self._reporter,
            self._endings,
            self._events,
            clock,
            self.settings.agent,
        )
        self._streams = StreamHandler(
            board,
            self._forecast,
            self._reporter,
            self._configuration,
            self._endings,
            self._events,
            clock,
            self.settings.agent,
        )
        self._status = StatusServer(board, self._forecast)
        self._server = ChannelServer(
            self._bridge, self.settings.channel, self._streams.accept
        )

    def start(self):
        """Listen, and start all controllers; return the channel's Address."""
        listen = self.settings.listen
        address = self._server.start(Address(listen.host, listen.port))
        self.board.agent_id = str(address)
        self.status_port = self._status.start(
            listen.host, self.settings.agent.status_port
        )
        self._flusher = FrameFlusher(self.settings.agent.merge_frames_within_ms)
        watch = HostWatch(
            self._platform.hosts, address, self._drain.begin, self.settings.platform
        )
        self._spawn(
            self._flusher.run,
            self._configuration.run,
            self._platform.recorder.run,
            self._reporter.run,
            watch.run,
            self._start_backend,
        )
        return address

    def _spawn(self, *functions):
        self._greenlets += [gevent.spawn(function) for function in functions]

    def _start_backend(self):
        """Start what depends on the kind of the backend server, once it is known."""
        while self.board.policy is None:
            self.board.changed.wait()
            self.board.changed.clear()
        kind = self.board.policy.kind
        if kind is BackendKind.MODEL_ENGINE:
            self._start_engine()
        else:
            self._start_plain_service()

    def _start_engine(self):
        agent = self.settings.agent
        engine = HttpModelEngine(agent.backend_url, agent.backend_secret)
        self.board.lease = TableLease(
            self._platform.table,
            lease_key(agent.service, agent.backend_url),
            self.board.incarnation,
            self._clock,
            agent,
            self.board.policy.fencing,
        )
        lease_controller = LeaseController(self.board, self._drain.begin)
        orders = OrderController(
            self.board,
            engine,
            self.planner,
            self._endings,
            self._events,
            self._clock,
            self._load_times,
            lease_controller.lose,
        )
        reports = ReportController(self.board, engine, self._clock, agent)
        scheduler = self._build_scheduler(engine, orders.give)
        self._spawn(lease_controller.run, reports.run, scheduler.run)

    def _start_plain_service(self):
        agent = self.settings.agent
        service = HttpPlainService(agent.backend_url, agent.backend_secret)
        self.board.has_report = True
        self.board.may_dispatch = True
        scheduler = self._build_scheduler(service, give_order=None)
        self._spawn(scheduler.run)

    def _build_scheduler(self, backend, give_order):
        dispatcher = Dispatcher(
            self.board,
            backend,
            Relay(self._flusher),
            self._endings,
            self._events,
            self._clock,
            self.settings.agent.backend_url,
        )
        claims = ClaimRunner(
            self.board,
            self._platform.ledger,
            dispatcher,
            self._endings,
            self._events,
            self._clock,
        )

        def run_attempt(attempt: Attempt):
            runner = dispatcher if attempt.submit.idempotent else claims
            runner.run(attempt)

        return Scheduler(
            self.board,
            self.planner,
            run_attempt,
            give_order,
            self._endings,
            self._clock,
            self._load_times,
        )

    def request_stop(self):
        """Begin the drain; called on SIGTERM."""
        self._drain.begin()

    def run(self):
        """Wait for the drain and shut down; return whether nothing was cut off."""
        self._drain.has_begun.wait()
        is_whole = self._drain.wait_finished()
        gevent.killall(self._greenlets)
        self._flush()
        if self.board.lease is not None:
            self.board.lease.release()
        self._server.stop()
        self._status.stop()
        logger.info("stopped", whole=is_whole)
        return is_whole

    def _flush(self):
        for _ in range(FINAL_FLUSH_COUNT):
            if self._platform.recorder.mark(is_final=True) is None:
                return
            gevent.sleep(FINAL_FLUSH_PAUSE_S)
        logger.error("account_not_stored")
