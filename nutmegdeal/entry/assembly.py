"""Assembles the caller's answer from the messages of a request's attempts."""

import attrs

from nutmegdeal.buffering.answers import ANSWER_BYTES_MAX, HELD_ANSWERS
from nutmegdeal.entry.answers import AcceptedFrame, AnswerVerifier, VerifiedAnswer
from nutmegdeal.entry.streams import EventRelay, is_event_stream
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.ledger import LedgerAnswer
from nutmegdeal.messages import AnswerHead

STATUS_OK = 200


@attrs.frozen
class StreamStarted:
    """A streamed answer begins; its bytes follow."""

    status_code: int
    content_type: str


@attrs.frozen
class CallerOutput:
    """Bytes of a streamed answer that can be sent to the caller now.

    Parameters
    ----------
    started : StreamStarted or None
        Set with the first bytes of a stream.
    payload : bytes
    """

    started: StreamStarted | None
    payload: bytes


@attrs.frozen
class Complete:
    """The answer is complete and verified.

    Parameters
    ----------
    end : AnswerEnd
    answer : LedgerAnswer or None
        The complete answer, None if it was streamed.
    remainder : CallerOutput or None
        The remaining bytes of a stream.
    """

    end: object
    answer: LedgerAnswer | None = None
    remainder: CallerOutput | None = None


@attrs.frozen
class Incomplete:
    """The attempt's answer is incomplete; another attempt may replace it."""

    failure: Failure


@attrs.frozen
class Inconsistent:
    """The answer cannot be delivered, and no other attempt may replace it.

    It does not continue what the caller has already received, or it is too large.
    """

    failure: Failure


class AnswerAssembly:
    """Assembles the answer to one request, whose attempts follow one another.

    Only messages of the current attempt count. An answer that is not streamed is
    released only when it is complete. A stream is released in complete events, and its
    ``[DONE]`` event only after the count and digest of all frames have been verified.

    Parameters
    ----------
    is_streamed : bool
        True if the caller asked for a stream.
    """

    def __init__(self, is_streamed):
        self._is_streamed = is_streamed
        self._events = EventRelay()
        self._started = None
        self._verifier = None
        self._chunks = []
        self._held = HELD_ANSWERS.open_answer()

    def begin_attempt(self, attempt_id):
        """Accept the messages of this attempt only, from now on."""
        self._verifier = AnswerVerifier(attempt_id)
        self._events.begin_attempt()
        self._chunks = []
        self._held.clear()

    def process_message(self, message):
        """Process an AnswerHead, AnswerFrame or AnswerEnd.

        Returns
        -------
        CallerOutput, Complete, Incomplete, Inconsistent or None
            None if there is nothing to send to the caller now.
        """
        result = self._verifier.accept(message)
        if isinstance(result, Failure):
            return Incomplete(result)
        if isinstance(result, AnswerHead):
            return self._check_head(result)
        if isinstance(result, AcceptedFrame):
            return self._process_payload(result.payload)
        if isinstance(result, VerifiedAnswer):
            return self._complete(result.end)
        return None

    @property
    def _is_event_stream(self):
        head = self._verifier.head
        if not self._is_streamed or head.status_code != STATUS_OK:
            return False
        return is_event_stream(head.content_type)

    def _check_head(self, head):
        """Return Inconsistent if a head differs from that of the started stream."""
        if self._started is None:
            return None
        if self._started == StreamStarted(head.status_code, head.content_type):
            return None
        detail = f"another attempt answered {head.status_code} {head.content_type}"
        return Inconsistent(_fail(detail))

    def _process_payload(self, payload):
        if not self._is_event_stream:
            return self._buffer_payload(payload)
        released = self._events.feed(payload)
        if isinstance(released, Failure):
            return Inconsistent(released)
        return self._build_output(released)

    def _buffer_payload(self, payload):
        self._chunks.append(payload)
        may_hold = self._held.grow(len(payload))
        if may_hold and self._held.byte_count <= ANSWER_BYTES_MAX:
            return None
        detail = f"the answer has {self._held.byte_count} bytes, too many to be held"
        self._chunks = []
        self._held.clear()
        return Inconsistent(_fail(detail))

    def _complete(self, end):
        head = self._verifier.head
        if not self._is_event_stream:
            body = b"".join(self._chunks)
            return Complete(
                end, LedgerAnswer(head.status_code, head.content_type, body)
            )
        remaining = self._events.finish()
        if isinstance(remaining, Failure):
            return Inconsistent(remaining)
        return Complete(end, None, self._build_output(remaining))

    def _build_output(self, payload):
        if not payload:
            return None
        if self._started is not None:
            return CallerOutput(None, payload)
        head = self._verifier.head
        self._started = StreamStarted(head.status_code, head.content_type)
        return CallerOutput(self._started, payload)


def _fail(detail):
    return Failure(Reason.INCOMPLETE_ANSWER, Step.RELAY, "", detail)
