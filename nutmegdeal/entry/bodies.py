"""Reads the bodies of callers' requests, within the memory of the process."""

import attrs
import gevent

from nutmegdeal.buffering.accounts import HeldPart
from nutmegdeal.buffering.bodies import BodyTooLargeError, ReservedBody
from nutmegdeal.buffering.connections import ConnectionState
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.incoming_requests import CallerShedError
from nutmegdeal.wsgi_server import CONNECTION_KEY

READ_BYTES = 65_536
DISCARD_BYTES_MAX = 16_777_216
BODY_TIMEOUT_MS = 30_000
# Longest time for which the rest of a refused body is read, so that its sender reads
# the answer.
REFUSED_TIMEOUT_MS = 1_000


@attrs.frozen
class ReceivedBody:
    """The whole body of a request.

    Parameters
    ----------
    data : bytes
    held : HeldAccount or UncountedAccount
        To be closed when the request ends.
    """

    data: bytes
    held: object


class BodyReader:
    """Reads bodies whose memory has been reserved.

    Parameters
    ----------
    bytes_max : int
        Most bytes of one body.
    memory : MemoryBound
    """

    def __init__(self, bytes_max, memory):
        self._bytes_max = bytes_max
        self._memory = memory

    def read(self, environ, cancel):
        """Read a body.

        Parameters
        ----------
        environ : dict
            The WSGI environment.
        cancel : callable
            Called with a Failure to end the request, which has been read, if the
            process holds too much.

        Returns
        -------
        ReceivedBody or Failure
            A Failure if it is too large, incomplete or late, or cannot be held.
        """
        stream, opened = environ["wsgi.input"], environ.get(CONNECTION_KEY)
        held = self._memory.open_account(_Interrupt(cancel))
        body = self._read_counted(environ, stream, opened, held)
        if isinstance(body, Failure):
            held.close()
            return body
        if opened is not None:
            opened.enter(ConnectionState.SERVING)
        # The copy that is sent to an agent.
        held.set(HeldPart.SENDING, len(body))
        return ReceivedBody(body, held)

    def _read_counted(self, environ, stream, opened, held):
        """Return the body (bytes) or a Failure."""
        held.is_unread = True
        try:
            with gevent.Timeout(BODY_TIMEOUT_MS / 1000):
                return self._collect(environ, stream, opened, held)
        except BodyTooLargeError:
            _discard(stream, BODY_TIMEOUT_MS)
            detail = f"the body exceeds {self._bytes_max} bytes"
            return Failure(Reason.BODY_TOO_LARGE, Step.RECEIVE, "", detail)
        except CallerShedError as error:
            _discard(stream, REFUSED_TIMEOUT_MS)
            _close_after_answer(stream)
            return Failure(Reason.OVERLOADED, Step.RECEIVE, "", f"memory: {error}")
        except (gevent.Timeout, OSError, ValueError) as error:
            _close_after_answer(stream)
            detail = f"the body did not arrive whole: {error}"
            return Failure(Reason.BAD_REQUEST, Step.RECEIVE, "", detail)
        finally:
            held.is_unread = False

    def _collect(self, environ, stream, opened, held):
        body = ReservedBody(held, self._bytes_max, _find_length(environ))
        try:
            while chunk := _read_part(stream, opened, held):
                body.append(chunk)
            return bytes(body.finish())
        finally:
            body.discard()


class _Interrupt:
    """Ends a request for other requests that need its memory.

    Parameters
    ----------
    cancel : callable
        As in `BodyReader.read`.
    """

    def __init__(self, cancel):
        self._cancel = cancel
        self._greenlet = gevent.getcurrent()

    def __call__(self, held, error):
        """End the request of an account, from another greenlet."""
        gevent.get_hub().loop.run_callback(self._end, held, error)

    def _end(self, held, error):
        # Runs in the hub, so that the request cannot go on meanwhile.
        if held.is_closed or self._greenlet.dead:
            return
        if held.is_unread:
            self._greenlet.throw(error)
            return
        self._cancel(Failure(Reason.OVERLOADED, Step.RELAY, "", f"memory: {error}"))


def _find_length(environ):
    """Return the length of a body (int), None if it comes in chunks."""
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        return None
    return int(environ.get("CONTENT_LENGTH") or 0)


def _read_part(stream, opened, held):
    since_ms = None if opened is None else opened.since_s * 1000
    with held.waiting_for_caller(since_ms):
        return stream.read(READ_BYTES)


def _discard(stream, timeout_ms):
    """Read the rest of a body, so that its sender reads the answer.

    After `DISCARD_BYTES_MAX` or at the timeout the rest is left unread and the
    connection is closed.
    """
    remaining_bytes = DISCARD_BYTES_MAX
    try:
        with gevent.Timeout(timeout_ms / 1000):
            while remaining_bytes > 0:
                chunk = stream.read(READ_BYTES)
                if not chunk:
                    return
                remaining_bytes -= len(chunk)
    except (gevent.Timeout, OSError, ValueError):
        # The answer is sent nevertheless.
        pass
    _close_after_answer(stream)


def _close_after_answer(stream):
    """Make the server close the connection instead of reading the rest of the body."""
    stream._chunked_input_error = True
