"""Server side of one HTTP/1.1 connection of a caller, based on h11.

If the caller disconnects, CallerLeftError is raised in the application at once, even
while it waits for a backend server.
"""

import time

import gevent
import gevent.socket
import h11

from nutmegdeal.buffering.accounts import UNCOUNTED, HeldPart
from nutmegdeal.buffering.bodies import (
    BodyTooLargeError,
    ReservedBody,
    UnusedBody,
    release_body,
)
from nutmegdeal.buffering.connections import ConnectionState
from nutmegdeal.fair_turns import SWITCH_PAUSE_S, FairTurns
from nutmegdeal.http_connections import (
    USER_TIMEOUT_MS,
    configure_socket,
    describe_protocol_error,
    find_header,
    set_user_timeout,
)
from nutmegdeal.incoming_requests import (
    CallerLeftError,
    CallerShedError,
    GraceEndedError,
    IncomingRequest,
)
from nutmegdeal.log import get_logger
from nutmegdeal.responders import Responder
from nutmegdeal.socket_closing import (
    discard_until_closed,
    end_on_close,
    has_unread_bytes,
    reset_on_close,
)

logger = get_logger(__name__)

# Longest time for one write; a caller that reads more slowly is disconnected.
WRITE_TIMEOUT_S = 10.0
# Retry-After of a request whose body is not read because too much is held. Callers that
# read slowly are cut off at once, but bodies that servers read slowly take a while.
SHED_RETRY_AFTER_S = 1
# Retry-After of a request that is not read to its end as the process ends. Others can
# serve it at once.
ENDING_RETRY_AFTER = b"0.05"
# Most bytes read by one call.
RECEIVE_BYTES = 32_768
# Events of a request that are parsed before other requests get their turn. Each chunk
# of a body is one, and takes some microseconds.
EVENTS_PER_TURN = 256
# While a request is served, pipelined bytes are read in pieces of at most this size,
# and no longer once more than this is buffered.
READ_AHEAD_BYTES = 16_384


class CallerConnection:
    """One connection of a caller.

    Parameters
    ----------
    sock : socket
    listener : CallerListener
    opened : OpenConnection
        Counts the connection.

    Attributes
    ----------
    is_idle : bool
        True while no request has begun.
    """

    def __init__(self, sock, listener, opened):
        self._socket = sock
        self._listener = listener
        self._opened = opened
        self._turns = FairTurns(EVENTS_PER_TURN)
        self._set_protocol(listener.limits().header_bytes_max)
        self._greenlet = None
        self._watcher = None
        self._has_caller_left = False
        # Set once a response was sent to a caller that may still be sending.
        self._discards_rest = False
        self._held = UNCOUNTED
        self._is_reading = False
        self._may_read_slowly = False
        self.is_idle = True

    def _set_protocol(self, header_bytes_max):
        self._header_bytes_max = header_bytes_max
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=header_bytes_max
        )

    def _limit_head(self, header_bytes_max):
        """Set the limit on the next request's head, of which nothing was parsed."""
        if header_bytes_max == self._header_bytes_max:
            return
        arrived, has_ended = self._protocol.trailing_data
        self._set_protocol(header_bytes_max)
        if arrived:
            self._protocol.receive_data(arrived)
        if has_ended:
            self._protocol.receive_data(b"")

    @property
    def is_closing(self):
        """Return whether a response that starts now is the connection's last one."""
        return self._listener.is_draining and not self._has_next_request()

    def _has_next_request(self):
        return bool(self._protocol.trailing_data[0]) or has_unread_bytes(self._socket)

    @property
    def accepts_chunks(self):
        """Return whether the caller understands chunked responses."""
        return self._protocol.their_http_version != b"1.0"

    def run(self):
        """Serve requests until either side closes the connection."""
        self._greenlet = gevent.getcurrent()
        try:
            configure_socket(self._socket)
            while self._serve_request():
                pass
            if self._discards_rest:
                self._opened.enter(ConnectionState.CLOSING)
                discard_until_closed(self._socket)
        except (CallerLeftError, OSError):
            logger.debug("caller_left")
        except Exception:
            logger.exception("connection_crashed")
        finally:
            self._stop_watching()
            self._socket.close()

    def close_if_idle(self):
        """Close the connection unless a request has begun or arrived."""
        if self.is_idle and has_unread_bytes(self._socket):
            # A drain has to wait for this request before it is read.
            self.is_idle = False
        gevent.get_hub().loop.run_callback(self._throw_if_idle)

    def _throw_if_idle(self):
        # Runs in the hub, so that no request can begin between the check and the throw.
        if not self.is_idle or has_unread_bytes(self._socket):
            return
        if self._greenlet is not None and not self._greenlet.dead:
            self._greenlet.throw(CallerLeftError)

    @property
    def is_unanswered(self):
        """Return whether a request has begun and its last response has not ended."""
        return not self.is_idle and not self._discards_rest

    def refuse_unread(self):
        """Refuse a request that has begun and is not read to its end."""
        gevent.get_hub().loop.run_callback(self._throw_if_reading)

    def _throw_if_reading(self):
        # Runs in the hub, as in `_throw_if_idle`.
        if self._is_reading and not self.is_idle and not self._greenlet.dead:
            self._greenlet.throw(GraceEndedError)

    def encode(self, event):
        """Return the bytes of an h11 event."""
        return self._protocol.send(event)

    def encode_parts(self, event):
        """Return the bytes of an h11 event in parts (list), its data without a copy."""
        return self._protocol.send_with_data_passthrough(event)

    def write(self, data):
        """Send bytes to the caller.

        Raises
        ------
        CallerLeftError
        """
        held = self._held
        held.set(HeldPart.WRITING, len(data))
        self._opened.enter(ConnectionState.SENDING)
        try:
            self._socket.settimeout(WRITE_TIMEOUT_S)
            with held.waiting_for_caller():
                self._socket.sendall(data)
        except OSError as error:
            raise CallerLeftError from error
        self._opened.enter(ConnectionState.SERVING)
        held.set(HeldPart.WRITING, 0)

    def allow_slow_reading(self):
        """Let the caller read a whole response late, where held bytes are bounded.

        The system resets a connection whose peer does not read for USER_TIMEOUT_MS. No
        server works for the caller any longer, so that it need not be noticed sooner if
        it has vanished.
        """
        if self._held.is_counted and not self._may_read_slowly:
            self._set_user_timeout(WRITE_TIMEOUT_S * 1000)
            self._may_read_slowly = True

    def _set_user_timeout(self, timeout_ms):
        try:
            set_user_timeout(self._socket, round(timeout_ms))
        except OSError as error:
            raise CallerLeftError from error

    def set_reset_on_close(self, is_reset):
        """Choose whether a close, also by the end of the process, is a reset."""
        try:
            (reset_on_close if is_reset else end_on_close)(self._socket)
        except OSError as error:
            raise CallerLeftError from error

    def _serve_request(self):
        self.is_idle = not self._protocol.trailing_data[0]
        if self.is_idle:
            self._opened.enter(ConnectionState.IDLE)
        self._turns.reset()
        self._held = self._listener.open_account(self._shed)
        try:
            return self._serve_counted_request()
        finally:
            self._held.close()

    def _shed(self, held, error):
        """End the request that an account is of, from another greenlet."""
        gevent.get_hub().loop.run_callback(self._throw_shed, held, error)

    def _throw_shed(self, held, error):
        # Runs in the hub, as in `_throw_if_idle`.
        if held.is_closed or self._greenlet.dead:
            return
        self._greenlet.throw(error)

    def _serve_counted_request(self):
        try:
            self._is_reading = True
            self._held.is_unread = True
            request = self._read_request()
        except CallerShedError as error:
            self._refuse_shed(error)
            return False
        except GraceEndedError:
            retry_after = (b"retry-after", ENDING_RETRY_AFTER)
            self._refuse(503, "the grace time ends", [retry_after])
            return False
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint, describe_protocol_error(error))
            return False
        finally:
            self._is_reading = False
            self._held.is_unread = False
        if request is None:
            return False
        try:
            return self._respond(request)
        finally:
            release_body(request.body)

    def _respond(self, request):
        """Have the application respond; return whether another request may follow."""
        self._opened.enter(ConnectionState.SERVING)
        if self._may_read_slowly:
            self._set_user_timeout(USER_TIMEOUT_MS)
            self._may_read_slowly = False
        responder = Responder(self, request.method)
        self._start_watching()
        try:
            self._listener.application(request, responder)
        except CallerLeftError:
            raise
        except Exception:
            # Any OSError is of another connection: `write` turns those of the caller's
            # into CallerLeftError.
            self._handle_crash(request, responder)
        finally:
            self._stop_watching()
        if self._has_caller_left or not responder.is_finished:
            return False
        return self._start_next_request()

    def _handle_crash(self, request, responder):
        logger.exception(
            "request_crashed", path=request.path, has_started=responder.is_head_sent
        )
        # A response that has begun is left without its end, so that it does not look
        # complete.
        if not responder.is_head_sent:
            responder.reply_internal_error()
            self._discards_rest = True

    def _start_next_request(self):
        if self._protocol.our_state is not h11.DONE:
            # A reset because of unread bytes could destroy the response.
            self._discards_rest = self._has_next_request()
            return False
        if self._protocol.their_state is not h11.DONE:
            return False
        # A response that began before the drain lacks "Connection: close", so the
        # connection waits for its next request until the idle ones are closed.
        if self._listener.has_closed_idle and not self._has_next_request():
            return False
        self._protocol.start_next_cycle()
        if self._protocol.trailing_data[0]:
            # Requests that have arrived together are served without a wait.
            gevent.sleep(SWITCH_PAUSE_S)
        return True

    def _read_request(self):
        """Return an IncomingRequest, or None if the connection has to be closed."""
        first_data = b""
        if self.is_idle:
            first_data = self._wait_for_request()
            if not first_data:
                return None
            self.is_idle = False
        # The limits may have changed since the request before.
        limits = self._listener.limits()
        self._limit_head(limits.header_bytes_max)
        if first_data:
            self._protocol.receive_data(first_data)
        self._opened.enter(ConnectionState.RECEIVING)
        arrived_ms = time.monotonic() * 1000
        deadline_s = time.monotonic() + limits.header_timeout_ms / 1000
        head = self._read_head(deadline_s)
        if head is None:
            return None
        if _has_ambiguous_length(head.headers):
            self._refuse(400, "both Content-Length and Transfer-Encoding")
            return None
        deadline_s = time.monotonic() + limits.idle_timeout_ms / 1000
        try:
            body = self._read_body(head, deadline_s, limits.body_bytes_max)
        except BodyTooLargeError:
            self._refuse(413, "the body is too large")
            return None
        if body is None:
            return None
        headers = list(head.headers)
        return IncomingRequest(
            head.method, head.target, headers, body, arrived_ms, self._held
        )

    def _read_head(self, deadline_s):
        """Return the head (h11.Request), None if the connection has to be closed."""
        event = self._read_event(deadline_s, self._receive)
        if event is None:
            self._refuse_timed_out("head")
        return event if isinstance(event, h11.Request) else None

    def _read_body(self, head, deadline_s, bytes_max):
        """Return the body (bytes-like), None if the connection has to be closed."""
        body = self._begin_body(head, bytes_max)
        try:
            while True:
                event = self._read_event(deadline_s, self._receive_body)
                if isinstance(event, h11.Data):
                    body.append(event.data)
                    self._opened.record_received(len(event.data))
                    continue
                if isinstance(event, h11.EndOfMessage):
                    whole, body = body.finish(), None
                    return whole
                if event is None:
                    self._refuse_timed_out("body")
                return None
        finally:
            if body is not None:
                body.discard()

    def _begin_body(self, head, bytes_max):
        if not self._listener.uses_bodies:
            return UnusedBody(bytes_max)
        length = find_header(head.headers, b"content-length")
        is_chunked = find_header(head.headers, b"transfer-encoding") is not None
        if length is None and not is_chunked:
            length = 0
        return ReservedBody(
            self._held, bytes_max, None if length is None else int(length)
        )

    def _read_event(self, deadline_s, receive):
        """Return the next h11 event, None at the deadline."""
        while True:
            self._turns.take()
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._protocol.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                self.write(self.encode(interim))
                self._opened.enter(ConnectionState.RECEIVING)
            data = receive(deadline_s)
            if data is None:
                return None
            self._protocol.receive_data(data)

    def _wait_for_request(self):
        """Return the first bytes of a request, empty if the connection has to close.

        The idle timeout may change meanwhile.
        """
        idle_since_s = time.monotonic()
        while True:
            timeout_ms = self._listener.limits().idle_timeout_ms
            data = self._receive(idle_since_s + timeout_ms / 1000)
            if data is not None:
                return data
            if has_unread_bytes(self._socket):
                # A request that arrived together with the idle timeout.
                return self._socket.recv(RECEIVE_BYTES)
            if self._listener.limits().idle_timeout_ms <= timeout_ms:
                return b""

    def _receive_body(self, deadline_s):
        """Receive a further part of a body, which is held meanwhile."""
        with self._held.waiting_for_caller(self._opened.since_s * 1000):
            return self._receive(deadline_s)

    def _receive(self, deadline_s):
        """Return received bytes, empty at the end of the stream; None on timeout."""
        remaining_s = deadline_s - time.monotonic()
        if remaining_s <= 0:
            return None
        self._socket.settimeout(remaining_s)
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except TimeoutError:
            return None
        self._turns.record_bytes(len(data))
        return data

    def _refuse_timed_out(self, part):
        self._refuse(408, f"timeout in the {part}")

    def _refuse_shed(self, error):
        retry_after = (b"retry-after", b"%d" % SHED_RETRY_AFTER_S)
        self._refuse(503, f"memory: {error}", [retry_after])

    def _refuse(self, status_code, detail, headers=()):
        logger.info("request_refused_unread", status=status_code, detail=detail)
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [*headers, (b"content-length", b"0"), (b"connection", b"close")]
        response = h11.Response(status_code=status_code, headers=headers)
        self.write(self.encode(response) + self.encode(h11.EndOfMessage()))
        self._discards_rest = True

    def _start_watching(self):
        """Call `_on_readable` from the event loop when the caller sends or closes."""
        self._watcher = gevent.get_hub().loop.io(self._socket.fileno(), 1)
        self._watcher.start(self._on_readable)

    def _stop_watching(self):
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
        self._has_caller_left = True
        self._watcher.stop()
        self._greenlet.kill(CallerLeftError, block=False)


def _has_ambiguous_length(headers):
    names = [name for name, _ in headers]
    return b"content-length" in names and b"transfer-encoding" in names
