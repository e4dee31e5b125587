"""True histories of requests, played with the real recorder and a faulty store."""

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
TERMINAL = (Fate.COMPLETED, Fate.FAILED, Fate.IN_DOUBT, Fate.NOT_RUN)


class SkewedClock(ManualClock):
    """A host's clock, off from the true time by a constant."""

    def __init__(self, true_clock, skew_ms):
        super().__init__()
        self._true_clock = true_clock
        self._skew_ms = skew_ms

    def unix_ms(self):
        """Return the time that this host believes it is."""
        return self._true_clock.unix_ms() + self._skew_ms


@attrs.define
class Process:
    """An entry or agent that records events until it is killed."""

    name: str
    incarnation: str
    clock: SkewedClock
    recorder: accounts.SegmentRecorder
    is_alive: bool = True


@attrs.define
class Truth:
    """What really happened."""

    events: list = attrs.Factory(list)
    ran: set = attrs.Factory(set)
    told: Fate | None = None
    row: LedgerRow | None = None


class History:
    """Plays one request and keeps the truth about it.

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
        self.truth = Truth()
        self.entry = self._start("entry-1", ENTRY, 0)
        self.agents = {
            name: self._start(f"agent-{name}", name, draw(st.integers(-300, 300)))
            for name in AGENTS
        }

    def _start(self, name, incarnation, skew_ms):
        clock = SkewedClock(self.clock, skew_ms)
        settings = AccountSettings()
        if "small buffer" in self._faults:
            settings = AccountSettings(buffer_events_max=BUFFER_EVENTS_MAX)
        recorder = accounts.SegmentRecorder(
            self.objects, name, incarnation, clock, settings
        )
        return Process(name, incarnation, clock, recorder)

    def tell(self, process, step, outcome, attempt_id="", **changes):
        """Record an event if its process lives, and let something befall."""
        self._befall()
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

    def _befall(self):
        """Let time pass, and perhaps a flush, a fault of the store or a death."""
        self.clock.advance(self.draw(st.sampled_from(self._pauses_ms)))
        processes = (self.entry, *self.agents.values())
        process = self.draw(st.sampled_from(processes))
        faults = sorted(self._faults & {"kill", "store"})
        kind = self.draw(st.sampled_from(("none", "flush", "flush", "mark", *faults)))
        if kind == "kill":
            process.is_alive = False
        if kind == "store":
            self.objects.fault = self.draw(st.sampled_from(("", "down", "answer lost")))
        if kind == "flush" and process.is_alive:
            process.recorder.flush()
        if kind == "mark" and process.is_alive:
            process.recorder.mark()

    def play(self):
        """Play the request from its arrival to what the caller was told."""
        self.tell(self.entry, Step.RECEIVE, Outcome.RECEIVED)
        address = {"adapter": ADAPTER, "version": "2", "generation": 3}
        self.tell(self.entry, Step.RESOLVE, Outcome.RESOLVED, **address)
        fate = Fate.NOT_RUN
        for number in range(1, self.draw(st.integers(0, 3)) + 1):
            fate = self._play_attempt(f"{REQUEST_ID}.{number}")
            if fate is not Fate.NOT_RUN:
                break
        if self.tell(self.entry, Step.ANSWER, fate.value):
            self.truth.told = fate
        for late in self._late:
            late()
        self._end()

    _late = ()

    def _play_attempt(self, attempt_id):
        """Play an attempt and return the fate that the entry concludes."""
        agent = self.agents[self.draw(st.sampled_from(AGENTS))]
        self.tell(
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
            self._late = (lambda: self._run_at_agent(agent, attempt_id),)
            return Fate.IN_DOUBT
        learned = self._run_at_agent(agent, attempt_id)
        if learned is None:
            reason = Reason.CONNECTION_LOST.value
            self.tell(self.entry, Step.RELAY, reason, attempt_id, peer=agent.name)
            return Fate.IN_DOUBT
        if learned is not Fate.COMPLETED:
            reason = Reason.QUEUE_FULL.value
            self.tell(self.entry, Step.ADMIT, reason, attempt_id, peer=agent.name)
        return learned

    def _run_at_agent(self, agent, attempt_id):
        """Return the fate that the agent tells the entry, None if it dies first."""
        if not self.tell(agent, Step.ADMIT, Outcome.ADMITTED, attempt_id):
            return None
        fate = self.draw(st.sampled_from(TERMINAL))
        if fate is Fate.COMPLETED and self.draw(st.booleans()):
            return self._replay_at_agent(agent, attempt_id)
        if fate is Fate.NOT_RUN:
            self._write_row(agent, attempt_id, LedgerState.NOT_RUN)
            alive = self.tell(agent, Step.ANSWER, fate.value, attempt_id)
            return fate if alive else None
        self._write_row(agent, attempt_id, LedgerState.DISPATCHED)
        address = {"adapter": ADAPTER, "version": "2", "generation": 3}
        if not self.tell(agent, Step.DISPATCH, Outcome.SENT, attempt_id, **address):
            return None
        if fate is Fate.COMPLETED or self.draw(st.booleans()):
            self.truth.ran.add((attempt_id, f"{ADAPTER}@2", agent.incarnation))
        if fate is Fate.COMPLETED:
            self._write_row(agent, attempt_id, LedgerState.COMPLETED)
        alive = self.tell(agent, Step.ANSWER, fate.value, attempt_id)
        return fate if alive else None

    def _replay_at_agent(self, agent, attempt_id):
        """Answer from the ledger row of an earlier request under the same key."""
        if self.truth.row is None:
            self._has_row = False
            self.truth.row = LedgerRow(
                "key", "digest", "e9-1", "e9-1.1", "a9", LedgerState.COMPLETED, 0
            )
        alive = self.tell(agent, Step.ANSWER, Fate.COMPLETED.value, attempt_id)
        return Fate.COMPLETED if alive else None

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

    def _end(self):
        """End or leave the processes, and perhaps lose objects."""
        for process in (self.entry, *self.agents.values()):
            if not process.is_alive:
                continue
            if "left running" in self._faults and self.draw(st.booleans()):
                continue
            process.recorder.mark(is_final=self.draw(st.booleans()))
        self.objects.fault = ""
        for name in sorted(self.objects.stored):
            if "lost" in self._faults and self.draw(st.integers(0, 3)) == 0:
                del self.objects.stored[name]
            elif "spoilt" in self._faults and self.draw(st.integers(0, 3)) == 0:
                self.objects.stored[name] = b"\xc1"


@st.composite
def histories(draw, with_faults=True):
    """Generate a History that has been played."""
    history = History(draw, with_faults)
    history.play()
    return history
