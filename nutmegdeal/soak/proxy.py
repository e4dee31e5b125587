"""Loopback proxy that delays, resets, refuses or blocks connections."""

import enum
import socket
import struct

import gevent
import gevent.socket

COPY_BYTES = 65_536
LISTEN_BACKLOG = 256
# Interval at which a blocked direction checks whether it may continue.
BLOCKED_POLL_S = 0.02
LINGER_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ProxyMode(enum.Enum):
    """Fault that the proxy applies.

    DELAY delays all data, SILENT blocks it in both directions, ONE_WAY blocks answers
    only, and REFUSE resets new connections.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"
    REFUSE = "refuse"


class FaultyProxy:
    """Forwards connections to one address, with the faults of its `mode`.

    Parameters
    ----------
    listen, target : tuple of str and int
    delay_s : float
        Delay of each piece of data in mode ``DELAY``.
    """

    def __init__(self, listen, target, delay_s=0.1):
        self.mode = ProxyMode.PASS
        self._target = target
        self._delay_s = delay_s
        self._open_connections = set()
        self.address = listen
        self.listen()
        self.address = self._listener.getsockname()

    def listen(self):
        """Accept connections."""
        self._listener = gevent.socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(self.address)
        self._listener.listen(LISTEN_BACKLOG)
        self._greenlet = gevent.spawn(self._accept)

    def stop_listening(self):
        """Refuse connections, as the host of a server that has ended does."""
        self._greenlet.kill()
        self._listener.close()

    def reset_all(self):
        """Reset all open connections."""
        for sockets in list(self._open_connections):
            for sock in sockets:
                _reset(sock)

    def close(self):
        """Stop listening and reset all connections."""
        self.stop_listening()
        self.reset_all()

    def _accept(self):
        while True:
            client, _ = self._listener.accept()
            gevent.spawn(self._connect, client)

    def _connect(self, client):
        if self.mode is ProxyMode.REFUSE:
            _reset(client)
            return
        try:
            server = gevent.socket.create_connection(self._target)
        except OSError:
            _reset(client)
            return
        sockets = (client, server)
        self._open_connections.add(sockets)
        copies = [
            gevent.spawn(self._copy, client, server, False),
            gevent.spawn(self._copy, server, client, True),
        ]
        gevent.joinall(copies, count=1)
        gevent.killall(copies)
        self._open_connections.discard(sockets)
        client.close()
        server.close()

    def _copy(self, source, destination, is_answer):
        try:
            while data := source.recv(COPY_BYTES):
                if self.mode is ProxyMode.DELAY:
                    gevent.sleep(self._delay_s)
                while self._is_blocked(is_answer):
                    gevent.sleep(BLOCKED_POLL_S)
                destination.sendall(data)
        except OSError:
            _reset(destination)

    def _is_blocked(self, is_answer):
        if self.mode is ProxyMode.SILENT:
            return True
        return is_answer and self.mode is ProxyMode.ONE_WAY


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET_ON_CLOSE)
        sock.close()
    except OSError:
        return
