"""Tests that log lines are as listed, and hold nothing that they must not."""

import ast
import json
import pathlib

import gevent
import pytest
import structlog

import nutmegdeal
from nutmegdeal import log
from nutmegdeal.fakes.platform_store import StoreFault
from nutmegdeal.http_connections import BrokenAnswerError, ClientConnection
from nutmegdeal.log_events import COMMON_FIELDS, EVENTS, find_mistakes
from nutmegdeal.log_losses import find_cause
from nutmegdeal.log_story import END_TEXTS, read_story
from nutmegdeal.log_writer import NonBlockingLogWriter
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.platform_site import (
    PlatformSite,
    encode_operator_configuration,
    wait_until,
)

PACKAGE = pathlib.Path(nutmegdeal.__file__).parent
# What gateways and placers are made of.
SOURCES = sorted(
    [
        *PACKAGE.glob("gateway/*.py"),
        *PACKAGE.glob("placer/*.py"),
        *PACKAGE.glob("platform/*.py"),
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
    """Yield the event and the names of the fields of each log call in a file."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        called = node.func
        # logger.info(...), or log(...) where log is one of its methods.
        is_logger = isinstance(called.value, ast.Name) and called.value.id == "logger"
        is_new = isinstance(called.value, ast.Call) and called.attr in LEVELS
        if called.attr in LEVELS and (is_logger or is_new):
            names = {item.arg for item in node.keywords}
            if called.attr == "exception":
                names.add("exception")
            yield node.args[0].value, names


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: path.stem)
def test_each_log_call_is_listed_with_its_fields(path):
    for event, names in find_log_calls(path):
        assert event in EVENTS
        assert names <= EVENTS[event].fields.keys(), event


def test_each_listed_event_is_written_somewhere():
    written = {event for path in SOURCES for event, _ in find_log_calls(path)}
    # Written through a variable, and by the output itself.
    assert EVENTS.keys() - written == {"request_ended", "log_lines_left_out"}


def test_no_event_has_a_field_of_every_line():
    for event in EVENTS.values():
        assert not COMMON_FIELDS & event.fields.keys()


def test_a_line_that_is_not_as_listed_is_found():
    line = {"event": "backend_left", "backend": 7, "more": 1}
    assert sorted(find_mistakes(line)) == ["backend is 7", "unknown field more"]
    assert find_mistakes({"event": "backend_left"}) == ["no field backend"]
    assert find_mistakes({"event": "unheard_of"})


@pytest.fixture
def lines(monkeypatch):
    """Return the decoded lines that are written through the real configuration."""
    written = []
    monkeypatch.setattr(NonBlockingLogWriter, "start", lambda self: None)
    monkeypatch.setattr(
        NonBlockingLogWriter, "msg", lambda self, text: written.append(text)
    )
    for name in LEVELS:
        monkeypatch.setattr(NonBlockingLogWriter, name, NonBlockingLogWriter.msg)
    before = structlog.get_config()
    log.configure_non_blocking("debug", "front-1")
    # Loggers in use keep what they were made with.
    structlog.configure(cache_logger_on_first_use=False)
    yield written
    structlog.configure(**before)


@pytest.fixture
def site(monkeypatch, bridge, lines):
    running = PlatformSite(monkeypatch, bridge)
    yield running
    running.close()


def test_lines_of_a_busy_site_are_as_listed_and_hold_no_bodies(site, lines):
    assert site.call("/chat/1", "q-served")[0] == 200
    for server in site.servers:
        server.fails_next = 1
    assert site.call("/book/1", "q-failed")[0] == 500
    for server in site.servers:
        server.fails_next = 0
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
    told = read_story("q-refused", lines)
    assert told.lines[0].fields["reason"] == "no_route"


def send_secrets(site):
    """Send a body and a header, then bytes that are no HTTP, then a broken answer."""
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


def test_a_broken_answer_is_told_without_its_bytes(lines):
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


def test_each_end_of_a_request_is_told_and_counted():
    for end in END_TEXTS:
        fields = build.build_ended_fields(end=end)
        assert (find_cause(fields) is None) == (end == "completed")
