"""Property tests of `AttemptPlan`.

A request reported as ``not_run`` never ran, and non-idempotent work runs at most once.
"""

import attrs
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from nutmegdeal.clock import ManualClock
from nutmegdeal.entry.attempts import (
    AttemptPlan,
    FenceAttempt,
    Finish,
    LookUpRow,
    PollRow,
    SendAttempt,
    WithdrawAttempt,
)
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.fakes.memory import MemoryTable
from nutmegdeal.ledger import LedgerAnswer, LedgerState, MayDispatch, TableLedger
from nutmegdeal.messages import AttemptEnded, Fate
from nutmegdeal.retry_budget import RetryBudget, compute_burst_tokens
from nutmegdeal.settings import EntrySettings
from nutmegdeal.tests.builders import build_booking, build_submit

LOST = Failure(Reason.CONNECTION_LOST, Step.RELAY, "agent", "reset")
LATE = Failure(Reason.DEADLINE_PASSED, Step.ANSWER, "", "late")
NO_REPLICA = Failure(Reason.NO_REPLICA, Step.ROUTE, "", "none")
ANSWER = LedgerAnswer(201, "application/json", b"{}")
REFUSALS = (
    (Reason.QUEUE_FULL, Step.ADMIT),
    (Reason.LEAVING, Step.DRAIN),
    (Reason.LOAD_FAILED, Step.LOAD),
    (Reason.DEADLINE_PASSED, Step.QUEUE),
)
MACHINE_SETTINGS = settings(
    max_examples=300, stateful_step_count=25, report_multiple_bugs=False
)


class NaivePlan(AttemptPlan):
    """Naive plan for comparison: retries an unanswered attempt as if not run."""

    def on_lost(self, failure):
        return self._retry_or_conclude(failure, is_budget_exempt=True)

    def on_deadline(self, failure):
        return Finish(Fate.NOT_RUN, failure)


@attrs.define
class AgentAttempt:
    """An attempt that has reached an agent.

    Parameters
    ----------
    submit : Submit
    is_awaited : bool
        False once the entry no longer waits for it; the agent may still run it.
    has_run : bool
    """

    submit: object
    is_awaited: bool = True
    has_run: bool = False


class AttemptMachine(RuleBasedStateMachine):
    """One request with its entry, agents that may pause, and a faulty table service.

    An agent that has received an attempt may run it at any later time, even after the
    entry lost the stream to it.
    """

    plan_class = AttemptPlan
    idempotent = False

    def __init__(self):
        super().__init__()
        self.table = MemoryTable()
        self.clock = ManualClock()
        self.ledger = TableLedger(self.table, self.clock)
        budget = RetryBudget(1.0)
        self.plan = self.plan_class(self.idempotent, 3, budget)
        self.agent_attempts = []
        self.run_count = 0
        self.action = self.plan.start()

    def build(self, number):
        build = build_submit if self.idempotent else build_booking
        return build(attempt_id=f"r-1.{number}")

    @property
    def current(self):
        awaited = [
            agent_attempt
            for agent_attempt in self.agent_attempts
            if agent_attempt.is_awaited
        ]
        return awaited[-1] if awaited else None

    def next_action_is(self, *kinds):
        return isinstance(self.action, kinds)

    # The entry.

    @precondition(lambda self: self.next_action_is(SendAttempt) and not self.current)
    @rule()
    def send(self):
        self.plan.on_sent()
        self.agent_attempts.append(AgentAttempt(self.build(self.action.number)))
        self.action = None

    @precondition(lambda self: self.next_action_is(SendAttempt) and not self.current)
    @rule()
    def find_no_replica(self):
        self.action = self.plan.on_no_replica(NO_REPLICA)

    @precondition(lambda self: self.next_action_is(SendAttempt) and not self.current)
    @rule()
    def fail_to_connect(self):
        self.action = self.plan.on_not_sent(LOST)

    @precondition(
        lambda self: self.next_action_is(
            LookUpRow, FenceAttempt, WithdrawAttempt, PollRow
        )
    )
    @rule()
    def consult_ledger(self):
        submit = self.build(max(1, self.plan.attempt_count))
        if self.next_action_is(LookUpRow):
            self.action = self.plan.on_lookup(self.ledger.lookup(submit))
        elif self.next_action_is(FenceAttempt):
            self.action = self.plan.on_fence(self.ledger.fence(submit))
        elif self.next_action_is(WithdrawAttempt):
            self.action = self.plan.on_fence(self.ledger.withdraw(submit))
        else:
            self.action = self.plan.on_poll(self.ledger.lookup(submit))

    @precondition(lambda self: self.current or self.next_action_is(PollRow))
    @rule()
    def reach_deadline(self):
        if self.current:
            self.current.is_awaited = False
        self.action = self.plan.on_deadline(LATE)

    @precondition(lambda self: self.current)
    @rule()
    def lose_stream(self):
        self.current.is_awaited = False
        self.action = self.plan.on_lost(LOST)

    # The agents.

    @precondition(lambda self: self.current and not self.current.has_run)
    @rule(refusal=st.sampled_from(REFUSALS))
    def refuse(self, refusal):
        self.end(self.agent_attempts.index(self.current), Fate.NOT_RUN, *refusal)

    @precondition(
        lambda self: any(
            not agent_attempt.has_run for agent_attempt in self.agent_attempts
        )
    )
    @rule(data=st.data())
    def run_at_an_agent(self, data):
        """Let an agent that has received an attempt claim it and run it."""
        not_run_indexes = [
            n
            for n, agent_attempt in enumerate(self.agent_attempts)
            if not agent_attempt.has_run
        ]
        self.claim_and_run(data.draw(st.sampled_from(not_run_indexes)))

    def claim_and_run(self, index):
        agent_attempt = self.agent_attempts[index]
        if not self.idempotent:
            claim = self.ledger.begin(agent_attempt.submit, "a1")
            if not isinstance(claim, MayDispatch):
                self.end(index, Fate.NOT_RUN, *refusal_of(claim))
                return
            self.claim = claim
        agent_attempt.has_run = True
        self.run_count += 1

    @precondition(lambda self: self.current and self.current.has_run)
    @rule(is_recorded=st.booleans())
    def answer(self, is_recorded):
        if not self.idempotent and is_recorded:
            self.ledger.finish(self.claim, LedgerState.COMPLETED, ANSWER)
        self.current.is_awaited = False
        self.action = self.plan.on_complete(ANSWER)

    @precondition(lambda self: self.current and self.current.has_run)
    @rule(fate=st.sampled_from([Fate.FAILED, Fate.IN_DOUBT]))
    def fail(self, fate):
        index = self.agent_attempts.index(self.current)
        self.end(index, fate, Reason.BACKEND_ERROR, Step.RELAY)

    def end(self, index, fate, reason, step):
        """End an attempt at its agent; tell the entry if it still waits for it."""
        agent_attempt = self.agent_attempts[index]
        was_awaited = agent_attempt.is_awaited
        if fate is Fate.NOT_RUN:
            del self.agent_attempts[index]
        agent_attempt.is_awaited = False
        if was_awaited:
            ended = AttemptEnded(
                agent_attempt.submit.attempt_id, fate, reason, step, "agent"
            )
            self.action = self.plan.on_ended(ended)

    # The table service.

    @rule(is_down=st.booleans())
    def switch_store(self, is_down):
        self.table.down = is_down

    @rule(lost=st.integers(0, 3), dropped=st.integers(0, 3))
    def lose_answers(self, lost, dropped):
        self.table.lose_answers = lost
        self.table.drop_writes = dropped

    # Invariants.

    @invariant()
    def non_idempotent_work_runs_at_most_once(self):
        assert self.idempotent or self.run_count <= 1

    @invariant()
    def not_run_means_that_nothing_ran(self):
        if self.next_action_is(Finish) and self.action.fate is Fate.NOT_RUN:
            assert self.run_count == 0

    def teardown(self):
        """Run all remaining attempts with a working store; check the invariants."""
        self.table.down = False
        self.table.lose_answers = self.table.drop_writes = 0
        is_final = self.next_action_is(Finish)
        for _ in range(len(self.agent_attempts)):
            not_run_indexes = [
                n
                for n, agent_attempt in enumerate(self.agent_attempts)
                if not agent_attempt.has_run
            ]
            if not_run_indexes:
                self.claim_and_run(not_run_indexes[0])
        if is_final:
            self.not_run_means_that_nothing_ran()
        self.non_idempotent_work_runs_at_most_once()


def refusal_of(claim):
    """Return the reason and step with which an agent refuses after a failed claim."""
    reason = claim.reason if isinstance(claim, Failure) else Reason.FENCED
    return reason, Step.LEDGER


class IdempotentMachine(AttemptMachine):
    """The same faults for idempotent work, which may run more than once."""

    idempotent = True


class NaiveMachine(AttemptMachine):
    """The naive plan with the same faults."""

    plan_class = NaivePlan


class NaiveIdempotentMachine(IdempotentMachine):
    """The naive plan for idempotent work."""

    plan_class = NaivePlan


@pytest.mark.promise(4)
@pytest.mark.promise(5)
@pytest.mark.parametrize("machine", [AttemptMachine, IdempotentMachine])
def test_not_run_is_reported_only_if_nothing_ran(machine):
    run_state_machine_as_test(machine, settings=MACHINE_SETTINGS)


@pytest.mark.promise(4)
@pytest.mark.parametrize("machine", [NaiveMachine, NaiveIdempotentMachine])
def test_naive_plan_reports_not_run_for_work_that_ran(machine):
    generate_only = settings(MACHINE_SETTINGS, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=generate_only)


def build_plan(idempotent=True, attempts_max=3, tokens=10.0):
    return AttemptPlan(idempotent, attempts_max, RetryBudget(0.1, tokens))


def refuse(plan, reason=Reason.QUEUE_FULL, step=Step.ADMIT):
    plan.on_sent()
    return plan.on_ended(AttemptEnded("r.1", Fate.NOT_RUN, reason, step, "agent"))


def test_refused_attempts_end_at_attempts_max():
    plan = build_plan()
    assert plan.start() == SendAttempt(1)
    assert refuse(plan) == SendAttempt(2)
    assert refuse(plan) == SendAttempt(3)
    assert refuse(plan).fate is Fate.NOT_RUN


def test_spent_budget_ends_the_request():
    plan = build_plan(tokens=0.5)
    plan.start()
    assert refuse(plan).fate is Fate.NOT_RUN


@pytest.mark.promise(6)
def test_refusal_of_a_leaving_agent_costs_no_budget():
    plan = build_plan(tokens=0.5)
    plan.start()
    assert refuse(plan, Reason.LEAVING) == SendAttempt(2)


def test_refusal_for_a_client_error_is_not_retried():
    plan = build_plan()
    plan.start()
    assert refuse(plan, Reason.KEY_REUSED, Step.LEDGER).fate is Fate.NOT_RUN


def test_refusal_after_the_ledger_claim_is_withdrawn_first():
    plan = build_plan(idempotent=False)
    plan.start()
    plan.on_lookup(None)
    assert refuse(plan, Reason.LOAD_FAILED, Step.DISPATCH) == WithdrawAttempt()


def count_refused_attempts(budget, offered):
    """Return the number of attempts for `offered` requests that are all refused."""
    sent = 0
    for _ in range(offered):
        plan = AttemptPlan(True, 3, budget)
        action = plan.start()
        while isinstance(action, SendAttempt):
            sent += 1
            action = refuse(plan)
    return sent


class UnlimitedBudget(RetryBudget):
    """Naive budget for comparison: grants every retry."""

    def try_spend(self):
        return True


def test_budget_covers_retries_of_all_requests_of_a_lost_agent():
    """With a fixed burst of 10 tokens, only 10 of 64 lost streams were retried."""
    ratio = EntrySettings().retry_ratio
    burst = compute_burst_tokens(ratio, EntrySettings().in_flight_max)
    lost = {}
    for tokens in (10.0, burst):
        budget = RetryBudget(ratio, tokens)
        plans = [AttemptPlan(True, 3, budget) for _ in range(64)]
        for plan in plans:
            plan.start()
            plan.on_sent()
        actions = [plan.on_lost(LOST) for plan in plans]
        lost[tokens] = sum(isinstance(action, Finish) for action in actions)
    assert lost == {10.0: 54, burst: 0}
    assert compute_burst_tokens(ratio, 10) == 10.0


def test_retry_storm_stays_within_the_budget():
    offered, ratio = 10_000, 0.1
    assert (
        count_refused_attempts(RetryBudget(ratio), offered)
        <= offered * (1 + ratio) + 10
    )
    assert count_refused_attempts(UnlimitedBudget(ratio), offered) == 3 * offered
