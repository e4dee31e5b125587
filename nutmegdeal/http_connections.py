"""HTTP/1.1 client connections, based on h11.

This module controls connection reuse, timeouts and keepalive itself, because the
callers have to know whether a failed request may have reached the server and run.
"""

import array
import errno
import socket
import time

import attrs
import gevent.select
import gevent.socket
import h11

from nutmegdeal.fair_turns import FairTurns
from nutmegdeal.log import get_logger

logger = get_logger(__name__)

# Most bytes read by one call; a response has a few KB.
RECEIVE_BYTES = 65_536
# A round trip within a zone takes less than 5 ms, and the operating system retransmits
# a lost SYN after 1 s.
CONNECT_TIMEOUT_MS = 1_200
# TCP keepalive, for peers that vanish without closing the connection. They are detected
# within KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBE_COUNT.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2
# A connection is closed if sent bytes stay unacknowledged for this long.
USER_TIMEOUT_MS = 2_000
# Longest idle time before reuse if the server sends no Keep-Alive timeout. The
# platform's servers send whole seconds only, so a timeout that is not sent may be
# shorter than a second.
DEFAULT_KEEP_ALIVE_MS = 600.0
# Fraction of the server's Keep-Alive timeout that is used, to allow for network delay.
KEEP_ALIVE_FRACTION = 0.6
# Timeout and limit for a body that is read only so that its connection can be reused.
# It arrives together with its head and holds a short text.
UNUSED_BODY_TIMEOUT_MS = 50.0
UNUSED_BODY_BYTES_MAX = 16_384

# Most interim (1xx) responses before a response; servers send one or two.
INTERIM_RESPONSES_MAX = 8
# Most request ids that a connection remembers; it is not reused after so many requests.
REQUEST_IDS_MAX = 256
# Most responses to other requests that are skipped before the response to one request.
# A connection carries one request at a time, so there is rarely more than one.
SKIPPED_RESPONSES_MAX = 8
# Buffers of the system for one connection to a server, which count as memory of the
# process; the system takes twice as much for its own records.
RECEIVE_BUFFER_BYTES = 32_768
SEND_BUFFER_BYTES = 65_536
# Responses with these status codes have no body, so they need no length.
STATUS_CODES_WITHOUT_BODY = (204, 304)
# h11 takes more for valid, RFC 9110 defines no others.
HTTP_VERSIONS = (b"1.0", b"1.1")
STATUS_CODE_MAX = 599
# Parts of a message up to this size are written together, so that they are sent in one
# segment; larger ones are written as they are, without a copy.
JOINED_BYTES_MAX = 65_536


class ConnectError(OSError):
    """The connection could not be opened, so no request was sent."""


class BrokenAnswerError(Exception):
    """The response was incomplete, not valid HTTP or belongs to another request."""


@attrs.frozen
class ResponseHead:
    """Status and headers of a response.

    Parameters
    ----------
    status_code : int
    headers : list of (bytes, bytes)
        Names are lower case.
    http_version : bytes
    """

    status_code: int
    headers: list
    http_version: bytes = b"1.1"

    @property
    def ends_connection(self):
        """Return whether the connection can carry no further response."""
        if self.http_version < b"1.1":
            return True
        if b"close" in (find_header(self.headers, b"connection") or b"").lower():
            return True
        return self.is_unframed

    @property
    def is_unframed(self):
        """Return whether the body has no length and ends with the connection."""
        if self.status_code in STATUS_CODES_WITHOUT_BODY:
            return False
        return (
            find_header(self.headers, b"content-length") is None
            and find_header(self.headers, b"transfer-encoding") is None
        )


def check_status_line(response):
    """Raise a BrokenAnswerError if a response has no status of HTTP/1.0 or HTTP/1.1.

    Parameters
    ----------
    response : h11.Response
    """
    if response.http_version not in HTTP_VERSIONS:
        raise BrokenAnswerError("not an answer of HTTP/1.1")
    if response.status_code > STATUS_CODE_MAX:
        raise BrokenAnswerError(f"not a status of HTTP: {response.status_code}")


def find_header(headers, name):
    """Return the first value (bytes) of a header, or None.

    Parameters
    ----------
    headers : list of (bytes, bytes)
    name : bytes
        In lower case.
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def configure_socket(sock):
    """Disable Nagle's algorithm, and set TCP keepalive and the TCP user timeout."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    set_user_timeout(sock, USER_TIMEOUT_MS)


def set_buffer_sizes(sock, receive_bytes, send_bytes):
    """Set the sizes of the system's buffers, instead of letting them grow."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_bytes)


def set_user_timeout(sock, timeout_ms):
    """Set for how long (int) bytes may stay unread or unacknowledged by the peer."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def join_small_parts(parts):
    """Return parts of a message to write (list), in one piece if they are small.

    Parameters
    ----------
    parts : list of bytes-like
    """
    if sum(map(len, parts)) <= JOINED_BYTES_MAX:
        return [b"".join(parts)]
    return parts


class ClientConnection:
    """One connection to a server, which carries one request at a time.

    Parameters
    ----------
    address : tuple of str and int
    connect_timeout_ms : float

    Attributes
    ----------
    is_reused : bool
        An earlier request was sent on this connection.
    idle_since_ms : float
        When the last response ended, on the monotonic clock.
    reusable_until_ms : float
        When the connection may no longer be reused, on the monotonic clock.
    has_response_started : bool
        A byte of the current response has arrived.
    last_active_ms : float
        When the request was sent or the last bytes arrived, on the monotonic clock.
    wait_for_data : callable or None
        Called with the deadline before each read, to wait for bytes in another way.
    local_port : int
        Distinguishes the connection from the others of this process to the server.
    skipped_count : int
        Responses to other requests that were skipped since the last request was sent.

    Raises
    ------
    ConnectError
        If it cannot be opened.
    """

    def __init__(self, address, connect_timeout_ms=CONNECT_TIMEOUT_MS):
        self.address = address
        self.is_reused = False
        self.idle_since_ms = 0.0
        self.reusable_until_ms = 0.0
        self.has_response_started = False
        self.last_active_ms = 0.0
        self.wait_for_data = None
        self.skipped_count = 0
        # Ids may be long, so their hashes are kept.
        self._request_hashes = array.array("q")
        try:
            self._socket = gevent.socket.create_connection(
                address, max(connect_timeout_ms, 1.0) / 1000
            )
        except OSError as error:
            raise ConnectError(f"connect: {error}") from error
        configure_socket(self._socket)
        set_buffer_sizes(self._socket, RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES)
        self.local_port = self._socket.getsockname()[1]
        self._protocol = h11.Connection(h11.CLIENT)
        self._request = None
        self._head = None
        self._turns = FairTurns()

    def record_request_id(self, request_id):
        """Record the id (str) of the next request."""
        self._request_hashes.append(hash(request_id))

    def has_carried(self, request_id):
        """Return whether an earlier request had an id (str).

        A server may repeat its answer to that request, and only the id tells answers
        apart.
        """
        return hash(request_id) in self._request_hashes

    def send(self, method, target, headers, body=b"", deadline_ms=None):
        """Send a whole request.

        Parameters
        ----------
        method, target : bytes
        headers : list of (bytes, bytes)
        body : bytes
        deadline_ms : float or None
            On the monotonic clock; None to wait as long as the server is reachable.

        Raises
        ------
        OSError
            If the connection broke, or at the deadline; the request may have arrived.
        """
        headers = [*headers, (b"content-length", b"%d" % len(body))]
        if method in (b"GET", b"HEAD") and not body:
            headers.pop()
        self.has_response_started = False
        self.skipped_count = 0
        self._turns.reset()
        self._request = h11.Request(method=method, target=target, headers=headers)
        self.last_active_ms = time.monotonic() * 1000
        for part in self._encode_request(body):
            self._set_timeout(deadline_ms)
            self._socket.sendall(part)
        self.last_active_ms = time.monotonic() * 1000

    def _encode_request(self, body):
        """Return the parts to write (list); a large body is not copied."""
        parts = [self._protocol.send(self._request)]
        if body:
            parts += self._protocol.send_with_data_passthrough(h11.Data(data=body))
        self._protocol.send(h11.EndOfMessage())
        return join_small_parts(parts)

    def read_head(self, deadline_ms):
        """Read status and headers of the response, skipping interim (1xx) responses.

        Parameters
        ----------
        deadline_ms : float
            On the monotonic clock.

        Returns
        -------
        ResponseHead

        Raises
        ------
        OSError, BrokenAnswerError
            If no response arrives; TimeoutError at the deadline.
        """
        for _ in range(INTERIM_RESPONSES_MAX + 1):
            event = self._next_event(deadline_ms)
            if isinstance(event, h11.Response):
                check_status_line(event)
                self._head = ResponseHead(
                    event.status_code, list(event.headers), event.http_version
                )
                return self._head
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenAnswerError("the connection ended before an answer")
        raise BrokenAnswerError(f"over {INTERIM_RESPONSES_MAX} interim answers")

    def read_data(self, deadline_ms):
        """Return the next bytes of the body, or None at its end."""
        event = self._next_event(deadline_ms)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BrokenAnswerError("the answer broke off")

    def read_body(self, deadline_ms, bytes_max):
        """Return the whole body of the response.

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

    def discard_body(self, deadline_ms):
        """Discard the body of the response, of which only the head is used.

        If the body is broken, late or long, the connection is closed: the head is valid
        nevertheless.
        """
        deadline_ms = min(deadline_ms, time.monotonic() * 1000 + UNUSED_BODY_TIMEOUT_MS)
        try:
            self._discard_data(deadline_ms, UNUSED_BODY_BYTES_MAX)
        except (OSError, BrokenAnswerError) as error:
            logger.debug(
                "unused_body_incomplete",
                peer=f"{self.address[0]}:{self.address[1]}",
                error=f"{type(error).__name__}: {error}",
            )
            self.close()

    def _discard_data(self, deadline_ms, bytes_max):
        discarded_bytes = 0
        while (data := self.read_data(deadline_ms)) is not None:
            discarded_bytes += len(data)
            if discarded_bytes > bytes_max:
                raise BrokenAnswerError(f"the answer exceeds {bytes_max} bytes")

    def skip_response(self, deadline_ms, bytes_max):
        """Discard a response to an earlier request, and wait for the next response.

        Raises
        ------
        OSError, BrokenAnswerError
            If no other response can follow on the connection, or after too many.
        """
        if self._head.ends_connection:
            raise BrokenAnswerError("the connection ends with another answer")
        self.skipped_count += 1
        if self.skipped_count > SKIPPED_RESPONSES_MAX:
            raise BrokenAnswerError(f"over {SKIPPED_RESPONSES_MAX} other answers")
        self._discard_data(deadline_ms, bytes_max)
        trailing, has_ended = self._protocol.trailing_data
        if has_ended or self._protocol.their_state is not h11.DONE:
            raise BrokenAnswerError("the connection ended after another answer")
        self._protocol = h11.Connection(h11.CLIENT)
        # The request has been sent already; only the new h11 state has to be updated.
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
                self._turns.take()
                event = self._protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._protocol.receive_data(self._receive(deadline_ms))
        except h11.RemoteProtocolError as error:
            raise BrokenAnswerError(describe_protocol_error(error)) from error

    def _set_timeout(self, deadline_ms):
        if deadline_ms is None:
            self._socket.settimeout(None)
            return
        remaining_s = deadline_ms / 1000 - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the deadline passed")
        self._socket.settimeout(remaining_s)

    def _receive(self, deadline_ms):
        if self.wait_for_data is not None:
            self.wait_for_data(deadline_ms)
        self._set_timeout(deadline_ms)
        data = self._socket.recv(RECEIVE_BYTES)
        self._turns.record_bytes(len(data))
        self.has_response_started = self.has_response_started or bool(data)
        self.last_active_ms = time.monotonic() * 1000
        return data

    def finish(self, head, now_ms):
        """Prepare the connection for its next request; return whether it is reusable.

        Parameters
        ----------
        head : ResponseHead
            Of the response that was read to its end.
        now_ms : float
            On the monotonic clock.
        """
        if head.ends_connection or len(self._request_hashes) >= REQUEST_IDS_MAX:
            return False
        if self._protocol.trailing_data != (b"", False):
            return False
        try:
            self._protocol.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        # It belongs to the request that has ended.
        self.wait_for_data = None
        self.idle_since_ms = now_ms
        self.reusable_until_ms = now_ms + _read_keep_alive_ms(head.headers)
        self.is_reused = True
        return True

    def is_clean(self):
        """Return whether neither data nor a close has arrived since the response."""
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            self._socket._sock.recv(1, flags)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def fileno(self):
        """Return the file descriptor of the socket."""
        return self._socket.fileno()

    def close(self):
        """Close the connection, which may abort a request that the server processes."""
        self._socket.close()


def wait_until_readable(connections, deadline_ms):
    """Return the connections on which bytes or an end have arrived, at least one.

    Parameters
    ----------
    connections : sequence of ClientConnection
    deadline_ms : float
        On the monotonic clock.

    Raises
    ------
    TimeoutError
        At the deadline.
    OSError
        If a connection was closed by this process.
    """
    by_descriptor = {connection.fileno(): connection for connection in connections}
    if -1 in by_descriptor:
        raise OSError(errno.EBADF, "a connection was closed")
    # Unlike select, poll has no limit on the descriptor.
    poll = gevent.select.poll()
    for descriptor in by_descriptor:
        poll.register(descriptor, gevent.select.POLLIN)
    remaining_ms = deadline_ms - time.monotonic() * 1000
    ready = poll.poll(max(remaining_ms, 0.0))
    if not ready:
        raise TimeoutError("the deadline passed")
    return [by_descriptor[descriptor] for descriptor, _ in ready]


def describe_protocol_error(error):
    """Return an h11 error as text, without the bytes that h11 quotes.

    These bytes may be part of a body, and bodies must not be logged.
    """
    return f"not valid HTTP: {str(error).partition(':')[0]}"


def _read_keep_alive_ms(headers):
    """Return for how long, in ms, an idle connection may still be reused."""
    value = find_header(headers, b"keep-alive") or b""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return int(number) * 1000 * KEEP_ALIVE_FRACTION
    return DEFAULT_KEEP_ALIVE_MS
