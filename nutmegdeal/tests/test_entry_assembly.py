"""Proofs that a caller gets the whole answer to its own request."""

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
    """Passes on what arrives for the request, as a simple proxy does."""

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
    """Return the bytes of an event stream that is whole."""
    events = [b"data: " + token + b"\n\n" for token in tokens]
    return b"".join([*events, b"data: [DONE]\n\n"])


def split(data, sizes):
    """Return `data` in chunks of these sizes, again and again."""
    chunks, start, number = [], 0, 0
    while start < len(data):
        size = sizes[number % len(sizes)]
        chunks.append(data[start : start + size])
        start += size
        number += 1
    return chunks


class AnswerMachine(RuleBasedStateMachine):
    """Several attempts alive at once; messages late, twice, reordered or cut off."""

    relay_class = AnswerAssembly
    is_streamed = True

    def __init__(self):
        super().__init__()
        self.relay = self.relay_class(self.is_streamed)
        self.answers = []
        self.messages = []
        self.passed = b""
        self.complete = None
        self.is_over = False

    @precondition(lambda self: not self.is_over and len(self.answers) < 3)
    @rule(
        tokens=EVENTS,
        is_same=st.booleans(),
        sizes=st.lists(st.integers(1, 30), min_size=1, max_size=3),
    )
    def begin_attempt(self, tokens, is_same, sizes):
        """Begin an attempt; its answer may differ from that of the one before."""
        is_repeat = is_same and self.answers
        whole = self.answers[-1] if is_repeat else encode_stream(tokens)
        self.answers.append(whole)
        attempt_id = f"{REQUEST_ID}.{len(self.answers)}"
        chunks = split(whole, sizes)
        self.messages += build_answer(attempt_id, chunks, content_type=EVENT_STREAM)
        self.relay.begin_attempt(attempt_id)

    @precondition(lambda self: self.answers)
    @rule(tokens=EVENTS)
    def send_foreign_answer(self, tokens):
        """Put the messages of another request on the same connection."""
        chunks = [encode_stream(tokens)]
        self.messages += build_answer(
            f"{OTHER_REQUEST_ID}.1", chunks, content_type=EVENT_STREAM
        )

    @precondition(lambda self: self.messages and not self.is_over)
    @rule(data=st.data())
    def deliver_any(self, data):
        """Deliver any message, whether it is due, late or was delivered before."""
        index = data.draw(st.integers(0, len(self.messages) - 1))
        self.deliver(self.messages[index])

    @precondition(lambda self: self.messages and not self.is_over)
    @rule(count=st.integers(1, 8))
    def deliver_in_order(self, count):
        """Deliver the first messages of the current attempt in order."""
        attempt_id = f"{REQUEST_ID}.{len(self.answers)}"
        mine = [item for item in self.messages if item.attempt_id == attempt_id]
        for message in mine[:count]:
            if not self.is_over:
                self.deliver(message)

    @precondition(lambda self: self.messages and not self.is_over)
    @rule(count=st.integers(0, 9))
    def deliver_truncated(self, count):
        """Deliver the end of the current attempt with another frame count."""
        attempt_id = f"{REQUEST_ID}.{len(self.answers)}"
        digest = hashlib.sha256(self.answers[-1]).hexdigest()
        self.deliver(AnswerEnd(attempt_id, count, digest))

    def deliver(self, message):
        result = self.relay.process_message(message)
        if isinstance(result, CallerOutput):
            self.passed += result.payload
        if isinstance(result, Inconsistent):
            self.is_over = True
        if isinstance(result, Complete):
            self.is_over = True
            self.complete = result
            if result.remainder is not None:
                self.passed += result.remainder.payload

    @invariant()
    def done_is_passed_only_with_a_whole_answer(self):
        if self.complete is None:
            assert b"[DONE]" not in self.passed

    @invariant()
    def passed_bytes_begin_an_answer_to_this_request(self):
        assert any(whole.startswith(self.passed) for whole in [b"", *self.answers])

    @invariant()
    def passed_bytes_are_whole_events(self):
        assert self.passed == b"" or self.passed.endswith(b"\n\n")

    @invariant()
    def complete_answer_is_that_of_the_current_attempt(self):
        if self.complete is None:
            return
        answer = self.complete.answer
        given = self.passed if answer is None else answer.body
        assert given == self.answers[-1]


class PlainAnswerMachine(AnswerMachine):
    """The same faults, for an answer that is given whole."""

    is_streamed = False


class NaiveStreamMachine(AnswerMachine):
    """The naive relay under the same faults."""

    relay_class = NaiveRelay


class NaivePlainMachine(PlainAnswerMachine):
    """The naive relay, for an answer that is given whole."""

    relay_class = NaiveRelay


@pytest.mark.promise(3)
@pytest.mark.parametrize("machine", [AnswerMachine, PlainAnswerMachine])
def test_caller_gets_the_whole_answer_of_its_own_request(machine):
    run_state_machine_as_test(machine, settings=MACHINE_SETTINGS)


@pytest.mark.promise(3)
@pytest.mark.parametrize("machine", [NaiveStreamMachine, NaivePlainMachine])
def test_naive_relay_breaks_the_same_properties(machine):
    generate_only = settings(MACHINE_SETTINGS, phases=[Phase.generate])
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=generate_only)


def take_all(relay, messages):
    """Return the bytes passed on, and the last result."""
    passed, result = b"", None
    for message in messages:
        result = relay.process_message(message)
        part = result.remainder if isinstance(result, Complete) else result
        if isinstance(part, CallerOutput):
            passed += part.payload
    return passed, result


@pytest.mark.promise(3)
def test_late_frame_of_a_lost_attempt_fools_only_the_naive_relay():
    """Differential: attempt 1 is given up, its frame arrives during attempt 2."""
    whole = encode_stream([b"bolt"])
    late = AnswerFrame(f"{REQUEST_ID}.1", 0, b"data: jaw\n\n")
    second = build_answer(f"{REQUEST_ID}.2", [whole], content_type=EVENT_STREAM)
    messages = [second[0], late, *second[1:]]
    given = {}
    for relay_class in (NaiveRelay, AnswerAssembly):
        relay = relay_class(True)
        relay.begin_attempt(f"{REQUEST_ID}.1")
        relay.begin_attempt(f"{REQUEST_ID}.2")
        given[relay_class], _ = take_all(relay, messages)
    assert given[NaiveRelay] != whole
    assert given[AnswerAssembly] == whole


def test_event_in_many_small_frames_is_passed_on_whole():
    whole = encode_stream([b"jaw", b"bolt"]).replace(b"\n\n", b"\r\n\r\n")
    relay = AnswerAssembly(True)
    relay.begin_attempt("r.1")
    chunks = split(whole, [1])
    messages = build_answer("r.1", chunks, content_type=EVENT_STREAM)
    passed, result = take_all(relay, messages)
    assert passed == whole
    assert isinstance(result, Complete)


def test_done_inside_an_event_does_not_end_the_stream():
    text = b'data: {"text": "data: [DONE]"}\n\n'
    relay = AnswerAssembly(True)
    relay.begin_attempt("r.1")
    messages = build_answer("r.1", [text], content_type=EVENT_STREAM)
    assert take_all(relay, messages[:2])[0] == text


def test_error_of_the_backend_to_a_stream_is_given_whole():
    relay = AnswerAssembly(True)
    relay.begin_attempt("r.1")
    _, result = take_all(relay, build_answer("r.1", [b"{}"], 400, "application/json"))
    assert result.answer.status_code == 400
