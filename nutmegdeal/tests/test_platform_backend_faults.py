"""Tests that the stand-ins for backend servers have the faults of their switches.

A test of the gateway under a fault proves nothing if the stand-in does not have it.
"""

import pytest

from nutmegdeal.fakes.answer_faults import AnswerBreak
from nutmegdeal.fakes.endless_answers import (
    ENDLESS_ANSWERS,
    PIECE_BYTES,
    EndlessBody,
    EndlessEvents,
    EndlessHead,
    InterimHeads,
    OtherAnswers,
)
from nutmegdeal.fakes.platform_backend import EVENT_COUNT
from nutmegdeal.http_connections import BrokenAnswerError
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.backend_calls import (
    READ_MS,
    RECEIVE_BYTES,
    connect,
    deadline_in,
    read_events,
    read_to_end,
    send,
)
from nutmegdeal.tests.platform_site import wait_until

# Longer than any stall of the process between an event and the read after it.
SILENCE_MS = 1_500.0
QUIET_READ_MS = 50.0
PIECE_COUNT = 20
EVENTS = [f"id: {number}\ndata: q-1\n\n".encode() for number in range(EVENT_COUNT)]


@pytest.fixture
def start():
    """Start stand-ins, and stop them after the test."""
    backends = []

    def start_backend(build_backend):
        backends.append(build_backend())
        return backends[-1]

    yield start_backend
    for backend in backends:
        backend.close()


@pytest.fixture
def engine(start):
    return start(build.start_platform_engine)


@pytest.fixture
def server(start):
    return start(build.start_platform_server)


@pytest.mark.parametrize("silent_event", [0, 3, EVENT_COUNT - 1])
def test_a_silent_engine_goes_on_and_completes_its_stream(engine, silent_event):
    faults = engine.faults
    faults.silences_pending, faults.silence_ms = 1, SILENCE_MS
    faults.silence_event, faults.sends_head_early = silent_event, True
    connection = send(engine)
    connection.read_head(deadline_in(READ_MS))
    events = read_events(connection, silent_event)
    with pytest.raises(TimeoutError):
        connection.read_data(deadline_in(QUIET_READ_MS))
    events += read_events(connection, EVENT_COUNT - silent_event)
    assert events == EVENTS
    assert connection.read_data(deadline_in(READ_MS)) is None
    assert engine.completed["q-1"] == 1


def test_only_the_pending_number_of_answers_falls_silent(engine):
    faults = engine.faults
    faults.silences_pending, faults.silence_ms = 1, SILENCE_MS
    silent = send(engine, "q-1")
    with pytest.raises(TimeoutError):
        silent.read_head(deadline_in(QUIET_READ_MS))
    other = send(engine, "q-2")
    other.read_head(deadline_in(READ_MS))
    other.read_body(deadline_in(READ_MS), RECEIVE_BYTES)
    assert engine.completed["q-2"] == 1
    assert engine.completed["q-1"] == 0


def test_a_silent_plain_server_answers_afterwards(server):
    faults = server.faults
    faults.silences_pending, faults.silence_ms = 1, SILENCE_MS
    connection = send(server)
    with pytest.raises(TimeoutError):
        connection.read_head(deadline_in(QUIET_READ_MS))
    assert connection.read_head(deadline_in(READ_MS)).status_code == 200
    body = connection.read_body(deadline_in(READ_MS), RECEIVE_BYTES)
    assert body == b"answer to q-1"


def test_a_server_that_falls_silent_stops_all_its_streams(engine):
    connections = [send(engine, f"q-{number}") for number in range(2)]
    for connection in connections:
        connection.read_head(deadline_in(READ_MS))
    engine.faults.fall_silent(SILENCE_MS)
    for connection in connections:
        with pytest.raises(TimeoutError):
            while connection.read_data(deadline_in(QUIET_READ_MS)):
                pass
    assert not engine.completed
    for connection in connections:
        connection.read_body(deadline_in(READ_MS), RECEIVE_BYTES)
    assert engine.completed.total() == 2


def test_an_unframed_answer_ends_with_its_connection(server):
    server.faults.is_unframed = True
    head, body = read_to_end(connect(server)).split(b"\r\n\r\n")
    assert b"content-length" not in head.lower()
    assert b"transfer-encoding" not in head.lower()
    assert body == b"answer to q-1"
    assert server.completed["q-1"] == 1


def test_an_unframed_stream_ends_with_its_connection(engine):
    engine.faults.is_unframed = True
    head, _, body = read_to_end(connect(engine)).partition(b"\r\n\r\n")
    assert b"transfer-encoding" not in head.lower()
    assert body == b"".join(EVENTS)


def test_an_unframed_stream_breaks_off_inside_an_event(engine):
    engine.faults.is_unframed = True
    engine.faults.breaks_pending = 1
    body = read_to_end(connect(engine)).partition(b"\r\n\r\n")[2]
    whole, _, rest = body.rpartition(b"\n\n")
    assert whole + b"\n\n" == b"".join(EVENTS[: EVENT_COUNT // 2])
    assert rest and EVENTS[EVENT_COUNT // 2].startswith(rest)
    assert read_to_end(connect(engine)).endswith(EVENTS[-1])


@pytest.mark.parametrize(
    "start_backend", [build.start_platform_engine, build.start_platform_server]
)
def test_an_unframed_answer_breaks_off_with_a_reset(start, start_backend):
    backend = start(start_backend)
    backend.faults.is_unframed = True
    backend.faults.breaks_pending = 1
    backend.faults.break_kind = AnswerBreak.RESET
    with pytest.raises(ConnectionResetError):
        read_to_end(connect(backend))


@pytest.mark.parametrize("break_kind", AnswerBreak)
def test_a_chunked_answer_breaks_off_before_its_last_chunk(engine, break_kind):
    engine.faults.breaks_pending = 1
    engine.faults.break_kind = break_kind
    connection = send(engine)
    connection.read_head(deadline_in(READ_MS))
    with pytest.raises((BrokenAnswerError, OSError)):
        connection.read_body(deadline_in(READ_MS), RECEIVE_BYTES)


def read_pieces(backend, endless):
    """Return the first bytes of an endless answer; the client closes afterwards."""
    backend.faults.endless = endless
    backend.faults.endless_interval_ms = 0.0
    data = b""
    with connect(backend) as sock:
        while len(data) < PIECE_COUNT * PIECE_BYTES:
            data += sock.recv(RECEIVE_BYTES)
    return data


@pytest.mark.parametrize(
    "endless", ENDLESS_ANSWERS, ids=lambda item: type(item).__name__
)
@pytest.mark.parametrize(
    "start_backend", [build.start_platform_engine, build.start_platform_server]
)
def test_an_endless_answer_ends_when_the_client_closes(start, start_backend, endless):
    backend = start(start_backend)
    assert read_pieces(backend, endless)
    wait_until(lambda: backend.cancelled["q-1"])
    assert not backend.completed


def test_interim_heads_never_end_in_a_final_head(engine):
    heads = read_pieces(engine, InterimHeads()).split(b"\r\n\r\n")[:-1]
    assert all(head.startswith(b"HTTP/1.1 103 ") for head in heads)


def test_an_endless_head_has_no_end(engine):
    data = read_pieces(engine, EndlessHead())
    assert data.startswith(b"HTTP/1.1 200 ")
    assert b"\r\n\r\n" not in data


def test_endless_other_answers_never_answer_the_request(engine):
    answers = read_pieces(engine, OtherAnswers()).split(b"HTTP/1.1 200 OK\r\n")[1:-1]
    assert len(answers) > PIECE_COUNT
    for number, answer in enumerate(answers):
        assert answer.startswith(b"x-request-id: other-%d\r\n" % number)
        assert answer.endswith(b"\r\ncontent-length: 5\r\n\r\nother")


def test_an_endless_body_completes_no_event(engine):
    engine.faults.endless = EndlessBody()
    connection = send(engine)
    connection.read_head(deadline_in(READ_MS))
    assert b"\n" not in b"".join(read_events(connection, PIECE_COUNT))


def test_endless_events_have_increasing_ids(engine):
    engine.faults.endless = EndlessEvents()
    connection = send(engine)
    connection.read_head(deadline_in(READ_MS))
    body = b"".join(read_events(connection, PIECE_COUNT))
    lines = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
    assert len(lines) > EVENT_COUNT
    assert lines == [b"id: %d" % number for number in range(len(lines))]
