"""Tests of requests that arrive while their connection is about to be closed."""

import attrs
import gevent
import gevent.event
import gevent.socket
import pytest

from nutmegdeal import socket_closing
from nutmegdeal.site_configuration import DEFAULT_CALLER_LIMITS
from nutmegdeal.tests.caller_sockets import (
    REQUEST,
    TIMEOUT_S,
    connect,
    read_all,
    reply_ok,
)

IDLE_TIMEOUT_MS = 100.0


def send_without_switching(sock, data):
    """Send to loopback: the bytes are in the peer's receive buffer on return."""
    assert sock._sock.send(data) == len(data)


def read_response(sock, body=b"ok"):
    """Return the bytes of a response up to its body."""
    data = b""
    while not data.endswith(body):
        chunk = sock.recv(65_536)
        assert chunk, f"closed after {data!r}"
        data += chunk
    return data


def connect_idle(listener):
    """Return a connection whose first request has been answered."""
    sock = connect(listener)
    sock.sendall(REQUEST)
    read_response(sock)
    wait_until_idle(listener)
    return sock


def wait_until_idle(listener):
    with gevent.Timeout(TIMEOUT_S):
        while listener.open_count:
            gevent.sleep(0.01)
        gevent.sleep(0.01)


def wait_until_busy(listener):
    with gevent.Timeout(TIMEOUT_S):
        while not listener.open_count:
            gevent.sleep(0.01)


def test_close_idle_serves_a_request_that_has_arrived(start_listener):
    listener = start_listener(reply_ok)
    sock = connect_idle(listener)
    send_without_switching(sock, REQUEST)
    listener.is_draining = True
    listener.close_idle()
    # A drain ends as soon as this is 0.
    assert listener.open_count == 1
    data = read_all(sock)
    assert data.startswith(b"HTTP/1.1 200") and data.endswith(b"ok")
    assert b"connection: close" in data.lower()
    wait_until_idle(listener)


def block_until_idle_timeout():
    """Keep the event loop from running until the idle timeout has passed."""
    loop = gevent.get_hub().loop
    loop.update_now()
    end_s = loop.now() + 2 * IDLE_TIMEOUT_MS / 1000
    while loop.now() < end_s:
        loop.update_now()


def connect_idle_with_timeout(start_listener):
    limits = attrs.evolve(DEFAULT_CALLER_LIMITS, idle_timeout_ms=IDLE_TIMEOUT_MS)
    return connect_idle(start_listener(reply_ok, limits))


def test_idle_timeout_serves_a_request_that_has_arrived(start_listener):
    sock = connect_idle_with_timeout(start_listener)
    send_without_switching(sock, REQUEST)
    block_until_idle_timeout()
    assert read_response(sock).startswith(b"HTTP/1.1 200")


def test_idle_timeout_serves_a_request_that_arrives_together_with_it(start_listener):
    sock = connect_idle_with_timeout(start_listener)
    # Runs after the event loop has looked for arrived bytes, and before the timeout,
    # which has a lower priority.
    timer = gevent.get_hub().loop.timer(IDLE_TIMEOUT_MS / 1000)
    timer.start(send_without_switching, sock, REQUEST)
    block_until_idle_timeout()
    assert read_response(sock).startswith(b"HTTP/1.1 200")
    timer.close()


def test_idle_connection_is_closed_at_the_idle_timeout(start_listener):
    sock = connect_idle_with_timeout(start_listener)
    assert sock.recv(1) == b""


class ReleasedApplication:
    """Responds after a release, with a chunked response if `is_stream`.

    The head of a stream is sent before the release.
    """

    def __init__(self, is_stream=False):
        self._is_stream = is_stream
        self.released = gevent.event.Event()
        self.served_count = 0

    def __call__(self, request, responder):
        self.served_count += 1
        if not self._is_stream:
            self.released.wait(TIMEOUT_S)
            reply_ok(request, responder)
            return
        responder.start(200, [])
        responder.send(b"first,")
        self.released.wait(TIMEOUT_S)
        responder.send(b"last")
        responder.finish()


def test_drain_serves_the_requests_that_were_pipelined_before(start_listener):
    application = ReleasedApplication()
    listener = start_listener(application)
    sock = connect(listener)
    sock.sendall(REQUEST * 3)
    wait_until_busy(listener)
    gevent.sleep(0.05)
    listener.is_draining = True
    listener.close_idle()
    application.released.set()
    data = read_all(sock)
    assert data.count(b"HTTP/1.1 200") == 3
    assert data.lower().count(b"connection: close") == 1
    assert b"connection: close" in data.lower().rpartition(b"http/1.1 200")[2]


def begin_stream(start_listener):
    """Return a listener, its application and a caller that has half of a stream."""
    application = ReleasedApplication(is_stream=True)
    listener = start_listener(application)
    sock = connect(listener)
    sock.sendall(REQUEST)
    data = read_response(sock, b"first,\r\n")
    assert b"connection: close" not in data.lower()
    return listener, application, sock


STREAM_END = b"last\r\n0\r\n\r\n"


def test_stream_that_began_before_a_drain_keeps_its_connection(start_listener):
    listener, application, sock = begin_stream(start_listener)
    listener.is_draining = True
    application.released.set()
    read_response(sock, STREAM_END)
    sock.sendall(REQUEST)
    data = read_all(sock)
    assert data.endswith(STREAM_END)
    assert b"connection: close" in data.lower()


def test_stream_that_began_before_a_drain_does_not_hold_it(start_listener):
    listener, application, sock = begin_stream(start_listener)
    listener.is_draining = True
    application.released.set()
    read_response(sock, STREAM_END)
    wait_until_idle(listener)
    listener.close_idle()
    assert sock.recv(1) == b""


def test_stream_that_ends_after_close_idle_closes_its_connection(start_listener):
    listener, application, sock = begin_stream(start_listener)
    listener.is_draining = True
    listener.close_idle()
    application.released.set()
    read_response(sock, STREAM_END)
    assert sock.recv(1) == b""
    wait_until_idle(listener)


def test_request_that_arrives_during_the_last_stream_of_a_drain_is_served(
    start_listener,
):
    listener, application, sock = begin_stream(start_listener)
    listener.is_draining = True
    listener.close_idle()
    send_without_switching(sock, REQUEST)
    application.released.set()
    data = read_all(sock)
    assert data.count(STREAM_END) == 2
    assert data.lower().count(b"connection: close") == 1
    assert application.served_count == 2


def test_incomplete_pipelined_request_holds_a_drain_for_the_header_timeout_only(
    start_listener,
):
    limits = attrs.evolve(DEFAULT_CALLER_LIMITS, header_timeout_ms=100.0)
    application = ReleasedApplication()
    listener = start_listener(application, limits)
    sock = connect(listener)
    sock.sendall(REQUEST + REQUEST[:-2])
    wait_until_busy(listener)
    gevent.sleep(0.05)
    listener.is_draining = True
    listener.close_idle()
    application.released.set()
    _, _, last = read_all(sock).rpartition(b"HTTP/1.1 ")
    assert last.startswith(b"408")
    wait_until_idle(listener)


def read_until_closed(sock):
    """Return the bytes received until the connection ends, by a reset or not."""
    data = b""
    try:
        while chunk := sock.recv(65_536):
            data += chunk
    except ConnectionResetError:
        data += b"(reset)"
    return data


HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
UNREAD = b"x" * 300_000
# Status code of the refusal, and what the caller has sent when it is refused.
REFUSED = [
    (413, HEAD + b"Content-Length: 300000\r\n\r\n" + UNREAD),
    (400, HEAD + b"no header\r\n\r\n" + UNREAD),
    (400, HEAD + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + UNREAD),
    (431, HEAD + b"X: " + UNREAD),
]


@pytest.mark.parametrize(("status_code", "request_bytes"), REFUSED)
def test_refusal_of_a_request_that_was_not_read_whole_arrives(
    start_listener, status_code, request_bytes
):
    limits = attrs.evolve(DEFAULT_CALLER_LIMITS, body_bytes_max=1_000)
    sock = connect(start_listener(reply_ok, limits))
    sock.sendall(request_bytes)
    data = read_until_closed(sock)
    assert data.startswith(b"HTTP/1.1 %d" % status_code)
    assert data.endswith(b"\r\n\r\n")


def test_refusal_after_a_timeout_arrives_before_the_rest_of_the_request(
    start_listener,
):
    limits = attrs.evolve(DEFAULT_CALLER_LIMITS, idle_timeout_ms=IDLE_TIMEOUT_MS)
    sock = connect(start_listener(reply_ok, limits))
    sock.sendall(HEAD + b"Content-Length: 300000\r\n\r\n")
    gevent.sleep(3 * IDLE_TIMEOUT_MS / 1000)
    sock.sendall(UNREAD)
    data = read_until_closed(sock)
    assert data.startswith(b"HTTP/1.1 408") and data.endswith(b"\r\n\r\n")


def test_500_arrives_although_pipelined_bytes_are_not_read(start_listener):
    def crash_after_more_has_arrived(_request, _responder):
        gevent.sleep(0.1)
        raise RuntimeError("raised by the test")

    sock = connect(start_listener(crash_after_more_has_arrived))
    sock.sendall(REQUEST + UNREAD)
    data = read_until_closed(sock)
    assert data.startswith(b"HTTP/1.1 500") and data.endswith(b"\r\n\r\n")


class TestDiscardUntilClosed:
    """What bounds the reading from a caller that does not close its connection."""

    def test_end_of_stream_ends_it(self, monkeypatch):
        monkeypatch.setattr(socket_closing, "DISCARD_TIMEOUT_S", TIMEOUT_S)
        ours, theirs = gevent.socket.socketpair()
        theirs.sendall(UNREAD[:1_000])
        theirs.close()
        with gevent.Timeout(TIMEOUT_S / 2):
            socket_closing.discard_until_closed(ours)

    def test_sending_side_is_shut_down_first(self):
        ours, theirs = gevent.socket.socketpair()
        greenlet = gevent.spawn(socket_closing.discard_until_closed, ours)
        assert theirs.recv(1) == b""
        theirs.close()
        greenlet.get(timeout=TIMEOUT_S)

    def test_timeout_bounds_it(self, monkeypatch):
        monkeypatch.setattr(socket_closing, "DISCARD_TIMEOUT_S", 0.05)
        ours, theirs = gevent.socket.socketpair()
        with gevent.Timeout(TIMEOUT_S):
            socket_closing.discard_until_closed(ours)
        theirs.close()

    def test_count_of_bytes_bounds_it(self, monkeypatch):
        monkeypatch.setattr(socket_closing, "DISCARD_TIMEOUT_S", 10 * TIMEOUT_S)
        monkeypatch.setattr(socket_closing, "DISCARD_BYTES_MAX", 1_000)
        ours, theirs = gevent.socket.socketpair()
        theirs.sendall(UNREAD[:2_000])
        with gevent.Timeout(TIMEOUT_S):
            socket_closing.discard_until_closed(ours)
        theirs.close()
