"""Property tests: a caller gets the complete answer to its own request."""

import hashlib

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from nutmegdeal.entry.assembly import (
    AnswerAssembly,
    CallerOutput,
    Complete,
    Inconsistent,
)
from nutmegdeal.ledger import LedgerAnswer
from nutmegdeal.messages import AnswerEnd, AnswerFrame, AnswerHead
from nutmegdeal.tests.entry_fixtures import EVENT_STREAM, build_answer

REQUEST_ID = "e1-1"
OTHER_REQUEST_ID = "e1-2"
TOKENS = (b"jaw", b"bolt", b"hire")
EVENTS = st.lists(st.sampled_from(TOKENS), min_size=1, max_size=4)
MACHINE_SETTINGS = settings(
    max_examples=200, stateful_step_count=30, report_multiple_bugs=False
)


class NaiveRelay:
    """Simple proxy for comparison: forwards all that arrives for the request."""

    def __init__(self, is_streamed):
        self._is_streamed = is_streamed
        self._chunks = []

    def begin_attempt(self, attempt_id):
        pass

    def process_message(self, message):
        if isinstance(message, AnswerHead):
            return None
        if isinstance(message, AnswerFrame):
            if self._is_streamed:
                return CallerOutput(None, message.payload)
            self._chunks.append(message.payload)
            return None
        if self._is_streamed:
            return Complete(message)
        return Complete(message, LedgerAnswer(200, "", b"".join(self._chunks)))


def encode_stream(tokens):
    """Return the bytes of a complete event stream."""
    events = [b"data: " + token + b"\n\n" for token in tokens]
    return b"".join([*events, b"data: [DONE]\n\n"])


def split(data, sizes):
    """Return `data` in chunks whose sizes cycle through `sizes`."""
    chunks, start, number = [], 0, 0
    while start < len(data):
        size = sizes[number % len(sizes)]
        chunks.append(data[start : start + size])
        start += size
        number += 1
    return chunks


class AnswerMachine(RuleBasedStateMachine):
    """Overlapping attempts; messages arrive late, twice, out of order or not at all."""

    relay_class = AnswerAssembly
    is_streamed = True

    def __init__(self):
        super().__init__()
        self.relay = self.relay_class(self.is_streamed)
        self.answers = []
        self.messages = []
        self.forwarded = b""
        self.complete = None
        self.is_over = False

    @precondition(lambda self: not self.is_over and len(self.answers) < 3)
    @rule(
        tokens=EVENTS,
        is_same=st.booleans(),
        sizes=st.lists(st.integers(1, 30), min_size=1, max_size=3),
    )
    def begin_attempt(self, tokens, is_same, sizes):
        """Begin an attempt whose answer may differ from that of the last one."""
        is_repeat = is_same and self.answers
        complete_stream = self.answers[-1] if is_repeat else encode_stream(tokens)
        self.answers.append(complete_stream)
        attempt_id = f"{REQUEST_ID}.{len(self.answers)}"
        chunks = split(complete_stream, sizes)
        self.messages += build_answer(attempt_id, chunks, content_type=EVENT_STREAM)
        self.relay.begin_attempt(attempt_id)

    @precondition(lambda self: self.answers)
    @rule(tokens=EVENTS)
    def add_answer_of_another_request(self, tokens):
        """Add the messages of another request on the same connection."""
        chunks = [encode_stream(tokens)]
        self.messages += build_answer(
            f"{OTHER_REQUEST_ID}.1", chunks, content_type=EVENT_STREAM
        )

    @precondition(lambda self: self.messages and not self.is_over)
    @rule(data=st.data())
    def deliver_any(self, data):
        """Deliver any message: due, late, or already delivered."""
        index = data.draw(st.integers(0, len(self.messages) - 1))
        self.deliver(self.messages[index])

    @precondition(lambda self: self.messages and not self.is_over)
    @rule(count=st.integers(1, 8))
    def deliver_in_order(self, count):
        """Deliver the first `count` messages of the current attempt in order."""
        attempt_id = f"{REQUEST_ID}.{len(self.answers)}"
        own_messages = [item for item in self.messages if item.attempt_id == attempt_id]
        for message in own_messages[:count]:
            if not self.is_over:
                self.deliver(message)

    @precondition(lambda self: self.messages and not self.is_over)
    @rule(count=st.integers(0, 9))
    def deliver_wrong_frame_count(self, count):
        """Deliver the AnswerEnd of the current attempt with any frame count."""
        attempt_id = f"{REQUEST_ID}.{len(self.answers)}"
        digest = hashlib.sha256(self.answers[-1]).hexdigest()
        self.deliver(AnswerEnd(attempt_id, count, digest))

    def deliver(self, message):
        result = self.relay.process_message(message)
        if isinstance(result, CallerOutput):
            self.forwarded += result.payload
        if isinstance(result, Inconsistent):
            self.is_over = True
        if isinstance(result, Complete):
            self.is_over = True
            self.complete = result
            if result.remainder is not None:
                self.forwarded += result.remainder.payload

    @invariant()
    def done_is_forwarded_only_with_a_complete_answer(self):
        if self.complete is None:
            assert b"[DONE]" not in self.forwarded

    @invariant()
    def forwarded_bytes_begin_an_answer_to_this_request(self):
        assert any(
            complete_stream.startswith(self.forwarded)
            for complete_stream in [b"", *self.answers]
        )

    @invariant()
    def forwarded_bytes_are_complete_events(self):
        assert self.forwarded == b"" or self.forwarded.endswith(b"\n\n")

    @invariant()
    def complete_answer_is_that_of_the_current_attempt(self):
        if self.complete is None:
            return
        answer = self.complete.answer
        given = self.forwarded if answer is None else answer.body
        assert given == self.answers[-1]


class PlainAnswerMachine(AnswerMachine):
    """The same faults for an answer that is not streamed."""

    is_streamed = False


class NaiveStreamMachine(AnswerMachine):
    """The naive relay with the same faults."""

    relay_class = NaiveRelay


class NaivePlainMachine(PlainAnswerMachine):
    """The naive relay for an answer that is not streamed."""

    relay_class = NaiveRelay


@pytest.mark.promise(3)
@pytest.mark.parametrize("machine", [AnswerMachine, PlainAnswerMachine])
def test_caller_gets_the_complete_answer_of_its_own_request(machine):
    run_state_machine_as_test(machine, settings=MACHINE_SETTINGS)


@pytest.mark.promise(3)
@pytest.mark.parametrize("machine", [NaiveStreamMachine, NaivePlainMachine])
def test_naive_relay_breaks_the_same_properties(machine):
    generate_only = settings(MACHINE_SETTINGS, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=generate_only)


def process_all(relay, messages):
    """Return the forwarded bytes and the last result."""
    forwarded, result = b"", None
    for message in messages:
        result = relay.process_message(message)
        part = result.remainder if isinstance(result, Complete) else result
        if isinstance(part, CallerOutput):
            forwarded += part.payload
    return forwarded, result


@pytest.mark.promise(3)
def test_late_frame_of_a_lost_attempt_is_forwarded_only_by_the_naive_relay():
    """Differential test: a frame of attempt 1 arrives during attempt 2."""
    complete_stream = encode_stream([b"bolt"])
    late = AnswerFrame(f"{REQUEST_ID}.1", 0, b"data: jaw\n\n")
    second = build_answer(
        f"{REQUEST_ID}.2", [complete_stream], content_type=EVENT_STREAM
    )
    messages = [second[0], late, *second[1:]]
    given = {}
    for relay_class in (NaiveRelay, AnswerAssembly):
        relay = relay_class(True)
        relay.begin_attempt(f"{REQUEST_ID}.1")
        relay.begin_attempt(f"{REQUEST_ID}.2")
        given[relay_class], _ = process_all(relay, messages)
    assert given[NaiveRelay] != complete_stream
    assert given[AnswerAssembly] == complete_stream


def test_event_in_many_small_frames_is_forwarded_completely():
    complete_stream = encode_stream([b"jaw", b"bolt"]).replace(b"\n\n", b"\r\n\r\n")
    relay = AnswerAssembly(True)
    relay.begin_attempt("r.1")
    chunks = split(complete_stream, [1])
    messages = build_answer("r.1", chunks, content_type=EVENT_STREAM)
    forwarded, result = process_all(relay, messages)
    assert forwarded == complete_stream
    assert isinstance(result, Complete)


def test_done_inside_an_event_does_not_end_the_stream():
    text = b'data: {"text": "data: [DONE]"}\n\n'
    relay = AnswerAssembly(True)
    relay.begin_attempt("r.1")
    messages = build_answer("r.1", [text], content_type=EVENT_STREAM)
    assert process_all(relay, messages[:2])[0] == text


def test_backend_error_to_a_stream_request_is_not_streamed():
    relay = AnswerAssembly(True)
    relay.begin_attempt("r.1")
    _, result = process_all(
        relay, build_answer("r.1", [b"{}"], 400, "application/json")
    )
    assert result.answer.status_code == 400
