"""Tests of what a caller receives if the application raises an exception."""

import h11
import pytest

from nutmegdeal.tests.caller_sockets import REQUEST, connect, read_all, reply_ok


class RaisedByTestError(Exception):
    """An error that nothing expects."""


def raise_at_once(_request, _responder):
    raise RaisedByTestError


def raise_os_error(_request, _responder):
    raise ConnectionResetError("of a connection that is not the caller's")


def raise_after_start(_request, responder):
    responder.start(200, [(b"x-part", b"1")])
    raise RaisedByTestError


def raise_in_start(_request, responder):
    responder.start(200, [(b"x-part", b"line\nbreak")])


def raise_in_body(_request, responder):
    responder.start(200, [(b"content-length", b"2")])
    responder.send(b"too long")


def raise_in_finish(_request, responder):
    responder.start(200, [(b"content-length", b"2")])
    responder.finish()


CRASHES = [
    raise_at_once,
    raise_os_error,
    raise_after_start,
    raise_in_start,
    raise_in_body,
    raise_in_finish,
]


def receive_answers(sock, methods):
    """Return the status codes of the answers until the server closes.

    Raises
    ------
    h11.RemoteProtocolError
        If an answer is incomplete or not valid HTTP.
    """
    protocol = h11.Connection(h11.CLIENT)
    protocol.receive_data(read_all(sock))
    protocol.receive_data(b"")
    status_codes = []
    for method in methods:
        request = h11.Request(method=method, target="/a", headers=[("host", "h")])
        protocol.send(request)
        protocol.send(h11.EndOfMessage())
        while not isinstance(event := protocol.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Response):
                status_codes.append(event.status_code)
            elif event is h11.NEED_DATA or isinstance(event, h11.ConnectionClosed):
                return status_codes
        if protocol.states != {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            break
        protocol.start_next_cycle()
    return status_codes


@pytest.mark.parametrize("crash", CRASHES)
def test_crash_before_the_response_is_sent_is_answered_with_500(start_listener, crash):
    sock = connect(start_listener(crash))
    sock.sendall(REQUEST)
    assert receive_answers(sock, ["GET"]) == [500]


def test_crash_is_answered_with_500_to_head_requests(start_listener):
    sock = connect(start_listener(raise_after_start))
    sock.sendall(REQUEST.replace(b"GET", b"HEAD"))
    assert receive_answers(sock, ["HEAD"]) == [500]


@pytest.mark.parametrize("crash", CRASHES)
def test_crash_is_answered_with_500_to_callers_of_http_1_0(start_listener, crash):
    sock = connect(start_listener(crash))
    sock.sendall(REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"))
    assert receive_answers(sock, ["GET"]) == [500]


def test_500_after_a_crash_promises_nothing(start_listener):
    sock = connect(start_listener(raise_after_start))
    sock.sendall(REQUEST)
    head = read_all(sock).lower()
    assert head.startswith(b"http/1.1 500")
    assert b"connection: close" in head
    assert b"retry-after" not in head
    assert b"x-part" not in head


def test_crash_in_a_started_response_does_not_look_complete(start_listener):
    def crash_midway(_request, responder):
        responder.start(200, [])
        responder.send(b"part")
        raise RaisedByTestError

    sock = connect(start_listener(crash_midway))
    sock.sendall(REQUEST)
    data = read_all(sock)
    assert data.startswith(b"HTTP/1.1 200") and b"part" in data
    assert b"500" not in data
    assert not data.endswith(b"0\r\n\r\n")


def send_part_and_crash(_request, responder):
    responder.start(200, [])
    responder.send(b"part")
    raise RaisedByTestError


def send_part_only(_request, responder):
    responder.start(200, [])
    responder.send(b"part")


@pytest.mark.parametrize("application", [send_part_and_crash, send_part_only])
def test_response_that_ends_with_its_connection_is_reset_when_cut(
    start_listener, application
):
    sock = connect(start_listener(application))
    sock.sendall(REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"))
    with pytest.raises(ConnectionResetError):
        read_all(sock)


def test_whole_response_that_ends_with_its_connection_is_not_reset(start_listener):
    def send_all(_request, responder):
        responder.start(200, [])
        responder.send(b"whole")
        responder.finish()

    sock = connect(start_listener(send_all))
    sock.sendall(REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"))
    assert read_all(sock).endswith(b"whole")


def test_crash_after_the_whole_response_keeps_the_connection(start_listener):
    def crash_after_reply(request, responder):
        reply_ok(request, responder)
        if request.target == b"/crash":
            raise RaisedByTestError

    sock = connect(start_listener(crash_after_reply))
    sock.sendall(REQUEST.replace(b"/a", b"/crash"))
    data = b""
    while not data.endswith(b"ok"):
        data += sock.recv(65_536)
    sock.sendall(
        REQUEST + REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    )
    assert receive_answers(sock, ["GET", "GET"]) == [200, 200]
