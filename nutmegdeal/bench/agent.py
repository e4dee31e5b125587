"""An agent's own classes, run in simulated time over a fake engine."""

import math
import random

from nutmegdeal.agent.attempts import Attempt, AttemptState
from nutmegdeal.agent.blackboard import Blackboard
from nutmegdeal.agent.dispatch import RUN_SMOOTHING
from nutmegdeal.agent.endings import Endings
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


class HeldLease:
    """A lease that is never lost."""

    fence = 1

    def may_order(self):
        """Return True."""
        return True


class SilentEvents:
    """Event log that keeps nothing."""

    def note(self, submit, step, outcome, peer="", detail=""):
        """Record nothing."""


class SteadyConfiguration:
    """Stands for a configuration controller that is never behind."""

    def observe(self, generation, manifest=""):
        """Do nothing."""


class PlanSignal:
    """Takes the place of the blackboard's event: plans soon after it is set.

    Parameters
    ----------
    loop : SimulationLoop
    plan : callable
    """

    def __init__(self, loop, plan):
        self._loop = loop
        self._plan = plan
        self._due_ms = float("inf")

    def set(self):
        """Plan as soon as the current event is over."""
        self.set_at(self._loop.now_ms)

    def set_at(self, at_ms):
        """Plan at a time, unless an earlier plan is due."""
        if at_ms >= self._due_ms:
            return
        self._due_ms = at_ms
        self._loop.call_at(at_ms, self._fire, at_ms)

    def _fire(self, at_ms):
        if at_ms != self._due_ms:
            return
        self._due_ms = float("inf")
        self._plan()


class EarlyIntake:
    """Admits by the agent's own forecast.

    Parameters
    ----------
    board, forecast, reporter, endings, clock
        Parts of the agent.
    """

    def __init__(self, board, forecast, reporter, endings, clock):
        self._handler = StreamHandler(
            board,
            forecast,
            reporter,
            SteadyConfiguration(),
            endings,
            SilentEvents(),
            clock,
            SETTINGS,
        )

    def submit(self, session, submit):
        """Admit an attempt or refuse it at once."""
        self._handler.submit(session, submit)


class OpenIntake:
    """Admits everything.

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


class BenchAgent:
    """One agent and its engine.

    Parameters
    ----------
    host : Host
    loop : SimulationLoop
    engine : FakeEngine
    policies : PolicySet
    token_counts : dict of str to int
        Tokens of each request, by request id.
    """

    def __init__(self, host, loop, engine, policies, token_counts):
        self.host = host
        self.engine = engine
        self._loop = loop
        self._token_counts = token_counts
        self._late_report = engine.report()
        configuration = policies.configuration
        self._signal = PlanSignal(loop, self._plan)
        self.board = Blackboard(
            agent_id=host.host_id,
            incarnation=host.host_id,
            service=host.service,
            zone=host.zone,
            configuration=configuration,
            slots=SlotTable(SLOT_COUNT),
            has_report=True,
            lease=HeldLease(),
            trusted_from_ms=0.0,
            in_charge_until_ms=math.inf,
            changed=self._signal,
        )
        self.planner = Planner(
            self.board.slots,
            policies.make_batch_order(),
            policies.make_eviction(),
            policies.make_budget(loop),
            LoadBackoff(random.Random(host.host_id)),
        )
        self.claims = policies.make_claims(self.planner.budget, loop, host.host_id)
        self._is_claiming = False
        self._build_controllers(policies)

    def _build_controllers(self, policies):
        loop, board = self._loop, self.board
        weight_store = policies.configuration.weight_store
        load_times = LoadTimes(weight_store, policies.engine_count)
        forecast = Forecast(board, self.planner, load_times, loop.clock)
        self._endings = Endings(board, SilentEvents())
        self._reporter = Reporter(board, forecast, loop.clock, SETTINGS)
        orders = OrderController(
            board,
            self.engine,
            self.planner,
            self._endings,
            SilentEvents(),
            loop.clock,
            load_times,
            on_fenced=None,
        )
        self._scheduler = Scheduler(
            board,
            self.planner,
            self._run_attempt,
            orders.give,
            self._endings,
            loop.clock,
            load_times,
            spawn=loop.spawn,
        )
        if policies.refuses_early:
            self._intake = EarlyIntake(
                board, forecast, self._reporter, self._endings, loop.clock
            )
        else:
            self._intake = OpenIntake(board, loop.clock)

    def submit(self, session, submit):
        """Take in an attempt as it comes from a stream."""
        self._intake.submit(session, submit)

    def build_report(self):
        """Return the AgentReport of now."""
        return self._reporter.build()

    def read_engine_report(self, lag_ms):
        """Take in the engine's report of one lag ago."""
        now_ms = self._loop.now_ms
        report, self._late_report = self._late_report, self.engine.report()
        self.board.slots.observe_report(report, now_ms - lag_ms, now_ms)
        self.board.notify()

    def shut_down(self):
        """Lose the host."""
        self.engine.shut_down()
        self.board.attempts.clear()

    def _plan(self):
        if self.engine.is_down:
            return
        self._scheduler.step()
        self._loop.call_later(0.0, self._note_work)
        self._claim_soon()
        if self.board.waiting():
            self._signal.set_at(self._loop.now_ms + self._scheduler.pause_ms())

    def _claim_soon(self):
        if self.claims is None or self._is_claiming:
            return
        wanted_count = self.board.wanted_load_count
        if self.claims.is_due(wanted_count):
            self._is_claiming = True
            self._loop.spawn(self._claim, wanted_count)

    def _claim(self, wanted_count):
        self.claims.step(wanted_count)
        self.board.notify()
        self._loop.sleep(POLL_EVERY_MS)
        self._is_claiming = False
        self._claim_soon()

    def _note_work(self):
        self.engine.note_work(len(self.board.waiting()))

    def _run_attempt(self, attempt):
        attempt.state = AttemptState.DISPATCHED
        submit = attempt.submit
        token_count = self._token_counts[submit.request_id]
        begun_ms = self._loop.now_ms
        failure = self.engine.run(submit.attempt_id, attempt.adapter, token_count)
        if self.engine.is_down:
            return
        if failure is None:
            self._note_run(self._loop.now_ms - begun_ms)
            self._endings.complete(attempt)
        elif failure.reason is Reason.NOT_FOUND:
            self.board.slots.mark_missing(attempt.adapter, self._loop.now_ms)
            self._endings.refuse(attempt, failure)
        else:
            self._endings.fail(attempt, Fate.FAILED, failure)

    def _note_run(self, run_ms):
        self.board.run_ms += RUN_SMOOTHING * (run_ms - self.board.run_ms)
