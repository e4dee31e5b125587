"""Which bytes of a server-sent event stream may be passed on to the caller."""

import hashlib

from nutmegdeal.errors import Failure, Reason, Step

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
DONE_EVENT = b"data: [DONE]"
EVENT_STREAM_TYPE = "text/event-stream"
EVENT_BYTES_MAX = 4_194_304


def is_event_stream(content_type):
    """Return whether a content type is that of server-sent events."""
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM_TYPE


class EventRelay:
    """Passes on whole events of one answer, whichever attempts produce it.

    The last event is held until the answer is known to be whole, so that a broken
    stream never ends with ``[DONE]``. A further attempt starts over; the bytes that
    the caller already has are compared by digest and left out.
    """

    def __init__(self):
        self._passed_digest = hashlib.sha256()
        self._passed_count = 0
        self._held = b""
        self._skip_count = 0
        self._skipped_digest = hashlib.sha256()

    def begin_attempt(self):
        """Expect an answer from its first byte again."""
        self._held = b""
        self._skip_count = self._passed_count
        self._skipped_digest = hashlib.sha256()

    def feed(self, payload):
        """Take the next bytes of the answer.

        Returns
        -------
        bytes or Failure
            The bytes to pass on, perhaps none. A Failure if the attempt's answer
            does not begin with the bytes that the caller has.
        """
        skipped, payload = payload[: self._skip_count], payload[self._skip_count :]
        if skipped:
            self._skipped_digest.update(skipped)
            self._skip_count -= len(skipped)
            if self._skip_count == 0 and not self._is_same_beginning():
                return self._fail("another attempt's answer begins with other bytes")
        if not payload:
            return b""
        self._held += payload
        if len(self._held) > EVENT_BYTES_MAX:
            return self._fail(f"an event is longer than {EVENT_BYTES_MAX} bytes")
        return self._pass_on(self._find_cut())

    def finish(self):
        """Return the held bytes once the answer is known to be whole, or a Failure."""
        if self._skip_count > 0:
            return self._fail("another attempt's answer is shorter")
        return self._pass_on(len(self._held))

    def _find_cut(self):
        done = self._find_done()
        ends = (
            self._held.rfind(end, 0, done) + len(end)
            for end in EVENT_ENDS
            if end in self._held[:done]
        )
        return max(ends, default=0)

    def _find_done(self):
        if self._held.startswith(DONE_EVENT):
            return 0
        found = self._held.find(b"\n" + DONE_EVENT)
        return len(self._held) if found < 0 else found + 1

    def _pass_on(self, count):
        payload, self._held = self._held[:count], self._held[count:]
        self._passed_digest.update(payload)
        self._passed_count += len(payload)
        return payload

    def _is_same_beginning(self):
        return self._skipped_digest.digest() == self._passed_digest.digest()

    def _fail(self, detail):
        return Failure(Reason.INCOMPLETE_ANSWER, Step.RELAY, "", detail)
