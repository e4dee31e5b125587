"""Listener whose connections a stand-in can write to directly, reset or break off."""

import socket
import struct

import attrs
import gevent

from nutmegdeal.caller_connections import WRITE_TIMEOUT_S
from nutmegdeal.http_listener import CallerListener
from nutmegdeal.incoming_requests import CallerLeftError

LINGER_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def _catch_caller_left(respond, request, responder):
    try:
        respond(request, responder)
    except CallerLeftError as error:
        return error
    return None


@attrs.define(eq=False)
class ServedConnection:
    """Connection of a client, below HTTP.

    Parameters
    ----------
    sock : socket
    late_answer : bytes
        A second copy of an earlier answer, which is sent before the next one.
    received_s : float
        When the present request was received, on the monotonic clock.
    """

    sock: object
    late_answer: bytes = b""
    received_s: float = 0.0

    @property
    def is_closed(self):
        """Return whether the client has closed the connection."""
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return not self.sock._sock.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def write_late_answer(self):
        """Send the second copy of an earlier answer, if there is one."""
        late_answer, self.late_answer = self.late_answer, b""
        if late_answer:
            self.write(late_answer)

    def write(self, data):
        """Send bytes as they are.

        Raises
        ------
        CallerLeftError
        """
        try:
            self.sock.settimeout(WRITE_TIMEOUT_S)
            self.sock.sendall(data)
        except OSError as error:
            raise CallerLeftError from error

    def reset_on_close(self):
        """Make the close of the connection a reset, unless it has been closed."""
        if self.sock.fileno() == -1:
            return
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET_ON_CLOSE)


class BreakableListener(CallerListener):
    """CallerListener that gives access to its connections; parameters are the same."""

    def __init__(self, address, application, limits):
        self._served = {}
        super().__init__(address, application, limits)

    def current_connection(self):
        """Return the ServedConnection whose request the present greenlet serves."""
        return self._served[gevent.getcurrent()]

    def run_detached(self, respond, request, responder):
        """Respond to a request in a greenlet that a close by the client does not end.

        Parameters
        ----------
        respond : callable
            Called with the request and the responder.
        request : IncomingRequest
        responder : Responder
        """
        detached = gevent.spawn(_catch_caller_left, respond, request, responder)
        self._served[detached] = self.current_connection()
        detached.rawlink(self._served.pop)
        error = detached.get()
        if error is not None:
            raise error

    def break_off(self):
        """Reset all connections, also the one of the present greenlet.

        Raises
        ------
        CallerLeftError
            If the present greenlet serves a request.
        """
        present = gevent.getcurrent()
        for greenlet, connection in list(self._served.items()):
            connection.reset_on_close()
            if greenlet is not present:
                greenlet.kill(CallerLeftError, block=False)
        if present in self._served:
            raise CallerLeftError

    def _handle(self, sock, address):
        greenlet = gevent.getcurrent()
        self._served[greenlet] = ServedConnection(sock)
        try:
            super()._handle(sock, address)
        finally:
            del self._served[greenlet]
