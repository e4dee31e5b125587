"""Sockets of callers, and applications, for tests of a CallerListener."""

import gevent.socket

TIMEOUT_S = 20.0
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


def connect(listener):
    """Return a socket that is connected to a CallerListener."""
    sock = gevent.socket.create_connection(("127.0.0.1", listener.port))
    sock.settimeout(TIMEOUT_S)
    return sock


def read_all(sock):
    """Return the bytes received until the end of the stream."""
    data = b""
    while chunk := sock.recv(65_536):
        data += chunk
    return data


def reply_ok(_request, responder):
    """Respond to any request."""
    responder.reply(200, [], b"ok")
