"""Leaving: no new work, running work finishes, waiting work is handed back at once."""

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
from nutmegdeal.tests.agent_parts import ScriptedEngine, build_rig
from nutmegdeal.tests.builders import build_submit

ADDRESS = Address("127.0.0.1", 9000)


def build_busy_rig():
    """Return a rig with one request running and one waiting for its adapter."""
    engine = ScriptedEngine()
    engine.gate = Event()
    rig = build_rig(engine)
    rig.submit(build_submit(attempt_id="r-1.1"))
    engine.load_gate = Event()
    rig.submit(build_submit(attempt_id="r-2.1", adapter="quote-0002"))
    return rig


@pytest.mark.promise(7)
def test_drain_hands_back_what_waits_and_finishes_what_runs():
    rig = build_busy_rig()
    rig.agent.drain.begin()
    handed_back = rig.session.last("r-2.1")
    assert (handed_back.fate, handed_back.reason) == (Fate.NOT_RUN, Reason.LEAVING)
    assert handed_back.retry_at_unix_ms > rig.clock.unix_ms()
    assert not rig.session.ended("r-1.1")
    rig.backend.gate.set()
    rig.settle()
    assert isinstance(rig.session.last("r-1.1"), AnswerEnd)
    assert [attempt for attempt, _ in rig.backend.ran] == ["r-1.1"]


class ShortDrain(Drain):
    """Naive: leaves as soon as it is told to."""

    def wait_finished(self):
        return True


@pytest.mark.promise(7)
def test_drain_that_does_not_wait_cuts_off_what_runs():
    rig = build_busy_rig()
    rig.agent.drain.begin()
    rig.agent.drain.__class__ = ShortDrain
    assert rig.agent.drain.wait_finished()
    assert not rig.session.ended("r-1.1")


@pytest.mark.promise(7)
def test_drain_is_not_finished_while_anything_runs():
    rig = build_busy_rig()
    rig.agent.drain.begin()
    rig.agent.drain._settings = evolve(rig.agent.settings.agent, drain_within_ms=0)
    assert not rig.agent.drain.wait_finished()
    rig.backend.gate.set()
    rig.backend.load_gate.set()
    rig.settle()
    assert rig.agent.drain.wait_finished()


def leave_by_host_list(rig):
    host = Host("h1", "assist-llm", "z", ADDRESS.host, ADDRESS.port, HostState.LEAVING)
    hosts = MemoryHosts([host])
    return HostWatch(hosts, ADDRESS, rig.agent.drain.begin, PlatformSettings())


@pytest.mark.promise(6)
def test_host_list_alone_stops_new_work():
    rig = build_rig()
    watch = leave_by_host_list(rig)
    rig.submit(build_submit(attempt_id="r-1.1"))
    watch.step()
    rig.submit(build_submit(attempt_id="r-2.1"))
    assert rig.session.last("r-2.1").reason is Reason.LEAVING
    assert rig.session.last("r-2.1").fate is Fate.NOT_RUN
    reports = [m for m in rig.session.sent if isinstance(m, AgentReport)]
    assert reports[-1].leaving
    assert [attempt for attempt, _ in rig.backend.ran] == ["r-1.1"]


@pytest.mark.promise(6)
def test_agent_that_ignores_the_host_list_takes_new_work():
    rig = build_rig()
    leave_by_host_list(rig)
    rig.submit(build_submit(attempt_id="r-2.1"))
    assert isinstance(rig.session.last("r-2.1"), AnswerEnd)


@pytest.mark.promise(6)
def test_other_hosts_and_an_unreadable_list_change_nothing():
    rig = build_rig()
    watch = leave_by_host_list(rig)
    watch._hosts.down = True
    watch.step()
    watch._hosts.down = False
    watch._hosts.hosts = (evolve(watch._hosts.hosts[0], agent_port=9001),)
    watch.step()
    assert not rig.agent.board.is_leaving
