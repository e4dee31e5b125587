"""A loopback proxy that delays, resets, cuts one way or silences connections."""

import enum
import socket
import struct

import gevent
import gevent.socket

COPY_BYTES = 65_536
# How often a silenced direction looks whether it may go on.
SILENCE_POLL_S = 0.02
LINGER_RESET = struct.pack("ii", 1, 0)


class ProxyMode(enum.Enum):
    """What happens to bytes and connections."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"
    REFUSE = "refuse"


class FaultyProxy:
    """Forwards connections to one address.

    Parameters
    ----------
    listen, target : tuple of str and int
    delay_s : float
        Added to each piece in mode ``DELAY``.
    """

    def __init__(self, listen, target, delay_s=0.1):
        self.mode = ProxyMode.PASS
        self._target = target
        self._delay_s = delay_s
        self._pairs = set()
        self._listener = gevent.socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(listen)
        self._listener.listen(256)
        self.address = self._listener.getsockname()
        self._greenlet = gevent.spawn(self._accept)

    def reset_all(self):
        """Reset all open connections."""
        for pair in list(self._pairs):
            for sock in pair:
                _reset(sock)

    def close(self):
        """Stop listening and reset all connections."""
        self._greenlet.kill()
        self._listener.close()
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
        pair = (client, server)
        self._pairs.add(pair)
        copies = [
            gevent.spawn(self._copy, client, server, False),
            gevent.spawn(self._copy, server, client, True),
        ]
        gevent.joinall(copies, count=1)
        gevent.killall(copies)
        self._pairs.discard(pair)
        client.close()
        server.close()

    def _copy(self, source, sink, is_answer):
        try:
            while data := source.recv(COPY_BYTES):
                if self.mode is ProxyMode.DELAY:
                    gevent.sleep(self._delay_s)
                while self._is_held(is_answer):
                    gevent.sleep(SILENCE_POLL_S)
                sink.sendall(data)
        except OSError:
            _reset(sink)

    def _is_held(self, is_answer):
        if self.mode is ProxyMode.SILENT:
            return True
        return is_answer and self.mode is ProxyMode.ONE_WAY


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        sock.close()
    except OSError:
        return
