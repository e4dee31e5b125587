"""Tests of the HTTP clients of backend servers against stand-in servers."""

import contextlib
import json
import socket

import attrs
import pytest

from nutmegdeal.backends.engine import HttpModelEngine
from nutmegdeal.backends.plain import HttpPlainService
from nutmegdeal.errors import Failure, Reason
from nutmegdeal.fakes.answers import expected_answer, plain_answer, read_text
from nutmegdeal.identifiers import body_digest
from nutmegdeal.tests.builders import build_booking, build_submit
from nutmegdeal.tests.stand_in_process import start_stand_in

pytestmark = pytest.mark.processes

ADAPTER = "quote-0001@2"
FENCE = 1


@pytest.fixture(scope="module")
def engine_process():
    engine = start_stand_in("engine", "--token-ms", "1", "--secret", "s")
    yield engine
    assert engine.stop() == 0


@pytest.fixture(scope="module")
def plain_process():
    service = start_stand_in("plain")
    yield service
    assert service.stop() == 0


@pytest.fixture
def engine(engine_process):
    engine_process.set_faults()
    client = HttpModelEngine(engine_process.url, "s")
    assert client.load(ADAPTER, FENCE) is None
    return client


@pytest.fixture
def plain(plain_process):
    plain_process.set_faults()
    return HttpPlainService(plain_process.url)


def build_completion(stream=False, **changes):
    body = {"model": ADAPTER, "prompt": "jaw", "max_tokens": 5, "stream": stream}
    return build_submit(body=json.dumps(body).encode(), **changes)


def read(answer):
    """Return the body of an answer and the Failure that ended it, or None."""
    *chunks, failure = [*answer.chunks(), None]
    if chunks and isinstance(chunks[-1], Failure):
        failure = chunks.pop()
    return b"".join(chunks), failure


@pytest.mark.parametrize("stream", [False, True])
def test_complete_answer_is_read(engine, stream):
    answer = engine.call(build_completion(stream))
    assert (answer.head.status_code, answer.head.adapter) == (200, ADAPTER)
    body, failure = read(answer)
    assert failure is None
    assert read_text(body, stream) == expected_answer(ADAPTER, "jaw", 5)


@pytest.mark.parametrize("stream", [False, True])
def test_cut_answer_ends_with_a_failure(engine, engine_process, stream):
    engine_process.set_faults(cut_after_bytes=60)
    body, failure = read(engine.call(build_completion(stream)))
    assert len(body) <= 60
    assert failure.reason is Reason.INCOMPLETE_ANSWER
    assert failure.maybe_applied


def test_resumed_answer_starts_at_the_requested_offset(engine):
    complete_body, _ = read(engine.call(build_completion(stream=True)))
    rest, failure = read(engine.call(build_completion(stream=True, resume_from=40)))
    assert failure is None
    assert rest == complete_body[40:]


def test_missing_adapter_is_not_run(engine):
    body = {"model": "quote-0009@2", "prompt": "jaw"}
    failure = engine.call(build_submit(body=json.dumps(body).encode()))
    assert failure.reason is Reason.NOT_FOUND
    assert not failure.maybe_applied


@pytest.mark.parametrize(
    ("fault", "reason", "maybe_applied"),
    [
        ("not_run", Reason.OVERLOADED, False),
        ("backend_error", Reason.BACKEND_ERROR, True),
    ],
)
def test_error_says_whether_it_may_have_run(
    engine, engine_process, fault, reason, maybe_applied
):
    engine_process.set_faults(**{fault: 1})
    failure = engine.call(build_completion())
    assert (failure.reason, failure.maybe_applied) == (reason, maybe_applied)


def test_client_error_of_the_engine_is_returned_as_its_answer(engine):
    answer = engine.call(build_submit(body=b"no json"))
    assert answer.head.status_code == 400
    body, failure = read(answer)
    assert failure is None
    assert b"error" in body


def test_wrong_secret_is_not_run(engine_process):
    engine = HttpModelEngine(engine_process.url, "wrong")
    failure = engine.call(build_completion())
    assert failure.reason is Reason.UNAUTHENTICATED
    assert not failure.maybe_applied


def test_order_with_a_lost_answer_may_have_been_applied(engine, engine_process):
    engine_process.set_faults(lose_order_answer=1)
    failure = engine.load("quote-0002@2", FENCE)
    assert failure.maybe_applied
    assert "quote-0002@2" in engine.report().resident
    assert engine.unload("quote-0002@2", FENCE) is None
    assert "quote-0002@2" not in engine.report().resident


def test_failed_load_was_not_applied(engine, engine_process):
    engine_process.set_faults(load_fails=["*"])
    failure = engine.load("quote-0003@2", FENCE)
    assert failure.reason is Reason.LOAD_FAILED
    assert not failure.maybe_applied


def test_unavailable_report_is_a_failure(engine, engine_process):
    engine_process.set_faults(report_down=True)
    assert isinstance(engine.report(), Failure)


@contextlib.contextmanager
def closed_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        yield listener.getsockname()[1]


def test_refused_connection_cannot_have_run():
    with closed_port() as port:
        url = f"http://127.0.0.1:{port}"
        for client in (HttpModelEngine(url), HttpPlainService(url)):
            failure = client.call(build_completion())
            assert failure.reason is Reason.CONNECTION_LOST
            assert not failure.maybe_applied


def test_plain_call_sends_the_key_and_reads_the_complete_answer(plain, plain_process):
    booking = build_booking(idempotency_key="key-1")
    body, failure = read(plain.call(booking))
    assert failure is None
    assert body == plain_answer("POST", "/bookings", body_digest(booking.body))
    assert plain_process.record()["runs"][-1]["idempotency_key"] == "key-1"


@pytest.mark.parametrize(
    ("fault", "reason"),
    [
        ("cut_before_effect", Reason.CONNECTION_LOST),
        ("cut_after_effect", Reason.CONNECTION_LOST),
    ],
)
def test_cut_call_may_have_run(plain, plain_process, fault, reason):
    plain_process.set_faults(**{fault: 1})
    failure = plain.call(build_booking())
    assert (failure.reason, failure.maybe_applied) == (reason, True)


def test_client_sends_each_call_once(plain, plain_process):
    run_count_before = len(plain_process.record()["runs"])
    plain_process.set_faults(cut_after_effect=1)
    assert isinstance(plain.call(build_booking()), Failure)
    assert len(plain_process.record()["runs"]) == run_count_before + 1


def test_not_run_answer_means_that_nothing_was_applied(plain, plain_process):
    plain_process.set_faults(not_run=1)
    failure = plain.call(build_booking())
    assert not failure.maybe_applied


def test_error_of_a_plain_service_is_its_answer(plain, plain_process):
    plain_process.set_faults(backend_error=1)
    answer = plain.call(build_booking())
    assert answer.head.status_code == 500


def test_cut_plain_answer_is_incomplete(plain, plain_process):
    plain_process.set_faults(cut_after_bytes=5)
    body, failure = read(plain.call(attrs.evolve(build_booking())))
    assert len(body) <= 5
    assert failure.reason is Reason.INCOMPLETE_ANSWER
