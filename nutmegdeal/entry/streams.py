"""Decides which bytes of a server-sent event stream are released to the caller."""

import hashlib

from nutmegdeal.errors import Failure, Reason, Step

EVENT_SEPARATORS = (b"\n\n", b"\r\n\r\n")
DONE_EVENT = b"data: [DONE]"
EVENT_STREAM_TYPE = "text/event-stream"
EVENT_BYTES_MAX = 4_194_304


def is_event_stream(content_type):
    """Return whether a content type is that of server-sent events."""
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM_TYPE


class EventRelay:
    """Releases complete events of one answer, which several attempts may produce.

    The ``[DONE]`` event is held back until the answer is known to be complete, so that
    a broken stream never ends with it. A further attempt produces the answer from its
    first byte; the bytes that the caller already has are compared by digest and
    skipped.
    """

    def __init__(self):
        self._released_digest = hashlib.sha256()
        self._released_byte_count = 0
        self._buffer = b""
        self._remaining_skip_bytes = 0
        self._skipped_digest = hashlib.sha256()

    def begin_attempt(self):
        """Expect the answer from its first byte again."""
        self._buffer = b""
        self._remaining_skip_bytes = self._released_byte_count
        self._skipped_digest = hashlib.sha256()

    def feed(self, payload):
        """Add the next bytes of the current attempt's answer.

        Returns
        -------
        bytes or Failure
            The bytes to release, possibly none. A Failure if the attempt's answer does
            not begin with the bytes that the caller has, or if an event is too long.
        """
        skipped, payload = (
            payload[: self._remaining_skip_bytes],
            payload[self._remaining_skip_bytes :],
        )
        if skipped:
            self._skipped_digest.update(skipped)
            self._remaining_skip_bytes -= len(skipped)
            if self._remaining_skip_bytes == 0 and not self._is_same_prefix():
                return self._fail("another attempt's answer begins with other bytes")
        if not payload:
            return b""
        self._buffer += payload
        if len(self._buffer) > EVENT_BYTES_MAX:
            return self._fail(f"an event is longer than {EVENT_BYTES_MAX} bytes")
        return self._release(self._find_release_end())

    def finish(self):
        """Release the rest after the answer was verified.

        Returns
        -------
        bytes or Failure
            A Failure if the answer is shorter than what the caller already has.
        """
        if self._remaining_skip_bytes > 0:
            return self._fail("another attempt's answer is shorter")
        return self._release(len(self._buffer))

    def _find_release_end(self):
        done = self._find_done_event()
        ends = (
            self._buffer.rfind(end, 0, done) + len(end)
            for end in EVENT_SEPARATORS
            if end in self._buffer[:done]
        )
        return max(ends, default=0)

    def _find_done_event(self):
        if self._buffer.startswith(DONE_EVENT):
            return 0
        found = self._buffer.find(b"\n" + DONE_EVENT)
        return len(self._buffer) if found < 0 else found + 1

    def _release(self, count):
        payload, self._buffer = self._buffer[:count], self._buffer[count:]
        self._released_digest.update(payload)
        self._released_byte_count += len(payload)
        return payload

    def _is_same_prefix(self):
        return self._skipped_digest.digest() == self._released_digest.digest()

    def _fail(self, detail):
        return Failure(Reason.INCOMPLETE_ANSWER, Step.RELAY, "", detail)
