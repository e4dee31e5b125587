"""Builders of an agent without sockets, with a scripted backend server and platform."""

import random

import attrs
import gevent

from nutmegdeal.accounts import Recorder
from nutmegdeal.agent.assembly import Agent, EngineParts, PlainServiceParts
from nutmegdeal.agent.platform import PlatformClients
from nutmegdeal.backends.base import (
    Backend,
    BackendAnswer,
    BackendHead,
    EngineReport,
    ModelEngine,
)
from nutmegdeal.clock import ManualClock
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.fakes.memory import MemoryHosts, MemoryTable
from nutmegdeal.generations import ConfigurationTracker
from nutmegdeal.identifiers import AdapterRef
from nutmegdeal.ledger import TableLedger
from nutmegdeal.messages import AnswerEnd, AnswerFrame, AttemptEnded
from nutmegdeal.settings import AgentSettings, ProcessSettings, Settings
from nutmegdeal.tests.builders import build_configuration

SETTLE_TURNS = 6
TICK_MS = 500
LOST = Failure(Reason.CONNECTION_LOST, Step.LOAD, "engine", maybe_applied=True)
LOAD_FAILED = Failure(Reason.LOAD_FAILED, Step.LOAD, "engine")


class RecordingSession:
    """A stream that records the messages sent on it."""

    peer = "entry-1"

    def __init__(self):
        self.sent = []
        self.has_room = True

    def send(self, message):
        self.sent.append(message)
        return True

    def of_attempt(self, attempt_id):
        return [m for m in self.sent if getattr(m, "attempt_id", None) == attempt_id]

    def last(self, attempt_id="r-1.1"):
        messages = self.of_attempt(attempt_id)
        return messages[-1] if messages else None

    def body(self, attempt_id="r-1.1"):
        frames = self.of_attempt(attempt_id)
        return b"".join(m.payload for m in frames if isinstance(m, AnswerFrame))

    def ended(self, attempt_id="r-1.1"):
        return isinstance(self.last(attempt_id), AnswerEnd | AttemptEnded)


class MemoryRecorder(Recorder):
    """Keeps events in a list."""

    def __init__(self):
        self.events = []

    def record(self, event):
        self.events.append(event)

    def outcomes(self, attempt_id="r-1.1"):
        return [
            (event.step, event.outcome)
            for event in self.events
            if event.attempt_id == attempt_id
        ]


class FixedConfigurationTracker(ConfigurationTracker):
    """Returns the configuration that a test sets."""

    is_confirmed = True

    def __init__(self, configuration):
        self.current = configuration
        self.observed = 0

    current = None

    def record_peer_generation(self, generation, manifest=""):
        self.observed = max(self.observed, generation)

    def refresh(self):
        return self.current


class ScriptedAnswer(BackendAnswer):
    """An answer of given chunks; a callable chunk is called to get its bytes."""

    def __init__(self, head, chunks):
        self.head = head
        self._chunks = chunks
        self.is_closed = False

    def chunks(self):
        for chunk in self._chunks:
            yield chunk() if callable(chunk) else chunk

    def close(self):
        self.is_closed = True


@attrs.define(eq=False)
class ScriptedService(Backend):
    """A plain service that records the requests it ran and answers from a script."""

    ran: list = attrs.field(factory=list)
    failures: list = attrs.field(factory=list)
    chunks: list = attrs.field(factory=lambda: [b"done"])
    gate: object = None

    def call(self, submit):
        if self.failures:
            failure = self.failures.pop(0)
            if failure.maybe_applied:
                self.ran.append(submit)
            return failure
        self.ran.append(submit)
        if self.gate is not None:
            self.gate.wait()
        return ScriptedAnswer(BackendHead(200, "text/plain"), list(self.chunks))


class ScriptedEngine(ModelEngine):
    """A model engine in memory that counts evictions of adapters in use."""

    def __init__(self, slot_count=4):
        self.slot_count = slot_count
        self.incarnation = "e1"
        self.resident = set()
        self.in_use = []
        self.ran = []
        self.loads = []
        self.unloads = []
        self.evicted_in_use_count = 0
        self.lost_answer_count = 0
        self.failing = set()
        self.echo = None
        self.chunks = [b"one ", b"two"]
        self.gate = None
        self.load_gate = None

    def call(self, submit):
        adapter = AdapterRef(submit.adapter, submit.version).engine_name
        if adapter not in self.resident:
            return Failure(Reason.NOT_FOUND, Step.DISPATCH, "engine", "not_resident")
        self.ran.append((submit.attempt_id, adapter))
        self.in_use.append(adapter)
        if self.gate is not None:
            self.gate.wait()
        self.in_use.remove(adapter)
        head = BackendHead(200, "application/json", self.echo or adapter)
        return ScriptedAnswer(head, list(self.chunks))

    def load(self, engine_name, fence):
        self.loads.append(engine_name)
        if self.load_gate is not None:
            self.load_gate.wait()
        if engine_name in self.failing:
            return LOAD_FAILED
        if len(self.resident | {engine_name}) > self.slot_count:
            return Failure(Reason.QUEUE_FULL, Step.LOAD, "engine", "no_free_slot")
        self.resident.add(engine_name)
        return self._answer()

    def unload(self, engine_name, fence):
        self.unloads.append(engine_name)
        self.evicted_in_use_count += engine_name in self.in_use
        self.resident.discard(engine_name)
        return self._answer()

    def _answer(self):
        if not self.lost_answer_count:
            return None
        self.lost_answer_count -= 1
        return LOST

    def restart(self):
        self.incarnation += "x"
        self.resident.clear()

    def report(self):
        return EngineReport(
            self.incarnation, tuple(sorted(self.resident)), (), len(self.in_use), 8
        )


@attrs.define(eq=False)
class AgentHarness:
    """An agent run step by step, with everything around it in memory."""

    agent: Agent
    parts: object
    backend: object
    clock: ManualClock
    table: MemoryTable
    recorder: MemoryRecorder
    session: RecordingSession

    def submit(self, submit):
        self.agent.streams.submit(self.session, submit)
        self.settle()

    def settle(self):
        """Let all greenlets run that can."""
        for _ in range(SETTLE_TURNS):
            self.parts.scheduler.step()
            gevent.sleep(0)
            if self.agent.board.wanted_load_count:
                self.parts.tranches.step()

    def advance(self, step_ms):
        """Let time pass while the agent keeps its lease."""
        while step_ms > 0:
            self.clock.advance(min(step_ms, TICK_MS))
            step_ms -= TICK_MS
            if self.agent.board.lease is not None:
                self.parts.leases.step()
            self.settle()

    def report(self):
        self.parts.reports.read_once()
        self.settle()


def build_harness(
    backend=None,
    configuration=None,
    table=None,
    clock=None,
    incarnation="a1",
    is_started=True,
    **agent_settings,
):
    """Return an AgentHarness of a model engine, or of a plain service as `backend`."""
    configuration = configuration or build_configuration()
    backend = backend or ScriptedEngine()
    is_engine = isinstance(backend, ModelEngine)
    service = "assist-llm" if is_engine else "hire-core"
    values = {"service": service, "backend_url": "http://127.0.0.1:9"}
    settings = Settings(
        process=ProcessSettings(name="agent-1"),
        agent=AgentSettings(**{**values, **agent_settings}),
    )
    clock = clock or ManualClock()
    table = table or MemoryTable()
    recorder = MemoryRecorder()
    platform = PlatformClients(
        table=table,
        hosts=MemoryHosts(),
        configuration_tracker=FixedConfigurationTracker(configuration),
        ledger=TableLedger(table, clock),
        recorder=recorder,
    )
    agent = Agent(settings, incarnation, clock, platform)
    agent.board.agent_id = "127.0.0.1:9000"
    agent.configuration.refresh()
    parts = (EngineParts if is_engine else PlainServiceParts)(agent, backend)
    if is_engine and is_started:
        parts.leases.step()
        parts.reports.read_once()
    session = RecordingSession()
    agent.board.sessions.add(session)
    agent.reporter.open(session)
    return AgentHarness(agent, parts, backend, clock, table, recorder, session)


def seeded_random():
    """Return a random source of a fixed seed."""
    return random.Random(7)
