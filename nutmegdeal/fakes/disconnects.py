"""Notices that the reader of an answer has gone."""

import socket

import gevent
from gevent.event import Event
from gevent.socket import wait_read

PEEK_BYTES = 1


class DisconnectWatch:
    """Watches a connection whose request was read whole.

    Parameters
    ----------
    connection : gevent.socket.socket

    Attributes
    ----------
    connection : gevent.socket.socket
    gone : gevent.event.Event
        Set once the peer has closed the connection, or `leave` was called.
    """

    def __init__(self, connection):
        self.gone = Event()
        self.connection = connection
        self._greenlet = gevent.spawn(self._watch)

    def leave(self):
        """Make the request end as if its peer had gone."""
        self.gone.set()

    def close(self):
        """Stop watching."""
        self._greenlet.kill(block=False)

    def _watch(self):
        try:
            wait_read(self.connection.fileno())
            is_open = self.connection.recv(PEEK_BYTES, socket.MSG_PEEK)
        except OSError:
            is_open = b""
        if not is_open:
            self.gone.set()
