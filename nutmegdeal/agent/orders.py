"""Sends load and unload orders to a model engine and reads its reports."""

import gevent

from nutmegdeal.accounts import Outcome
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.log import get_logger
from nutmegdeal.order_kinds import OrderKind

logger = get_logger(__name__)


class OrderController:
    """Carries out the orders of a plan, each in a greenlet of its own.

    Parameters
    ----------
    board : Blackboard
    engine : ModelEngine
    planner : Planner
    attempt_finalizer : AttemptFinalizer
    events : EventLog
    clock : Clock
    load_times : LoadTimes
    on_fenced : callable
        Called with the Failure of an order whose fencing number was refused.
    """

    def __init__(
        self,
        board,
        engine,
        planner,
        attempt_finalizer,
        events,
        clock,
        load_times,
        on_fenced,
    ):
        self._board = board
        self._engine = engine
        self._planner = planner
        self._attempt_finalizer = attempt_finalizer
        self._events = events
        self._clock = clock
        self._load_times = load_times
        self._on_fenced = on_fenced

    def give(self, order):
        """Send an order and apply its outcome; blocks until it is answered."""
        outcome = self._send(order)
        now_ms = self._clock.monotonic_ms()
        self._planner.finish_order(order, outcome, now_ms)
        if order.kind is OrderKind.LOAD:
            self._finish_load(order, outcome, now_ms)
        elif outcome is not None:
            logger.warning("unload_failed", adapter=order.adapter, error=str(outcome))
        if outcome is not None and outcome.reason is Reason.FENCED:
            self._on_fenced(outcome)
        self._board.notify()

    def _send(self, order):
        """Return None, or the Failure of an order that was refused or not answered."""
        lease = self._board.lease
        if not lease.may_order():
            # The lease has expired since the plan was made; nothing was sent.
            return Failure(Reason.LEASE_LOST, Step.LEASE, self._board.agent_id)
        if order.kind is OrderKind.LOAD:
            return self._engine.load(order.adapter, lease.fence)
        return self._engine.unload(order.adapter, lease.fence)

    def _finish_load(self, order, outcome, now_ms):
        self._planner.budget.finish(now_ms)
        if outcome is None:
            self._load_times.record_load(now_ms - order.started_ms)
            self._planner.backoff.record_success(order.adapter)
            self._record_loaded(order)
            return
        logger.warning("load_failed", adapter=order.adapter, error=str(outcome))
        retry_at_ms = self._planner.backoff.record_failure(order.adapter, now_ms)
        self._refuse_late(order.adapter, outcome, retry_at_ms, now_ms)

    def _waiting_for(self, adapter):
        return [a for a in self._board.waiting() if a.adapter == adapter]

    def _record_loaded(self, order):
        for attempt in self._waiting_for(order.adapter):
            self._events.add_event(attempt.submit, Step.LOAD, Outcome.LOADED)

    def _refuse_late(self, adapter, failure, retry_at_ms, now_ms):
        """Refuse at once the requests for which a retried load would come too late."""
        arrival_ms = retry_at_ms + self._load_times.load_ms
        retry_at_unix_ms = self._clock.unix_ms() + int(retry_at_ms - now_ms)
        for attempt in self._waiting_for(adapter):
            if attempt.deadline_ms > arrival_ms:
                continue
            refusal = Failure(Reason.LOAD_FAILED, Step.LOAD, failure.peer, str(failure))
            self._attempt_finalizer.refuse(attempt, refusal, retry_at_unix_ms)


class ReportController:
    """Reads the engine's reports and applies them to the slot table.

    Parameters
    ----------
    board : Blackboard
    engine : ModelEngine
    clock : Clock
    settings : AgentSettings
    """

    def __init__(self, board, engine, clock, settings):
        self._board = board
        self._engine = engine
        self._clock = clock
        self._settings = settings

    def read_once(self):
        """Read one report; return it, or a Failure."""
        asked_ms = self._clock.monotonic_ms()
        report = self._engine.report()
        if isinstance(report, Failure):
            logger.warning("report_failed", error=str(report))
            return report
        taken_after_ms = asked_ms - self._settings.report_lag_max_ms
        if taken_after_ms >= self._board.reports_trusted_from_ms:
            self._apply_report(report, taken_after_ms)
        return report

    def _apply_report(self, report, taken_after_ms):
        board = self._board
        is_restart = board.slots.process_report(
            report, taken_after_ms, self._clock.monotonic_ms()
        )
        if is_restart:
            logger.warning("engine_restarted", incarnation=report.incarnation)
        board.takeover.process_report(report.running_count, taken_after_ms)
        board.engine_batch_size_max = report.batch_size_max
        board.has_report = True
        board.notify()

    def run(self):
        """Read reports until the greenlet is killed."""
        while True:
            self.read_once()
            gevent.sleep(self._settings.report_every_ms / 1000)
