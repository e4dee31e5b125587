"""Tests of the encoding and decoding of message batches."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from nutmegdeal.errors import Reason, Step
from nutmegdeal.messages import (
    AgentReport,
    AnswerFrame,
    AttemptEnded,
    Fate,
    decode_batch,
    encode_message,
    join_batch,
)
from nutmegdeal.tests.builders import build_booking, build_submit

MESSAGES = (
    build_submit(),
    build_booking(),
    AgentReport("agent-1", "a1", "assist-llm", "dk-west-1", 3, resident=("a@1",)),
    AttemptEnded("r-1.1", Fate.NOT_RUN, Reason.LEAVING, Step.ADMIT, "agent-1"),
    AnswerFrame("r-1.1", 0, b"\x00\xff"),
)


@given(st.lists(st.sampled_from(MESSAGES), max_size=8))
def test_decoding_returns_the_encoded_messages(messages):
    data = join_batch([encode_message(message) for message in messages])
    assert decode_batch(data) == messages


@given(st.binary(max_size=64))
def test_arbitrary_bytes_raise_value_error_or_round_trip(data):
    try:
        decoded = decode_batch(data)
    except ValueError:
        return
    again = join_batch([encode_message(message) for message in decoded])
    assert decode_batch(again) == decoded


def test_unknown_tag_raises_value_error():
    with pytest.raises(ValueError, match="not a batch"):
        decode_batch(join_batch([b"\x92\x63\x90"]))
