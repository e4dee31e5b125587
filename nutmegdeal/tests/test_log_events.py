"""Tests that log lines match the table of events and contain no confidential data."""

import ast
import json
import pathlib

import gevent
import pytest

import nutmegdeal
from nutmegdeal.fakes.platform_store import StoreFault
from nutmegdeal.http_connections import BrokenAnswerError, ClientConnection
from nutmegdeal.log_events import COMMON_FIELDS, EVENTS, find_mistakes
from nutmegdeal.request_log import END_TEXTS, summarize_request_log
from nutmegdeal.request_losses import find_cause
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.platform_site import (
    PlatformSite,
    encode_operator_configuration,
    wait_until,
)

PACKAGE = pathlib.Path(nutmegdeal.__file__).parent
# The sources that gateways and placers run.
SOURCES = sorted(
    [
        *PACKAGE.glob("gateway/*.py"),
        *PACKAGE.glob("placer/*.py"),
        *PACKAGE.glob("platform/*.py"),
        *PACKAGE.glob("quotas/*.py"),
        *PACKAGE.glob("buffering/*.py"),
        PACKAGE / "nodes.py",
        PACKAGE / "caller_connections.py",
        PACKAGE / "http_connections.py",
        PACKAGE / "http_listener.py",
        PACKAGE / "channel.py",
        PACKAGE / "sessions.py",
    ]
)
LEVELS = {"debug", "info", "warning", "error", "exception"}
SECRET = "tell-nobody-this"


def find_log_calls(path):
    """Yield the event and the field names of each log call in a file."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        function = node.func
        # logger.info(...), or a method called on a logger just returned by a function.
        is_logger = (
            isinstance(function.value, ast.Name) and function.value.id == "logger"
        )
        is_new_logger = isinstance(function.value, ast.Call) and function.attr in LEVELS
        if function.attr in LEVELS and (is_logger or is_new_logger):
            names = {item.arg for item in node.keywords}
            if function.attr == "exception":
                names.add("exception")
            yield node.args[0].value, names


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: path.stem)
def test_each_log_call_is_listed_with_its_fields(path):
    for event, names in find_log_calls(path):
        assert event in EVENTS
        assert names <= EVENTS[event].fields.keys(), event


def test_each_listed_event_is_logged():
    written = {event for path in SOURCES for event, _ in find_log_calls(path)}
    # Logged through a variable, and by the log writer itself.
    assert EVENTS.keys() - written == {"request_ended", "log_lines_left_out"}


def test_event_fields_do_not_repeat_common_fields():
    for event in EVENTS.values():
        assert not COMMON_FIELDS & event.fields.keys()


def test_find_mistakes_reports_deviating_lines():
    line = {"event": "backend_left", "backend": 7, "more": 1}
    assert sorted(find_mistakes(line)) == ["backend is 7", "unknown field more"]
    assert find_mistakes({"event": "backend_left"}) == ["missing field backend"]
    assert find_mistakes({"event": "unheard_of"})


@pytest.fixture
def site(monkeypatch, bridge, lines):
    running = PlatformSite(monkeypatch, bridge)
    yield running
    running.close()


def test_log_lines_match_the_table_and_contain_no_secrets(site, lines):
    assert site.call("/chat/1", "q-served")[0] == 200
    for server in site.servers:
        server.failures_pending = 1
    assert site.call("/book/1", "q-failed")[0] == 500
    for server in site.servers:
        server.failures_pending = 0
    assert site.call(f"/nowhere/1?key={SECRET}", "q-refused")[0] == 404
    send_secrets(site)
    site.store.fault = StoreFault.BUSY
    wait_until(lambda: any("store_lost" in text for text in lines))
    site.store.fault = StoreFault.NONE
    site.store.put("op", "config", encode_operator_configuration(version=5))
    wait_until(lambda: site.gateway._board.configuration.version == 5)
    wait_until(lambda: any("store_regained" in text for text in lines))
    decoded = [json.loads(text) for text in lines]
    assert [mistake for line in decoded for mistake in find_mistakes(line)] == []
    assert {"request_ended", "order_given", "store_regained"} <= {
        line["event"] for line in decoded
    }
    assert not any(SECRET in text for text in lines)
    summary = summarize_request_log("q-refused", lines)
    assert summary.lines[0].fields["reason"] == "no_route"


def test_restart_while_unreachable_and_late_order_are_logged(site, lines):
    engine, placer = site.engines[0], site.placers[0]
    late = {"operation": "load", "adapter": "a1", "expected": engine.order_count}
    engine.delayed_orders.append((None, late))
    engine.execute_delayed_orders()
    wait_until(lambda: any('"orders_executed_late"' in text for text in lines))
    engine.refuses_reports = True
    wait_until(lambda: placer._planner.report is None)
    assert any('"error": "status 503"' in text for text in lines)
    engine.restart("e-9")
    engine.refuses_reports = False
    wait_until(lambda: any('"engine_restarted"' in text for text in lines))
    decoded = [json.loads(text) for text in lines]
    assert [mistake for line in decoded for mistake in find_mistakes(line)] == []


def send_secrets(site):
    """Send a request with secrets in body and header, then bytes that are not HTTP."""
    connection = ClientConnection(site.address)
    headers = [
        (b"host", b"chat.example"),
        (b"x-request-id", b"q-secret"),
        (b"authorization", SECRET.encode()),
        (b"content-length", str(len(SECRET)).encode()),
    ]
    connection.send(b"POST", b"/book/1", headers, SECRET.encode())
    assert connection.read_head(float("inf")).status_code == 200
    connection.close()
    with gevent.socket.create_connection(site.address) as sock:
        sock.sendall(f"{SECRET} is no request line\r\n\r\n".encode())
        sock.settimeout(10)
        assert b" 400 " in sock.recv(4_096)


def test_error_of_an_invalid_response_does_not_quote_it(lines):
    with gevent.server.StreamServer(("127.0.0.1", 0), answer_garbage) as server:
        server.start()
        connection = ClientConnection(server.address)
        connection.send(b"GET", b"/", [(b"host", b"x")])
        with pytest.raises(BrokenAnswerError) as caught:
            connection.read_head(float("inf"))
    assert "not valid HTTP" in str(caught.value)
    assert SECRET not in str(caught.value)


def answer_garbage(sock, _address):
    sock.recv(4_096)
    sock.sendall(f"{SECRET}\r\n\r\n".encode())


def test_each_end_of_a_request_has_a_text_and_a_cause():
    for end in END_TEXTS:
        fields = build.build_ended_fields(end=end)
        assert (find_cause(fields) is None) == (end == "completed")
