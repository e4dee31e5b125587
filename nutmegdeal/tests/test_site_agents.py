"""Process-level tests of agents that are killed, paused, stopped or leaving."""

import collections
import signal

import pytest
import urllib3

from nutmegdeal.messages import Fate
from nutmegdeal.tests.process_site import wait_until
from nutmegdeal.tests.request_load import (
    RequestLoad,
    assert_calls_correct,
    collect_runs,
    hosts_of,
)

pytestmark = pytest.mark.processes

ENGINES = "assist-llm"
PLAIN = "hire-core"
BOOKING_TIMEOUT_MS = 6_000
TOKEN_COUNT = 200


@pytest.fixture
def held_bookings(site):
    """Hold bookings at the backend servers; return a function that releases them."""

    def release():
        for host in hosts_of(site, PLAIN):
            host.stand_in.set_faults()

    for host in hosts_of(site, PLAIN):
        host.stand_in.set_faults(holds_calls=True)
    yield release
    release()


@pytest.mark.promise(5)
def test_bookings_run_at_most_once_when_their_agent_is_killed(site, held_bookings):
    load = RequestLoad(site, answer_within_ms=BOOKING_TIMEOUT_MS)
    load.start_bookings(12)
    load.wait_until_running(4)
    killed_host = hosts_of(site, PLAIN)[0]
    killed_host.agent.kill()
    held_bookings()
    fates = collections.Counter(assert_calls_correct(site, load.finish()))
    site.restart_agent(killed_host)
    site.wait_until_ready()
    assert fates[Fate.COMPLETED] > 0


@pytest.mark.promise(4)
@pytest.mark.promise(5)
def test_a_paused_agent_runs_no_request_that_was_reported_as_not_run(
    site, held_bookings
):
    paused_host = hosts_of(site, PLAIN)[1]
    load = RequestLoad(site, answer_within_ms=BOOKING_TIMEOUT_MS)
    load.start_bookings(6)
    load.wait_until_running(2)
    paused_host.agent.send_signal(signal.SIGSTOP)
    held_bookings()
    load.start_bookings(6)
    calls = load.finish()
    paused_host.agent.send_signal(signal.SIGCONT)
    wait_until(lambda: is_idle(paused_host.agent))
    assert_calls_correct(site, calls)


def is_idle(agent):
    """Return whether no request is queued or running at an agent."""
    status = urllib3.request("GET", agent.url + "/status", retries=False).json()
    return status["queued_count"] + status["running_count"] == 0


def start_streams(site, load):
    """Start streams of one adapter; return the BackendHost that runs most of them."""
    load.start_completions(12, token_count=TOKEN_COUNT, adapter_count=1)
    load.wait_until_running(4, ENGINES)
    return max(hosts_of(site, ENGINES), key=count_running)


def count_running(host):
    return sum(run["outcome"] == "running" for run in host.stand_in.record()["runs"])


@pytest.mark.promise(3)
def test_streams_are_completed_when_their_agent_is_killed(site):
    load = RequestLoad(site)
    killed_host = start_streams(site, load)
    killed_host.agent.kill()
    fates = assert_calls_correct(site, load.finish())
    site.restart_agent(killed_host)
    site.wait_until_ready()
    assert set(fates) == {Fate.COMPLETED}


@pytest.mark.promise(7)
def test_a_stopping_agent_finishes_its_streams_and_returns_queued_requests(site):
    load = RequestLoad(site)
    stopping_host = start_streams(site, load)
    assert stopping_host.agent.stop() == 0
    calls = load.finish()
    fates = assert_calls_correct(site, calls)
    cancelled_runs = [
        run
        for run in collect_runs(site, ENGINES)
        if run["outcome"] == "cancelled"
        and run["attempt_id"].startswith(tuple(call.request_id for call in calls))
    ]
    site.restart_agent(stopping_host)
    site.wait_until_ready()
    assert set(fates) == {Fate.COMPLETED}
    assert cancelled_runs == []


@pytest.mark.promise(6)
def test_a_leaving_host_gets_no_new_requests(site):
    leaving_host, *_ = hosts_of(site, PLAIN)
    site.publish_hosts(leaving=(leaving_host.host_id,))
    wait_until(lambda: not leaving_host.agent.is_running)
    before_count = len(leaving_host.stand_in.record()["runs"])
    load = RequestLoad(site)
    load.start_lookups(20)
    load.start_bookings(10)
    fates = assert_calls_correct(site, load.finish())
    assert set(fates) == {Fate.COMPLETED}
    assert len(leaving_host.stand_in.record()["runs"]) == before_count

    site.restart_agent(leaving_host)
    site.wait_until_ready()
