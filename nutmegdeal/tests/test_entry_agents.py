"""Tests of the streams to agents and of the choice of an agent."""

import random

import attrs
import gevent
import gevent.queue
import pytest

from nutmegdeal.clock import ManualClock
from nutmegdeal.entry.agents import (
    BACKOFF_FIRST_MS,
    IDLE_CLOSE_AFTER_MS,
    INBOX_MESSAGES_MAX,
    AgentLinks,
)
from nutmegdeal.entry.attempt_router import AttemptRouter
from nutmegdeal.entry.blackboard import Blackboard
from nutmegdeal.entry.links import AttemptLost
from nutmegdeal.entry.pollers import Poller
from nutmegdeal.entry.rendezvous import RendezvousChooser
from nutmegdeal.entry.replication_degree import ReplicationDegreeTracker
from nutmegdeal.entry.requests import resolve
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.messages import (
    AgentReport,
    AnswerFrame,
    EntryHello,
    GenerationNotice,
    Submit,
)
from nutmegdeal.services.hosts import HostState
from nutmegdeal.settings import Settings
from nutmegdeal.tests.builders import build_configuration, build_submit
from nutmegdeal.tests.entry_fixtures import (
    FixedConfigurationTracker,
    build_completion,
    build_host,
    build_hosts,
)

CLOSED = Failure(Reason.CONNECTION_LOST, Step.RELAY, "address", "reset")
REFUSED = Failure(Reason.CONNECTION_LOST, Step.SUBMIT, "address", "refused")
LONG_AFTER_MS = 10**9


class FakeSession:
    """Session whose messages the test sends and receives."""

    def __init__(self):
        self.close_reason = None
        self.sent = []
        self._inbox = gevent.queue.Queue()

    @property
    def is_open(self):
        return self.close_reason is None

    def send(self, message):
        if self.is_open:
            self.sent.append(message)
        return self.is_open

    def receive(self, *messages):
        for message in messages:
            self._inbox.put(message)
        gevent.sleep(0)

    def messages(self):
        while (message := self._inbox.get()) is not None:
            yield message

    def close(self):
        self.break_off(Failure(Reason.CANCELLED, Step.RELAY, "", "closed"))

    def break_off(self, reason=CLOSED):
        self.close_reason = reason
        self.receive(None)


class FakeClient:
    """Channel client that opens FakeSessions; each starts with an AgentReport."""

    def __init__(self):
        self.sessions = {}
        self.connect_count = 0
        self.is_reachable = True

    def connect(self, address, timeout_ms):
        self.connect_count += 1
        if not self.is_reachable:
            return REFUSED
        session = FakeSession()
        self.sessions[address.port] = session
        session.receive(build_report())
        return session


def build_report(**changes):
    values = {
        "agent_id": "engine",
        "incarnation": "a1",
        "service": "assist-llm",
        "zone": "dk-west-1",
        "generation": 1,
    }
    return AgentReport(**{**values, **changes})


@attrs.define
class LinksFixture:
    """AgentLinks and the choice of an agent, on top of fake sessions."""

    board: Blackboard
    client: FakeClient
    links: AgentLinks
    attempt_router: AttemptRouter
    inbox: gevent.queue.Queue = attrs.field(factory=gevent.queue.Queue)

    def open(self, host_id="engine-0"):
        link = self.links.link_of(host_id)
        assert self.links.open(link) is None
        return link, self.client.sessions[link.host.agent_port]

    def send(self, link, **changes):
        submit = build_submit(**changes)
        assert self.links.send(link, submit, self.inbox) is None
        return submit

    def choose(self, excluded=frozenset(), model="quote-0001@2"):
        target = resolve(
            build_completion(model=model), self.board.configuration_tracker.current
        )
        return self.attempt_router.choose(target, excluded)

    def choose_ids(self):
        """Return the ids of the hosts that are chosen for the configured adapters."""
        adapters = self.board.configuration_tracker.current.adapters
        chosen = [self.choose(model=f"{name}@2") for name in adapters]
        return {link.host.host_id for link in chosen if not isinstance(link, Failure)}


@pytest.fixture
def fixture():
    configuration_tracker = FixedConfigurationTracker(build_configuration())
    board = Blackboard(
        Settings(), ManualClock(), configuration_tracker, "entry-1", "e1"
    )
    board.replace_hosts(build_hosts())
    client = FakeClient()
    links = AgentLinks(board, client)
    chooser = RendezvousChooser(random.Random(1))
    attempt_router = AttemptRouter(board, links, chooser, ReplicationDegreeTracker())
    return LinksFixture(board, client, links, attempt_router)


def test_stream_is_opened_on_demand_and_shared(fixture):
    assert fixture.client.connect_count == 0
    link, session = fixture.open()
    fixture.open()
    submit = fixture.send(link)
    assert fixture.client.connect_count == 1
    kinds = [type(message) for message in session.sent]
    assert kinds == [EntryHello, GenerationNotice, Submit]
    assert session.sent[-1] == submit
    assert link.incarnation == "a1"


def test_idle_stream_is_closed_and_a_used_one_is_not(fixture):
    link, session = fixture.open()
    submit = fixture.send(link)
    fixture.board.clock.advance(LONG_AFTER_MS)
    fixture.links.close_idle()
    assert session.is_open
    fixture.links.remove_inbox(link, submit.attempt_id)
    fixture.links.close_idle()
    assert session.is_open
    fixture.board.clock.advance(IDLE_CLOSE_AFTER_MS)
    fixture.links.close_idle()
    assert not session.is_open


def test_stream_to_a_replaced_host_is_closed_after_its_attempts(fixture):
    link, old = fixture.open()
    submit = fixture.send(link)
    moved = build_host(0, agent_port=9_500)
    fixture.board.replace_hosts([moved, *build_hosts()[1:]])
    new_link, new = fixture.open()
    assert new is not old
    old.receive(AnswerFrame("r-1.1", 0, b"x"))
    assert fixture.inbox.qsize() == 1
    fixture.links.remove_inbox(link, submit.attempt_id)
    fixture.board.clock.advance(2 * IDLE_CLOSE_AFTER_MS)
    fixture.links.close_idle()
    assert not old.is_open
    assert fixture.links.open_links == []


def test_host_removed_from_the_list_finishes_its_attempts(fixture):
    link, session = fixture.open()
    submit = fixture.send(link)
    fixture.board.replace_hosts([])
    fixture.board.clock.advance(2 * IDLE_CLOSE_AFTER_MS)
    fixture.links.close_idle()
    assert session.is_open
    fixture.links.remove_inbox(link, submit.attempt_id)
    fixture.board.clock.advance(IDLE_CLOSE_AFTER_MS)
    fixture.links.close_idle()
    assert not session.is_open


def test_exception_in_one_poll_does_not_end_polling():
    calls = []

    def read():
        calls.append(1)
        raise RuntimeError("bug")

    poller = Poller(read, 1)
    poller.poll_once()
    poller.poll_once()
    assert len(calls) == 2


def test_messages_go_to_the_attempt_that_they_name(fixture):
    link, session = fixture.open()
    fixture.send(link)
    frame = AnswerFrame("r-1.1", 0, b"x")
    session.receive(AnswerFrame("r-9.1", 0, b"y"), frame)
    assert fixture.inbox.get_nowait() == frame
    assert fixture.inbox.empty()


def test_broken_stream_ends_its_attempts_and_names_the_agent(fixture):
    link, session = fixture.open()
    fixture.send(link)
    session.break_off()
    lost = fixture.inbox.get_nowait()
    assert isinstance(lost, AttemptLost)
    assert (lost.attempt_id, lost.failure.peer) == ("r-1.1", "engine-0")


def test_late_messages_of_an_old_stream_do_not_reach_a_new_attempt(fixture):
    link, old = fixture.open()
    fixture.send(link)
    old.break_off()
    fixture.inbox.get_nowait()
    link.backoff_until_ms = 0
    fixture.open()
    fixture.send(link, attempt_id="r-1.2")
    old.receive(AnswerFrame("r-1.2", 0, b"late"), build_report(leaving=True))
    assert fixture.inbox.empty()
    assert not link.is_leaving


def test_send_on_a_closed_stream_is_a_failure(fixture):
    link, session = fixture.open()
    session.close_reason = CLOSED
    failure = fixture.links.send(link, build_submit(), fixture.inbox)
    assert failure.reason is Reason.CONNECTION_LOST
    assert link.inboxes == {}


def test_backoff_of_an_unreachable_agent_grows_each_time(fixture):
    fixture.client.is_reachable = False
    link = fixture.links.link_of("engine-0")
    backoffs_ms = []
    for _ in range(3):
        assert fixture.links.open(link).peer == "engine-0"
        assert not fixture.links.may_be_chosen(link)
        now_ms = fixture.board.clock.monotonic_ms()
        backoffs_ms.append(link.backoff_until_ms - now_ms)
        fixture.board.clock.advance_to(link.backoff_until_ms)
    assert BACKOFF_FIRST_MS <= backoffs_ms[0] < backoffs_ms[1] < backoffs_ms[2]
    fixture.client.is_reachable = True
    fixture.open()
    assert link.failure_count == 0


def test_caller_that_does_not_read_loses_the_attempt(fixture):
    link, session = fixture.open()
    fixture.send(link)
    for number in range(INBOX_MESSAGES_MAX + 10):
        session.receive(AnswerFrame("r-1.1", number, b"x"))
    items = [fixture.inbox.get_nowait() for _ in range(fixture.inbox.qsize())]
    assert items[-1].reason is Reason.OVERLOADED
    assert len(items) <= INBOX_MESSAGES_MAX + 2


@pytest.mark.promise(6)
def test_host_leaving_by_the_list_gets_no_new_work(fixture):
    assert "engine-0" in fixture.choose_ids()
    leaving = build_host(0, state=HostState.LEAVING)
    fixture.board.replace_hosts([leaving, *build_hosts()[1:]])
    assert fixture.choose_ids() == {"engine-1", "engine-2"}


@pytest.mark.promise(6)
def test_host_leaving_by_its_report_gets_no_new_work(fixture):
    _, session = fixture.open()
    session.receive(build_report(leaving=True))
    assert fixture.choose_ids() == {"engine-1", "engine-2"}


@pytest.mark.promise(6)
def test_host_removed_from_the_list_is_not_chosen(fixture):
    fixture.board.replace_hosts(build_hosts()[1:])
    assert fixture.choose_ids() == {"engine-1", "engine-2"}


def test_choice_without_hosts_is_a_failure(fixture):
    fixture.board.replace_hosts([])
    assert fixture.choose().reason is Reason.NO_REPLICA


def test_generation_of_an_agent_is_observed(fixture):
    _, session = fixture.open()
    session.receive(GenerationNotice(7, "hash"))
    assert 7 in fixture.board.configuration_tracker.observed
