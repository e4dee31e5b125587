"""Answers that a backend server repeats, as an agent's clients read them."""

import json

import gevent
import pytest

from nutmegdeal.backends.engine import HttpModelEngine
from nutmegdeal.backends.plain import HttpPlainService
from nutmegdeal.errors import Failure
from nutmegdeal.tests.builders import build_submit
from nutmegdeal.tests.scripted_server import ScriptedServer, repeat_answers

NOT_RUN = json.dumps({"error": "not_run"}).encode()
NOT_RESIDENT = json.dumps({"error": "not_resident"}).encode()
OLD_FENCE = json.dumps({"error": "old_fence"}).encode()
REFUSALS = [
    (HttpPlainService, "503 Service Unavailable", NOT_RUN),
    (HttpModelEngine, "503 Service Unavailable", NOT_RUN),
    (HttpModelEngine, "409 Conflict", NOT_RESIDENT),
]


def encode_answer(status, body, attempt_id=""):
    """Return the bytes of an answer that names an attempt, or none."""
    echo = f"X-Attempt-Id: {attempt_id}\r\n" if attempt_id else ""
    head = f"HTTP/1.1 {status}\r\n{echo}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@pytest.fixture
def start_server():
    servers = []

    def start(answers):
        servers.append(ScriptedServer(repeat_answers(answers)))
        host, port = servers[-1].address
        return f"http://{host}:{port}"

    yield start
    for server in servers:
        server.close()


def call(client, attempt_id):
    """Return the answer to an attempt, or a Failure, from another thread of control."""
    submit = build_submit(attempt_id=attempt_id)
    return gevent.get_hub().threadpool.apply(client.call, (submit,))


@pytest.mark.parametrize(("client_class", "status", "body"), REFUSALS)
def test_request_that_ran_is_not_taken_for_refused(
    start_server, client_class, status, body
):
    """A request that a server had run was sent to another one, or refused.

    A second copy of the refusal of an earlier request came first on its connection.
    """
    url = start_server(
        [
            encode_answer(status, body, "a-1"),
            encode_answer("200 OK", b"done", "a-2"),
        ]
    )
    client = client_class(url)
    assert not call(client, "a-1").maybe_applied
    answer = call(client, "a-2")
    assert isinstance(answer, Failure)
    assert answer.maybe_applied


def test_request_does_not_get_the_answer_to_another_one(start_server):
    """The answer to an earlier request was sent to the caller of the next one."""
    url = start_server(
        [
            encode_answer("200 OK", b"first", "a-1"),
            encode_answer("200 OK", b"second", "a-2"),
        ]
    )
    client = HttpPlainService(url)
    list(call(client, "a-1").chunks())
    answer = call(client, "a-2")
    assert isinstance(answer, Failure)
    assert answer.maybe_applied


def test_refusal_of_an_order_is_not_that_of_a_request(start_server):
    """Orders and requests shared connections."""
    url = start_server(
        [
            encode_answer("409 Conflict", OLD_FENCE),
            encode_answer("200 OK", b"{}", "a-1"),
        ]
    )
    client = HttpModelEngine(url)
    gevent.get_hub().threadpool.apply(client.load, ("a1@1", 1))
    assert not isinstance(call(client, "a-1"), Failure)
