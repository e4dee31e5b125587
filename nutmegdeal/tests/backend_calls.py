"""Requests of tests to the stand-ins for backend servers."""

import time

import gevent.socket

from nutmegdeal.http_connections import ClientConnection
from nutmegdeal.tests import platform_builders as build

READ_MS = 20_000.0
RECEIVE_BYTES = 65_536


def deadline_in(timeout_ms):
    return time.monotonic() * 1000 + timeout_ms


def send(backend, request_id="q-1"):
    """Send a request; return its ClientConnection."""
    connection = ClientConnection(backend.address)
    headers = [
        (b"host", b"chat.example"),
        (b"x-request-id", request_id.encode()),
        (b"x-model", b"model"),
    ]
    connection.send(b"POST", b"/chat/1", headers)
    return connection


def read_events(connection, count):
    """Return the next `count` events of a stream, each of which is one chunk."""
    return [connection.read_data(deadline_in(READ_MS)) for _ in range(count)]


def connect(backend, **request):
    """Send a request; return the raw socket."""
    sock = gevent.socket.create_connection(backend.address, READ_MS / 1000)
    sock.sendall(build.encode_backend_request(**request))
    return sock


def read_to_end(sock):
    """Return the bytes that arrive until the server closes the connection."""
    data = b""
    while piece := sock.recv(RECEIVE_BYTES):
        data += piece
    return data


def read_stream(sock):
    """Return the bytes of a chunked answer, whose connection stays open."""
    data = b""
    while not data.endswith(b"\r\n0\r\n\r\n"):
        data += sock.recv(RECEIVE_BYTES)
    return data
