"""Bodies of requests, in memory that is returned to the system as soon as they end.

Answers the load of many large bodies that arrive at once: buffers that grow by
reallocation leave holes in the heap, so that the process takes several times as much
memory as the bodies have.
"""

import abc
import mmap

from nutmegdeal.buffering.accounts import HeldPart
from nutmegdeal.log import get_logger

logger = get_logger(__name__)

# Up to this size a body is collected in the heap.
HEAP_BYTES_MAX = 65_536
# What a body without a length may take at first, and the factor by which that grows.
FIRST_RESERVE_BYTES = 65_536
RESERVE_FACTOR = 4


class BodyTooLargeError(Exception):
    """The body is larger than the limits on callers allow."""


class BodyBuffer:
    """Collects the body of one request.

    Parameters
    ----------
    bytes_max : int
        Most bytes that may be added.
    """

    def __init__(self, bytes_max):
        self._bytes_max = bytes_max
        self._heap = bytearray()
        self._pages = None
        self._length = 0

    def __len__(self):
        return self._length

    def append(self, data):
        """Add bytes; together at most `bytes_max`."""
        end = self._length + len(data)
        if end > self._bytes_max:
            raise ValueError(f"over {self._bytes_max} bytes")
        if self._pages is None and end > HEAP_BYTES_MAX:
            self._move_to_pages()
        if self._pages is None:
            self._heap += data
        else:
            self._pages[self._length : end] = data
        self._length = end

    def _move_to_pages(self):
        """Move to pages of the system, which take memory only once they are written."""
        flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        self._pages = mmap.mmap(-1, self._bytes_max, flags=flags)
        self._pages[: self._length] = self._heap
        self._heap = bytearray()

    def close(self):
        """Free the memory; the body was not used."""
        if self._pages is not None:
            self._pages.close()

    def view(self):
        """Return the body: bytes of a small one, else a memoryview of the pages."""
        if self._pages is None:
            return bytes(self._heap)
        return memoryview(self._pages)[: self._length]


def release_body(body):
    """Return the memory of a body to the system; nobody may use it any longer.

    Parameters
    ----------
    body : bytes or memoryview
        From `BodyBuffer.view`.
    """
    if not isinstance(body, memoryview):
        return
    pages = body.obj
    try:
        body.release()
        pages.close()
    except BufferError:
        # It is freed with its last user.
        logger.warning("body_still_used", byte_count=len(pages))


class IncomingBody(abc.ABC):
    """The body of a request that is being received."""

    @abc.abstractmethod
    def append(self, data):
        """Add received bytes.

        Raises
        ------
        BodyTooLargeError
        CallerShedError
            If the process cannot hold so much now.
        """

    @abc.abstractmethod
    def finish(self):
        """Return the whole body (bytes or memoryview)."""

    @abc.abstractmethod
    def discard(self):
        """Free the memory of a body that will not be used."""


class ReservedBody(IncomingBody):
    """A body that is held; what it may take is reserved before it is received.

    Parameters
    ----------
    held : HeldAccount or UncountedAccount
    bytes_max : int
    length : int or None
        Length as the head of the request states it.

    Raises
    ------
    BodyTooLargeError
    CallerShedError
        If the process cannot hold so much now.
    """

    def __init__(self, held, bytes_max, length=None):
        if length is not None and length > bytes_max:
            raise BodyTooLargeError
        self._held = held
        self._bytes_max = bytes_max
        self._reserved_bytes = 0
        self._reserve(FIRST_RESERVE_BYTES if length is None else length)
        self._buffer = BodyBuffer(bytes_max if length is None else length)

    def _reserve(self, byte_count):
        self._reserved_bytes = min(byte_count, self._bytes_max)
        self._held.set(HeldPart.BODY, self._reserved_bytes)

    def append(self, data):
        """Add received bytes."""
        length = len(self._buffer) + len(data)
        if length > self._bytes_max:
            raise BodyTooLargeError
        if length > self._reserved_bytes:
            self._reserve(max(self._reserved_bytes * RESERVE_FACTOR, length))
        self._buffer.append(data)

    def finish(self):
        """Return the whole body (bytes or memoryview)."""
        self._held.set(HeldPart.BODY, len(self._buffer))
        return self._buffer.view()

    def discard(self):
        """Free the memory."""
        self._buffer.close()


class UnusedBody(IncomingBody):
    """A body that nobody reads, of which nothing is held.

    Parameters
    ----------
    bytes_max : int
    """

    def __init__(self, bytes_max):
        self._remaining_bytes = bytes_max

    def append(self, data):
        """Count received bytes."""
        self._remaining_bytes -= len(data)
        if self._remaining_bytes < 0:
            raise BodyTooLargeError

    def finish(self):
        """Return no bytes."""
        return b""

    def discard(self):
        """Do nothing."""
