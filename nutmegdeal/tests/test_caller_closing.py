"""Tests of requests that arrive while their connection is about to be closed."""

import gevent
import gevent.event

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
