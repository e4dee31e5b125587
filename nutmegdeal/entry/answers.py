"""Verifies the order, count and digest of the messages of one attempt's answer."""

import hashlib

import attrs

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.messages import AnswerEnd, AnswerFrame, AnswerHead


@attrs.frozen
class AcceptedFrame:
    """The next bytes of the answer, accepted in order."""

    payload: bytes


@attrs.frozen
class VerifiedAnswer:
    """The answer is complete: all frames were accepted and match count and digest."""

    end: AnswerEnd


class AnswerVerifier:
    """Accepts the messages of one attempt in order and drops all others.

    Parameters
    ----------
    attempt_id : str
        The attempt whose messages are accepted.
    """

    def __init__(self, attempt_id):
        self.head = None
        self._attempt_id = attempt_id
        self._frame_count = 0
        self._digest = hashlib.sha256()
        self._has_ended = False

    def accept(self, message):
        """Verify one message.

        Returns
        -------
        AnswerHead, AcceptedFrame, VerifiedAnswer, Failure or None
            None if the message is dropped: it belongs to another attempt, is a
            duplicate or is out of order. A Failure with reason ``INCOMPLETE_ANSWER``
            if the AnswerEnd shows that frames are missing or altered.
        """
        if message.attempt_id != self._attempt_id or self._has_ended:
            return None
        if isinstance(message, AnswerHead):
            return self._accept_head(message)
        if isinstance(message, AnswerFrame):
            return self._accept_frame(message)
        if isinstance(message, AnswerEnd):
            return self._accept_end(message)
        return None

    def _accept_head(self, head):
        if self.head is not None:
            return None
        self.head = head
        return head

    def _accept_frame(self, frame):
        if self.head is None or frame.sequence != self._frame_count:
            return None
        self._frame_count += 1
        self._digest.update(frame.payload)
        return AcceptedFrame(frame.payload)

    def _accept_end(self, end):
        self._has_ended = True
        if self.head is None:
            return self._fail("the answer ended without a head")
        if end.frame_count != self._frame_count:
            return self._fail(
                f"{self._frame_count} of {end.frame_count} frames arrived in order"
            )
        if end.digest != self._digest.hexdigest():
            return self._fail("the answer's digest does not match its bytes")
        return VerifiedAnswer(end)

    def _fail(self, detail):
        return Failure(Reason.INCOMPLETE_ANSWER, Step.RELAY, "", detail)
