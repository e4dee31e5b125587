"""Tests of the callers' web application, called through WSGI without a socket."""

import io
import json

import attrs
import gevent
import pytest

from nutmegdeal.buffering.bound import MemoryBound
from nutmegdeal.entry.http import CallerApplication
from nutmegdeal.entry.server import RAW_PATH_KEY
from nutmegdeal.entry.status import describe_status
from nutmegdeal.errors import Reason, Step
from nutmegdeal.messages import AnswerHead, Fate
from nutmegdeal.settings import EntrySettings
from nutmegdeal.tests.entry_fixtures import (
    EVENT_STREAM,
    STORE_DOWN,
    AnswerStep,
    EntryFixture,
    ScriptedLedger,
    build_answer,
    build_completion,
    build_refusal,
)

COMPLETIONS = "/v1/completions"
BOOKINGS = "/services/hire-core/bookings"
COMPLETION_FIELDS = {"model": "quote-0001@2", "prompt": "jaw"}
COMPLETE_ANSWER = AnswerStep(lambda a: build_answer(a, [b"whole"]))


@attrs.frozen
class Answer:
    """Answer that a caller received."""

    status_code: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)


@attrs.define
class WebFixture:
    """The application on top of an EntryFixture."""

    fixture: EntryFixture
    application: CallerApplication

    def call(self, method, path, body=b"", headers=None):
        environ = build_environ(method, path, body, headers or {})
        started = []
        result = self.application.wsgi(
            environ, lambda status, pairs, _=None: started.extend((status, pairs))
        )
        content = b"".join(result)
        if hasattr(result, "close"):
            result.close()
        return Answer(int(started[0].split()[0]), dict(started[1]), content)

    def complete(self, headers=None, **fields):
        return self.call(
            "POST",
            COMPLETIONS,
            json.dumps(COMPLETION_FIELDS | fields).encode(),
            headers,
        )


def build_environ(method, path, body, headers):
    raw_path, _, query = path.partition("?")
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": raw_path,
        RAW_PATH_KEY: raw_path,
        "QUERY_STRING": query,
        "CONTENT_LENGTH": str(len(body)),
        "CONTENT_TYPE": "application/json",
        "SERVER_NAME": "entry",
        "SERVER_PORT": "80",
        "wsgi.url_scheme": "http",
        "wsgi.input": io.BytesIO(body),
        "wsgi.errors": io.StringIO(),
    }
    for name, value in headers.items():
        environ["HTTP_" + name.upper().replace("-", "_")] = value
    return environ


def build_web(*steps, **options):
    fixture = EntryFixture(steps, **options)
    application = CallerApplication(
        fixture.service,
        fixture.board,
        lambda: describe_status(fixture.board, fixture.components),
        MemoryBound(None, fixture.board.clock),
    )
    return WebFixture(fixture, application)


def test_complete_answer_has_request_id_and_fate():
    web = build_web(COMPLETE_ANSWER)
    answer = web.complete()
    assert (answer.status_code, answer.body) == (200, b"whole")
    assert answer.headers["X-Request-Id"].startswith("e1-")
    assert answer.headers["X-Nutmegdeal-Fate"] == "completed"
    assert answer.headers["Content-Length"] == "5"
    assert web.application.open_count == 0
    assert web.fixture.components.admission_limiter.in_flight_count == 0


def test_empty_answer_leaves_nothing_open():
    """Guards against an answer that stays counted as open and blocks the shutdown."""
    web = build_web(AnswerStep(lambda a: build_answer(a, [], 204)))
    assert web.complete().status_code == 204
    assert web.application.open_count == 0
    assert web.fixture.components.admission_limiter.in_flight_count == 0


def test_answer_counts_as_open_until_it_was_written():
    web = build_web(COMPLETE_ANSWER)
    environ = build_environ(
        "POST", COMPLETIONS, json.dumps(COMPLETION_FIELDS).encode(), {}
    )
    result = web.application.wsgi(environ, lambda *_: None)
    assert web.application.open_count == 1
    assert b"".join(result) == b"whole"
    result.close()
    assert web.application.open_count == 0


def test_stream_ends_with_done():
    chunks = [b"data: a\n\n", b"data: [DONE]\n\n"]
    step = AnswerStep(lambda a: build_answer(a, chunks, content_type=EVENT_STREAM))
    answer = build_web(step).complete(stream=True)
    assert answer.headers["Content-Type"] == EVENT_STREAM
    assert answer.headers["X-Nutmegdeal-Fate"] == "pending"
    assert answer.body == b"".join(chunks)


@pytest.mark.promise(3)
def test_stream_that_breaks_ends_with_an_error_event():
    def build(attempt_id):
        chunks = [b"data: a\n\n", b"data: b"]
        messages = build_answer(attempt_id, chunks, content_type=EVENT_STREAM)
        ended = build_refusal(attempt_id)
        return [*messages[:-1], attrs.evolve(ended, fate=Fate.FAILED)]

    web = build_web(*[AnswerStep(build)] * 3)
    answer = web.complete(stream=True)
    event, _, data = answer.body.removeprefix(b"data: a\n\n").partition(b"\n")
    assert event == b"event: error"
    error = json.loads(data.removeprefix(b"data: "))
    assert error["fate"] == "failed"
    assert error["request_id"] == answer.headers["X-Request-Id"]
    assert b"[DONE]" not in answer.body


@pytest.mark.parametrize(
    ("fields", "status_code", "word"),
    [
        ({"model": "nobody@1"}, 404, "unknown_adapter"),
        ({"model": "quote-0001@9"}, 404, "unknown_version"),
        ({"model": 7}, 400, "bad_request"),
        ({"stream": "yes"}, 400, "bad_request"),
    ],
)
def test_bad_completion_is_refused_with_step(fields, status_code, word):
    answer = build_web().complete(**fields)
    assert (answer.status_code, answer.json()["error"]) == (status_code, word)
    assert answer.json()["step"] == "resolve"
    assert answer.headers["X-Nutmegdeal-Fate"] == "not_run"
    assert "Retry-After" not in answer.headers


@pytest.mark.parametrize("body", [b"{", b"[]", b"\xff", b"[" * 100_000, b""])
def test_malformed_body_is_refused(body):
    answer = build_web().call("POST", COMPLETIONS, body)
    assert (answer.status_code, answer.json()["error"]) == (400, "bad_request")


def test_oversized_body_is_refused():
    web = build_web(entry=EntrySettings(body_bytes_max=1_024))
    answer = web.call("POST", COMPLETIONS, b"x" * 1_025)
    assert (answer.status_code, answer.json()["error"]) == (413, "body_too_large")


@pytest.mark.parametrize(
    ("headers", "status_code", "word"),
    [
        ({}, 400, "idempotency_key_missing"),
        ({"Idempotency-Key": "a b"}, 400, "bad_request"),
        ({"Idempotency-Key": "k", "X-Deadline-Ms": "1"}, 400, "deadline_passed"),
        ({"Idempotency-Key": "k", "X-Deadline-Ms": "soon"}, 400, "bad_request"),
        ({"Idempotency-Key": "k", "X-Expires-Ms": "1"}, 410, "idempotency_key_expired"),
    ],
)
def test_bad_headers_of_a_booking_are_refused(headers, status_code, word):
    answer = build_web().call("POST", BOOKINGS, b"{}", headers)
    assert (answer.status_code, answer.json()["error"]) == (status_code, word)


def test_caller_may_mark_idempotent_work_as_unrepeatable():
    lookup = "/services/hire-core/availability?day=1"
    marked = {"X-Unrepeatable": "yes"}
    assert build_web().call("GET", lookup, headers=marked).status_code == 400
    web = build_web(COMPLETE_ANSWER)
    web.call("GET", lookup, headers={**marked, "Idempotency-Key": "k"})
    (submit,) = web.fixture.links.submits
    assert not submit.idempotent
    assert submit.path == "/availability?day=1"


def test_caller_may_not_mark_work_as_repeatable():
    headers = {"X-Unrepeatable": "no", "Idempotency-Key": "k"}
    assert build_web().call("POST", BOOKINGS, b"{}", headers).status_code == 400


@pytest.mark.parametrize(
    "path",
    [
        "/services/hire-core/availability/../bookings",
        "/services/hire-core/availability/%2e%2e/bookings",
        "/services/hire-core/availability%2f..%2fbookings",
        "/services/hire-core//bookings",
        "/services/hire-core/availability\\x",
    ],
)
def test_ambiguous_path_is_refused(path):
    answer = build_web().call("GET", path)
    assert (answer.status_code, answer.json()["error"]) == (400, "bad_request")


def test_model_engine_is_not_reached_as_a_plain_service():
    answer = build_web().call("POST", "/services/assist-llm/v1/completions", b"{}")
    assert (answer.status_code, answer.json()["error"]) == (404, "unknown_service")


def test_unknown_paths_and_methods_have_the_standard_answer():
    for method, path, status_code in (("GET", "/x", 404), ("GET", COMPLETIONS, 405)):
        answer = build_web().call(method, path)
        assert answer.status_code == status_code
        assert answer.json()["fate"] == "not_run"
        assert answer.headers["X-Request-Id"]


def test_store_outage_refuses_a_booking_with_a_retry_time():
    web = build_web(ledger=ScriptedLedger(lookups=[STORE_DOWN]))
    answer = web.call("POST", BOOKINGS, b"{}", {"Idempotency-Key": "k"})
    assert (answer.status_code, answer.json()["fate"]) == (503, "not_run")
    assert int(answer.headers["Retry-After"]) >= 1


def test_draining_entry_refuses_new_work_and_is_not_ready():
    web = build_web()
    assert web.call("GET", "/readyz").status_code == 200
    web.fixture.board.is_draining = True
    answer = web.complete()
    assert (answer.status_code, answer.json()["error"]) == (503, "leaving")
    assert web.call("GET", "/readyz").status_code == 503
    assert web.call("GET", "/healthz").status_code == 200


def test_status_contains_no_request_id():
    web = build_web(COMPLETE_ANSWER)
    request_id = web.complete().headers["X-Request-Id"]
    answer = web.call("GET", "/status")
    assert answer.json()["generation"] == 1
    assert request_id not in answer.body.decode()


def test_disconnect_of_the_caller_cancels_the_attempt():
    """The attempt in progress ends, and the agent receives a Cancel."""
    fixture = EntryFixture([AnswerStep(lambda a: [AnswerHead(a, 200, EVENT_STREAM)])])
    request = build_completion(stream=True)
    open_request = fixture.service.open(request.method, request.path)
    events = open_request.events(request)
    open_request.cancel()
    (finish,) = events
    assert finish.failure.reason is Reason.CANCELLED
    assert fixture.links.cancelled() == [fixture.links.submits[0].attempt_id]
    assert fixture.components.admission_limiter.in_flight_count == 0


@pytest.mark.parametrize("is_stream", [False, True])
def test_request_in_progress_at_the_end_of_a_drain_gets_an_answer(is_stream):
    def build(attempt_id):
        return build_answer(attempt_id, [b"data: a\n\n"], content_type=EVENT_STREAM)

    web = build_web(AnswerStep(lambda a: build(a)[: 2 * is_stream]))
    caller = gevent.spawn(web.complete, stream=is_stream)
    gevent.sleep(0.05)
    assert web.application.open_count == 1
    web.application.end_requests()
    answer = caller.get(timeout=1.0)
    assert answer.status_code == (200 if is_stream else 502)
    assert b"leaving" in answer.body
    assert b"in_doubt" in answer.body
    assert "Retry-After" not in answer.headers
    assert web.application.open_count == 0
    assert len(web.fixture.links.cancelled()) == 1


def test_request_that_has_ended_is_not_ended_by_a_drain():
    web = build_web(COMPLETE_ANSWER)
    assert web.complete().status_code == 200
    assert web.application.end_requests() == 0


def test_closing_a_stream_after_a_disconnect_cancels_the_attempt():
    def build(attempt_id):
        return build_answer(attempt_id, [b"data: a\n\n"], content_type=EVENT_STREAM)[:2]

    fixture = EntryFixture([AnswerStep(build)])
    request = build_completion(stream=True)
    events = fixture.service.open(request.method, request.path).events(request)
    next(events)
    events.close()
    assert fixture.links.cancelled() == [fixture.links.submits[0].attempt_id]
    assert fixture.recorder.outcomes()[-1] == (Step.ANSWER, "cancelled")
    assert fixture.components.admission_limiter.in_flight_count == 0
