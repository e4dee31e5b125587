"""Assembly, start and shutdown of a gateway process."""

import random

import gevent
import gevent.event
import gevent.pool

from nutmegdeal.addresses import Address
from nutmegdeal.balancing.metrics import BalancingCollector
from nutmegdeal.bridges import GreenletBridge
from nutmegdeal.buffering.bound import MemoryBound, compute_held_bytes_max
from nutmegdeal.buffering.connections import ConnectionBound
from nutmegdeal.buffering.process_limits import (
    AUXILIARY_CONNECTIONS_MAX,
    compute_connections_max,
    compute_idle_servers_max,
    read_descriptors_max,
)
from nutmegdeal.channel import ChannelClient
from nutmegdeal.clock import SystemClock
from nutmegdeal.connection_pool import ConnectionPool
from nutmegdeal.draining import wait_until_idle
from nutmegdeal.gateway.backend_selection import EngineSelector
from nutmegdeal.gateway.blackboard import Blackboard
from nutmegdeal.gateway.burst_share import BurstShare
from nutmegdeal.gateway.crash_guard import CrashGuard
from nutmegdeal.gateway.dispatch import Dispatcher
from nutmegdeal.gateway.engine_check import ConnectCheck
from nutmegdeal.gateway.limit_rows import LimitKeeper
from nutmegdeal.gateway.limited_servers import LimitedServers
from nutmegdeal.gateway.members import Membership
from nutmegdeal.gateway.placers import PlacerLinks
from nutmegdeal.gateway.retries import BUDGET_SHARE, RetryBudgets, RetryDecider
from nutmegdeal.gateway.run_versions import RunVersions
from nutmegdeal.gateway.search import MemberSearch
from nutmegdeal.gateway.shutdown import ANSWER_MARGIN_MS, plan_shutdown
from nutmegdeal.gateway.stream_rows import StreamRowKeeper
from nutmegdeal.gateway.stream_versions import StreamVersions
from nutmegdeal.gateway.suspect_book import SuspectBook
from nutmegdeal.gateway.suspect_rows import SuspectRowWriter, SuspectsWatcher
from nutmegdeal.gateway.telemetry import GatewayTelemetry
from nutmegdeal.gateway.transport import DirectTransport
from nutmegdeal.gateway.versions import AdapterVersions
from nutmegdeal.gateway.watching import BackendsWatcher, OperatorWatcher
from nutmegdeal.http_listener import CallerListener, MetricsApplication
from nutmegdeal.log import get_logger
from nutmegdeal.platform.store import StoreClient
from nutmegdeal.quotas.demand_rows import DemandKeeper
from nutmegdeal.quotas.keeper import QuotaKeeper
from nutmegdeal.quotas.telemetry import QuotaTelemetry
from nutmegdeal.retry_budget import WindowedRetryBudget
from nutmegdeal.settings import ChannelSettings

logger = get_logger(__name__)

# Metrics port, as declared in deploy/system.toml.
METRICS_PORT = 9464
# Pause between removals of expired members and idle connections, which both expire
# after seconds.
HOUSEKEEPING_EVERY_MS = 200.0
# Pause before a crashed controller is restarted; the bounds on recovery are in seconds.
RESTART_PAUSE_MS = 200.0
# A stream ends after four missed heartbeats: 2 s, which is below the 3 s in which the
# platform expects a lost stream to be noticed.
CHANNEL_HEARTBEAT_EVERY_MS = 500


class GatewayProcess:
    """One gateway.

    Parameters
    ----------
    settings : NodeSettings
    clock : Clock, optional
    bridge : Bridge, optional
        Only one may exist in a process; created by default.
    """

    def __init__(self, settings, clock=None, bridge=None):
        clock = clock or SystemClock()
        random_state = random.Random()
        descriptors_max = read_descriptors_max(settings.descriptors_max)
        pool = ConnectionPool(
            clock, idle_total_max=compute_idle_servers_max(descriptors_max)
        )
        self._pool = pool
        self._clock = clock
        self._settings = settings
        membership = Membership(
            on_joined=self._handle_joined,
            on_left=self._handle_left,
            on_leaving=self._handle_leaving,
            on_paused=self._handle_paused,
            on_limited=self._handle_limited,
            on_limit_unusable=self._handle_limit_unusable,
            registration_interval_ms=settings.registration_interval_ms,
        )
        versions = AdapterVersions(settings.bounds.version_ms)
        self._board = Blackboard(settings, clock, membership, versions)
        channel = ChannelSettings(heartbeat_every_ms=CHANNEL_HEARTBEAT_EVERY_MS)
        client = ChannelClient(bridge or GreenletBridge(), channel)
        self._links = PlacerLinks(self._board, client, settings.internal_port_first)
        self._burst_share = BurstShare(settings.bounds, clock.monotonic_ms())
        self._budgets = RetryBudgets(self._new_budget)
        self._telemetry = GatewayTelemetry()
        self._telemetry.registry.register(BalancingCollector(membership, clock))
        self._store = StoreClient(settings.store_at, ConnectionPool(clock))
        book = SuspectBook()
        part_writer = SuspectRowWriter(self._store, self._board, book, self._telemetry)
        self._limit_keeper = LimitKeeper(self._store, self._board, self._telemetry)
        limits = LimitedServers(
            membership, self._limit_keeper, self._telemetry, random_state
        )
        guard = CrashGuard(
            self._board, book, part_writer, ConnectCheck(), self._telemetry
        )
        row_keeper = StreamRowKeeper(
            self._store, self._board, self._telemetry, random_state
        )
        quota_telemetry = QuotaTelemetry(self._telemetry)
        demands = DemandKeeper(self._store, self._board, quota_telemetry, random_state)
        quotas = QuotaKeeper(
            self._store, self._board, quota_telemetry, random_state, demands
        )
        self._controllers = (
            OperatorWatcher(self._store, self._board, self._telemetry).run,
            BackendsWatcher(self._store, self._board, self._telemetry).run,
            SuspectsWatcher(
                self._store,
                self._board,
                self._telemetry,
                book,
                part_writer,
                guard.cancel_refused,
            ).run,
            part_writer.run,
            self._limit_keeper.run,
            row_keeper.run,
            quotas.run,
            demands.run,
            self._links.run,
            self._keep_house,
        )
        selector = EngineSelector(settings.zone, random_state)
        dispatcher = Dispatcher(
            self._board,
            DirectTransport(
                pool, clock, membership, RunVersions(self._board, self._telemetry)
            ),
            selector,
            MemberSearch(self._board, selector, self._links, limits, random_state),
            self._links,
            RetryDecider(self._budgets.budget_for),
            self._budgets,
            self._telemetry,
            guard,
            StreamVersions(self._store, self._board, row_keeper, self._telemetry),
            random_state,
            quotas=quotas,
        )
        memory = MemoryBound(compute_held_bytes_max(settings.memory_mb), clock)
        connections_max = compute_connections_max(settings.memory_mb, descriptors_max)
        self._listener = self._listen(
            settings.callers_at,
            dispatcher,
            connections=ConnectionBound(connections_max),
            memory=memory,
        )
        auxiliary = ConnectionBound(AUXILIARY_CONNECTIONS_MAX)
        metrics = MetricsApplication(self._telemetry.registry)
        self._auxiliary_listeners = [
            self._listen(address, application, auxiliary, uses_bodies=False)
            for address, application in (
                (settings.readiness_at, self._answer_readiness),
                (Address(settings.ip, METRICS_PORT), metrics),
            )
        ]
        self._stop_requested = gevent.event.Event()
        self._greenlets = gevent.pool.Group()

    def _listen(self, address, application, connections, **options):
        return CallerListener(
            address.pair,
            application,
            lambda: self._board.limits,
            connections=connections,
            **options,
        )

    def _new_budget(self):
        bounds = self._settings.bounds
        return WindowedRetryBudget(
            bounds.retry_ratio * BUDGET_SHARE,
            self._compute_burst_share(),
            bounds.retry_window_ms,
        )

    def _compute_burst_share(self):
        return self._burst_share.compute(
            self._links.gateway_count, self._clock.monotonic_ms()
        )

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

    def _handle_leaving(self, member, source):
        self._telemetry.record_leaving(member, source)

    def _handle_paused(self, member, pause_ms):
        self._telemetry.record_paused(member, pause_ms)

    def _handle_limited(self, member, source):
        limited_count = self._board.membership.limited_count
        now_ms = self._clock.monotonic_ms()
        self._telemetry.record_limited(member, source, limited_count, now_ms)
        self._limit_keeper.handle_limited(member, source)

    def _handle_limit_unusable(self, member):
        self._telemetry.record_unusable_limit(member)

    def _answer_readiness(self, _incoming, responder):
        responder.reply(200 if self._board.is_ready else 503, [], b"")

    def start(self):
        """Start the listeners and the controllers."""
        for listener in (*self._auxiliary_listeners, self._listener):
            listener.start()
        for run in self._controllers:
            self._greenlets.spawn(self._run_forever, run)
        logger.info("started", node=self._settings.node_name)

    def _run_forever(self, run):
        while True:
            try:
                run()
            except Exception:
                logger.exception("controller_crashed", controller=run.__qualname__)
            gevent.sleep(RESTART_PAUSE_MS / 1000)

    def _keep_house(self):
        while True:
            gevent.sleep(HOUSEKEEPING_EVERY_MS / 1000)
            self._board.membership.expire(self._clock.monotonic_ms())
            self._pool.close_idle()
            self._board.key_state_log.update()
            self._budgets.set_burst(self._compute_burst_share())

    def request_shutdown(self):
        """Make `run` drain and return; may be called from a signal handler."""
        self._board.is_draining = True
        now_ms = self._clock.monotonic_ms()
        grace_ms = self._settings.bounds.grace_ms
        self._board.shutdown.begin(plan_shutdown(now_ms, grace_ms))
        self._stop_requested.set()

    def run(self):
        """Serve until asked to stop, then finish the requests in progress.

        Returns
        -------
        bool
            False if an answer was cut off.
        """
        self._stop_requested.wait()
        shutdown, listener, clock = self._board.shutdown, self._listener, self._clock
        times = shutdown.times
        logger.info("draining", open_count=listener.open_count)
        listener.is_draining = True
        accept_ms = times.accept_until_ms - clock.monotonic_ms()
        gevent.sleep(max(accept_ms, 0.0) / 1000)
        listener.stop_accepting()
        # The connections accepted last have greenlets that have not begun.
        gevent.sleep(0)
        listener.close_idle()
        if wait_until_idle(listener, clock, times.send_until_ms):
            self._board.refuse_waiting()
            self._links.release_prompts()
            listener.refuse_unread()
        if wait_until_idle(listener, clock, times.answer_until_ms):
            shutdown.end_requests()
        # On a busy host the answers may be late.
        sent_ms = clock.monotonic_ms() + ANSWER_MARGIN_MS
        wait_until_idle(listener, clock, max(times.exit_ms, sent_ms))
        cut_off_count = listener.unanswered_count + shutdown.cut_count
        logger.info(
            "stopped",
            cut_off_count=cut_off_count,
            ended_count=shutdown.ended_count,
        )
        return cut_off_count == 0

    def close(self):
        """Stop the listeners and the controllers without draining."""
        self._greenlets.kill()
        self._links.close()
        for listener in (*self._auxiliary_listeners, self._listener):
            listener.stop_accepting()
