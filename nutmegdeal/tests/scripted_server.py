"""A backend server whose answers are given by a test."""

import itertools
import socket
import struct

import gevent
import gevent.event
import gevent.socket
import h11


class ScriptedServer:
    """Server on loopback that answers each request with a callback.

    Parameters
    ----------
    answer : callable
        Called as ``answer(sock, request)`` for each request, with the headers as a
        dict of bytes in `request`; returns False to close the connection.

    Attributes
    ----------
    requests : list of dict
        All requests received, with the target under ``b":target"``.
    connection_count : int
        Connections that the client opened.
    ended_count : int
        Connections that the client closed.
    read_pause_s : float
        Pause before each request is read.
    """

    def __init__(self, answer):
        self._answer = answer
        self.requests = []
        self.connection_count = 0
        self.ended_count = 0
        self.read_pause_s = 0.0
        self._listener = gevent.socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(16)
        self.address = self._listener.getsockname()
        self._greenlets = [gevent.spawn(self._accept)]

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            self.connection_count += 1
            self._greenlets.append(gevent.spawn(self._serve, sock))

    def _serve(self, sock):
        protocol = h11.Connection(h11.SERVER)
        while True:
            request = self._read(sock, protocol)
            if request is None:
                self.ended_count += 1
                sock.close()
                return
            self.requests.append(request)
            if self._answer(sock, request) is False:
                sock.close()
                return
            protocol = h11.Connection(h11.SERVER)

    def _read(self, sock, protocol):
        gevent.sleep(self.read_pause_s)
        request = None
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                try:
                    protocol.receive_data(sock.recv(65_536))
                except OSError:
                    return None
            elif isinstance(event, h11.Request):
                request = dict(event.headers)
                request[b":target"] = event.target
            elif isinstance(event, h11.EndOfMessage):
                return request
            elif isinstance(event, h11.ConnectionClosed):
                return None

    def stop_listening(self):
        """Refuse new connections."""
        self._greenlets[0].kill()
        self._listener.close()

    def close(self):
        """Stop listening and stop serving all connections."""
        gevent.killall(self._greenlets)
        self._listener.close()


def send_without_end(*starts, then, pause_s=0.0):
    """Return an answer that sends `starts`, and `then` until the client closes.

    Parameters
    ----------
    *starts : bytes
    then : bytes
    pause_s : float
        Between two pieces.

    Returns
    -------
    tuple of callable and gevent.event.Event
        The answer, and an event that is set when the client has closed.
    """
    ended = gevent.event.Event()

    def answer(sock, _request):
        try:
            for data in itertools.chain(starts, itertools.repeat(then)):
                sock.sendall(data)
                gevent.sleep(pause_s)
        except OSError:
            ended.set()
        return False

    return answer, ended


def reset(sock):
    """Close a connection of a scripted server with a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
    return False


def repeat_answers(answers):
    """Return an answer that sends each of `answers`, and all of them a second time.

    The second copy comes late: before the next answer on the same connection.
    """
    remaining = list(answers)
    # By connection.
    late = {}

    def answer(sock, _request):
        data = remaining.pop(0)
        sock.sendall(late.get(sock, b"") + data)
        late[sock] = data

    return answer
