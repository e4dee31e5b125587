"""Drain: new and waiting requests are refused at once, running ones finish."""

import pytest
from attrs import evolve
from gevent.event import Event

from nutmegdeal.addresses import Address
from nutmegdeal.agent.draining import Drain, HostWatch
from nutmegdeal.errors import Reason
from nutmegdeal.fakes.memory import MemoryHosts
from nutmegdeal.messages import AgentReport, AnswerEnd, Fate
from nutmegdeal.services.hosts import Host, HostState
from nutmegdeal.settings import PlatformSettings
from nutmegdeal.tests.agent_harness import ScriptedEngine, build_harness
from nutmegdeal.tests.builders import build_submit

ADDRESS = Address("127.0.0.1", 9000)


def build_busy_harness():
    """Return a harness with one request running and one waiting for its adapter."""
    engine = ScriptedEngine()
    engine.gate = Event()
    harness = build_harness(engine)
    harness.submit(build_submit(attempt_id="r-1.1"))
    engine.load_gate = Event()
    harness.submit(build_submit(attempt_id="r-2.1", adapter="quote-0002"))
    return harness


@pytest.mark.promise(7)
def test_drain_refuses_waiting_requests_and_finishes_running_ones():
    harness = build_busy_harness()
    harness.agent.drain.begin()
    refused = harness.session.last("r-2.1")
    assert (refused.fate, refused.reason) == (Fate.NOT_RUN, Reason.LEAVING)
    assert refused.retry_at_unix_ms > harness.clock.unix_ms()
    assert not harness.session.ended("r-1.1")
    harness.backend.gate.set()
    harness.settle()
    assert isinstance(harness.session.last("r-1.1"), AnswerEnd)
    assert [attempt for attempt, _ in harness.backend.ran] == ["r-1.1"]


class DrainWithoutWaiting(Drain):
    """Naive variant: doesn't wait for running requests."""

    def wait_until_finished(self):
        return True


@pytest.mark.promise(7)
def test_drain_that_does_not_wait_cuts_off_running_requests():
    harness = build_busy_harness()
    harness.agent.drain.begin()
    harness.agent.drain.__class__ = DrainWithoutWaiting
    assert harness.agent.drain.wait_until_finished()
    assert not harness.session.ended("r-1.1")


@pytest.mark.promise(7)
def test_drain_is_not_finished_while_a_request_runs():
    harness = build_busy_harness()
    harness.agent.drain.begin()
    harness.agent.drain._settings = evolve(
        harness.agent.settings.agent, drain_within_ms=0
    )
    assert not harness.agent.drain.wait_until_finished()
    harness.backend.gate.set()
    harness.backend.load_gate.set()
    harness.settle()
    assert harness.agent.drain.wait_until_finished()


def build_leaving_watch(harness):
    """Return a HostWatch of a list that marks the agent's host as leaving."""
    host = Host("h1", "assist-llm", "z", ADDRESS.host, ADDRESS.port, HostState.LEAVING)
    hosts = MemoryHosts([host])
    return HostWatch(hosts, ADDRESS, harness.agent.drain.begin, PlatformSettings())


@pytest.mark.promise(6)
def test_host_list_alone_stops_new_work():
    harness = build_harness()
    watch = build_leaving_watch(harness)
    harness.submit(build_submit(attempt_id="r-1.1"))
    watch.step()
    harness.submit(build_submit(attempt_id="r-2.1"))
    assert harness.session.last("r-2.1").reason is Reason.LEAVING
    assert harness.session.last("r-2.1").fate is Fate.NOT_RUN
    reports = [m for m in harness.session.sent if isinstance(m, AgentReport)]
    assert reports[-1].leaving
    assert [attempt for attempt, _ in harness.backend.ran] == ["r-1.1"]


@pytest.mark.promise(6)
def test_agent_that_ignores_the_host_list_takes_new_work():
    harness = build_harness()
    build_leaving_watch(harness)
    harness.submit(build_submit(attempt_id="r-2.1"))
    assert isinstance(harness.session.last("r-2.1"), AnswerEnd)


@pytest.mark.promise(6)
def test_other_hosts_and_an_unreadable_list_change_nothing():
    harness = build_harness()
    watch = build_leaving_watch(harness)
    watch._hosts.down = True
    watch.step()
    watch._hosts.down = False
    watch._hosts.hosts = (evolve(watch._hosts.hosts[0], agent_port=9001),)
    watch.step()
    assert not harness.agent.board.is_leaving
