"""Relays a backend server's answer as numbered frames, without parsing it."""

import gevent
import gevent.event

from nutmegdeal.errors import Failure

PENDING_BYTES_MAX = 65_536


class FrameBuffer:
    """Buffers the bytes of one answer and sends them as frames.

    Parameters
    ----------
    send_frame : callable
        Called with the bytes of the next frame.
    """

    def __init__(self, send_frame):
        self._send_frame = send_frame
        self._pending = []
        self._pending_bytes = 0
        self._has_sent = False

    def add(self, chunk):
        """Add bytes; return True if some stay in the buffer until `flush`."""
        self._pending.append(chunk)
        self._pending_bytes += len(chunk)
        if not self._has_sent or self._pending_bytes >= PENDING_BYTES_MAX:
            self.flush()
        return bool(self._pending)

    def flush(self):
        """Send all buffered bytes as one frame."""
        if not self._pending:
            return
        payload = b"".join(self._pending)
        self._pending.clear()
        self._pending_bytes = 0
        self._has_sent = True
        self._send_frame(payload)


class FrameFlusher:
    """Flushes the buffers of all running answers within a bounded time.

    Parameters
    ----------
    merge_within_ms : int
        Longest time that bytes stay in a buffer.
    """

    def __init__(self, merge_within_ms):
        self._merge_within_s = merge_within_ms / 1000
        self._scheduled = set()
        self._has_scheduled = gevent.event.Event()

    def schedule(self, buffer):
        """Schedule a FrameBuffer to be flushed."""
        self._scheduled.add(buffer)
        self._has_scheduled.set()

    def finish(self, buffer):
        """Flush a FrameBuffer now, for the last time."""
        self._scheduled.discard(buffer)
        buffer.flush()

    def discard(self, buffer):
        """Remove a FrameBuffer without flushing it."""
        self._scheduled.discard(buffer)

    def run(self):
        """Flush until the greenlet is killed."""
        while True:
            self._has_scheduled.wait()
            gevent.sleep(self._merge_within_s)
            self._has_scheduled.clear()
            scheduled, self._scheduled = self._scheduled, set()
            for buffer in scheduled:
                buffer.flush()


class Relay:
    """Reads answers and sends them on the streams of their attempts.

    Parameters
    ----------
    flusher : FrameFlusher
    """

    def __init__(self, flusher):
        self._flusher = flusher

    def relay(self, attempt, answer, on_chunk=None):
        """Send all frames of an answer; return None if it was complete, or a Failure.

        Parameters
        ----------
        attempt : Attempt
        answer : BackendAnswer
        on_chunk : callable or None
            Called with each chunk as it arrives.
        """
        buffer = FrameBuffer(attempt.send_frame)
        attempt.send_head(answer.head.status_code, answer.head.content_type)
        try:
            for chunk in answer.chunks():
                if isinstance(chunk, Failure):
                    return chunk
                if on_chunk:
                    on_chunk(chunk)
                if buffer.add(chunk):
                    self._flusher.schedule(buffer)
            self._flusher.finish(buffer)
        finally:
            self._flusher.discard(buffer)
        return None
