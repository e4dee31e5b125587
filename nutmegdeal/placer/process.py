"""Assembly, start and main loops of a placer process."""

import gevent
import gevent.event
import gevent.pool

from nutmegdeal.addresses import Address
from nutmegdeal.bridges import GreenletBridge
from nutmegdeal.buffering.connections import ConnectionBound
from nutmegdeal.buffering.process_limits import (
    AUXILIARY_CONNECTIONS_MAX,
    STREAM_BYTES,
    compute_connections_max,
    read_descriptors_max,
)
from nutmegdeal.channel import ChannelServer
from nutmegdeal.clock import SystemClock
from nutmegdeal.connection_pool import ConnectionPool
from nutmegdeal.engine_messages import (
    AdapterUnwanted,
    AdapterUses,
    AdapterWanted,
    EngineLimits,
    EngineLoad,
    EngineState,
    PromptAsked,
    PromptCancelled,
    PromptGranted,
)
from nutmegdeal.http_listener import CallerListener, MetricsApplication
from nutmegdeal.log import get_logger
from nutmegdeal.placer.engine import EngineClient, OrderResult
from nutmegdeal.placer.pacing import PromptPacer
from nutmegdeal.placer.planning import AdapterDemand, AdapterPlanner
from nutmegdeal.placer.state_updates import StateUpdates
from nutmegdeal.placer.telemetry import PlacerTelemetry
from nutmegdeal.settings import ChannelSettings
from nutmegdeal.site_configuration import DEFAULT_CALLER_LIMITS

logger = get_logger(__name__)

# Metrics port, as declared in deploy/system.toml.
METRICS_PORT = 9465
# Pause between reports while adapters are being loaded, which takes 250 ms.
ACTIVE_REPORT_EVERY_MS = 20.0
# Pause between reports otherwise; gateways compare engines by them.
IDLE_REPORT_EVERY_MS = 100.0
# Least pause before the waiting prompts are checked again.
GRANT_CHECK_MIN_MS = 2.0
# Consecutive failed reports that are tolerated; with more the engine is unreachable.
FAILED_REPORTS_MAX = 2


class PlacerProcess:
    """One placer.

    Parameters
    ----------
    settings : NodeSettings
    clock : Clock, optional
    bridge : Bridge, optional
        Only one may exist in a process; created by default.
    """

    def __init__(self, settings, clock=None, bridge=None):
        self._settings = settings
        self._clock = clock or SystemClock()
        self._planner = AdapterPlanner()
        self._pacer = PromptPacer()
        self._grant_wake = gevent.event.Event()
        self._engine = EngineClient(
            settings.engine_at, settings.node_name, ConnectionPool(self._clock)
        )
        descriptors_max = read_descriptors_max(settings.descriptors_max)
        self._server = ChannelServer(
            bridge or GreenletBridge(),
            ChannelSettings(),
            self._serve_gateway,
            ConnectionBound(
                compute_connections_max(
                    settings.memory_mb, descriptors_max, STREAM_BYTES
                )
            ),
        )
        self._telemetry = PlacerTelemetry()
        self._metrics = CallerListener(
            (settings.ip, METRICS_PORT),
            MetricsApplication(self._telemetry.registry),
            lambda: DEFAULT_CALLER_LIMITS,
            connections=ConnectionBound(AUXILIARY_CONNECTIONS_MAX),
            uses_bodies=False,
        )
        self._sessions = set()
        self._order_wake = gevent.event.Event()
        self._stop_requested = gevent.event.Event()
        self._greenlets = gevent.pool.Group()
        self._failed_reports = 0
        self._updates = StateUpdates()
        self._is_reachable = True
        self._started_unix_ms = None
        self._is_leaving = False
        self._known_order_count = 0

    def start(self):
        """Start the listeners and the loops that send orders and grant prompts."""
        address = Address(self._settings.ip, self._settings.internal_port_first)
        self._server.start(address)
        self._metrics.start()
        for run in (self._run_cycle, self._run_grant):
            self._greenlets.spawn(self._run_forever, run)
        logger.info("started", node=self._settings.node_name)

    def request_shutdown(self):
        """Make `run` return; may be called from a signal handler."""
        self._stop_requested.set()

    def run(self):
        """Run until asked to stop; the engine keeps serving without a placer."""
        self._stop_requested.wait()
        logger.info("stopped")
        return True

    def close(self):
        """Stop everything that `start` started."""
        self._greenlets.kill()
        self._server.stop()
        self._metrics.stop_accepting()

    def _serve_gateway(self, session):
        """Serve the stream of one gateway."""
        self._sessions.add(session)
        now_ms = self._clock.monotonic_ms()
        state = self._build_state(now_ms)
        session.send(self._updates.add_session(session, state, now_ms))
        try:
            for message in session.messages():
                self._handle_message(session, message)
        finally:
            self._sessions.discard(session)
            self._planner.remove_session(session)
            self._pacer.remove_session(session)
            self._updates.remove_session(session)

    def _handle_message(self, session, message):
        now_ms = self._clock.monotonic_ms()
        if isinstance(message, PromptAsked):
            due_ms = now_ms + message.due_in_ms
            self._pacer.add(
                (session, message.number),
                message.tokens,
                due_ms,
                message.rank,
                message.is_resumed,
            )
            self._grant_prompts()
        elif isinstance(message, PromptCancelled):
            self._pacer.cancel((session, message.number))
        elif isinstance(message, AdapterWanted):
            demand = AdapterDemand(
                version=message.version,
                deadline_ms=now_ms + message.remaining_ms,
                due_ms=now_ms + message.due_in_ms,
                waiting_count=message.waiting_count,
                rank=message.rank,
                resumed_rank=message.resumed_rank,
            )
            self._planner.add_demand(session, message.adapter, demand)
            self._order_wake.set()
        elif isinstance(message, AdapterUnwanted):
            self._planner.remove_demand(session, message.adapter)
        elif isinstance(message, AdapterUses):
            self._planner.apply_uses(session, message.uses, now_ms)
            self._pacer.record_work_time(session, message.work_time_percent)
            for gap_ms in message.longest_gaps_ms:
                self._pacer.record_gap(gap_ms)
        elif isinstance(message, EngineLimits):
            self._planner.apply_limits(session, message)
            self._pacer.window_ms = message.gap_target_ms
            self._order_wake.set()
        else:
            logger.warning("unexpected_message", type=type(message).__name__)

    def _grant_prompts(self):
        for session, number in self._pacer.grant(self._clock.monotonic_ms()):
            session.send(PromptGranted(number))
        if self._pacer.next_ms() is not None:
            self._grant_wake.set()

    def _run_forever(self, run):
        """Repeat `run`; an unexpected error costs one round."""
        while True:
            try:
                run()
            except Exception:
                logger.exception("controller_crashed", controller=run.__qualname__)
                gevent.sleep(IDLE_REPORT_EVERY_MS / 1000)

    def _run_grant(self):
        """Wait until a prompt may fit, then grant what fits."""
        next_ms = self._pacer.next_ms()
        if next_ms is None:
            self._grant_wake.wait()
            self._grant_wake.clear()
            return
        pause_ms = max(next_ms - self._clock.monotonic_ms(), GRANT_CHECK_MIN_MS)
        gevent.sleep(pause_ms / 1000)
        self._grant_prompts()

    def _run_cycle(self):
        self._read_report()
        now_ms = self._clock.monotonic_ms()
        fulfilled = self._planner.remove_ended_demands(now_ms)
        order = self._planner.next_order(now_ms)
        self._send_updates(fulfilled, now_ms)
        if order is not None and self._send_order(order):
            return
        pause_ms = (
            ACTIVE_REPORT_EVERY_MS if self._planner.has_work else IDLE_REPORT_EVERY_MS
        )
        self._order_wake.wait(pause_ms / 1000)
        self._order_wake.clear()

    def _read_report(self):
        report = self._engine.read_report()
        now_ms = self._clock.monotonic_ms()
        self._failed_reports = 0 if report else self._failed_reports + 1
        was_reachable = self._is_reachable
        self._is_reachable = self._failed_reports <= FAILED_REPORTS_MAX
        if was_reachable != self._is_reachable:
            logger.warning("engine_reachable", is_reachable=self._is_reachable)
        if report:
            self._log_changes(report)
        if report or not self._is_reachable:
            self._planner.apply_report(report, now_ms)

    def _log_changes(self, report):
        """Log a restart of the engine, and orders that it has executed late."""
        started = report.started_unix_ms
        if self._started_unix_ms is None:
            # What the engine had accepted before this process started is not known.
            self._known_order_count = report.order_count
        elif started != self._started_unix_ms:
            logger.warning(
                "engine_restarted",
                started=started,
                unanswered=self._planner.unanswered_count,
            )
            self._known_order_count = 0
            self._is_leaving = False
        if report.is_leaving and not self._is_leaving:
            logger.info("engine_leaving", started=started)
        self._is_leaving = report.is_leaving
        self._started_unix_ms = started
        if report.order_count > self._known_order_count:
            logger.warning(
                "orders_executed_late",
                started=started,
                order_count=report.order_count,
                known_count=self._known_order_count,
                occupied=len(report.resident) + len(report.loading),
            )
        self._known_order_count = report.order_count

    def _send_order(self, order):
        """Send an order; return whether another may follow at once."""
        report = self._planner.report
        expected_count = report.order_count
        result = self._engine.send_order(order, expected_count)
        self._telemetry.record_order(order, result)
        logger.info(
            "order_given",
            operation=order.operation.value,
            adapter=order.adapter,
            version=order.version,
            expected=expected_count,
            started=report.started_unix_ms,
            occupied=len(report.resident) + len(report.loading),
            result=result.value,
        )
        if result is OrderResult.UNANSWERED:
            self._planner.record_unanswered(order, self._clock.monotonic_ms())
        elif result is not OrderResult.NOT_SENT:
            self._planner.record_answered(order)
        if result is OrderResult.ACCEPTED:
            self._known_order_count = expected_count + 1
        return result is OrderResult.ACCEPTED

    def _build_state(self, now_ms):
        report = self._planner.report
        if report is None:
            load = EngineLoad(gateway_count=len(self._sessions))
            return EngineState(0, False, False, (), (), load)
        places = self._planner.place_queue(now_ms)
        return EngineState(
            backend_started_unix_ms=report.started_unix_ms,
            is_reachable=self._is_reachable,
            has_model=self._planner.has_model,
            resident=tuple(sorted(report.resident)),
            loading=tuple(sorted(report.loading)),
            load=EngineLoad(
                running_count=report.running_count,
                waiting_count=report.waiting_count,
                queued_count=self._planner.queued_count,
                gateway_count=len(self._sessions),
                waiting_tokens=self._pacer.waiting_tokens,
                states_places=True,
                spare_count=places.spare_count,
                in_time_count=places.in_time_count,
                place_interval_ms=round(places.interval_ms),
                late_interval_ms=round(places.late_interval_ms),
                resumed_count=places.resumed_count,
                urgent_rank=places.urgent_rank,
            ),
            is_leaving=report.is_leaving,
        )

    def _send_updates(self, fulfilled, now_ms):
        """Send the due state updates to the gateways."""
        state = self._build_state(now_ms)
        self._telemetry.record_state(state)
        started = self._planner.take_started_sessions()
        due = self._updates.take_due(state, fulfilled, now_ms, started)
        for session, message in due:
            session.send(message)
