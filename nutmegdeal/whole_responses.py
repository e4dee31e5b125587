"""urllib3 pools whose responses are whole, and bounded in bytes and in time.

`http.client` takes the end of the connection for the end of a line, of a head and of
the trailers. A head that broke off would pass for a whole one, and the first digits of
a chunk's size for the last chunk.

It takes statuses from 100 to 999 for valid, with signs and underscores, and any interim
response but 100 for the response itself.

It also reads interim responses and trailers for as long as they come, and each read
starts the timeout anew, so that a faulty server could fill the memory or keep a call
from ending.
"""

import functools
import http.client
import io
import re
import time

import attrs
import urllib3
import urllib3.connection

from nutmegdeal.fair_turns import FairTurns

STATUS_LINE = re.compile(r"HTTP/1\.[01] ([1-5][0-9]{2})(?: [^\r\n]*)?\r?\n")
SWITCHING_PROTOCOLS = 101
# Most bytes of lines in a row: of a head with the interim heads before it, of a chunk's
# size, of the trailers.
LINES_BYTES_MAX = 65_536


class ResponseTooLargeError(http.client.HTTPException):
    """The response is longer than its client reads."""


class EncodedResponseError(http.client.HTTPException):
    """The body has an encoding, which no client asks for."""


@attrs.frozen
class ResponseLimits:
    """Limits on one response.

    Parameters
    ----------
    bytes_max : float
        Most bytes of the whole response: interim responses, head, body and trailers.
        Infinite for a body that is passed on as it arrives.
    """

    bytes_max: float


class _LimitedReceiver(io.RawIOBase):
    """Receives one response within its limits.

    Parameters
    ----------
    receiver : io.RawIOBase
        Reads from the socket.
    sock : socket
        Its timeout becomes that of the whole response.
    limits : ResponseLimits
    """

    def __init__(self, receiver, sock, limits):
        self._receiver = receiver
        self._socket = sock
        self._remaining_bytes = limits.bytes_max
        self._turns = FairTurns()
        timeout_s = sock.gettimeout()
        self._deadline_s = None
        if timeout_s is not None:
            self._deadline_s = time.monotonic() + timeout_s

    def readable(self):
        """Return True."""
        return True

    def readinto(self, buffer):
        """Receive into a buffer; return the number of bytes.

        Raises
        ------
        ResponseTooLargeError
        OSError
            TimeoutError at the deadline.
        """
        if self._remaining_bytes < 0:
            raise ResponseTooLargeError("the response is too large")
        self._turns.take()
        self._limit_wait()
        count = self._receiver.readinto(buffer)
        self._turns.record_bytes(count)
        self._remaining_bytes -= count
        return count

    def _limit_wait(self):
        if self._deadline_s is None:
            return
        remaining_s = self._deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the deadline passed")
        self._socket.settimeout(remaining_s)

    def close(self):
        """Close the receiver."""
        self._receiver.close()
        super().close()


class _LineReader(io.BufferedReader):
    """Reads whole lines, and not too many bytes of lines in a row."""

    def __init__(self, receiver):
        super().__init__(receiver)
        self._lines_bytes = 0

    def readline(self, size=-1):
        """Return the next line (bytes), or its first `size` bytes.

        Raises
        ------
        ResponseTooLargeError
        http.client.RemoteDisconnected
            If the connection ends before the end of the line.
        """
        most = LINES_BYTES_MAX + 1 - self._lines_bytes
        line = super().readline(most if size < 0 else min(size, most))
        self._lines_bytes += len(line)
        if self._lines_bytes > LINES_BYTES_MAX:
            raise ResponseTooLargeError("a head or trailers without end")
        if not line.endswith(b"\n") and len(line) != size:
            raise http.client.RemoteDisconnected("the connection ended inside a line")
        return line

    def read(self, size=-1):
        """Return bytes of a body."""
        self._lines_bytes = 0
        return super().read(size)

    def read1(self, size=-1):
        """Return bytes of a body that need at most one receive."""
        self._lines_bytes = 0
        return super().read1(size)

    def readinto(self, buffer):
        """Read bytes of a body into a buffer; return their number."""
        self._lines_bytes = 0
        return super().readinto(buffer)


class _Response(http.client.HTTPResponse):
    def __init__(self, sock, *args, limits, **kwargs):
        super().__init__(sock, *args, **kwargs)
        receiver = _LimitedReceiver(self.fp.detach(), sock, limits)
        self.fp = _LineReader(receiver)
        self._limits = limits

    def _read_status(self):
        """Return version, status (int) and reason, skipping interim responses.

        Raises
        ------
        http.client.BadStatusLine
        """
        while True:
            line = str(self.fp.readline(), "iso-8859-1")
            match = STATUS_LINE.fullmatch(line)
            if match is None or int(match[1]) == SWITCHING_PROTOCOLS:
                raise http.client.BadStatusLine("not a status line of HTTP/1.1")
            if int(match[1]) >= http.HTTPStatus.OK:
                version, _, rest = line.partition(" ")
                return version, int(match[1]), rest[3:].strip()
            self._skip_interim_headers()

    def _skip_interim_headers(self):
        while self.fp.readline().strip():
            pass

    def begin(self):
        """Read the head.

        Raises
        ------
        EncodedResponseError, ResponseTooLargeError
        """
        super().begin()
        # An encoded body can be any number of times as long as what is received.
        if self.headers.get("Content-Encoding", "identity").lower() != "identity":
            raise EncodedResponseError("the body is encoded")
        # Memory for a body with a length is taken at once.
        if self.length is not None and self.length > self._limits.bytes_max:
            raise ResponseTooLargeError(f"a body of {self.length} bytes")


def _build_pool_class(pool_class, connection_class, limits):
    """Return a pool class whose responses keep limits."""
    response_class = functools.partial(_Response, limits=limits)
    limited = type(
        connection_class.__name__,
        (connection_class,),
        {"response_class": response_class},
    )
    return type(pool_class.__name__, (pool_class,), {"ConnectionCls": limited})


class WholeResponsePools(urllib3.PoolManager):
    """A PoolManager whose responses are whole and keep limits.

    The read timeout of a request limits the time from the end of the request to the end
    of the whole response.

    Parameters
    ----------
    limits : ResponseLimits
    **options : dict
        As for urllib3.PoolManager.
    """

    def __init__(self, limits, **options):
        super().__init__(**options)
        self.pool_classes_by_scheme = {
            "http": _build_pool_class(
                urllib3.HTTPConnectionPool, urllib3.connection.HTTPConnection, limits
            ),
            "https": _build_pool_class(
                urllib3.HTTPSConnectionPool, urllib3.connection.HTTPSConnection, limits
            ),
        }
