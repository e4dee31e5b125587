"""One attempt at a request, from its arrival at the agent to its last message."""

import enum
import functools
import hashlib

import attrs

from nutmegdeal.agent.policy import WaitingRequest
from nutmegdeal.identifiers import AdapterRef
from nutmegdeal.messages import (
    AnswerEnd,
    AnswerFrame,
    AnswerHead,
    AttemptEnded,
    Submit,
)


class AttemptState(enum.Enum):
    """Lifecycle state of an attempt.

    An attempt in AWAITING_OUTCOME repeats a request that another attempt has already
    sent. It waits for the recorded outcome and occupies no place in the batch.
    """

    WAITING = "waiting"
    CLAIMING = "claiming"
    DISPATCHED = "dispatched"
    AWAITING_OUTCOME = "awaiting_outcome"
    ENDED = "ended"


def engine_name_of(submit):
    """Return the engine name of the adapter that a Submit addresses, or ""."""
    if not submit.adapter:
        return ""
    return AdapterRef(submit.adapter, submit.version).engine_name


@attrs.define(eq=False)
class Attempt:
    """An attempt and its stream.

    Parameters
    ----------
    submit : Submit
    session : sessions.Session
        The stream on which it arrived and on which its answer is sent.
    arrived_ms, deadline_ms : float
        Monotonic times.
    state : AttemptState
    is_cancelled : bool
        True once the entry no longer wants the answer.
    load_wait_since_ms : float or None
        Start of the current wait for its adapter, None if it isn't waiting for one.
    load_stall_ms, queue_ms : float
        Time spent waiting for the adapter, and for other reasons.
    replication_degree_hint : int
        Recommended number of agents that hold the adapter, 0 for no recommendation.
    greenlet : gevent.Greenlet or None
        Runs the attempt once it has left the queue.
    is_output_suppressed : bool
        True once the entry was told the attempt's fate or its stream has ended; no
        more messages are sent then.
    requeue_count : int
        Times it was queued again because the engine lacked its adapter.
    """

    submit: Submit
    session: object
    arrived_ms: float
    deadline_ms: float
    state: AttemptState = AttemptState.WAITING
    is_cancelled: bool = False
    load_wait_since_ms: float | None = None
    load_stall_ms: float = 0.0
    queue_ms: float = 0.0
    replication_degree_hint: int = 0
    greenlet: object = None
    is_output_suppressed: bool = False
    requeue_count: int = 0
    _frame_count: int = 0
    _digest: object = attrs.field(factory=hashlib.sha256)

    @property
    def attempt_id(self):
        """Id of the attempt."""
        return self.submit.attempt_id

    @functools.cached_property
    def adapter(self):
        """Engine name of its adapter, "" for a plain service."""
        return engine_name_of(self.submit)

    @functools.cached_property
    def waiting_request(self):
        """The attempt as the scheduling policies see it while it waits."""
        return WaitingRequest(
            self.attempt_id,
            self.adapter,
            self.submit.urgency,
            self.arrived_ms,
            self.deadline_ms,
        )

    def send_head(self, status_code, content_type):
        """Send the answer's status and type."""
        self._send(AnswerHead(self.attempt_id, status_code, content_type))

    def _send(self, message):
        if not self.is_output_suppressed:
            self.session.send(message)

    @property
    def has_room(self):
        """Return whether the stream takes further frames without a wait."""
        return self.is_output_suppressed or self.session.has_room

    def send_frame(self, payload):
        """Send the next bytes of the answer."""
        frame = AnswerFrame(self.attempt_id, self._frame_count, payload)
        self._frame_count += 1
        self._digest.update(payload)
        self._send(frame)

    def send_end(self):
        """Send the frame count and digest that prove the answer complete."""
        self._send(
            AnswerEnd(
                self.attempt_id,
                self._frame_count,
                self._digest.hexdigest(),
                self.load_stall_ms,
                self.queue_ms,
                self.replication_degree_hint,
            )
        )

    def send_failure(self, fate, failure, retry_at_unix_ms=0):
        """Send the message that the attempt ended without a complete answer.

        Parameters
        ----------
        fate : Fate
        failure : Failure
        retry_at_unix_ms : int
        """
        self._send(
            AttemptEnded(
                self.attempt_id,
                fate,
                failure.reason,
                failure.step,
                failure.peer,
                failure.detail,
                retry_at_unix_ms,
                self.replication_degree_hint,
            )
        )
