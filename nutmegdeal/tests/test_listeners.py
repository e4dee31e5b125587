"""Tests of the HTTP listener."""

import socket

import gevent
from gevent import pywsgi
from gevent import socket as gevent_socket

from nutmegdeal.listeners import PromptServer


def start_server(server_class, seen):
    """Start a server whose answers note if Nagle's algorithm is off."""

    class NotingHandler(pywsgi.WSGIHandler):
        def handle(self):
            option = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            seen.append(bool(option))
            super().handle()

    def application(_environ, start_response):
        start_response("200 OK", [("Content-Length", "0")])
        return []

    server = server_class(
        ("127.0.0.1", 0), application, log=None, handler_class=NotingHandler
    )
    server.start()
    return server


def call(server):
    with gevent_socket.create_connection(("127.0.0.1", server.server_port)) as client:
        client.sendall(b"GET / HTTP/1.0\r\n\r\n")
        assert client.recv(64).startswith(b"HTTP/1.1 200")
    gevent.sleep(0)


def test_pieces_of_an_answer_are_sent_at_once():
    seen = []
    server = start_server(PromptServer, seen)
    call(server)
    server.stop()
    assert seen == [True]


def test_the_plain_server_would_hold_them_back():
    seen = []
    server = start_server(pywsgi.WSGIServer, seen)
    call(server)
    server.stop()
    assert seen == [False]
