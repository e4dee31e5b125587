"""One HTTP/1.1 connection that a caller opened to us, parsed by h11.

The application is told at once when its caller leaves, also while it waits for a
backend server.
"""

import time

import attrs
import gevent
import gevent.socket
import h11

from nutmegdeal.http_connections import (
    RECEIVE_BYTES,
    describe_protocol_error,
    probe_silence,
)
from nutmegdeal.log import get_logger

logger = get_logger(__name__)

# Longest time in which a caller may leave sent bytes unread before it is given up.
WRITE_WITHIN_S = 10.0
# Bytes of following requests that are read ahead while one is served.
READ_AHEAD_BYTES = 65_536


class CallerLeftError(Exception):
    """The caller closed its connection or no longer reads."""


@attrs.frozen
class IncomingRequest:
    """A whole request.

    Parameters
    ----------
    method, target : bytes
    headers : list of (bytes, bytes)
        Names are lower case.
    body : bytes
    arrived_ms : float
        When its first byte was read, on the monotonic clock.
    """

    method: bytes
    target: bytes
    headers: list
    body: bytes
    arrived_ms: float

    @property
    def path(self):
        """Return the path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class Responder:
    """Sends the answer to one request.

    Parameters
    ----------
    connection : CallerConnection
    """

    def __init__(self, connection):
        self._connection = connection
        self._held_head = b""
        self.status_code = 0
        self.is_whole = False

    @property
    def has_started(self):
        """Return whether a part of the answer was sent or is held."""
        return self.status_code != 0

    def start(self, status_code, headers):
        """Begin the answer; the head is sent with the first bytes of the body."""
        if self._connection.is_closing:
            headers = [*headers, (b"connection", b"close")]
        event = h11.Response(status_code=status_code, headers=headers)
        self._held_head = self._connection.encode(event)
        self.status_code = status_code

    def send(self, data):
        """Send a part of the body."""
        encoded = self._held_head + self._connection.encode(h11.Data(data=data))
        self._held_head = b""
        self._connection.write(encoded)

    def finish(self):
        """Mark the answer as complete."""
        end = self._connection.encode(h11.EndOfMessage())
        held, self._held_head = self._held_head, b""
        if held or end:
            self._connection.write(held + end)
        self.is_whole = True

    def reply(self, status_code, headers, body):
        """Send a whole answer."""
        length = (b"content-length", b"%d" % len(body))
        self.start(status_code, [*headers, length])
        if body:
            self.send(body)
        self.finish()


class CallerConnection:
    """One connection of a caller.

    Parameters
    ----------
    sock : socket
    listener : CallerListener
    """

    def __init__(self, sock, listener):
        self._socket = sock
        self._listener = listener
        self._protocol = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=listener.limits().header_bytes_max,
        )
        self._greenlet = None
        self._watcher = None
        self._has_left = False
        self.is_idle = True

    @property
    def is_closing(self):
        """Return whether this connection ends with its next answer."""
        return self._listener.is_draining

    def run(self):
        """Serve requests until either end closes the connection."""
        self._greenlet = gevent.getcurrent()
        try:
            probe_silence(self._socket)
            while self._serve_one():
                pass
        except (CallerLeftError, OSError):
            logger.debug("caller_left")
        except Exception:
            # The connection ends, so that no part of an answer looks complete.
            logger.exception("request_crashed")
        finally:
            self._unwatch()
            self._socket.close()

    def close_if_idle(self):
        """Close the connection unless a request has begun on it."""
        gevent.get_hub().loop.run_callback(self._end_if_idle)

    def _end_if_idle(self):
        # Runs in the hub, so that no request can begin between the check and the end.
        if self.is_idle and self._greenlet is not None and not self._greenlet.dead:
            self._greenlet.throw(CallerLeftError)

    def encode(self, event):
        """Return the bytes of an h11 event."""
        return self._protocol.send(event)

    def write(self, data):
        """Send bytes to the caller.

        Raises
        ------
        CallerLeftError
        """
        try:
            self._socket.settimeout(WRITE_WITHIN_S)
            self._socket.sendall(data)
        except OSError as error:
            raise CallerLeftError from error

    def _serve_one(self):
        self.is_idle = not self._protocol.trailing_data[0]
        try:
            request = self._read_request()
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint, describe_protocol_error(error))
            return False
        if request is None:
            return False
        responder = Responder(self)
        self._watch()
        try:
            self._listener.application(request, responder)
        finally:
            self._unwatch()
        if self._has_left or not responder.is_whole or self.is_closing:
            return False
        return self._start_next()

    def _start_next(self):
        if self._protocol.our_state is not h11.DONE:
            return False
        if self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        return True

    def _read_request(self):
        """Return an IncomingRequest, or None if the connection is done with."""
        limits = self._listener.limits()
        head, arrived_ms = None, 0.0
        deadline_s = time.monotonic() + limits.idle_within_ms / 1000
        body = bytearray()
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                if self._protocol.they_are_waiting_for_100_continue:
                    interim = h11.InformationalResponse(status_code=100, headers=[])
                    self.write(self.encode(interim))
                data = self._receive(deadline_s)
                if data is None:
                    return self._time_out(head, arrived_ms)
                if not arrived_ms:
                    self.is_idle = False
                    arrived_ms = time.monotonic() * 1000
                    deadline_s = time.monotonic() + limits.header_within_ms / 1000
                self._protocol.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                self.is_idle = False
                arrived_ms = arrived_ms or time.monotonic() * 1000
                if _has_ambiguous_length(head.headers):
                    self._refuse(400, "both a length and chunks")
                    return None
                deadline_s = time.monotonic() + limits.idle_within_ms / 1000
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes_max:
                    self._refuse(413, "the body is too large")
                    return None
            elif isinstance(event, h11.EndOfMessage):
                return IncomingRequest(
                    head.method,
                    head.target,
                    list(head.headers),
                    bytes(body),
                    arrived_ms,
                )
            else:
                return None

    def _receive(self, deadline_s):
        """Return bytes (empty at the end of the connection), None when too late."""
        remaining_s = deadline_s - time.monotonic()
        if remaining_s <= 0:
            return None
        self._socket.settimeout(remaining_s)
        try:
            return self._socket.recv(RECEIVE_BYTES)
        except TimeoutError:
            return None

    def _time_out(self, head, arrived_ms):
        if arrived_ms:
            self._refuse(408, "the request took too long" if head else "no request")

    def _refuse(self, status_code, detail):
        logger.info("request_refused_unread", status=status_code, detail=detail)
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        response = h11.Response(status_code=status_code, headers=headers)
        self.write(self.encode(response) + self.encode(h11.EndOfMessage()))

    def _watch(self):
        """Have `_on_readable` called when the caller sends or closes."""
        self._watcher = gevent.get_hub().loop.io(self._socket.fileno(), 1)
        self._watcher.start(self._on_readable)

    def _unwatch(self):
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def _on_readable(self):
        try:
            data = self._socket._sock.recv(READ_AHEAD_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self._protocol.receive_data(data)
            if len(self._protocol.trailing_data[0]) > READ_AHEAD_BYTES:
                self._watcher.stop()
            return
        self._has_left = True
        self._watcher.stop()
        self._greenlet.kill(CallerLeftError, block=False)


def _has_ambiguous_length(headers):
    names = [name for name, _ in headers]
    return b"content-length" in names and b"transfer-encoding" in names
