"""Buffers of bodies, and what is reserved for them."""

import pytest

from nutmegdeal.buffering.accounts import UNCOUNTED, HeldPart
from nutmegdeal.buffering.bodies import (
    HEAP_BYTES_MAX,
    BodyBuffer,
    BodyTooLargeError,
    ReservedBody,
    UnusedBody,
    release_body,
)
from nutmegdeal.buffering.bound import MemoryBound
from nutmegdeal.clock import ManualClock
from nutmegdeal.incoming_requests import CallerShedError

LARGE_BYTES = 4 * HEAP_BYTES_MAX
PIECE = bytes(range(256)) * 100


@pytest.mark.parametrize("length", [0, 1, HEAP_BYTES_MAX, HEAP_BYTES_MAX + 1, 200_000])
def test_body_is_what_was_appended(length):
    expected = (PIECE * 10)[:length]
    buffer = BodyBuffer(LARGE_BYTES)
    for start in range(0, length, len(PIECE)):
        buffer.append(expected[start : start + len(PIECE)])
    body = buffer.view()
    assert len(buffer) == len(body) == length
    assert bytes(body) == expected
    release_body(body)


def test_body_that_is_still_used_stays_valid():
    """The end of its request must not fail, nor free what is being written."""
    buffer = BodyBuffer(LARGE_BYTES)
    buffer.append(bytes(LARGE_BYTES))
    body = buffer.view()
    used = memoryview(body)
    release_body(body)
    assert bytes(used) == bytes(LARGE_BYTES)


def test_body_with_a_length_is_refused_before_it_is_received():
    account = MemoryBound(LARGE_BYTES, ManualClock()).open_account(None)
    account.is_unread = True
    with pytest.raises(CallerShedError):
        ReservedBody(account, LARGE_BYTES, LARGE_BYTES)


def test_body_in_chunks_is_refused_once_it_does_not_fit():
    account = MemoryBound(2 * HEAP_BYTES_MAX, ManualClock()).open_account(None)
    account.is_unread = True
    body = ReservedBody(account, LARGE_BYTES)
    body.append(bytes(HEAP_BYTES_MAX))
    with pytest.raises(CallerShedError):
        body.append(b"x")


def test_whole_body_is_charged_by_its_size():
    bound = MemoryBound(LARGE_BYTES, ManualClock())
    account = bound.open_account(None)
    body = ReservedBody(account, LARGE_BYTES)
    body.append(b"whole")
    assert bound.held_bytes > len(b"whole")
    assert body.finish() == b"whole"
    assert bound.held_bytes == len(b"whole")
    account.set(HeldPart.BODY, 0)


@pytest.mark.parametrize("length", [None, 11])
def test_body_beyond_the_limit_is_too_large(length):
    with pytest.raises(BodyTooLargeError):
        ReservedBody(UNCOUNTED, 10, length).append(bytes(11))
    with pytest.raises(BodyTooLargeError):
        UnusedBody(10).append(bytes(11))


def test_unused_body_holds_nothing():
    body = UnusedBody(10)
    body.append(bytes(10))
    assert body.finish() == b""
