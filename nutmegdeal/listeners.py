"""HTTP listeners: gevent's WSGI server without Nagle's algorithm."""

import socket

from gevent import pywsgi


class PromptServer(pywsgi.WSGIServer):
    """A WSGI server that sends each piece of an answer at once.

    With Nagle's algorithm on, the piece after an answer's headers waits for their
    acknowledgement, which the other end delays by up to 40 ms.
    """

    def handle(self, client_socket, address):
        """Serve one connection."""
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(client_socket, address)
