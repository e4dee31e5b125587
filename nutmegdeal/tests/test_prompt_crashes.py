"""Tests that parts of prompts crash the stand-in for a model engine."""

import gevent.socket
import pytest

from nutmegdeal.fakes.platform_backend import EVENT_COUNT
from nutmegdeal.http_connections import BrokenAnswerError
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.backend_calls import (
    READ_MS,
    RECEIVE_BYTES,
    connect,
    deadline_in,
    read_stream,
    read_to_end,
    send,
)
from nutmegdeal.tests.platform_site import wait_until

BAD_PROMPT = "X-Prompt-Prefix: 5c1e07a2:800,91BD3F06:410,e4402b7d:250\r\n"
BAD_PART = "91bd3f06"
SHARED_PART = "5c1e07a2"
LAST_PART = "e4402b7d"


@pytest.fixture
def engine():
    engine = build.start_platform_engine()
    yield engine
    engine.close()


def is_refused(backend):
    try:
        gevent.socket.create_connection(backend.address, READ_MS / 1000).close()
    except ConnectionRefusedError:
        return True
    return False


def test_a_crashing_part_breaks_off_all_runs_and_the_engine_returns_empty(engine):
    engine.prompts.crashing_parts.add(BAD_PART)
    engine.adapters["a1"] = 1
    engine.order_count = 3
    connections = [send(engine, f"q-{number}") for number in range(2)]
    for connection in connections:
        connection.read_head(deadline_in(READ_MS))
    with pytest.raises(ConnectionResetError):
        read_to_end(connect(engine, request_id="bad", extra=BAD_PROMPT))
    for connection in connections:
        with pytest.raises((BrokenAnswerError, OSError)):
            connection.read_body(deadline_in(READ_MS), RECEIVE_BYTES)
    assert is_refused(engine)
    wait_until(lambda: not is_refused(engine))
    assert engine.prompts.crash_count == 1
    assert engine.cancelled == {"q-0": 1, "q-1": 1, "bad": 1}
    assert engine.backend_id == "e-1#2"
    assert engine.incarnation == 2
    assert not engine.has_model and not engine.adapters and not engine.order_count


def test_a_crash_may_follow_the_head_of_the_answer(engine):
    engine.prompts.crashing_parts.add(BAD_PART)
    engine.faults.sends_head_early = True
    sock = connect(engine, extra=BAD_PROMPT)
    assert sock.recv(RECEIVE_BYTES).startswith(b"HTTP/1.1 200 ")
    with pytest.raises(ConnectionResetError):
        read_to_end(sock)


def test_the_last_part_of_a_prompt_never_crashes(engine):
    engine.prompts.crashing_parts.add(LAST_PART)
    assert b"id: %d\n" % (EVENT_COUNT - 1) in read_stream(
        connect(engine, extra=BAD_PROMPT)
    )
    assert not engine.prompts.crash_count
    assert not engine.prompts.arrivals


def test_requests_with_a_crashing_part_are_counted_also_if_they_do_not_run(engine):
    engine.prompts.crashing_parts.add(SHARED_PART)
    engine.refusals_pending = 1
    assert (
        connect(engine, extra=BAD_PROMPT)
        .recv(RECEIVE_BYTES)
        .startswith(b"HTTP/1.1 503 ")
    )
    read_stream(connect(engine, request_id="q-2"))
    arrivals = engine.prompts.arrivals
    assert [(item.cause, item.request_id) for item in arrivals] == [
        (SHARED_PART, "q-1")
    ]
    assert not engine.prompts.crash_count


def test_the_restart_after_a_crash_can_keep_the_id(engine):
    engine.prompts.crashing_parts.add(BAD_PART)
    engine.crash_down_ms = 10.0
    engine.restart_after_crash = engine.restart
    with pytest.raises(ConnectionResetError):
        read_to_end(connect(engine, extra=BAD_PROMPT))
    wait_until(lambda: not is_refused(engine))
    assert engine.backend_id == "e-1"
    assert engine.incarnation == 2


def test_run_that_began_as_the_engine_crashed_delivers_nothing_more(engine):
    engine.event_interval_ms = 100.0
    connection = send(engine, "q-1")
    wait_until(lambda: engine.runs["q-1"])
    break_off = engine.listener.break_off
    # As if its connection had been accepted after the others were broken off.
    engine.listener.break_off = lambda: None
    engine._crash()
    engine.listener.break_off = break_off
    with pytest.raises((BrokenAnswerError, OSError)):
        connection.read_head(deadline_in(READ_MS))
        connection.read_body(deadline_in(READ_MS), RECEIVE_BYTES)
    assert engine.cancelled["q-1"] == 1
