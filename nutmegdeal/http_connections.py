"""HTTP/1.1 connections of our own to other servers, and a pool of them.

The protocol is h11's. Reuse, time limits and probes of silent connections are decided
here, since a request that reached a server may have run.
"""

import socket
import time

import attrs
import gevent.socket
import h11

# Bytes read at once; an answer is some KB.
RECEIVE_BYTES = 65_536
# Longest wait for a new connection: a round trip in a zone takes under 5 ms, and the
# system sends a lost opening packet again after 1 s.
CONNECT_WITHIN_MS = 1_200
# Probes of connections that may have gone silent without a reset; a lost peer is
# noticed within PROBE_AFTER_S + PROBE_EVERY_S * PROBE_COUNT.
PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBE_COUNT = 2
# Sent bytes that the peer's system leaves unacknowledged for so long end a connection.
UNACKNOWLEDGED_MAX_MS = 2_000
# Idle time after which a connection is not used again if its server names none: the
# platform's servers give whole seconds only, so an unnamed one may be under a second.
IDLE_DEFAULT_MS = 600.0
# Share of the idle time that a server names, to allow for the way there.
IDLE_SHARE = 0.6


class ConnectError(OSError):
    """The connection could not be opened, so nothing was sent."""


class BrokenAnswerError(Exception):
    """The answer broke off, was not valid HTTP or belongs to another request."""


@attrs.frozen
class AnswerHead:
    """Status and headers of an answer.

    Parameters
    ----------
    status_code : int
    headers : list of (bytes, bytes)
        Names are lower case.
    """

    status_code: int
    headers: list


def find_header(headers, name):
    """Return the first value (bytes) of a header, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def probe_silence(sock):
    """Have the system end a connection whose peer no longer answers."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX_MS)


class ClientConnection:
    """One connection to a server, for one request after the other.

    Parameters
    ----------
    address : tuple of str and int
    connect_within_ms : float

    Attributes
    ----------
    has_answer_started : bool
        A byte of the current answer has arrived.

    Raises
    ------
    ConnectError
        If it cannot be opened.
    """

    def __init__(self, address, connect_within_ms=CONNECT_WITHIN_MS):
        self.address = address
        self.is_reused = False
        self.idle_since_ms = 0.0
        self.idle_until_ms = 0.0
        self.has_answer_started = False
        try:
            self._socket = gevent.socket.create_connection(
                address, max(connect_within_ms, 1.0) / 1000
            )
        except OSError as error:
            raise ConnectError(f"connect: {error}") from error
        probe_silence(self._socket)
        self._protocol = h11.Connection(h11.CLIENT)
        self._request = None

    def send(self, method, target, headers, body=b""):
        """Send a whole request.

        Raises
        ------
        OSError
            If the connection broke; the request may have arrived.
        """
        headers = [*headers, (b"content-length", b"%d" % len(body))]
        if method in (b"GET", b"HEAD") and not body:
            headers.pop()
        self.has_answer_started = False
        self._request = h11.Request(method=method, target=target, headers=headers)
        self._socket.sendall(self._encode_request(body))

    def _encode_request(self, body):
        data = self._protocol.send(self._request)
        if body:
            data += self._protocol.send(h11.Data(data=body))
        return data + self._protocol.send(h11.EndOfMessage())

    def read_head(self, deadline_ms):
        """Read the answer's head, passing over interim answers.

        Parameters
        ----------
        deadline_ms : float
            On the monotonic clock.

        Returns
        -------
        AnswerHead

        Raises
        ------
        OSError, BrokenAnswerError
            If there is none; TimeoutError at the deadline.
        """
        while True:
            event = self._next_event(deadline_ms)
            if isinstance(event, h11.Response):
                return AnswerHead(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenAnswerError("the connection ended before an answer")

    def read_data(self, deadline_ms):
        """Return the next bytes of the body, or None at its end."""
        event = self._next_event(deadline_ms)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BrokenAnswerError("the answer broke off")

    def read_body(self, deadline_ms, bytes_max):
        """Return the whole body.

        Raises
        ------
        OSError, BrokenAnswerError
        """
        body = bytearray()
        while (data := self.read_data(deadline_ms)) is not None:
            body += data
            if len(body) > bytes_max:
                raise BrokenAnswerError(f"the answer exceeds {bytes_max} bytes")
        return bytes(body)

    def skip_answer(self, deadline_ms, bytes_max):
        """Read an answer to an earlier request to its end, and expect the next one."""
        self.read_body(deadline_ms, bytes_max)
        trailing, has_ended = self._protocol.trailing_data
        if has_ended or self._protocol.their_state is not h11.DONE:
            raise BrokenAnswerError("the connection ended after another answer")
        self._protocol = h11.Connection(h11.CLIENT)
        # The request was sent already: only the protocol's state has to follow.
        self._protocol.send(self._request)
        length = int(find_header(self._request.headers, b"content-length") or 0)
        if length:
            self._protocol.send(h11.Data(data=bytes(length)))
        self._protocol.send(h11.EndOfMessage())
        if trailing:
            self._protocol.receive_data(trailing)

    def _next_event(self, deadline_ms):
        try:
            while True:
                event = self._protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._protocol.receive_data(self._receive(deadline_ms))
        except h11.RemoteProtocolError as error:
            raise BrokenAnswerError(describe_protocol_error(error)) from error

    def _receive(self, deadline_ms):
        remaining_s = deadline_ms / 1000 - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the deadline passed")
        self._socket.settimeout(remaining_s)
        data = self._socket.recv(RECEIVE_BYTES)
        self.has_answer_started = self.has_answer_started or bool(data)
        return data

    def finish(self, head, now_ms):
        """Make ready for the next request; return whether that is possible."""
        if b"close" in (find_header(head.headers, b"connection") or b"").lower():
            return False
        if self._protocol.trailing_data != (b"", False):
            return False
        try:
            self._protocol.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self.idle_since_ms = now_ms
        self.idle_until_ms = now_ms + _idle_ms(head.headers)
        self.is_reused = True
        return True

    def is_clean(self):
        """Return whether nothing, not even an end, has arrived since the answer."""
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            self._socket._sock.recv(1, flags)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self):
        """Close the connection; a server at work on a request may stop."""
        self._socket.close()


def describe_protocol_error(error):
    """Return what h11 complains of (str), without the bytes that it quotes.

    They may be a part of a body, which does not belong in logs.
    """
    return f"not valid HTTP: {str(error).partition(':')[0]}"


def _idle_ms(headers):
    value = find_header(headers, b"keep-alive") or b""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return int(number) * 1000 * IDLE_SHARE
    return IDLE_DEFAULT_MS


class ConnectionPool:
    """Idle connections, by address.

    Parameters
    ----------
    clock : Clock
    idle_max : int
        Idle connections kept to one address.
    """

    def __init__(self, clock, idle_max=64):
        self._clock = clock
        self._idle_max = idle_max
        self._idle = {}

    def acquire(
        self,
        address,
        connect_within_ms=CONNECT_WITHIN_MS,
        idle_most_ms=float("inf"),
    ):
        """Return a ClientConnection, an idle one if there is a sound one.

        Parameters
        ----------
        address : tuple of str and int
        connect_within_ms : float
        idle_most_ms : float
            One that has been idle for longer is not used: a server may have dropped
            it without notice.

        Raises
        ------
        ConnectError
        """
        idle = self._idle.get(address, [])
        now_ms = self._clock.monotonic_ms()
        while idle and now_ms - idle[-1].idle_since_ms <= idle_most_ms:
            connection = idle.pop()
            if connection.idle_until_ms > now_ms and connection.is_clean():
                return connection
            connection.close()
        return ClientConnection(address, connect_within_ms)

    def call(
        self,
        address,
        method,
        target,
        headers,
        body,
        within_ms,
        bytes_max,
        connect_within_ms=CONNECT_WITHIN_MS,
    ):
        """Send a request once and read its whole answer.

        Parameters
        ----------
        address : tuple of str and int
        method, target : bytes
        headers : list of (bytes, bytes)
        body : bytes
        within_ms : float
            Longest wait for the whole answer.
        bytes_max : int
        connect_within_ms : float

        Returns
        -------
        tuple of int and bytes
            Status code and body.

        Raises
        ------
        ConnectError
            If nothing was sent.
        OSError, BrokenAnswerError
            If the request may have arrived.
        """
        deadline_ms = self._clock.monotonic_ms() + within_ms
        connection = self.acquire(address, min(connect_within_ms, within_ms))
        try:
            connection.send(method, target, headers, body)
            head = connection.read_head(deadline_ms)
            answer = connection.read_body(deadline_ms, bytes_max)
        except BaseException:
            connection.close()
            raise
        self.release(connection, head)
        return head.status_code, answer

    def release(self, connection, head):
        """Keep a connection whose answer was read to its end, or close it."""
        idle = self._idle.setdefault(connection.address, [])
        is_kept = len(idle) < self._idle_max and connection.finish(
            head, self._clock.monotonic_ms()
        )
        if not is_kept:
            connection.close()
            return
        idle.append(connection)

    def close_idle(self):
        """Close connections that have been idle for too long."""
        now_ms = self._clock.monotonic_ms()
        for address, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                if connection.idle_until_ms > now_ms:
                    kept.append(connection)
                else:
                    connection.close()
            self._idle[address] = kept
            if not kept:
                del self._idle[address]

    def drop(self, address):
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()
