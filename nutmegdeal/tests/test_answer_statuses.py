"""Answers whose first line is no status line of HTTP/1.1, at every client.

Each test guards against an answer of a faulty server that is taken for one of HTTP: the
caller would get a status such as 000, or a success that is none.
"""

import json
import sys

import gevent.subprocess
import pytest

from nutmegdeal.addresses import Address
from nutmegdeal.clock import SystemClock
from nutmegdeal.connection_pool import ConnectionPool
from nutmegdeal.errors import Failure
from nutmegdeal.gateway.requests import RunFate
from nutmegdeal.order_kinds import OrderKind
from nutmegdeal.placer.engine import EngineClient, OrderResult
from nutmegdeal.placer.orders import Order
from nutmegdeal.platform.store import StoreClient
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.endless_clients import CLIENTS
from nutmegdeal.tests.scripted_server import ScriptedServer
from nutmegdeal.tests.silent_answers import (
    EVENTS,
    HEAD,
    build_stream_route,
    encode_events,
)
from nutmegdeal.tests.test_endless_clients import (
    PROGRAM,
    PROGRAM_TIMEOUT_S,
    answer_soundly,
)

STATUS_LINE = b"HTTP/1.1 200 OK"
# What comes in place of the status line of a sound answer.
INVALID_LINES = {
    "000": b"HTTP/1.1 000 Unknown",
    "000 without a reason": b"HTTP/1.1 000",
    "099": b"HTTP/1.1 099 Unknown",
    "101": b"HTTP/1.1 101 Switching Protocols",
    "600": b"HTTP/1.1 600 Unknown",
    "999": b"HTTP/1.1 999 Unknown",
    "two digits": b"HTTP/1.1 20 OK",
    "four digits": b"HTTP/1.1 2000 OK",
    "sign": b"HTTP/1.1 +200 OK",
    "underscore": b"HTTP/1.1 2_00 OK",
    "letters": b"HTTP/1.1 2OO OK",
    "no status": b"HTTP/1.1",
    "HTTP/0.0": b"HTTP/0.0 200 OK",
    "HTTP/0.9": b"HTTP/0.9 200 OK",
    "HTTP/2.0": b"HTTP/2.0 200 OK",
    "no version": b"200 OK",
}
INVALID = pytest.mark.parametrize("line", INVALID_LINES)
VALID_LINES = [b"HTTP/1.1 200", b"HTTP/1.1 200 ", b"HTTP/1.1 200 Fine"]
# Before a sound answer, which follows it.
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
ROUTES = pytest.mark.parametrize(
    "route",
    [build.build_route(), build.build_lookup_route(), build.build_booking_route()],
    ids=["stream", "safe", "unsafe"],
)
ORDER = Order(OrderKind.LOAD, "model", "a1")


def replace_line(answer, line):
    """Return an answer with another first line."""
    assert answer.startswith(STATUS_LINE)
    return line + answer[len(STATUS_LINE) :]


def build_sound_answer(route, request_id="q-1"):
    """Return a whole answer to a request on a route."""
    if route.kind.value == "stream":
        return build.build_stream_answer(request_id, EVENTS)
    return build.build_plain_answer(request_id)


def send(data):
    """Return an answer that sends bytes."""
    return lambda sock, _request: sock.sendall(data)


@INVALID
@ROUTES
def test_answer_of_a_server_is_a_failure_of_that_server(start_harness, route, line):
    data = replace_line(build_sound_answer(route), INVALID_LINES[line])
    harness = start_harness(send(data))
    outcome = harness.run(route)
    assert outcome.fate is RunFate.MAYBE_RAN
    assert outcome.is_broken_off
    assert not harness.responder.has_started


@pytest.mark.parametrize("line", VALID_LINES)
@ROUTES
def test_answer_of_a_sound_server_is_forwarded(start_harness, route, line):
    harness = start_harness(send(replace_line(build_sound_answer(route), line)))
    assert harness.run(route).fate is RunFate.COMPLETED


@INVALID
def test_booking_may_have_run(start_dispatcher, line):
    data = replace_line(build.build_plain_answer("q-1"), INVALID_LINES[line])
    harness = start_dispatcher([send(data)] * 2, route=build.build_booking_route())
    harness.call()
    assert harness.responder.status_code == 502
    assert sum(len(server.requests) for server in harness.servers) == 1


@INVALID
def test_rest_of_a_stream_comes_from_another_server(start_dispatcher, line):
    def answer_soundly_to_the_end(sock, request):
        first = int(request.get(b"last-event-id", b"-1")) + 1
        sock.sendall(build.build_stream_answer("q-1", range(first, len(EVENTS))))

    def break_off(sock, _request):
        sock.sendall(HEAD + encode_events(range(3)))
        return False

    data = replace_line(
        build.build_stream_answer("q-1", range(3, 6)), INVALID_LINES[line]
    )
    route = build_stream_route(attempts_max=3)
    harness = start_dispatcher(
        [break_off, send(data), answer_soundly_to_the_end], route=route
    )
    harness.call()
    assert harness.responder.status_code == 200
    assert harness.responder.body == build.build_events(EVENTS)


@pytest.fixture
def start_server():
    servers = []

    def start(data):
        servers.append(ScriptedServer(send(data)))
        return Address(*servers[-1].address)

    yield start
    for server in servers:
        server.close()


@INVALID
def test_answer_of_an_engine_to_its_placer_is_none(start_server, line):
    answer = build.build_plain_answer("-", json.dumps({}).encode())
    address = start_server(replace_line(answer, INVALID_LINES[line]))
    client = EngineClient(address, "node-1", ConnectionPool(SystemClock()))
    assert client.read_report() is None
    assert client.send_order(ORDER, 1) is OrderResult.UNANSWERED


@INVALID
def test_answer_of_the_store_is_a_failure(start_server, line):
    page = {"rows": [], "more_pages": False, "ver": 7, "now_ms": 1_000}
    answer = build.build_plain_answer("-", json.dumps(page).encode())
    address = start_server(replace_line(answer, INVALID_LINES[line]))
    client = StoreClient(address, ConnectionPool(SystemClock()))
    assert isinstance(client.read_table("op"), Failure)


def play_calls(client, answers):
    """Return the outcomes (list of str) of a client's calls, one for each answer."""
    servers = [ScriptedServer(answer) for answer in (answer_soundly, *answers)]
    urls = ["http://{}:{}".format(*server.address) for server in servers]
    command = [sys.executable, "-c", PROGRAM, client, *urls]
    try:
        output = gevent.subprocess.check_output(command, timeout=PROGRAM_TIMEOUT_S)
    finally:
        for server in servers:
            server.close()
    return [result["outcome"] for result in json.loads(output)]


@pytest.mark.parametrize("client", CLIENTS)
def test_answer_to_agents_and_clients_of_services_is_a_failure(client):
    sound = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
    answers = [send(replace_line(sound, line)) for line in INVALID_LINES.values()]
    outcomes = play_calls(client, answers)
    expected = dict.fromkeys(INVALID_LINES, "failure")
    assert dict(zip(INVALID_LINES, outcomes, strict=True)) == expected


@pytest.mark.parametrize("client", ["load", "service"])
def test_interim_answer_is_not_taken_for_the_answer(client):
    error = b"HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\n{}"
    sound = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
    outcomes = play_calls(client, [send(EARLY_HINTS + sound), send(error)])
    assert outcomes[0] == "answer"
    assert outcomes[1] == ("failure" if client == "load" else "answer")
