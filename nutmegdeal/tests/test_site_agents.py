"""Agents that are killed, frozen, leaving and stopped, on a site of real processes."""

import collections
import signal

import pytest
import urllib3

from nutmegdeal.messages import Fate
from nutmegdeal.tests.loads import LoadRun, assert_truthful, collect_runs, hosts_of
from nutmegdeal.tests.processes import wait_until

pytestmark = pytest.mark.processes

ENGINES = "assist-llm"
PLAIN = "hire-core"
BOOKED_WITHIN_MS = 6_000
TOKEN_COUNT = 200


@pytest.fixture
def slow_plain(site):
    """Have each booking take its time at the backend server."""
    for host in hosts_of(site, PLAIN):
        host.stand_in.set_faults(slow_ms=400)
    yield
    for host in hosts_of(site, PLAIN):
        host.stand_in.set_faults()


@pytest.mark.promise(5)
def test_bookings_run_at_most_once_when_their_agent_is_killed(site, slow_plain):
    load = LoadRun(site, answer_within_ms=BOOKED_WITHIN_MS)
    load.book(12)
    load.wait_until_running(4)
    victim = hosts_of(site, PLAIN)[0]
    victim.agent.kill()
    fates = collections.Counter(assert_truthful(site, load.finish()))
    site.restart_agent(victim)
    site.wait_until_ready()
    assert fates[Fate.COMPLETED] > 0


@pytest.mark.promise(4)
@pytest.mark.promise(5)
def test_a_frozen_agent_runs_nothing_that_was_called_not_run(site, slow_plain):
    victim = hosts_of(site, PLAIN)[1]
    load = LoadRun(site, answer_within_ms=BOOKED_WITHIN_MS)
    load.book(6)
    load.wait_until_running(2)
    victim.agent.send_signal(signal.SIGSTOP)
    load.book(6)
    calls = load.finish()
    victim.agent.send_signal(signal.SIGCONT)
    wait_until(lambda: is_idle(victim.agent))
    assert_truthful(site, calls)


def is_idle(agent):
    """Return whether nothing waits or runs at an agent."""
    status = urllib3.request("GET", agent.url + "/status", retries=False).json()
    return status["queued_count"] + status["running_count"] == 0


def start_streams(site, load):
    """Begin streams of one adapter; return the BackendHost that runs some."""
    load.complete(12, token_count=TOKEN_COUNT, adapter_count=1)
    load.wait_until_running(4, ENGINES)
    return max(hosts_of(site, ENGINES), key=count_running)


def count_running(host):
    return sum(run["outcome"] == "running" for run in host.stand_in.record()["runs"])


@pytest.mark.promise(3)
def test_streams_are_whole_or_marked_when_their_agent_is_killed(site):
    load = LoadRun(site)
    victim = start_streams(site, load)
    victim.agent.kill()
    fates = assert_truthful(site, load.finish())
    site.restart_agent(victim)
    site.wait_until_ready()
    assert set(fates) == {Fate.COMPLETED}


@pytest.mark.promise(7)
def test_a_stopped_agent_finishes_its_streams_and_hands_back_the_rest(site):
    load = LoadRun(site)
    leaver = start_streams(site, load)
    assert leaver.agent.stop() == 0
    calls = load.finish()
    fates = assert_truthful(site, calls)
    cut_off = [
        run
        for run in collect_runs(site, ENGINES)
        if run["outcome"] == "cancelled"
        and run["attempt_id"].startswith(tuple(call.request_id for call in calls))
    ]
    site.restart_agent(leaver)
    site.wait_until_ready()
    assert set(fates) == {Fate.COMPLETED}
    assert cut_off == []


@pytest.mark.promise(6)
def test_a_leaving_host_gets_no_new_work(site):
    leaver, *_ = hosts_of(site, PLAIN)
    site.publish_hosts(leaving=(leaver.host_id,))
    wait_until(lambda: not leaver.agent.is_running)
    before_count = len(leaver.stand_in.record()["runs"])
    load = LoadRun(site)
    load.look_up(20)
    load.book(10)
    fates = assert_truthful(site, load.finish())
    assert set(fates) == {Fate.COMPLETED}
    assert len(leaver.stand_in.record()["runs"]) == before_count

    site.restart_agent(leaver)
    site.wait_until_ready()
