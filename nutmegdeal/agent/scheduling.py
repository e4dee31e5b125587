"""Carries out plans: expires what waits too long, dispatches, gives orders."""

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
# A request that needs less than the mean time is rarely much shorter than this.
LEAST_RUN_FRACTION = 0.5


class Scheduler:
    """Plans whenever something has changed.

    Parameters
    ----------
    board : Blackboard
    planner : Planner
    run_attempt : callable
        Runs an Attempt until it has ended.
    give_order : callable
        Carries out an Order of the slot table.
    endings : Endings
    clock : Clock
    load_times : LoadTimes
    spawn : callable
        Runs a function in a greenlet of its own.
    """

    def __init__(
        self,
        board,
        planner,
        run_attempt,
        give_order,
        endings,
        clock,
        load_times,
        spawn=gevent.spawn,
    ):
        self._board = board
        self._planner = planner
        self._run_attempt = run_attempt
        self._give_order = give_order
        self._endings = endings
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
        """Return the longest wait (float) before the next plan."""
        if not self._board.wanted_load_count:
            return PAUSE_MAX_MS
        now_ms = self._clock.monotonic_ms()
        next_ms = self._planner.budget.next_start_ms(now_ms)
        if next_ms <= now_ms:
            # The end of what holds the loads back wakes the scheduler.
            return PAUSE_MAX_MS
        return min(max(next_ms - now_ms, PAUSE_MIN_MS), PAUSE_MAX_MS)

    def step(self):
        """Plan once and carry the plan out."""
        now_ms = self._clock.monotonic_ms()
        self._expire(now_ms)
        if not self._board.may_dispatch(now_ms):
            return
        running = self._board.running_by_adapter()
        free_count = self._board.batch_size_max - sum(running.values())
        plan = self._planner.plan(
            [attempt.waiting for attempt in self._board.waiting()],
            running,
            free_count,
            self._board.may_order,
            not self._board.takeover.is_open,
            now_ms,
        )
        self._note_load_starts(plan, now_ms)
        self._board.wanted_load_count = plan.wanted_load_count
        if plan.wanted_load_count:
            self._board.loads_wanted.set()
        self._note_load_waits(now_ms)
        for dispatch in plan.dispatches:
            self._dispatch(dispatch, now_ms)
        for order in plan.orders:
            self._give(order)

    def _give(self, order):
        greenlet = self._spawn(self._give_order, order)
        self._board.running_greenlets.add(greenlet)
        greenlet.link(self._board.running_greenlets.discard)

    def _note_load_starts(self, plan, now_ms):
        had_waited = self._board.wanted_load_count > 0
        for order in plan.orders:
            if order.kind is OrderKind.LOAD:
                self._load_times.record_start(now_ms, had_waited)

    def _expire(self, now_ms):
        """Refuse what waits and could hardly be answered by its deadline any more."""
        least_run_ms = LEAST_RUN_FRACTION * self._board.run_ms
        for attempt in self._board.waiting():
            if attempt.deadline_ms - least_run_ms > now_ms:
                continue
            failure = Failure(
                Reason.DEADLINE_UNREACHABLE,
                Step.QUEUE,
                self._board.agent_id,
                f"{attempt.deadline_ms - now_ms:.0f} ms left after waiting",
            )
            self._endings.refuse(attempt, failure, self._clock.unix_ms())

    def _note_load_waits(self, now_ms):
        """Note since when each attempt has waited for its adapter to arrive."""
        resident = self._board.slots.adapters_in(SlotState.RESIDENT)
        for attempt in self._board.waiting():
            is_absent = attempt.adapter and attempt.adapter not in resident
            if is_absent and attempt.load_wait_from_ms is None:
                attempt.load_wait_from_ms = now_ms
            if not is_absent and attempt.load_wait_from_ms is not None:
                attempt.load_stall_ms += now_ms - attempt.load_wait_from_ms
                attempt.load_wait_from_ms = None

    def _dispatch(self, dispatch, now_ms):
        attempt = self._board.attempts[dispatch.attempt_id]
        attempt.state = AttemptState.CLAIMING
        if attempt.load_wait_from_ms is not None:
            attempt.load_stall_ms += now_ms - attempt.load_wait_from_ms
        waited_ms = now_ms - attempt.arrived_ms
        attempt.queue_ms = max(0.0, waited_ms - attempt.load_stall_ms)
        telemetry.record_load_stall(attempt.load_stall_ms, self._board.service)
        telemetry.record_batch(
            self._note_running(), self._board.batch_size_max, self._board.service
        )
        attempt.greenlet = self._spawn(self._run_pinned, attempt, dispatch.pin)
        self._board.running_greenlets.add(attempt.greenlet)

    def _note_running(self):
        """Return the number of requests running, and tell the takeover's guard."""
        running_count = sum(self._board.running_by_adapter().values())
        now_ms = self._clock.monotonic_ms()
        self._board.takeover.note_own(running_count, now_ms)
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
            self._note_running()
            self._board.notify()

    def _end_crashed(self, attempt, error):
        if attempt.state is AttemptState.ENDED:
            return
        failure = Failure(
            Reason.BACKEND_ERROR, Step.DISPATCH, self._board.agent_id, repr(error)
        )
        self._endings.crash(attempt, failure)


def start_attempt_span(attempt):
    """Return the span of this agent's hop, from dispatch to the last message."""
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
