"""Tests of responses without a body, and of callers that speak HTTP/1.0."""

import h11
import pytest

from nutmegdeal.tests.caller_sockets import REQUEST, connect, read_all

CLOSE = b"\r\nConnection: close\r\n\r\n"


def exchange(listener, method, version=b"HTTP/1.1"):
    """Return the h11.Response and the body (bytes) of the answer to one request."""
    sock = connect(listener)
    request = REQUEST.replace(b"GET", method).replace(b"HTTP/1.1", version)
    sock.sendall(request.replace(b"\r\n\r\n", CLOSE))
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(h11.Request(method=method, target="/a", headers=[("host", "h")]))
    protocol.send(h11.EndOfMessage())
    protocol.receive_data(read_all(sock))
    protocol.receive_data(b"")
    response = protocol.next_event()
    body = b""
    while isinstance(event := protocol.next_event(), h11.Data):
        body += event.data
    assert isinstance(event, h11.EndOfMessage)
    assert not protocol.trailing_data[0]
    return response, body


@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
@pytest.mark.parametrize("status_code", [200, 404, 503])
def test_head_request_gets_the_status_without_the_body(
    start_listener, status_code, version
):
    listener = start_listener(
        lambda _, responder: responder.reply(status_code, [], b"reason")
    )
    response, body = exchange(listener, b"HEAD", version)
    assert (response.status_code, body) == (status_code, b"")
    assert (b"content-length", b"6") in response.headers


@pytest.mark.parametrize("status_code", [204, 304])
@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
def test_response_without_content_has_no_length(start_listener, status_code, method):
    listener = start_listener(
        lambda _, responder: responder.reply(status_code, [(b"x-a", b"1")], b"")
    )
    response, body = exchange(listener, method)
    assert (response.status_code, body) == (status_code, b"")
    assert (b"x-a", b"1") in response.headers
    assert b"content-length" not in dict(response.headers)


def test_response_205_is_whole(start_listener):
    listener = start_listener(lambda _, responder: responder.reply(205, [], b""))
    response, body = exchange(listener, b"GET")
    assert (response.status_code, body) == (205, b"")


@pytest.mark.parametrize("status_code", [200, 204])
@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
def test_stream_without_data_is_whole(start_listener, status_code, method, version):
    def respond(_request, responder):
        responder.start(status_code, [])
        responder.finish()

    response, body = exchange(start_listener(respond), method, version)
    assert (response.status_code, body) == (status_code, b"")


def parse_response(data):
    """Return the h11.Response in received bytes, None if h11 refuses it."""
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(h11.Request(method="GET", target="/a", headers=[("host", "h")]))
    protocol.send(h11.EndOfMessage())
    protocol.receive_data(data)
    try:
        event = protocol.next_event()
    except h11.RemoteProtocolError:
        return None
    return event if isinstance(event, h11.Response) else None


VALUES = [b"%c", b"a%ca", b"%ca", b"a%c", b"a\r\n %cc", b"a\r\n %c"]


@pytest.mark.parametrize("value", VALUES)
def test_each_header_value_that_is_received_can_be_sent_on(value):
    """Guards against a response of a server that cannot be encoded for the caller."""
    received = [
        parse_response(b"HTTP/1.1 200 OK\r\nX-A: " + value % byte + b"\r\n\r\n")
        for byte in range(256)
    ]
    accepted = [response for response in received if response is not None]
    assert accepted
    for response in accepted:
        sender = h11.Connection(h11.SERVER)
        sender.receive_data(REQUEST)
        assert isinstance(sender.next_event(), h11.Request)
        sent = sender.send(
            h11.Response(status_code=200, headers=list(response.headers))
        )
        assert sent
