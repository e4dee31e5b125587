"""Faults of the answers of the stand-ins for the platform's backend servers."""

import abc
import enum
import time

import attrs
import gevent

from nutmegdeal.fakes.endless_answers import EndlessAnswer, encode_head


class AnswerBreak(enum.Enum):
    """How an answer breaks off.

    BETWEEN_EVENTS and INSIDE_EVENT close the connection after a whole event or in the
    middle of one, RESET resets it there. A plain answer has the length of one event.
    """

    BETWEEN_EVENTS = "between_events"
    INSIDE_EVENT = "inside_event"
    RESET = "reset"


@attrs.define
class AnswerFaults:
    """Switches of the faults of a backend server's answers.

    Parameters
    ----------
    silences_pending : int
        Number of next answers that pause for `silence_ms` and then go on.
    silence_ms : float
    silence_event : int
        Number of the event before which a stream pauses; a plain answer pauses before
        its head.
    silent_until_ms : float
        On the monotonic clock. Until then the server sends nothing, and goes on
        afterwards.
    sends_head_early : bool
        The head of an answer does not wait for the first event or body.
    is_unframed : bool
        Answers have neither a length nor chunks and end with their connection.
    breaks_pending : int
        Number of next answers that break off as `break_kind` says.
    break_kind : AnswerBreak
    ignores_close : bool
        Requests that have arrived are run even if their client has closed the
        connection; a run ends when the server writes to it.
    repeats_refusals : bool
        Refusals come a second time, before the next answer on their connection.
    endless : EndlessAnswer or None
        All answers are of this kind, until the client closes the connection.
    endless_interval_ms : float
        Pause between two pieces of an endless answer.
    """

    silences_pending: int = 0
    silence_ms: float = 0.0
    silence_event: int = 0
    silent_until_ms: float = 0.0
    sends_head_early: bool = False
    is_unframed: bool = False
    breaks_pending: int = 0
    break_kind: AnswerBreak = AnswerBreak.INSIDE_EVENT
    ignores_close: bool = False
    repeats_refusals: bool = False
    endless: EndlessAnswer | None = None
    endless_interval_ms: float = 10.0

    def fall_silent(self, silence_ms):
        """Send nothing for a time from now on."""
        self.silent_until_ms = time.monotonic() * 1000 + silence_ms

    def is_silent(self):
        """Return whether the server sends nothing now."""
        return time.monotonic() * 1000 < self.silent_until_ms

    def wait_while_silent(self):
        """Wait until the server may send."""
        while (pause_ms := self.silent_until_ms - time.monotonic() * 1000) > 0:
            gevent.sleep(pause_ms / 1000)

    def pause_before(self, event_number):
        """Wait before an event of a stream, if the server is silent there."""
        if self.silences_pending and event_number == self.silence_event:
            self.silences_pending -= 1
            gevent.sleep(self.silence_ms / 1000)
        self.wait_while_silent()

    def claim_break(self):
        """Return the AnswerBreak of the present answer, or None."""
        if not self.breaks_pending:
            return None
        self.breaks_pending -= 1
        return self.break_kind


class AnswerWriter(abc.ABC):
    """Sends a successful answer."""

    @abc.abstractmethod
    def start(self, headers):
        """Begin the answer; the head may wait for the first bytes of the body."""

    @abc.abstractmethod
    def send(self, data):
        """Send bytes of the body; empty ones send the head alone."""

    @abc.abstractmethod
    def finish(self):
        """End the answer."""


class ChunkedWriter(AnswerWriter):
    """Sends the body in chunks.

    Parameters
    ----------
    responder : Responder
    """

    def __init__(self, responder):
        self._responder = responder

    def start(self, headers):
        """Begin the answer."""
        self._responder.start(200, headers)

    def send(self, data):
        """Send one chunk."""
        self._responder.send(data)

    def finish(self):
        """Send the last chunk."""
        self._responder.finish()


class UnframedWriter(AnswerWriter):
    """Sends a body without length or chunks, which ends with its connection.

    Parameters
    ----------
    connection : ServedConnection
    """

    def __init__(self, connection):
        self._connection = connection
        self._unsent_head = b""

    def start(self, headers):
        """Begin the answer."""
        self._unsent_head = encode_head(headers)

    def send(self, data):
        """Send bytes as they are."""
        unsent_head, self._unsent_head = self._unsent_head, b""
        self._connection.write(unsent_head + data)

    def finish(self):
        """Send what is left; the listener then closes the connection."""
        if self._unsent_head:
            self.send(b"")
