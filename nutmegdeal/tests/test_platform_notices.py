"""Tests over loopback: servers that leave or ask for a pause, and a restored store."""

import gevent
import pytest

from nutmegdeal.fakes.platform_backend import EVENT_COUNT
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.platform_site import (
    PlatformSite,
    encode_operator_configuration,
    wait_until,
)

ENGINES, SERVERS = "engines", "servers"
PATHS = {ENGINES: "/chat/1", SERVERS: "/look/1"}


@pytest.fixture
def site(monkeypatch, bridge):
    running = PlatformSite(monkeypatch, bridge)
    yield running
    running.close()


def call_until_answered_by(site, backend, path):
    """Send requests until `backend` has run one; return their number."""
    for number in range(50):
        assert site.call(path, f"first-{number}", adapter="")[0] == 200
        if backend.runs:
            return number + 1
    raise AssertionError("the server got no request")


def assert_gets_nothing(site, backend, path):
    before = backend.runs.total()
    for number in range(10):
        assert site.call(path, f"later-{number}", adapter="")[0] == 200
    assert backend.runs.total() == before


@pytest.mark.parametrize("kind", [ENGINES, SERVERS])
def test_server_that_leaves_by_its_answers_gets_no_more_requests(site, kind):
    leaving = getattr(site, kind)[0]
    # Else the placer of an engine would tell the gateway before the first answer.
    site.placers[0].close()
    leaving.is_leaving = True
    call_until_answered_by(site, leaving, PATHS[kind])
    assert_gets_nothing(site, leaving, PATHS[kind])


def test_registration_that_says_ready_does_not_undo_the_leaving(site):
    leaving = site.servers[0]
    leaving.is_leaving = True
    call_until_answered_by(site, leaving, "/look/1")
    site.register(leaving)
    site.store.put("op", "config", encode_operator_configuration(version=5))
    wait_until(lambda: site.gateway._board.configuration.version == 5)
    gevent.sleep(1.0)
    assert_gets_nothing(site, leaving, "/look/1")


def test_new_incarnation_of_a_server_that_left_is_used(site):
    leaving = site.servers[0]
    leaving.is_leaving = True
    call_until_answered_by(site, leaving, "/look/1")
    leaving.is_leaving = False
    leaving.incarnation += 1
    site.register(leaving)
    members = site.gateway._board.membership
    wait_until(lambda: len(members.usable(leaving.service, 0.0)) == 2)
    leaving.runs.clear()
    call_until_answered_by(site, leaving, "/look/1")


def test_failure_of_a_leaving_server_tells_that_it_leaves(site):
    for server in site.servers:
        server.failures_pending = 1
    leaving = site.servers[0]
    leaving.is_leaving = True
    site.call("/look/1", "q-1")
    site.call("/look/1", "q-2")
    assert_gets_nothing(site, leaving, "/look/1")


def test_refusal_of_a_leaving_server_tells_that_it_leaves(site):
    leaving = site.servers[0]
    leaving.is_leaving = True
    leaving.refusals_pending = 1
    members = site.gateway._board.membership
    for number in range(50):
        assert site.call("/look/1", f"q-{number}")[0] == 200
        if not leaving.refusals_pending:
            break
    assert len(members.usable(leaving.service, 0.0)) == 1


def test_running_stream_of_a_leaving_server_ends_in_peace(site):
    for engine in site.engines:
        engine.is_leaving = True
    calls = [
        gevent.spawn(site.call, "/chat/1", f"q-{number}", adapter="")
        for number in range(4)
    ]
    gevent.joinall(calls, timeout=30, raise_error=True)
    complete = [call.value for call in calls if call.value[0] == 200]
    assert complete
    assert all(body.count(b"data:") == EVENT_COUNT for _, _, body in complete)


def test_leaving_engine_is_given_no_loads(site):
    leaving = site.engines[0]
    leaving.is_leaving = True
    members = site.gateway._board.membership
    wait_until(lambda: len(members.usable(leaving.service, 0.0)) == 1)
    for number in range(6):
        assert site.call("/chat/1", f"q-{number}", f"a{number}")[0] == 200
    assert not leaving.adapters
    assert not leaving.order_count


@pytest.mark.parametrize("kind", [ENGINES, SERVERS])
def test_server_gets_nothing_before_its_retry_after(site, kind):
    refusing = getattr(site, kind)[0]
    refusing.refusals_pending, refusing.retry_after_s = 1, 60.0
    for number in range(50):
        assert site.call(PATHS[kind], f"q-{number}", adapter="")[0] == 200
        if not refusing.refusals_pending:
            break
    assert not refusing.refusals_pending
    assert_gets_nothing(site, refusing, PATHS[kind])


def test_server_is_used_again_after_its_retry_after(site):
    refusing = site.servers[0]
    refusing.refusals_pending, refusing.retry_after_s = 1, 0.2
    for number in range(50):
        site.call("/look/1", f"q-{number}")
    gevent.sleep(0.25)
    call_until_answered_by(site, refusing, "/look/1")


def test_caller_is_told_when_the_first_server_is_available(site):
    for server, retry_after_s in zip(site.servers, (40.0, 20.0), strict=True):
        server.refusals_pending, server.retry_after_s = 1, retry_after_s
    while any(server.refusals_pending for server in site.servers):
        site.call("/book/1", "q-1")
    calls_before = [server.listener.open_count for server in site.servers]
    status, headers, body = site.call("/book/1", "q-2")
    assert (status, body) == (503, b"backends_unavailable")
    assert 18.0 < float(headers[b"retry-after"]) < 22.0
    assert [server.listener.open_count for server in site.servers] == calls_before


def test_restored_store_is_followed_from_its_copy(site):
    copy = site.store.take_copy()
    site.store.put("op", "config", encode_operator_configuration(version=5))
    wait_until(lambda: site.gateway._board.configuration.version == 5)
    for number in range(20):
        site.store.put("other", f"row-{number}", b"{}")
    site.store.restore(copy)
    site.store.put("op", "config", encode_operator_configuration(version=6))
    wait_until(lambda: site.gateway._board.configuration.version == 6, within_s=8)


def test_configuration_stays_in_force_while_the_copy_is_older(site):
    copy = site.store.take_copy()
    site.store.put("op", "config", encode_operator_configuration(version=5))
    wait_until(lambda: site.gateway._board.configuration.version == 5)
    site.store.restore(copy)
    wait_until(lambda: site.gateway._store.newest_era == 2, within_s=8)
    gevent.sleep(0.5)
    assert site.gateway._board.configuration.version == 5
    assert site.call("/look/1", "q-1")[0] == 200


def test_malformed_message_of_a_placer_costs_its_stream_only(site):
    links = site.gateway._links._links.values()
    before = [link._session for link in links]
    malformed = build.build_engine_state(
        backend_started_unix_ms=1, resident=("no version",)
    )
    for placer in site.placers:
        for session in list(placer._sessions):
            session.send(malformed)
    wait_until(lambda: not any(session.is_open for session in before))
    wait_until(site._is_linked)
    assert site.call("/chat/1", "q-1")[0] == 200


def test_error_while_prompts_are_granted_costs_one_round(site, monkeypatch):
    assert site.call("/chat/1", "q-1")[0] == 200
    failures = []

    def fail():
        failures.append(1)
        raise ValueError("unexpected")

    for placer in site.placers:
        monkeypatch.setattr(placer._pacer, "next_ms", fail)
        placer._grant_wake.set()
    wait_until(lambda: len(failures) >= 2)
    monkeypatch.undo()
    assert site.call("/chat/1", "q-2")[0] == 200
