"""Answers of backend servers that do not end, and what else can run meanwhile."""

import itertools

import gevent
import gevent.event
import pytest

from nutmegdeal.gateway.requests import RunFate
from nutmegdeal.tests import platform_builders as build

INTERIM_HEAD = b"HTTP/1.1 100 Continue\r\n\r\n"


def send_without_end(*starts, then):
    """Return an answer that sends `starts`, and `then` until the client closes."""
    ended = gevent.event.Event()

    def answer(sock, _request):
        try:
            for data in itertools.chain(starts, itertools.repeat(then)):
                sock.sendall(data)
                gevent.sleep(0)
        except OSError:
            ended.set()
        return False

    return answer, ended


def encode_head(extra, request_id="q-1", status="200 OK"):
    """Return the head of an answer with some framing."""
    return build.build_unframed_answer(request_id, b"", status, extra)


CHUNKED = "Transfer-Encoding: chunked\r\n"
LONG = f"Content-Length: {10**12}\r\n"
DATA = bytes(16_384)


@pytest.mark.parametrize(
    ("start", "then"),
    [
        (b"", INTERIM_HEAD),
        (b"", build.build_plain_answer("q-0", b"late")),
        (b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n"),
        (b"", DATA),
        (encode_head(LONG), DATA),
        (encode_head(""), DATA),
        (encode_head(CHUNKED), build.encode_chunk(DATA)),
        (encode_head(LONG, "q-0"), DATA),
        (encode_head(CHUNKED, "q-0"), build.encode_chunk(DATA)),
        (encode_head(LONG, "q-1", "500 Internal Server Error"), DATA),
    ],
    ids=[
        "interim-heads",
        "other-answers",
        "head",
        "no-answer",
        "body",
        "unframed-body",
        "chunked-body",
        "other-body",
        "other-chunked-body",
        "failure-body",
    ],
)
def test_endless_answer_ends_before_the_deadline(start_harness, start, then):
    """A booking waited to its deadline while its server sent bytes without end."""
    answer, ended = send_without_end(start, then=then)
    harness = start_harness(answer)
    outcome = harness.run(build.build_booking_route(), deadline_in_ms=5_000.0)
    assert outcome.fate is RunFate.MAYBE_RAN
    assert not harness.responder.has_started
    # The connection is closed, so the server stops.
    assert ended.wait(10)


def test_endless_refusal_counts_as_not_run(start_harness):
    head = encode_head(LONG + "X-Not-Executed: 1\r\n", "q-1", "503 Unavailable")
    answer, ended = send_without_end(head, then=DATA)
    harness = start_harness(answer)
    outcome = harness.run(build.build_booking_route(), deadline_in_ms=5_000.0)
    assert outcome.fate is RunFate.NOT_RUN
    assert ended.wait(10)


@pytest.mark.parametrize(
    ("numbers", "fate"), [((), RunFate.MAYBE_RAN), (range(2), RunFate.CUT)]
)
def test_endless_event_ends_the_run(start_harness, numbers, fate):
    start = build.build_stream_answer("q-1", numbers, is_ended=False)
    answer, ended = send_without_end(start, then=build.encode_chunk(b"data: " + DATA))
    harness = start_harness(answer)
    assert harness.run(deadline_in_ms=5_000.0).fate is fate
    assert harness.responder.body == build.build_events(numbers)
    assert ended.wait(10)


def test_some_answers_to_other_requests_are_skipped(start_harness):
    late = build.build_plain_answer("q-0", b"late")
    answer = build.build_plain_answer("q-1", b"seat 4")
    harness = start_harness(lambda sock, _: sock.sendall(late * 3 + answer))
    assert harness.run(build.build_booking_route()).fate is RunFate.COMPLETED
    assert harness.responder.body == b"seat 4"


def test_interim_heads_before_an_answer_are_skipped(start_harness):
    answer = build.build_plain_answer("q-1", b"seat 4")
    harness = start_harness(lambda sock, _: sock.sendall(INTERIM_HEAD * 2 + answer))
    assert harness.run(build.build_booking_route()).fate is RunFate.COMPLETED
    assert harness.responder.body == b"seat 4"


@pytest.mark.parametrize("data", [b"HTTP/1.1 200 OK\r\nX-M", INTERIM_HEAD[:-2]])
def test_deadline_ends_a_head_that_trickles(start_harness, data):
    def answer(sock, _request):
        try:
            for byte in itertools.chain(data, itertools.repeat(b"m"[0])):
                sock.sendall(bytes([byte]))
                gevent.sleep(0.01)
        except OSError:
            return False

    harness = start_harness(answer)
    outcome = harness.run(build.build_booking_route(), deadline_in_ms=400.0)
    assert outcome.fate is RunFate.TIMED_OUT
