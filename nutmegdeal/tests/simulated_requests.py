"""Simulated requests, recorded by the real recorder in a faulty object store."""

import attrs
from hypothesis import strategies as st

from nutmegdeal import accounts
from nutmegdeal.accounts import Outcome
from nutmegdeal.clock import ManualClock
from nutmegdeal.errors import Reason, Step
from nutmegdeal.ledger import LedgerRow, LedgerState
from nutmegdeal.messages import Fate
from nutmegdeal.settings import AccountSettings
from nutmegdeal.tests.builders import FaultyObjects

REQUEST_ID = "e1-1"
ENTRY = "e1"
AGENTS = ("a1", "a2")
ADAPTER = "quote-0001"
BUFFER_EVENTS_MAX = 4
PAUSES_MS = ((0, 1, 70, 400), (1, 20_000))
FAULTS = ("kill", "store", "late", "lost", "spoilt", "small buffer", "left running")
FINAL_FATES = (Fate.COMPLETED, Fate.FAILED, Fate.IN_DOUBT, Fate.NOT_RUN)


class SkewedManualClock(ManualClock):
    """A host's clock with a constant offset from the true time."""

    def __init__(self, true_clock, skew_ms):
        super().__init__()
        self._true_clock = true_clock
        self._skew_ms = skew_ms

    def unix_ms(self):
        """Return the time by this host's clock."""
        return self._true_clock.unix_ms() + self._skew_ms


@attrs.define
class Process:
    """An entry or agent that records events until it is killed."""

    name: str
    incarnation: str
    clock: SkewedManualClock
    recorder: accounts.SegmentRecorder
    is_alive: bool = True


@attrs.define
class GroundTruth:
    """What really happened.

    Parameters
    ----------
    events : list of Event
        All that were recorded.
    runs : set of tuple
        Attempt id, engine name and agent incarnation of each run.
    reported_fate : Fate or None
        The fate that the caller was told.
    row : LedgerRow or None
    """

    events: list = attrs.Factory(list)
    runs: set = attrs.Factory(set)
    reported_fate: Fate | None = None
    row: LedgerRow | None = None


class SimulatedRequest:
    """Simulates one request and keeps the ground truth about it.

    Parameters
    ----------
    draw : callable
        Draws from a hypothesis strategy.
    with_faults : bool
    """

    def __init__(self, draw, with_faults=True):
        self.draw = draw
        self.with_faults = with_faults
        faults = st.sets(st.sampled_from(FAULTS)) if with_faults else st.just(set())
        self._faults = draw(faults)
        self._pauses_ms = draw(st.sampled_from(PAUSES_MS))
        self.clock = ManualClock()
        self.objects = FaultyObjects()
        self.truth = GroundTruth()
        self.entry = self._start("entry-1", ENTRY, 0)
        self.agents = {
            name: self._start(f"agent-{name}", name, draw(st.integers(-300, 300)))
            for name in AGENTS
        }

    def _start(self, name, incarnation, skew_ms):
        clock = SkewedManualClock(self.clock, skew_ms)
        settings = AccountSettings()
        if "small buffer" in self._faults:
            settings = AccountSettings(buffer_events_max=BUFFER_EVENTS_MAX)
        recorder = accounts.SegmentRecorder(
            self.objects, name, incarnation, clock, settings
        )
        return Process(name, incarnation, clock, recorder)

    def record_event(self, process, step, outcome, attempt_id="", **changes):
        """Take a random step, then record an event if its process is alive.

        Returns
        -------
        bool
            Whether the event was recorded.
        """
        self._act_at_random()
        if not process.is_alive:
            return False
        event = accounts.Event(
            REQUEST_ID,
            process.clock.unix_ms(),
            process.name,
            process.incarnation,
            step,
            outcome,
            attempt_id,
            **changes,
        )
        process.recorder.record(event)
        self.truth.events.append(event)
        return True

    def _act_at_random(self):
        """Let time pass, and perhaps flush, switch a store fault or kill a process."""
        self.clock.advance(self.draw(st.sampled_from(self._pauses_ms)))
        processes = (self.entry, *self.agents.values())
        process = self.draw(st.sampled_from(processes))
        faults = sorted(self._faults & {"kill", "store"})
        action = self.draw(st.sampled_from(("none", "flush", "flush", "mark", *faults)))
        if action == "kill":
            process.is_alive = False
        if action == "store":
            self.objects.fault = self.draw(st.sampled_from(("", "down", "answer lost")))
        if action == "flush" and process.is_alive:
            process.recorder.flush()
        if action == "mark" and process.is_alive:
            process.recorder.write_watermark()

    def simulate(self):
        """Simulate the request from its arrival to the shutdown of the processes."""
        self.record_event(self.entry, Step.RECEIVE, Outcome.RECEIVED)
        resolved = {"adapter": ADAPTER, "version": "2", "generation": 3}
        self.record_event(self.entry, Step.RESOLVE, Outcome.RESOLVED, **resolved)
        fate = Fate.NOT_RUN
        for number in range(1, self.draw(st.integers(0, 3)) + 1):
            fate = self._simulate_attempt(f"{REQUEST_ID}.{number}")
            if fate is not Fate.NOT_RUN:
                break
        if self.record_event(self.entry, Step.ANSWER, fate.value):
            self.truth.reported_fate = fate
        for run_late in self._delayed_runs:
            run_late()
        self._shut_down()

    _delayed_runs = ()

    def _simulate_attempt(self, attempt_id):
        """Simulate an attempt and return the fate that the entry concludes."""
        agent = self.agents[self.draw(st.sampled_from(AGENTS))]
        self.record_event(
            self.entry,
            Step.SUBMIT,
            Outcome.SENT,
            attempt_id,
            peer=agent.name,
            peer_incarnation=agent.incarnation,
        )
        if not self.entry.is_alive:
            return Fate.IN_DOUBT
        if "late" in self._faults and self.draw(st.booleans()):
            self._delayed_runs = (lambda: self._run_at_agent(agent, attempt_id),)
            return Fate.IN_DOUBT
        agent_fate = self._run_at_agent(agent, attempt_id)
        if agent_fate is None:
            reason = Reason.CONNECTION_LOST.value
            self.record_event(
                self.entry, Step.RELAY, reason, attempt_id, peer=agent.name
            )
            return Fate.IN_DOUBT
        if agent_fate is not Fate.COMPLETED:
            reason = Reason.QUEUE_FULL.value
            self.record_event(
                self.entry, Step.ADMIT, reason, attempt_id, peer=agent.name
            )
        return agent_fate

    def _run_at_agent(self, agent, attempt_id):
        """Return the fate that the agent reports, None if it is killed first."""
        if not self.record_event(agent, Step.ADMIT, Outcome.ADMITTED, attempt_id):
            return None
        fate = self.draw(st.sampled_from(FINAL_FATES))
        if fate is Fate.COMPLETED and self.draw(st.booleans()):
            return self._answer_from_ledger(agent, attempt_id)
        if fate is Fate.NOT_RUN:
            self._write_row(agent, attempt_id, LedgerState.NOT_RUN)
            is_recorded = self.record_event(agent, Step.ANSWER, fate.value, attempt_id)
            return fate if is_recorded else None
        self._write_row(agent, attempt_id, LedgerState.DISPATCHED)
        resolved = {"adapter": ADAPTER, "version": "2", "generation": 3}
        if not self.record_event(
            agent, Step.DISPATCH, Outcome.SENT, attempt_id, **resolved
        ):
            return None
        if fate is Fate.COMPLETED or self.draw(st.booleans()):
            self.truth.runs.add((attempt_id, f"{ADAPTER}@2", agent.incarnation))
        if fate is Fate.COMPLETED:
            self._write_row(agent, attempt_id, LedgerState.COMPLETED)
        is_recorded = self.record_event(agent, Step.ANSWER, fate.value, attempt_id)
        return fate if is_recorded else None

    def _answer_from_ledger(self, agent, attempt_id):
        """Answer from the ledger row of an earlier request under the same key."""
        if self.truth.row is None:
            self._has_row = False
            self.truth.row = LedgerRow(
                "key", "digest", "e9-1", "e9-1.1", "a9", LedgerState.COMPLETED, 0
            )
        is_recorded = self.record_event(
            agent, Step.ANSWER, Fate.COMPLETED.value, attempt_id
        )
        return Fate.COMPLETED if is_recorded else None

    _has_row = None

    def _write_row(self, agent, attempt_id, state):
        if self._has_row is None:
            self._has_row = self.draw(st.booleans())
        if not self._has_row or not agent.is_alive:
            return
        incarnation = agent.incarnation
        self.truth.row = LedgerRow(
            "key", "digest", REQUEST_ID, attempt_id, incarnation, state, 0
        )

    def _shut_down(self):
        """Shut processes down or leave them running, and lose or corrupt objects."""
        for process in (self.entry, *self.agents.values()):
            if not process.is_alive:
                continue
            if "left running" in self._faults and self.draw(st.booleans()):
                continue
            process.recorder.write_watermark(is_final=self.draw(st.booleans()))
        self.objects.fault = ""
        for name in sorted(self.objects.stored):
            if "lost" in self._faults and self.draw(st.integers(0, 3)) == 0:
                del self.objects.stored[name]
            elif "spoilt" in self._faults and self.draw(st.integers(0, 3)) == 0:
                self.objects.stored[name] = b"\xc1"


@st.composite
def simulated_requests(draw, with_faults=True):
    """Generate a SimulatedRequest that has ended."""
    simulated = SimulatedRequest(draw, with_faults)
    simulated.simulate()
    return simulated
