"""Tests that Nagle's algorithm is disabled on connections of the WSGI server."""

import socket

import gevent
from gevent import pywsgi
from gevent import socket as gevent_socket

from nutmegdeal.wsgi_server import NoDelayWSGIServer


def start_server(server_class, no_delay_flags):
    """Start a server that records for each connection whether TCP_NODELAY is set."""

    class RecordingHandler(pywsgi.WSGIHandler):
        def handle(self):
            option = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            no_delay_flags.append(bool(option))
            super().handle()

    def application(_environ, start_response):
        start_response("200 OK", [("Content-Length", "0")])
        return []

    server = server_class(
        ("127.0.0.1", 0), application, log=None, handler_class=RecordingHandler
    )
    server.start()
    return server


def call(server):
    with gevent_socket.create_connection(("127.0.0.1", server.server_port)) as client:
        client.sendall(b"GET / HTTP/1.0\r\n\r\n")
        assert client.recv(64).startswith(b"HTTP/1.1 200")
    gevent.sleep(0)


def test_connections_have_no_delay_set():
    no_delay_flags = []
    server = start_server(NoDelayWSGIServer, no_delay_flags)
    call(server)
    server.stop()
    assert no_delay_flags == [True]


def test_plain_wsgi_server_does_not_set_no_delay():
    no_delay_flags = []
    server = start_server(pywsgi.WSGIServer, no_delay_flags)
    call(server)
    server.stop()
    assert no_delay_flags == [False]
