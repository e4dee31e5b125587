"""Builders and test doubles for tests of the entry."""

import hashlib
import json

import attrs

from nutmegdeal.accounts import Recorder
from nutmegdeal.clock import ManualClock
from nutmegdeal.entry.admission import AdmissionLimiter
from nutmegdeal.entry.blackboard import Blackboard
from nutmegdeal.entry.links import AgentLink
from nutmegdeal.entry.relay import EntryComponents
from nutmegdeal.entry.requests import CallerHeaders, CallerRequest
from nutmegdeal.entry.service import EntryService
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.generations import ConfigurationTracker
from nutmegdeal.identifiers import RequestIdGenerator
from nutmegdeal.ledger import AlreadyRecorded, Fenced, Ledger, LedgerRow, LedgerState
from nutmegdeal.messages import (
    AnswerEnd,
    AnswerFrame,
    AnswerHead,
    AttemptEnded,
    Cancel,
    Fate,
)
from nutmegdeal.retry_budget import RetryBudget
from nutmegdeal.services.hosts import Host, HostState
from nutmegdeal.settings import Settings
from nutmegdeal.tests.builders import build_configuration

NOW_UNIX_MS = 1_700_000_000_000
EVENT_STREAM = "text/event-stream"
STORE_DOWN = Failure(Reason.STORE_UNAVAILABLE, Step.LEDGER, "table", "down")


def build_host(number, **changes):
    """Return a live Host of the model engine service."""
    values = {
        "host_id": f"engine-{number}",
        "service": "assist-llm",
        "zone": "dk-west-1",
        "agent_host": "127.0.0.1",
        "agent_port": 9_000 + number,
        "state": HostState.LIVE,
    }
    return Host(**{**values, **changes})


def build_hosts(count=3):
    """Return engine hosts and one host of the plain service."""
    plain = build_host(100, host_id="plain-1", service="hire-core")
    return [build_host(number) for number in range(count)] + [plain]


def build_completion(stream=False, model="quote-0001@2", **headers):
    """Return a CallerRequest of a completion."""
    fields = {"model": model, "prompt": "jaw", "stream": stream}
    return CallerRequest(
        "POST",
        "/v1/completions",
        "",
        CallerHeaders(content_type="application/json", **headers),
        json.dumps(fields).encode(),
    )


def build_booking_call(key="booking-7", **headers):
    """Return a CallerRequest of a non-idempotent call to the plain service."""
    return CallerRequest(
        "POST",
        "/services/hire-core/bookings",
        "",
        CallerHeaders(idempotency_key=key, **headers),
        b'{"crusher": 7}',
    )


def build_answer(attempt_id, chunks, status_code=200, content_type="text/plain"):
    """Return the messages of a complete answer."""
    frames = [
        AnswerFrame(attempt_id, number, chunk) for number, chunk in enumerate(chunks)
    ]
    digest = hashlib.sha256(b"".join(chunks)).hexdigest()
    return [
        AnswerHead(attempt_id, status_code, content_type),
        *frames,
        AnswerEnd(attempt_id, len(frames), digest),
    ]


def build_refusal(attempt_id, reason=Reason.QUEUE_FULL, step=Step.ADMIT, **changes):
    """Return an AttemptEnded with fate NOT_RUN."""
    return AttemptEnded(attempt_id, Fate.NOT_RUN, reason, step, "agent", **changes)


class FixedConfigurationTracker(ConfigurationTracker):
    """ConfigurationTracker with a fixed configuration."""

    def __init__(self, configuration):
        self._configuration = configuration
        self.observed = []

    @property
    def current(self):
        return self._configuration

    @property
    def is_confirmed(self):
        return True

    @property
    def manifest(self):
        return "manifest"

    def record_peer_generation(self, generation, manifest=""):
        self.observed.append(generation)

    def refresh(self):
        return self._configuration


class ListRecorder(Recorder):
    """Recorder that keeps its events in a list."""

    def __init__(self):
        self.events = []

    def record(self, event):
        self.events.append(event)

    def outcomes(self):
        """Return the (step, outcome) pairs of the events in order."""
        return [(event.step, event.outcome) for event in self.events]


class ScriptedLedger(Ledger):
    """Ledger that returns prepared results."""

    def __init__(self, lookups=(), fences=(), withdrawals=()):
        self.lookups = list(lookups)
        self.fences = list(fences)
        self.withdrawals = list(withdrawals)
        self.calls = []

    def begin(self, submit, agent_incarnation):
        raise NotImplementedError

    def finish(self, claim, state, answer=None):
        raise NotImplementedError

    def lookup(self, submit):
        self.calls.append("lookup")
        return self.lookups.pop(0) if self.lookups else None

    def fence(self, submit):
        self.calls.append("fence")
        return self.fences.pop(0)

    def withdraw(self, submit):
        self.calls.append("withdraw")
        return self.withdrawals.pop(0)


def build_row(state=LedgerState.DISPATCHED, answer=None):
    """Return the ledger row of a booking."""
    return LedgerRow(
        "booking-7", "d", "r-0", "r-0.1", "a1", state, NOW_UNIX_MS + 10**6, answer
    )


def build_fenced():
    """Return a Fenced result."""
    return Fenced(build_row(LedgerState.NOT_RUN))


def build_already_recorded(state=LedgerState.DISPATCHED, answer=None):
    """Return an AlreadyRecorded result."""
    return AlreadyRecorded(build_row(state, answer))


class ScriptedSession:
    """Open session that records the messages sent."""

    def __init__(self):
        self.is_open = True
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return self.is_open


@attrs.frozen
class AnswerStep:
    """Scripted attempt: `build` returns the answer's messages for an attempt id."""

    build: object


@attrs.frozen
class UnreachableStep:
    """Scripted attempt: the stream to the agent cannot be opened."""


class ScriptedLinks:
    """Test double of AgentLinks: each attempt takes the next scripted step."""

    def __init__(self, blackboard, steps):
        self._blackboard = blackboard
        self._steps = list(steps)
        self._links = {}
        self.submits = []
        self.peers = []
        self.open_links = []

    def link_of(self, host_id):
        host = self._blackboard.hosts[host_id]
        link = self._links.setdefault(host_id, AgentLink(host))
        link.session = link.session or ScriptedSession()
        return link

    def may_be_chosen(self, link):
        return not link.is_leaving

    def open(self, link):
        if isinstance(self._steps[0], UnreachableStep):
            self._steps.pop(0)
            peer = link.host.host_id
            return Failure(Reason.CONNECTION_LOST, Step.SUBMIT, peer, "refused")
        return None

    def send(self, link, submit, inbox):
        self.submits.append(submit)
        self.peers.append(link.host.host_id)
        for message in self._steps.pop(0).build(submit.attempt_id):
            inbox.put(message)
        return

    def remove_inbox(self, link, attempt_id):
        pass

    def cancelled(self):
        """Return the ids of the cancelled attempts."""
        sessions = [link.session for link in self._links.values()]
        return [
            message.attempt_id
            for session in sessions
            for message in session.sent
            if isinstance(message, Cancel)
        ]


class FirstHostRouter:
    """Test double of AttemptRouter: chooses the hosts of a service by ascending id."""

    def __init__(self, blackboard, links):
        self._blackboard = blackboard
        self._links = links
        self.hints = []

    def count_request(self, target):
        pass

    def record_hint(self, target, replication_degree_hint):
        self.hints.append(replication_degree_hint)

    def choose(self, target, excluded):
        for host_id in sorted(self._blackboard.ranking_of(target.service.name).members):
            if host_id not in excluded:
                return self._links.link_of(host_id)
        return Failure(Reason.NO_REPLICA, Step.ROUTE, "", "none left")


class EntryFixture:
    """An EntryService with test doubles for agents, ledger and configuration."""

    def __init__(self, steps=(), ledger=None, clock=None, entry=None, hosts=None):
        settings = Settings(entry=entry) if entry else Settings()
        self.configuration_tracker = FixedConfigurationTracker(build_configuration())
        self.board = Blackboard(
            settings,
            clock or ManualClock(NOW_UNIX_MS),
            self.configuration_tracker,
            "entry-1",
            "e1",
        )
        self.board.replace_hosts(build_hosts() if hosts is None else hosts)
        self.links = ScriptedLinks(self.board, steps)
        self.ledger = ledger or ScriptedLedger()
        self.recorder = ListRecorder()
        self.components = EntryComponents(
            self.board,
            self.links,
            FirstHostRouter(self.board, self.links),
            self.ledger,
            AdmissionLimiter(settings.entry.in_flight_max),
            RetryBudget(settings.entry.retry_ratio),
        )
        self.service = EntryService(
            self.components, self.recorder, RequestIdGenerator("e1")
        )

    def run(self, request):
        """Execute a request; return its events as a list that ends with the Finish."""
        open_request = self.service.open(request.method, request.path)
        return list(open_request.events(request))
