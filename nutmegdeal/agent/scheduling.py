"""Makes and executes plans: refuses late requests, dispatches, sends orders."""

import gevent

from nutmegdeal import telemetry
from nutmegdeal.agent.attempts import AttemptState
from nutmegdeal.agent.slots import SlotState
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.log import get_logger
from nutmegdeal.order_kinds import OrderKind

logger = get_logger(__name__)

PAUSE_MAX_MS = 100.0
PAUSE_MIN_MS = 1.0
# Few requests run for less than this fraction of the mean run time.
RUN_FRACTION_MIN = 0.5


class Scheduler:
    """Makes a plan whenever the agent's state has changed.

    Parameters
    ----------
    board : Blackboard
    planner : Planner
    run_attempt : callable
        Runs an Attempt until it has ended.
    execute_order : callable
        Sends an Order of the slot table and applies its outcome.
    attempt_finalizer : AttemptFinalizer
    clock : Clock
    load_times : LoadTimes
    spawn : callable
        Runs a function in a new greenlet.
    """

    def __init__(
        self,
        board,
        planner,
        run_attempt,
        execute_order,
        attempt_finalizer,
        clock,
        load_times,
        spawn=gevent.spawn,
    ):
        self._board = board
        self._planner = planner
        self._run_attempt = run_attempt
        self._execute_order = execute_order
        self._attempt_finalizer = attempt_finalizer
        self._clock = clock
        self._load_times = load_times
        self._spawn = spawn

    def run(self):
        """Plan until the greenlet is killed."""
        while True:
            self.step()
            self._board.changed.wait(self.pause_ms() / 1000)
            self._board.changed.clear()

    def pause_ms(self):
        """Return the longest time to wait before the next plan (float)."""
        if not self._board.wanted_load_count:
            return PAUSE_MAX_MS
        now_ms = self._clock.monotonic_ms()
        next_ms = self._planner.budget.next_start_ms(now_ms)
        if next_ms <= now_ms:
            # The rate allows a load now, so the loads wait for something else, such as
            # the end of a load in transit, which wakes the scheduler.
            return PAUSE_MAX_MS
        return min(max(next_ms - now_ms, PAUSE_MIN_MS), PAUSE_MAX_MS)

    def step(self):
        """Make one plan and execute it."""
        now_ms = self._clock.monotonic_ms()
        self._expire(now_ms)
        if not self._board.may_dispatch(now_ms):
            return
        running = self._board.running_by_adapter()
        free_count = self._board.batch_size_max - sum(running.values())
        plan = self._planner.plan(
            [attempt.waiting_request for attempt in self._board.waiting()],
            running,
            free_count,
            self._board.may_order,
            not self._board.takeover.is_active,
            now_ms,
        )
        self._record_load_starts(plan, now_ms)
        self._board.wanted_load_count = plan.wanted_load_count
        if plan.wanted_load_count:
            self._board.loads_wanted.set()
        self._update_load_waits(now_ms)
        for dispatch in plan.dispatches:
            self._dispatch(dispatch, now_ms)
        for order in plan.orders:
            self._start_order(order)

    def _start_order(self, order):
        greenlet = self._spawn(self._execute_order, order)
        self._board.running_greenlets.add(greenlet)
        greenlet.link(self._board.running_greenlets.discard)

    def _record_load_starts(self, plan, now_ms):
        had_waited = self._board.wanted_load_count > 0
        for order in plan.orders:
            if order.kind is OrderKind.LOAD:
                self._load_times.record_start(now_ms, had_waited)

    def _expire(self, now_ms):
        """Refuse waiting requests that are unlikely to finish by their deadline."""
        run_min_ms = RUN_FRACTION_MIN * self._board.mean_run_ms
        for attempt in self._board.waiting():
            if attempt.deadline_ms - run_min_ms > now_ms:
                continue
            failure = Failure(
                Reason.DEADLINE_UNREACHABLE,
                Step.QUEUE,
                self._board.agent_id,
                f"{attempt.deadline_ms - now_ms:.0f} ms left after waiting",
            )
            self._attempt_finalizer.refuse(attempt, failure, self._clock.unix_ms())

    def _update_load_waits(self, now_ms):
        """Update how long each attempt has waited for its adapter."""
        resident = self._board.slots.adapters_in(SlotState.RESIDENT)
        for attempt in self._board.waiting():
            is_absent = attempt.adapter and attempt.adapter not in resident
            if is_absent and attempt.load_wait_since_ms is None:
                attempt.load_wait_since_ms = now_ms
            if not is_absent and attempt.load_wait_since_ms is not None:
                attempt.load_stall_ms += now_ms - attempt.load_wait_since_ms
                attempt.load_wait_since_ms = None

    def _dispatch(self, dispatch, now_ms):
        attempt = self._board.attempts[dispatch.attempt_id]
        attempt.state = AttemptState.CLAIMING
        if attempt.load_wait_since_ms is not None:
            attempt.load_stall_ms += now_ms - attempt.load_wait_since_ms
        waited_ms = now_ms - attempt.arrived_ms
        attempt.queue_ms = max(0.0, waited_ms - attempt.load_stall_ms)
        telemetry.record_load_stall(attempt.load_stall_ms, self._board.service)
        telemetry.record_batch(
            self._update_running_count(),
            self._board.batch_size_max,
            self._board.service,
        )
        attempt.greenlet = self._spawn(self._run_pinned, attempt, dispatch.pin)
        self._board.running_greenlets.add(attempt.greenlet)

    def _update_running_count(self):
        """Return the number of running requests, and update the takeover guard."""
        running_count = sum(self._board.running_by_adapter().values())
        now_ms = self._clock.monotonic_ms()
        self._board.takeover.record_running_count(running_count, now_ms)
        return running_count

    def _run_pinned(self, attempt, pin):
        try:
            with start_attempt_span(attempt):
                self._run_attempt(attempt)
        except Exception as error:
            logger.exception("attempt_crashed", attempt=attempt.attempt_id)
            self._end_crashed(attempt, error)
        finally:
            if pin is not None:
                self._board.slots.unpin(pin)
            self._board.running_greenlets.discard(attempt.greenlet)
            self._update_running_count()
            self._board.notify()

    def _end_crashed(self, attempt, error):
        if attempt.state is AttemptState.ENDED:
            return
        failure = Failure(
            Reason.BACKEND_ERROR, Step.DISPATCH, self._board.agent_id, repr(error)
        )
        self._attempt_finalizer.crash(attempt, failure)


def start_attempt_span(attempt):
    """Return the trace span of an attempt from dispatch to its last message."""
    submit = attempt.submit
    return telemetry.start_span(
        "agent.attempt",
        submit.traceparent,
        request_id=submit.request_id,
        attempt=submit.attempt_id,
        adapter=submit.adapter,
        version=submit.version,
        generation=submit.generation,
        load_stall_ms=attempt.load_stall_ms,
        queue_ms=attempt.queue_ms,
    )
