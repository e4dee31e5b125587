"""Builds the parts of a gateway, runs them and shuts them down."""

import random

import gevent
import gevent.event
import gevent.pool

from nutmegdeal.addresses import Address
from nutmegdeal.bridges import GreenletBridge
from nutmegdeal.channel import ChannelClient
from nutmegdeal.clock import SystemClock
from nutmegdeal.draining import wait_until_idle
from nutmegdeal.gateway.backend_selection import AdapterChooser
from nutmegdeal.gateway.blackboard import Blackboard
from nutmegdeal.gateway.dispatch import Dispatcher
from nutmegdeal.gateway.members import Membership
from nutmegdeal.gateway.placers import PlacerLinks
from nutmegdeal.gateway.retries import BUDGET_SHARE, RetryBudgets, RetryDecider
from nutmegdeal.gateway.search import MemberSearch
from nutmegdeal.gateway.telemetry import GatewayTelemetry
from nutmegdeal.gateway.transport import DirectTransport
from nutmegdeal.gateway.versions import AdapterVersions
from nutmegdeal.gateway.watching import BackendsWatcher, OperatorWatcher
from nutmegdeal.http_connections import ConnectionPool
from nutmegdeal.http_listener import CallerListener, MetricsApplication
from nutmegdeal.log import get_logger
from nutmegdeal.platform.store import StoreClient
from nutmegdeal.retry_budget import WindowedRetryBudget
from nutmegdeal.settings import ChannelSettings

logger = get_logger(__name__)

# Where deploy/system.toml says that metrics are served.
METRICS_PORT = 9464
# Gateways of the largest installation, which share the burst of the retry budget
# until the placers tell how many there are.
DEFAULT_GATEWAY_COUNT = 30
# Pause between looks at beliefs and idle connections that end; their bounds are in s.
HOUSEKEEPING_EVERY_MS = 200.0
# Pause before a controller that crashed is run again; short of all bounds in s.
RESTART_PAUSE_MS = 200.0
# After SIGTERM the platform sends new connections for two missed checks, a second
# apart; a request taken later than 3 s after the signal may not be finished in time.
ACCEPT_AFTER_TERM_MS = 2_600.0
# Left of the time between SIGTERM and SIGKILL when unfinished requests are cut off.
KILL_MARGIN_MS = 300.0
# Four missed ones end a stream: 2 s, under the 3 s in which the platform expects it.
CHANNEL_HEARTBEAT_EVERY_MS = 500


class GatewayProcess:
    """One gateway.

    Parameters
    ----------
    settings : NodeSettings
    clock : Clock, optional
    bridge : Bridge, optional
        A process has one at most.
    """

    def __init__(self, settings, clock=None, bridge=None):
        clock = clock or SystemClock()
        random_state = random.Random()
        pool = ConnectionPool(clock)
        self._pool = pool
        self._clock = clock
        self._settings = settings
        membership = Membership(
            on_joined=self._handle_joined, on_left=self._handle_left
        )
        versions = AdapterVersions(settings.bounds.version_ms)
        self._board = Blackboard(settings, clock, membership, versions)
        channel = ChannelSettings(heartbeat_every_ms=CHANNEL_HEARTBEAT_EVERY_MS)
        client = ChannelClient(bridge or GreenletBridge(), channel)
        self._links = PlacerLinks(self._board, client, settings.internal_port_first)
        self._gateway_count = 0
        self._budgets = RetryBudgets(self._new_budget)
        self._telemetry = GatewayTelemetry()
        store = StoreClient(settings.store_at, ConnectionPool(clock))
        self._watchers = (
            OperatorWatcher(store, self._board, self._telemetry),
            BackendsWatcher(store, self._board, self._telemetry),
        )
        chooser = AdapterChooser(settings.zone, random_state)
        dispatcher = Dispatcher(
            self._board,
            DirectTransport(pool, clock),
            chooser,
            MemberSearch(self._board, chooser, self._links, random_state),
            self._links,
            RetryDecider(self._budgets.of),
            self._budgets,
            self._telemetry,
            random_state,
        )
        self._listener = self._listen(settings.callers_at, dispatcher)
        self._auxiliary_listeners = [
            self._listen(settings.readiness_at, self._answer_readiness),
            self._listen(
                Address(settings.ip, METRICS_PORT),
                MetricsApplication(self._telemetry.registry),
            ),
        ]
        self._stop_asked = gevent.event.Event()
        self._greenlets = gevent.pool.Group()

    def _listen(self, address, application):
        return CallerListener(address.pair, application, lambda: self._board.limits)

    def _new_budget(self):
        bounds = self._settings.bounds
        return WindowedRetryBudget(
            bounds.retry_ratio * BUDGET_SHARE,
            self._burst_share(),
            bounds.retry_window_ms,
        )

    def _burst_share(self):
        # Never less than were seen: a lost stream must not look like a lost gateway.
        self._gateway_count = max(self._gateway_count, self._links.gateway_count)
        count = self._gateway_count or DEFAULT_GATEWAY_COUNT
        return self._settings.bounds.retry_burst * BUDGET_SHARE / count

    def _handle_joined(self, member):
        backend = member.backend
        logger.info(
            "backend_joined",
            backend=backend.backend_id,
            service=backend.service,
            state=backend.state.value,
        )

    def _handle_left(self, member):
        logger.info("backend_left", backend=member.backend_id)
        self._pool.drop(member.backend.address)
        self._links.drop(member)

    def _answer_readiness(self, _incoming, responder):
        responder.reply(200 if self._board.is_ready else 503, [], b"")

    def start(self):
        """Listen and start the controllers."""
        for listener in (*self._auxiliary_listeners, self._listener):
            listener.start()
        for run in (
            *(watcher.run for watcher in self._watchers),
            self._links.run,
            self._run_housekeeping,
        ):
            self._greenlets.spawn(self._run_forever, run)
        logger.info("started", node=self._settings.node_name)

    def _run_forever(self, run):
        while True:
            try:
                run()
            except Exception:
                logger.exception("controller_crashed", controller=run.__qualname__)
            gevent.sleep(RESTART_PAUSE_MS / 1000)

    def _run_housekeeping(self):
        while True:
            gevent.sleep(HOUSEKEEPING_EVERY_MS / 1000)
            self._board.membership.expire(self._clock.monotonic_ms())
            self._pool.close_idle()
            self._budgets.limit(self._burst_share())

    def ask_to_stop(self):
        """Have `run` drain and return; may be called from a signal handler."""
        self._board.is_draining = True
        self._stop_asked.set()

    def run(self):
        """Serve until asked to stop, then finish what runs.

        Returns
        -------
        bool
            False if a request was cut off.
        """
        self._stop_asked.wait()
        end_ms = self._clock.monotonic_ms() + (
            self._settings.bounds.grace_ms - KILL_MARGIN_MS
        )
        logger.info("draining", open_count=self._listener.open_count)
        self._listener.is_draining = True
        gevent.sleep(ACCEPT_AFTER_TERM_MS / 1000)
        self._listener.stop_accepting()
        self._listener.close_idle()
        cut_off_count = wait_until_idle(self._listener, self._clock, end_ms)
        logger.info("stopped", cut_off_count=cut_off_count)
        return cut_off_count == 0

    def close(self):
        """Stop listening and end the controllers, without a drain."""
        self._greenlets.kill()
        self._links.close()
        for listener in (*self._auxiliary_listeners, self._listener):
            listener.stop_accepting()
