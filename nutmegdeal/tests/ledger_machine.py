"""Callers, entries, agents and a table service in any order, with every fault."""

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
from nutmegdeal.errors import Failure
from nutmegdeal.fakes.memory import MemoryTable
from nutmegdeal.ledger import (
    AlreadyRecorded,
    Fenced,
    LedgerAnswer,
    LedgerState,
    MayDispatch,
    TableLedger,
)
from nutmegdeal.ledger_sweep import LATE_WRITE_MS, sweep_expired
from nutmegdeal.messages import Fate
from nutmegdeal.tests.builders import build_booking
from nutmegdeal.tests.stepping import (
    Actor,
    CallFate,
    SkewedClock,
    SteppedTable,
    TableCalls,
    pause,
)

SKEW_MS = 500
OFFSETS_MS = (-SKEW_MS // 2, 0, SKEW_MS // 2)
EXPIRY_MS = 60_000
DEADLINE_MS = 30_000
ATTEMPTS_MAX = 3
CALL_NAMES = ("read", "scan", "write")
FATE_OF_STATE = {
    LedgerState.DISPATCHED: Fate.IN_DOUBT,
    LedgerState.COMPLETED: Fate.COMPLETED,
    LedgerState.FAILED: Fate.FAILED,
    LedgerState.NOT_RUN: Fate.NOT_RUN,
}
INDEXES = st.integers(0, 23)


@attrs.define
class Record:
    """What really happened, and what was said about it."""

    effects: collections.Counter = attrs.Factory(collections.Counter)
    ran_attempts: set = attrs.Factory(set)
    not_run_attempts: set = attrs.Factory(set)
    completed_keys: set = attrs.Factory(set)
    reports: dict = attrs.Factory(dict)


def run_agent(ledger, submit, incarnation, record):
    """Run one attempt as an agent does; return and report its Fate."""
    result = ledger.begin(submit, incarnation)
    if isinstance(result, MayDispatch):
        fate = _use_claim(ledger, submit, result, record)
    elif isinstance(result, AlreadyRecorded):
        fate = FATE_OF_STATE[result.row.state]
    else:
        record.not_run_attempts.add(submit.attempt_id)
        if result.maybe_applied:
            ledger.withdraw(submit)
        fate = Fate.NOT_RUN
    record.reports[submit.attempt_id] = fate
    return fate


def _use_claim(ledger, submit, claim, record):
    if pause("before_send") == "give_up":
        record.not_run_attempts.add(submit.attempt_id)
        ledger.withdraw(submit)
        return Fate.NOT_RUN
    record.effects[submit.idempotency_key] += 1
    record.ran_attempts.add(submit.attempt_id)
    pause("sent")
    ledger.finish(claim, LedgerState.COMPLETED, LedgerAnswer(200, "text/plain", b"ok"))
    return Fate.COMPLETED


def run_entry(ledger, submits, start_agent, record):
    """Try a request as an entry does; return the Fate that its caller is told."""
    for submit in submits:
        start_agent(submit)
        fate = pause("agent", submit.attempt_id)
        if fate is None:
            fate = _settle_lost_agent(ledger, submit, record)
        if fate is Fate.COMPLETED:
            record.completed_keys.add(submit.idempotency_key)
        if fate is not Fate.NOT_RUN:
            return fate
    record.not_run_attempts.update(submit.attempt_id for submit in submits)
    return Fate.NOT_RUN


def _settle_lost_agent(ledger, submit, record):
    result = ledger.fence(submit)
    if isinstance(result, Fenced):
        record.not_run_attempts.add(submit.attempt_id)
        return Fate.NOT_RUN
    if isinstance(result, Failure):
        return Fate.IN_DOUBT
    return FATE_OF_STATE[result.row.state]


class LedgerMachine(RuleBasedStateMachine):
    """Explores the ledger's callers.

    Attributes
    ----------
    ledger_class : type
        What is tried.
    request_max : int
    is_only_frozen : bool
        True if actors are frozen and taken for lost, but nothing else fails.
    """

    ledger_class = TableLedger
    request_max = 6
    is_only_frozen = False

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.start_unix_ms = self.clock.unix_ms()
        self.calls = TableCalls(MemoryTable())
        self.record = Record()
        self.actors = []
        self._waiting_agents = []
        self.request_count = 0

    def _ledger(self, offset_ms):
        return self.ledger_class(SteppedTable(), SkewedClock(self.clock, offset_ms))

    def _spawn(self, name, program):
        self.actors.append(Actor(name, program))

    def _start_agent(self, submit):
        number = len(self.actors)
        ledger = self._ledger(OFFSETS_MS[number % len(OFFSETS_MS)])
        incarnation = f"agent-{number}"
        self._waiting_agents.append(
            lambda: run_agent(ledger, submit, incarnation, self.record)
        )

    def _spawn_waiting_agents(self):
        while self._waiting_agents:
            self._spawn("agent", self._waiting_agents.pop(0))

    def _live(self, *names):
        return [
            actor
            for actor in self.actors
            if not actor.is_done and actor.waits_for.name in names
        ]

    @precondition(lambda self: self.request_count < self.request_max)
    @rule(key=st.sampled_from(["k1", "k1", "k2"]), odd_body=st.sampled_from([0, 0, 1]))
    def request(self, key, odd_body):
        """Send a request; one with a used key is a repeat."""
        self.request_count += 1
        request_id = f"r{self.request_count}"
        submits = [
            build_booking(
                request_id=request_id,
                attempt_id=f"{request_id}.{number}",
                idempotency_key=key,
                body=b"odd" if odd_body else b"even",
                expiry_unix_ms=self.start_unix_ms + EXPIRY_MS,
                deadline_unix_ms=self.clock.unix_ms() + DEADLINE_MS,
            )
            for number in range(1, ATTEMPTS_MAX + 1)
        ]
        ledger = self._ledger(OFFSETS_MS[self.request_count % len(OFFSETS_MS)])
        self._spawn(
            "entry",
            lambda: run_entry(ledger, submits, self._start_agent, self.record),
        )
        self._spawn_waiting_agents()

    @precondition(lambda self: self._live(*CALL_NAMES))
    @rule(
        index=INDEXES,
        fate=st.sampled_from([*[CallFate.ANSWERED] * 4, *CallFate]),
    )
    def call(self, index, fate):
        """Carry out one actor's call of the table, or fail it in some way."""
        actors = self._live(*CALL_NAMES)
        fate = CallFate.ANSWERED if self.is_only_frozen else fate
        self.calls.carry_out(actors[index % len(actors)], fate)
        self._spawn_waiting_agents()

    @precondition(lambda self: self._live("before_send", "sent"))
    @rule(index=INDEXES, choice=st.sampled_from(["go", "go", "give_up"]))
    def send(self, index, choice):
        """Let an agent send, give up before it sends, or go on after it sent."""
        actors = self._live("before_send", "sent")
        actors[index % len(actors)].resume(choice)

    @precondition(lambda self: self._live("agent"))
    @rule(index=INDEXES, is_lost=st.sampled_from([False, True]))
    def hear(self, index, is_lost):
        """Let an entry hear its agent's report, or take the agent for lost."""
        entries = self._live("agent")
        entry = entries[index % len(entries)]
        report = self.record.reports.get(*entry.waits_for.arguments)
        if report is None and not is_lost:
            return
        entry.resume(None if is_lost else report)
        self._spawn_waiting_agents()

    @precondition(lambda self: self.actors and not self.is_only_frozen)
    @rule(index=INDEXES)
    def crash(self, index):
        """Kill an entry or agent between two steps."""
        del self.actors[index % len(self.actors)]

    @precondition(lambda self: self.calls.delayed)
    @rule(index=INDEXES)
    def arrive_late(self, index):
        """Apply a write whose sender gave it up."""
        self.calls.arrive(index)

    @rule(step_ms=st.sampled_from([1_000, DEADLINE_MS, EXPIRY_MS + LATE_WRITE_MS]))
    def wait(self, step_ms):
        """Let time pass; actors that are not resumed are frozen."""
        self.clock.advance(1 if self.is_only_frozen else step_ms)

    @precondition(lambda self: not self.is_only_frozen)
    @rule()
    def sweep(self):
        """Delete the rows of expired keys."""
        offset_ms = OFFSETS_MS[self.request_count % len(OFFSETS_MS)]
        clock = SkewedClock(self.clock, offset_ms)
        sweep_expired(self.calls.table, clock, SKEW_MS)

    @invariant()
    def no_key_ran_twice(self):
        """Check that each key has had at most one effect at the backend server."""
        assert all(count <= 1 for count in self.record.effects.values())

    @invariant()
    def not_run_is_true(self):
        """Check that no attempt that was said not to run has run."""
        assert not self.record.not_run_attempts & self.record.ran_attempts

    @invariant()
    def completed_is_true(self):
        """Check that a request said to be completed has run once."""
        keys = self.record.completed_keys
        assert all(self.record.effects[key] == 1 for key in keys)
