"""Tests, over loopback, of the adapter versions on which requests begin."""

import time

import gevent
import pytest

from nutmegdeal.gateway.versions import AdapterVersions
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.dispatch_harness import VERSION_MS
from nutmegdeal.tests.platform_site import wait_until
from nutmegdeal.tests.version_builders import (
    build_configuration_row,
    build_version_row,
)
from nutmegdeal.tests.version_harness import (
    CALL_MS,
    SHORT_VERSION_MS,
    answer_stream,
    start_changeover,
)


def test_further_version_does_not_allow_a_superseded_one_again(start_gateway):
    harness, feed = start_gateway(answer_stream)
    feed.poll()
    feed.poll(2)
    harness.clock.suspend(VERSION_MS)
    feed.poll(3)
    harness.call(CALL_MS)
    assert harness.responder.status_code == 503
    assert not harness.servers[0].requests


def call_on_connect(harness, handler):
    """Call a function with each connection to a server that is opened."""
    pool = harness.dispatcher._transport._pool
    acquire = pool.acquire

    def acquire_and_call(*args):
        connection = acquire(*args)
        handler(connection)
        return connection

    pool.acquire = acquire_and_call


def test_version_superseded_while_a_connection_opens_is_not_sent(start_gateway):
    harness, feed = start_gateway(answer_stream, answer_stream)
    harness.members[1].set_resident([])
    feed.poll()
    feed.poll(2)

    def hold_up(_connection):
        harness.clock.suspend(VERSION_MS)
        harness.members[1].set_resident(["a7@2"])

    call_on_connect(harness, hold_up)
    harness.call()
    assert harness.responder.status_code == 200
    assert not harness.servers[0].requests
    (request,) = harness.servers[1].requests
    assert request[b"x-expected-version"] == b"2"


def test_server_that_lost_the_adapter_is_asked_for_its_newest_version(start_gateway):
    harness, feed = start_gateway(answer_stream)
    feed.poll(2)
    member = harness.members[0]
    member.set_resident(["a7@2"])
    call_on_connect(harness, lambda _: member.set_resident([]))
    harness.call(CALL_MS)
    (request,) = harness.servers[0].requests
    assert request[b"x-expected-version"] == b"2"


def test_version_without_a_row_is_named(start_gateway):
    """Its server may be about to replace the adapter."""
    harness, feed = start_gateway(answer_stream)
    feed.poll()
    harness.call(CALL_MS)
    (request,) = harness.servers[0].requests
    assert request[b"x-expected-version"] == b"1"


def wait_for_close(sock, _request):
    """Give no answer until the gateway closes the connection."""
    sock.recv(1)


def is_cancelled(sock):
    """Wait until a version has expired; return whether its run was cancelled before."""
    sock.settimeout(1.5 * SHORT_VERSION_MS / 1000)
    try:
        sock.recv(1)
    except TimeoutError:
        sock.settimeout(None)
        return False
    return True


def answer_late(sock, request):
    if not is_cancelled(sock):
        answer_stream(sock, request)


def answer_late_after_head(sock, request):
    request_id = request[b"x-request-id"].decode()
    answer = build.build_stream_answer(request_id, range(3))
    head, end, events = answer.partition(b"\r\n\r\n")
    sock.sendall(head + end)
    if not is_cancelled(sock):
        sock.sendall(events)


@pytest.mark.parametrize("queue", [answer_late, answer_late_after_head])
def test_run_in_the_queue_of_an_engine_does_not_begin_on_an_expired_version(
    start_gateway, queue
):
    route = build.build_route(target_ms=5_000.0)
    harness = start_changeover(start_gateway, queue, answer_stream, route=route)
    caller = gevent.spawn(harness.call)
    wait_until(lambda: harness.servers[0].requests)
    harness.members[1].set_resident(["a7@2"])
    caller.get()
    assert harness.responder.status_code == 200
    (request,) = harness.servers[1].requests
    assert request[b"x-expected-version"] == b"2"
    wait_until(lambda: harness.servers[0].ended_count)


def test_silent_run_does_not_begin_on_an_expired_version_beside_another(start_gateway):
    def answer_after_close(sock, request):
        wait_until(lambda: harness.servers[0].ended_count)
        answer_stream(sock, request)

    route = build.build_route(target_ms=100.0)
    harness = start_changeover(
        start_gateway, wait_for_close, answer_after_close, route=route
    )
    caller = gevent.spawn(harness.call)
    wait_until(lambda: harness.servers[0].requests)
    harness.members[1].set_resident(["a7@2"])
    caller.get()
    assert harness.responder.status_code == 200
    assert len(harness.servers[1].requests) == 1


def test_request_that_may_run_once_is_in_doubt_as_its_version_expires(start_gateway):
    route = build.build_route(target_ms=5_000.0, is_resumable=False)
    harness = start_changeover(start_gateway, wait_for_close, route=route)
    harness.call()
    assert harness.responder.status_code == 502
    assert len(harness.servers[0].requests) == 1
    wait_until(lambda: harness.servers[0].ended_count)


def test_run_of_which_events_have_arrived_is_not_ended(start_gateway):
    """The gateway stands still from the send until after the version has expired."""
    harness = start_changeover(start_gateway, answer_stream)

    def stand_still(connection):
        send = connection.send

        def send_and_stand_still(*args):
            send(*args)
            wait_until(lambda: not connection.is_clean())
            time.sleep(SHORT_VERSION_MS / 1000)

        connection.send = send_and_stand_still

    call_on_connect(harness, stand_still)
    harness.call()
    assert harness.responder.status_code == 200
    assert harness.responder.is_finished


def test_version_that_becomes_known_while_a_run_waits_ends_the_run(start_gateway):
    route = build.build_route(target_ms=5_000.0, is_resumable=False)
    harness, feed = start_gateway(wait_for_close, route=route)
    harness.board.versions = AdapterVersions(SHORT_VERSION_MS)
    feed.poll()
    caller = gevent.spawn(harness.call)
    wait_until(lambda: harness.servers[0].requests)
    feed.poll(2)
    caller.get()
    assert harness.responder.status_code == 502
    wait_until(lambda: harness.servers[0].ended_count)


def test_waiting_requests_see_the_versions_of_the_first_read(start_gateway):
    harness, feed = start_gateway(answer_stream)
    harness.board.configuration = None
    harness.board.initialized.clear()
    caller = gevent.spawn(harness.call, CALL_MS)
    gevent.sleep(0)
    feed.poll(rows=[build_configuration_row(1), build_version_row(2, 1)])
    caller.get()
    assert harness.responder.status_code == 503
    assert not harness.servers[0].requests


def test_version_of_another_model_does_not_supersede_one_of_the_same_name(
    start_gateway,
):
    harness, feed = start_gateway(answer_stream)
    feed.poll(rows=[build_version_row(3, 1, model="other-model")])
    harness.call(CALL_MS)
    assert harness.responder.status_code == 200
    (request,) = harness.servers[0].requests
    assert request[b"x-expected-version"] == b"1"
