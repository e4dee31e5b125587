"""Runs the agent's production classes in simulated time against an engine stand-in."""

import math
import random

from nutmegdeal.agent.attempt_finalizer import AttemptFinalizer
from nutmegdeal.agent.attempts import Attempt, AttemptState
from nutmegdeal.agent.blackboard import Blackboard
from nutmegdeal.agent.forecast import Forecast
from nutmegdeal.agent.loads import LoadBackoff, LoadTimes
from nutmegdeal.agent.orders import OrderController
from nutmegdeal.agent.planning import Planner
from nutmegdeal.agent.reports import Reporter
from nutmegdeal.agent.scheduling import Scheduler
from nutmegdeal.agent.slots import SlotTable
from nutmegdeal.agent.streams import StreamHandler
from nutmegdeal.agent.tranches import POLL_EVERY_MS
from nutmegdeal.bench.teams import SLOT_COUNT
from nutmegdeal.errors import Reason
from nutmegdeal.messages import Fate
from nutmegdeal.settings import AgentSettings

SETTINGS = AgentSettings(queue_max=4_096)


class PermanentLease:
    """Lease that is held for the whole run."""

    fence = 1

    def may_order(self):
        """Return True."""
        return True


class NullEventLog:
    """Event log that discards all events."""

    def add_event(self, submit, step, outcome, peer="", detail=""):
        """Discard the event."""


class NullConfigurationObserver:
    """Replaces the configuration controller; the configuration never changes."""

    def record_peer_generation(self, generation, manifest=""):
        """Ignore the generation that a message names."""


class PlanTrigger:
    """Replaces the event of the blackboard; setting it schedules a planning step.

    Parameters
    ----------
    loop : SimulationLoop
    plan : callable
        Called without arguments to make and execute a plan.
    """

    def __init__(self, loop, plan):
        self._loop = loop
        self._plan = plan
        self._due_ms = float("inf")

    def set(self):
        """Plan right after the current event of the loop."""
        self.set_at(self._loop.now_ms)

    def set_at(self, at_ms):
        """Plan at a time, unless planning is already scheduled for then or earlier."""
        if at_ms >= self._due_ms:
            return
        self._due_ms = at_ms
        self._loop.call_at(at_ms, self._run_plan, at_ms)

    def _run_plan(self, at_ms):
        if at_ms != self._due_ms:
            return
        self._due_ms = float("inf")
        self._plan()


class ForecastAdmission:
    """Admits attempts by the agent's forecast of their waits.

    Parameters
    ----------
    board, forecast, reporter, attempt_finalizer, clock
        Components of the agent.
    """

    def __init__(self, board, forecast, reporter, attempt_finalizer, clock):
        self._handler = StreamHandler(
            board,
            forecast,
            reporter,
            NullConfigurationObserver(),
            attempt_finalizer,
            NullEventLog(),
            clock,
            SETTINGS,
        )

    def submit(self, session, submit):
        """Admit an attempt or refuse it immediately."""
        self._handler.submit(session, submit)


class UnlimitedAdmission:
    """Admits every attempt.

    Parameters
    ----------
    board : Blackboard
    clock : Clock
    """

    def __init__(self, board, clock):
        self._board = board
        self._clock = clock

    def submit(self, session, submit):
        """Admit an attempt."""
        now_ms = self._clock.monotonic_ms()
        remaining_ms = submit.deadline_unix_ms - self._clock.unix_ms()
        attempt = Attempt(submit, session, now_ms, now_ms + remaining_ms)
        self._board.attempts[submit.attempt_id] = attempt
        self._board.notify()


class SimulatedAgent:
    """One agent and its engine, in simulated time.

    Parameters
    ----------
    host : Host
    loop : SimulationLoop
    engine : FakeEngine
    policies : PolicySet
    token_counts : dict of str to int
        Number of tokens of each request, by request id.
    """

    def __init__(self, host, loop, engine, policies, token_counts):
        self.host = host
        self.engine = engine
        self._loop = loop
        self._token_counts = token_counts
        self._previous_report = engine.report()
        configuration = policies.configuration
        self._plan_trigger = PlanTrigger(loop, self._plan)
        self.board = Blackboard(
            agent_id=host.host_id,
            incarnation=host.host_id,
            service=host.service,
            zone=host.zone,
            configuration=configuration,
            slots=SlotTable(SLOT_COUNT),
            has_report=True,
            lease=PermanentLease(),
            reports_trusted_from_ms=0.0,
            in_charge_until_ms=math.inf,
            changed=self._plan_trigger,
        )
        self.planner = Planner(
            self.board.slots,
            policies.make_queue_order(),
            policies.make_eviction_policy(),
            policies.make_load_budget(loop),
            LoadBackoff(random.Random(host.host_id)),
        )
        self.tranche_controller = policies.make_tranche_controller(
            self.planner.budget, loop, host.host_id
        )
        self._is_claiming = False
        self._build_controllers(policies)

    def _build_controllers(self, policies):
        loop, board = self._loop, self.board
        weight_store = policies.configuration.weight_store
        load_times = LoadTimes(weight_store, policies.engine_count)
        forecast = Forecast(board, self.planner, load_times, loop.clock)
        self._attempt_finalizer = AttemptFinalizer(board, NullEventLog())
        self._reporter = Reporter(board, forecast, loop.clock, SETTINGS)
        orders = OrderController(
            board,
            self.engine,
            self.planner,
            self._attempt_finalizer,
            NullEventLog(),
            loop.clock,
            load_times,
            on_fenced=None,
        )
        self._scheduler = Scheduler(
            board,
            self.planner,
            self._run_attempt,
            orders.give,
            self._attempt_finalizer,
            loop.clock,
            load_times,
            spawn=loop.spawn,
        )
        if policies.refuses_early:
            self._admission = ForecastAdmission(
                board, forecast, self._reporter, self._attempt_finalizer, loop.clock
            )
        else:
            self._admission = UnlimitedAdmission(board, loop.clock)

    def submit(self, session, submit):
        """Handle an attempt that an entry submits."""
        self._admission.submit(session, submit)

    def build_report(self):
        """Return the current AgentReport."""
        return self._reporter.build()

    def read_engine_report(self, lag_ms):
        """Apply the report that the engine gave at the previous call, `lag_ms` ago."""
        now_ms = self._loop.now_ms
        report, self._previous_report = self._previous_report, self.engine.report()
        self.board.slots.process_report(report, now_ms - lag_ms, now_ms)
        self.board.notify()

    def shut_down(self):
        """Simulate the loss of the host."""
        self.engine.shut_down()
        self.board.attempts.clear()

    def _plan(self):
        if self.engine.is_down:
            return
        self._scheduler.step()
        self._loop.call_later(0.0, self._update_batch_meter)
        self._start_claim()
        if self.board.waiting():
            self._plan_trigger.set_at(self._loop.now_ms + self._scheduler.pause_ms())

    def _start_claim(self):
        if self.tranche_controller is None or self._is_claiming:
            return
        wanted_count = self.board.wanted_load_count
        if self.tranche_controller.is_due(wanted_count):
            self._is_claiming = True
            self._loop.spawn(self._claim, wanted_count)

    def _claim(self, wanted_count):
        self.tranche_controller.step(wanted_count)
        self.board.notify()
        self._loop.sleep(POLL_EVERY_MS)
        self._is_claiming = False
        self._start_claim()

    def _update_batch_meter(self):
        self.engine.update_batch_meter(len(self.board.waiting()))

    def _run_attempt(self, attempt):
        attempt.state = AttemptState.DISPATCHED
        submit = attempt.submit
        token_count = self._token_counts[submit.request_id]
        started_ms = self._loop.now_ms
        failure = self.engine.run(submit.attempt_id, attempt.adapter, token_count)
        if self.engine.is_down:
            return
        if failure is None:
            self.board.record_run_time(self._loop.now_ms - started_ms)
            self._attempt_finalizer.complete(attempt)
        elif failure.reason is Reason.NOT_FOUND:
            self.board.slots.mark_missing(attempt.adapter, self._loop.now_ms)
            self._attempt_finalizer.refuse(attempt, failure)
        else:
            self._attempt_finalizer.fail(attempt, Fate.FAILED, failure)
