"""Tests of CallerListener and of the connections that callers open to it."""

import gevent
import gevent.event

from nutmegdeal.incoming_requests import CallerLeftError
from nutmegdeal.tests.caller_sockets import (
    REQUEST,
    TIMEOUT_S,
    connect,
    read_all,
    reply_ok,
)


def test_caller_disconnect_interrupts_the_application(start_listener):
    outcome = gevent.event.AsyncResult()

    def wait_for_disconnect(_request, _responder):
        try:
            gevent.sleep(TIMEOUT_S)
        except CallerLeftError:
            outcome.set("left")
            raise
        outcome.set("timed out")

    sock = connect(start_listener(wait_for_disconnect))
    sock.sendall(REQUEST)
    gevent.sleep(0.05)
    sock.close()
    assert outcome.get(timeout=TIMEOUT_S) == "left"


def test_close_idle_closes_idle_connections(start_listener):
    listener = start_listener(reply_ok)
    sock = connect(listener)
    sock.sendall(REQUEST)
    while b"ok" not in sock.recv(65_536):
        pass
    gevent.sleep(0.05)
    listener.is_draining = True
    listener.close_idle()
    assert sock.recv(1) == b""


def test_close_idle_does_not_interrupt_a_request(start_listener):
    release = gevent.event.Event()

    def reply_after_release(_request, responder):
        release.wait(TIMEOUT_S)
        responder.reply(200, [], b"ok")

    listener = start_listener(reply_after_release)
    sock = connect(listener)
    sock.sendall(REQUEST)
    while not listener.open_count:
        gevent.sleep(0.01)
    listener.is_draining = True
    listener.close_idle()
    release.set()
    data = read_all(sock)
    assert data.startswith(b"HTTP/1.1 200") and data.endswith(b"ok")
    assert b"connection: close" in data.lower()


def test_pipelined_requests_are_answered_in_order(start_listener):
    def echo(request, responder):
        gevent.sleep(0.01)
        responder.reply(200, [], request.target)

    sock = connect(start_listener(echo))
    sock.sendall(b"".join(REQUEST.replace(b"/a", b"/n%d" % n) for n in range(5)))
    data = b""
    while data.count(b"HTTP/1.1 200") < 5 or not data.endswith(b"/n4"):
        data += sock.recv(65_536)
    assert [data.index(b"/n%d" % n) for n in range(5)] == sorted(
        data.index(b"/n%d" % n) for n in range(5)
    )


def test_content_length_with_transfer_encoding_is_refused(start_listener):
    served = []
    sock = connect(start_listener(lambda request, responder: served.append(request)))
    sock.sendall(
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + REQUEST
    )
    assert read_all(sock).startswith(b"HTTP/1.1 400")
    assert not served


def test_unfinished_response_does_not_look_complete(start_listener):
    def send_part_only(_request, responder):
        responder.start(200, [])
        responder.send(b"part")

    sock = connect(start_listener(send_part_only))
    sock.sendall(REQUEST)
    data = read_all(sock)
    assert b"part" in data
    assert not data.endswith(b"0\r\n\r\n")


def test_large_headers_are_refused(start_listener):
    sock = connect(start_listener(reply_ok))
    sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 20_000)
    assert read_all(sock).startswith(b"HTTP/1.1 431")


def test_crash_closes_only_its_own_connection(start_listener):
    def crash_once(request, responder):
        if request.target == b"/crash":
            raise RuntimeError("raised by the test")
        reply_ok(request, responder)

    listener = start_listener(crash_once)
    sock = connect(listener)
    sock.sendall(REQUEST.replace(b"/a", b"/crash"))
    data = read_all(sock)
    assert data.startswith(b"HTTP/1.1 500")
    assert b"connection: close" in data.lower()
    other = connect(listener)
    other.sendall(REQUEST)
    assert b"200" in other.recv(65_536)
