"""Connections that a replacement of a silent run has used, and that are reused."""

import gevent
import pytest

from nutmegdeal.gateway.exchange import GAP_TIMEOUT_MIN_MS
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.silent_answers import (
    HEAD,
    SILENCE_S,
    build_stream_route,
    check_whole_stream,
    encode_events,
    pause_in_stream,
    refuse,
)

EVENT_COUNT = 20
WHOLE_STREAM = b"".join(map(build.build_event, range(EVENT_COUNT)))
# When the replacement has been refused and the silent run goes on.
REFUSED_AFTER_S = (GAP_TIMEOUT_MIN_MS + 300.0) / 1000


def send_events(sock, numbers, interval_s):
    """Send the events of a stream at a pace, and end it."""
    for number in numbers:
        sock.sendall(encode_events([number]))
        gevent.sleep(interval_s)
    sock.sendall(b"0\r\n\r\n")


def serve_at_once(harness):
    """Start a request; return its greenlet and the responder."""
    greenlet = gevent.spawn(harness.call)
    gevent.sleep(0.01)
    return greenlet, harness.responder


def test_connection_of_a_refused_replacement_waits_for_no_other_run(start_dispatcher):
    harness = start_dispatcher([pause_in_stream, refuse], route=build_stream_route())
    harness.call()
    check_whole_stream(harness)
    pool = harness.dispatcher._transport._pool
    idle = [item for connections in pool._idle.values() for item in connections]
    assert len(idle) == 2
    assert [connection.wait_for_data for connection in idle] == [None, None]


@pytest.mark.parametrize(
    ("first_interval_s", "second_interval_s"),
    [(0.05, 0.05), (0.03, 0.07), (0.1, 0.05), (0.02, 0.1), (0.0, 0.05), (0.08, 0.01)],
)
def test_stream_on_the_connection_of_a_refused_replacement_is_not_cut(
    start_dispatcher, first_interval_s, second_interval_s
):
    answers = [refuse]

    def fall_silent(sock, _request):
        sock.sendall(HEAD + encode_events(range(3)))
        gevent.sleep(SILENCE_S)
        send_events(sock, range(3, EVENT_COUNT), first_interval_s)

    def refuse_once(sock, request):
        if answers:
            answers.pop()(sock, request)
            return
        sock.sendall(HEAD)
        send_events(sock, range(EVENT_COUNT), second_interval_s)

    harness = start_dispatcher([fall_silent, refuse_once], route=build_stream_route())
    first, first_responder = serve_at_once(harness)
    gevent.sleep(REFUSED_AFTER_S)
    now_ms = harness.clock.monotonic_ms()
    harness.members[0].record_load(99, 99, now_ms, valid_ms=60_000.0)
    harness.members[0].is_reachable = False
    second, second_responder = serve_at_once(harness)
    gevent.joinall([first, second], raise_error=True)
    for responder in (first_responder, second_responder):
        assert responder.body == WHOLE_STREAM
        assert responder.is_finished
