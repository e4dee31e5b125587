"""The part of an answer that its caller has received."""

import attrs


def _do_nothing():
    """Take no notice of an event."""


@attrs.define
class AnswerProgress:
    """The part of the answer that the caller has received.

    Parameters
    ----------
    responder : Responder
    last_event_id : int or None
        Id of the last event that was forwarded.
    begun_head : ResponseHead or None
        Head of the answer that was begun, None if none has been.
    first_byte_ms : float
        When the first part was forwarded, 0.0 if none has been.
    last_byte_ms : float
        When the last part was forwarded, 0.0 if none has been.
    longest_gap_ms : float
        Longest gap between two parts.
    on_delivered : callable
        Called once a run has delivered so much that its prompt has proved sound.
    on_begun : callable
        Called before the first event of a stream that no earlier attempt has begun.
    """

    responder: object
    last_event_id: int | None = None
    begun_head: object = None
    first_byte_ms: float = 0.0
    last_byte_ms: float = 0.0
    longest_gap_ms: float = 0.0
    on_delivered: object = _do_nothing
    on_begun: object = _do_nothing

    def record_forwarded(self, now_ms):
        """Record that a part of the answer is forwarded.

        Returns
        -------
        float
            Time since the previous part, 0.0 for the first one.
        """
        gap_ms = 0.0
        if not self.first_byte_ms:
            self.first_byte_ms = now_ms
        else:
            gap_ms = now_ms - self.last_byte_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_byte_ms = now_ms
        return gap_ms
