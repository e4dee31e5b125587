"""State machine of the ledger's users, with crashes, lost calls and clock skew."""

import collections

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from nutmegdeal.clock import ManualClock
from nutmegdeal.entry.attempts import (
    AttemptPlan,
    FenceAttempt,
    Finish,
    LookUpRow,
    PollRow,
    SendAttempt,
)
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.fakes.memory import MemoryTable
from nutmegdeal.ledger import (
    AlreadyRecorded,
    Fenced,
    LedgerAnswer,
    LedgerRow,
    LedgerState,
    MayDispatch,
    TableLedger,
)
from nutmegdeal.ledger_sweep import LATE_WRITE_MS, sweep_expired
from nutmegdeal.messages import AttemptEnded, Fate
from nutmegdeal.retry_budget import RetryBudget
from nutmegdeal.tests.builders import build_booking
from nutmegdeal.tests.stepping import (
    STORE_CALLS,
    Actor,
    CallOutcome,
    SkewedClock,
    SteppedTable,
    StoreCalls,
    pause,
)

SKEW_MS = 500
OFFSETS_MS = (-SKEW_MS // 2, 0, SKEW_MS // 2)
EXPIRY_MS = 60_000
DEADLINE_MS = 30_000
ATTEMPTS_MAX = 3
POINT_NAMES = ("before_send", "sent", "poll")
ANSWER = LedgerAnswer(200, "text/plain", b"ok")
LOST = Failure(Reason.CONNECTION_LOST, Step.SUBMIT, "agent")
INDEXES = st.integers(0, 23)


@attrs.define
class Observations:
    """What really happened, and what was reported about it."""

    effect_counts: collections.Counter = attrs.Factory(collections.Counter)
    ran_attempts: set = attrs.Factory(set)
    not_run_attempts: set = attrs.Factory(set)
    completed_keys: set = attrs.Factory(set)
    reports: dict = attrs.Factory(dict)


def run_agent(ledger, submit, incarnation, observed):
    """Run one attempt in the same steps as `agent.claims.ClaimRunner`."""
    result = ledger.begin(submit, incarnation)
    if isinstance(result, MayDispatch):
        _send_under_claim(ledger, submit, result, observed)
    elif isinstance(result, AlreadyRecorded):
        _answer_from_row(ledger, submit, result.row, observed)
    else:
        _report_not_run(submit, result.reason, observed)
        if result.maybe_applied:
            ledger.withdraw(submit)


def _send_under_claim(ledger, submit, claim, observed):
    if pause("before_send") == "give_up":
        _report_not_run(submit, Reason.CANCELLED, observed)
        ledger.finish(claim, LedgerState.NOT_RUN)
        return
    observed.effect_counts[submit.idempotency_key] += 1
    observed.ran_attempts.add(submit.attempt_id)
    pause("sent")
    observed.reports[submit.attempt_id] = ANSWER
    ledger.finish(claim, LedgerState.COMPLETED, ANSWER)


def _answer_from_row(ledger, submit, row, observed):
    while row is None or row.state is LedgerState.DISPATCHED:
        if pause("poll") == "give_up":
            _report_end(submit, Fate.IN_DOUBT, Reason.DEADLINE_PASSED, observed)
            return
        found = ledger.lookup(submit)
        row = found if isinstance(found, LedgerRow) else None
    if row.state is LedgerState.NOT_RUN:
        _report_not_run(submit, Reason.FENCED, observed)
    else:
        observed.reports[submit.attempt_id] = row.answer


def _report_not_run(submit, reason, observed):
    observed.not_run_attempts.add(submit.attempt_id)
    _report_end(submit, Fate.NOT_RUN, reason, observed)


def _report_end(submit, fate, reason, observed):
    observed.reports[submit.attempt_id] = AttemptEnded(
        submit.attempt_id, fate, reason, Step.LEDGER, "agent"
    )


class EntryProgram:
    """Runs the entry's real AttemptPlan for one non-idempotent request."""

    def __init__(self, ledger, submits, start_agent, observed):
        self._ledger = ledger
        self._submits = submits
        self._start_agent = start_agent
        self._observed = observed
        self._plan = AttemptPlan(False, len(submits), RetryBudget(1.0))
        self._submit = submits[0]

    def run(self):
        """Carry out the plan until the caller is told a fate."""
        action = self._plan.start()
        while not isinstance(action, Finish):
            action = self._act(action)
        if action.fate is Fate.COMPLETED:
            self._observed.completed_keys.add(self._submit.idempotency_key)
        if action.fate is Fate.NOT_RUN:
            attempt_ids = {submit.attempt_id for submit in self._submits}
            self._observed.not_run_attempts |= attempt_ids

    def _act(self, action):
        if isinstance(action, SendAttempt):
            return self._send(action.number)
        if isinstance(action, LookUpRow):
            return self._plan.on_lookup(self._ledger.lookup(self._submit))
        if isinstance(action, PollRow):
            if pause("poll") == "give_up":
                return self._plan.on_deadline(LOST)
            return self._plan.on_poll(self._ledger.lookup(self._submit))
        is_fence = isinstance(action, FenceAttempt)
        method = self._ledger.fence if is_fence else self._ledger.withdraw
        result = method(self._submit)
        if isinstance(result, Fenced):
            self._observed.not_run_attempts.add(self._submit.attempt_id)
        return self._plan.on_fence(result)

    def _send(self, number):
        self._submit = self._submits[number - 1]
        self._start_agent(self._submit)
        self._plan.on_sent()
        report = pause("agent", self._submit.attempt_id)
        if report is None:
            return self._plan.on_lost(LOST)
        if isinstance(report, AttemptEnded):
            return self._plan.on_ended(report)
        return self._plan.on_complete(report)


class LedgerMachine(RuleBasedStateMachine):
    """Runs callers, entries and agents over one ledger in any order.

    Attributes
    ----------
    ledger_class : type
        The implementation under test.
    request_max : int
        Largest number of requests.
    has_store_faults : bool
        False if the table service answers every call.
    has_crashes : bool
        False if actors may be paused and taken for lost, but not killed.
    has_long_waits : bool
        False if no deadline and no expiry passes.
    has_odd_bodies : bool
        False if all requests under a key have the same body.
    """

    ledger_class = TableLedger
    request_max = 6
    has_store_faults = True
    has_crashes = True
    has_long_waits = True
    has_odd_bodies = True

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.start_unix_ms = self.clock.unix_ms()
        self.calls = StoreCalls(MemoryTable())
        self.observed = Observations()
        self.actors = []
        self._waiting_agents = []
        self.request_count = 0

    def _ledger(self, offset_ms):
        return self.ledger_class(SteppedTable(), SkewedClock(self.clock, offset_ms))

    def _start_actor(self, name, program):
        self.actors.append(Actor(name, program))

    def _start_agent(self, submit):
        number = len(self.actors)
        ledger = self._ledger(OFFSETS_MS[number % len(OFFSETS_MS)])
        incarnation = f"agent-{number}"
        self._waiting_agents.append(
            lambda: run_agent(ledger, submit, incarnation, self.observed)
        )

    def _start_waiting_agents(self):
        while self._waiting_agents:
            self._start_actor("agent", self._waiting_agents.pop(0))

    def _list_actors_at(self, *names):
        return [
            actor
            for actor in self.actors
            if not actor.is_done and actor.waits_for.name in names
        ]

    @precondition(lambda self: self.request_count < self.request_max)
    @rule(key=st.sampled_from(["k1", "k1", "k2"]), odd_body=st.sampled_from([0, 0, 1]))
    def request(self, key, odd_body):
        """Send a request; it is a repeat if its key was used before."""
        self.request_count += 1
        request_id = f"r{self.request_count}"
        submits = [
            build_booking(
                request_id=request_id,
                attempt_id=f"{request_id}.{number}",
                idempotency_key=key if self.has_odd_bodies else "k1",
                body=b"odd" if odd_body and self.has_odd_bodies else b"even",
                expiry_unix_ms=self.start_unix_ms + EXPIRY_MS,
                deadline_unix_ms=self.clock.unix_ms() + DEADLINE_MS,
            )
            for number in range(1, ATTEMPTS_MAX + 1)
        ]
        ledger = self._ledger(OFFSETS_MS[self.request_count % len(OFFSETS_MS)])
        entry = EntryProgram(ledger, submits, self._start_agent, self.observed)
        self._start_actor("entry", entry.run)
        self._start_waiting_agents()

    @precondition(lambda self: self._list_actors_at(*STORE_CALLS))
    @rule(
        index=INDEXES,
        call_outcome=st.sampled_from([*[CallOutcome.ANSWERED] * 4, *CallOutcome]),
    )
    def call(self, index, call_outcome):
        """Carry out one actor's call of the table with the given outcome."""
        actors = self._list_actors_at(*STORE_CALLS)
        call_outcome = call_outcome if self.has_store_faults else CallOutcome.ANSWERED
        self.calls.carry_out(actors[index % len(actors)], call_outcome)
        self._start_waiting_agents()

    def finish_calls(self, actor):
        """Answer an actor's calls of the table until it waits for something else."""
        while not actor.is_done and actor.waits_for.name in STORE_CALLS:
            self.calls.carry_out(actor, CallOutcome.ANSWERED)
            self._start_waiting_agents()

    @precondition(lambda self: self._list_actors_at(*POINT_NAMES))
    @rule(index=INDEXES, choice=st.sampled_from(["go", "go", "give_up"]))
    def proceed_or_give_up(self, index, choice):
        """Resume an actor at one of POINT_NAMES, or let it give up there."""
        actors = self._list_actors_at(*POINT_NAMES)
        actors[index % len(actors)].resume(choice)
        self._start_waiting_agents()

    @precondition(lambda self: self._list_actors_at("agent"))
    @rule(index=INDEXES, is_lost=st.sampled_from([False, True]))
    def receive_report(self, index, is_lost):
        """Give an entry its agent's report, or let it take the agent for lost."""
        entries = self._list_actors_at("agent")
        entry = entries[index % len(entries)]
        report = self.observed.reports.get(*entry.waits_for.arguments)
        if report is None and not is_lost:
            return
        entry.resume(None if is_lost else report)
        self._start_waiting_agents()

    @precondition(lambda self: self.actors and self.has_crashes)
    @rule(index=INDEXES)
    def crash(self, index):
        """Kill an entry or agent between two steps."""
        del self.actors[index % len(self.actors)]

    @precondition(lambda self: self.calls.delayed)
    @rule(index=INDEXES)
    def apply_delayed_write(self, index):
        """Apply a delayed write whose sender no longer waits for it."""
        self.calls.apply_delayed_call(index)

    @rule(step_ms=st.sampled_from([1_000, DEADLINE_MS, EXPIRY_MS + LATE_WRITE_MS]))
    def wait(self, step_ms):
        """Let time pass; actors that are not resumed meanwhile are paused."""
        self.clock.advance(step_ms if self.has_long_waits else 1)

    @precondition(lambda self: self.has_long_waits)
    @rule()
    def sweep(self):
        """Delete the rows of expired keys."""
        offset_ms = OFFSETS_MS[self.request_count % len(OFFSETS_MS)]
        clock = SkewedClock(self.clock, offset_ms)
        sweep_expired(self.calls.table, clock, SKEW_MS)

    @invariant()
    def no_key_ran_twice(self):
        """Check that no key had more than one effect at the backend server."""
        assert all(count <= 1 for count in self.observed.effect_counts.values())

    @invariant()
    def not_run_attempts_did_not_run(self):
        """Check that no attempt ran that was reported as not run."""
        assert not self.observed.not_run_attempts & self.observed.ran_attempts

    @invariant()
    def completed_requests_ran_once(self):
        """Check that each key reported as completed ran once."""
        keys = self.observed.completed_keys
        assert all(self.observed.effect_counts[key] == 1 for key in keys)
