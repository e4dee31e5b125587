"""gevent's WSGI server with Nagle's algorithm disabled."""

import socket

from gevent import pywsgi


class NoDelayWSGIServer(pywsgi.WSGIServer):
    """A WSGI server that sends each chunk of a response without delay.

    With Nagle's algorithm, the first chunk after the response headers waits until the
    headers are acknowledged, which the peer delays by up to 40 ms.
    """

    def handle(self, client_socket, address):
        """Serve one connection with TCP_NODELAY set."""
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(client_socket, address)
