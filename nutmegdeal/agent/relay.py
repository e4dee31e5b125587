"""Relays a backend server's answer as numbered frames, without parsing it."""

import gevent
import gevent.event

from nutmegdeal.buffering.answers import ANSWER_BYTES_MAX, HELD_ANSWERS
from nutmegdeal.errors import Failure, Reason, Step

PENDING_BYTES_MAX = 65_536
# Pause of an answer whose stream takes no more, between two looks at it.
ROOM_POLL_S = 0.01


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
            Called with each chunk as it arrives, to hold the whole answer.
        """
        buffer = FrameBuffer(attempt.send_frame)
        limit = _AnswerLimit(answer.head, is_held=on_chunk is not None)
        attempt.send_head(answer.head.status_code, answer.head.content_type)
        try:
            for chunk in answer.chunks():
                if isinstance(chunk, Failure):
                    return chunk
                if not limit.allows(chunk):
                    answer.close()
                    return limit.build_failure()
                if on_chunk:
                    on_chunk(chunk)
                if buffer.add(chunk):
                    self._flusher.schedule(buffer)
                # Too much in the outbox would end the stream for all its attempts.
                while not attempt.has_room:
                    gevent.sleep(ROOM_POLL_S)
            self._flusher.finish(buffer)
        finally:
            self._flusher.discard(buffer)
        return None


class _AnswerLimit:
    """Limits the bytes of an answer that this process or the entry holds.

    Parameters
    ----------
    head : BackendHead
    is_held : bool
        Whether this process holds the answer, too.
    """

    def __init__(self, head, is_held):
        self._is_held = is_held
        self._is_passed_on = not is_held and head.is_event_stream
        self._held = HELD_ANSWERS.open_answer() if is_held else None
        self._byte_count = 0

    def allows(self, chunk):
        """Return whether the answer may have these further bytes (bool)."""
        if self._is_passed_on:
            return True
        self._byte_count += len(chunk)
        if self._byte_count > ANSWER_BYTES_MAX:
            return False
        return not self._is_held or self._held.grow(len(chunk))

    def build_failure(self):
        """Return the Failure of an answer that is too large."""
        return Failure(
            Reason.INCOMPLETE_ANSWER,
            Step.RELAY,
            "",
            f"the answer has {self._byte_count} bytes, too many to be held",
            maybe_applied=True,
        )
