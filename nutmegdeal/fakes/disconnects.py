"""Detects that the client of a running request has disconnected."""

import socket

import gevent
from gevent.event import Event
from gevent.socket import wait_read

PEEK_BYTES = 1


class DisconnectWatch:
    """Watches a connection for its close, after the whole request was read.

    Parameters
    ----------
    connection : gevent.socket.socket

    Attributes
    ----------
    connection : gevent.socket.socket
    disconnected : gevent.event.Event
        Set once the peer has closed the connection, or `mark_disconnected` was called.
    """

    def __init__(self, connection):
        self.disconnected = Event()
        self.connection = connection
        self._greenlet = gevent.spawn(self._watch)

    def mark_disconnected(self):
        """End the request as if the peer had closed the connection."""
        self.disconnected.set()

    def close(self):
        """Stop watching."""
        self._greenlet.kill(block=False)

    def _watch(self):
        try:
            wait_read(self.connection.fileno())
            peeked = self.connection.recv(PEEK_BYTES, socket.MSG_PEEK)
        except OSError:
            peeked = b""
        if not peeked:
            self.disconnected.set()
