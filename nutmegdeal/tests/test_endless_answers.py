"""Answers of backend servers that do not end, and what else can run meanwhile."""

import itertools

import gevent
import gevent.socket
import pytest

from nutmegdeal.gateway.requests import RunFate
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.scripted_server import send_without_end

INTERIM_HEAD = b"HTTP/1.1 100 Continue\r\n\r\n"


# A deadline that the tests do not reach: an endless answer ends before it.
FAR_MS = 60_000.0
# Receives after which an endless answer is reset, for tests of what runs meanwhile.
RECEIVES_MAX = 2_000


class SaturatedSocket:
    """A socket of a client that always has data: a receive never waits.

    Parameters
    ----------
    sock : socket
    pieces : iterable of bytes
        The received data; at their end the connection is reset.
    """

    def __init__(self, sock, pieces):
        self._sock_of_server = sock
        self._pieces = iter(pieces)
        self.receive_count = 0

    def __getattr__(self, name):
        return getattr(self._sock_of_server, name)

    def recv(self, _bytes_max):
        self.receive_count += 1
        try:
            return next(self._pieces)
        except StopIteration:
            raise ConnectionResetError("reset by the test") from None


class EchoCounter:
    """Counts round trips between two greenlets, each of which waits for its socket.

    Greenlets that are ready to run would not show that the sockets of other requests
    are polled.
    """

    def __init__(self):
        self.count = 0
        self._near, self._far = gevent.socket.socketpair()
        self._greenlets = [gevent.spawn(self._ask), gevent.spawn(self._echo)]

    def _ask(self):
        while True:
            self._near.sendall(b"m")
            self._near.recv(1)
            self.count += 1

    def _echo(self):
        while True:
            self._far.sendall(self._far.recv(1))

    def stop(self):
        gevent.killall(self._greenlets)
        self._near.close()
        self._far.close()


@pytest.fixture
def echoes():
    counter = EchoCounter()
    gevent.sleep(0.01)
    yield counter
    counter.stop()


@pytest.fixture
def run_saturated(start_harness, echoes):
    """Return a function that runs a request on a connection that never waits."""

    def run(pieces, route=None, **options):
        harness = start_harness(lambda sock, _: None)
        connection = harness.pool.acquire(harness.server.address)
        connection._socket = SaturatedSocket(connection._socket, pieces)
        harness.pool.acquire = lambda *_: connection
        echoes.count = 0
        outcome = harness.run(route, deadline_in_ms=FAR_MS, **options)
        return harness, outcome, connection._socket.receive_count

    return run


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


def generate_events(encode):
    """Yield the head of a stream, and its events without end."""
    yield encode_head(CHUNKED)
    for number in range(RECEIVES_MAX):
        yield encode(build.build_event(number))


def encode_bytewise(data):
    """Return the chunks of some data, one for each byte."""
    return b"".join(build.encode_chunk(bytes([byte])) for byte in data)


@pytest.mark.parametrize("encode", [build.encode_chunk, encode_bytewise])
def test_endless_stream_lets_other_greenlets_run(run_saturated, echoes, encode):
    """One server that sends fast kept a whole process from serving anybody else."""
    _, outcome, receive_count = run_saturated(generate_events(encode))
    assert outcome.fate is RunFate.CUT
    assert receive_count > RECEIVES_MAX
    assert echoes.count >= receive_count // 256


@pytest.mark.parametrize(
    "pieces",
    [
        [encode_head(LONG)] + [bytes(1_024)] * 1_000,
        [encode_head(CHUNKED)] + [encode_bytewise(b"m" * 1_000)] * 10,
        [encode_head(LONG, "q-0")] + [bytes(1_024)] * 1_000,
        [bytes([byte]) for byte in b"HTTP/1.1 200 OK\r\nX-M: " + b"m" * 1_000],
    ],
    ids=["body", "small-chunks", "other-body", "bytewise-head"],
)
def test_long_answer_lets_other_greenlets_run(run_saturated, echoes, pieces):
    """One server that sends fast kept a whole process from serving anybody else."""
    run_saturated(pieces, build.build_booking_route())
    assert echoes.count >= 3


@pytest.mark.parametrize(
    ("head", "route", "bytes_max"),
    [
        (encode_head(LONG), build.build_booking_route(), 1_048_576),
        (encode_head(""), build.build_booking_route(), 1_048_576),
        (encode_head(LONG, "q-0"), build.build_booking_route(), 1_048_576),
        (
            encode_head(LONG, "q-1", "500 Internal Server Error"),
            build.build_booking_route(),
            65_536,
        ),
        (
            encode_head(LONG, "q-1", "421 Misdirected Request"),
            build.build_booking_route(),
            65_536,
        ),
        (encode_head(""), build.build_route(), 65_536),
    ],
    ids=["body", "unframed-body", "other-body", "failure", "refusal", "event"],
)
def test_endless_answer_holds_little_memory(run_saturated, head, route, bytes_max):
    """A few endless answers at once used up the memory of the process."""
    pieces = itertools.chain([head], itertools.repeat(b"m" * 4_096, 10_000))
    _, _, receive_count = run_saturated(pieces, route)
    # The piece that exceeds the limit is received, and so is the head.
    assert (receive_count - 2) * 4_096 <= bytes_max


def test_usual_answer_is_read_without_a_switch(run_saturated, echoes):
    body = bytes(8_192)
    pieces = [build.build_plain_answer("q-1", body)]
    harness, outcome, _ = run_saturated(pieces, build.build_booking_route())
    assert outcome.fate is RunFate.COMPLETED
    assert harness.responder.body == body
    assert echoes.count == 0
