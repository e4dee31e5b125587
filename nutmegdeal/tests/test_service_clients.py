"""Tests of the platform's HTTP clients against a scripted server on loopback."""

import base64
import json
import socket
import threading

import pytest

from nutmegdeal.errors import Failure
from nutmegdeal.services.hosts import HostState, HttpHostList
from nutmegdeal.services.objects import HttpObjectStore
from nutmegdeal.services.table import (
    Conflict,
    HttpTableService,
    Row,
    Write,
    Written,
)

TIMEOUT_MS = 2_000
SHORT_TIMEOUT_MS = 150
INSERT = Write("k", b"v", 0)


def http_answer(status, body, length=None):
    size = len(body) if length is None else length
    head = f"HTTP/1.1 {status} X\r\nConnection: close\r\nContent-Length: {size}\r\n\r\n"
    return head.encode() + body


def json_answer(status, data):
    return http_answer(status, json.dumps(data).encode())


class ScriptedServer:
    """Answers the first request of each connection with fixed bytes, then closes it.

    If the answer is None, nothing is sent and the connection stays open.
    """

    def __init__(self):
        self.requests = []
        self.answer = b""
        self._open_connections = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.requests.append(self._read_request(connection))
            if self.answer is None:
                self._open_connections.append(connection)
                continue
            connection.sendall(self.answer)
            connection.close()

    @staticmethod
    def _read_request(connection):
        data = b""
        while b"\r\n\r\n" not in data:
            data += connection.recv(65_536)
        head, _, body = data.partition(b"\r\n\r\n")
        lengths = [
            int(line.split(b":")[1])
            for line in head.lower().splitlines()
            if line.startswith(b"content-length")
        ]
        while lengths and len(body) < lengths[0]:
            body += connection.recv(65_536)
        return head.splitlines()[0].decode(), body

    def close(self):
        self._listener.close()
        for connection in self._open_connections:
            connection.close()


@pytest.fixture
def server():
    scripted = ScriptedServer()
    yield scripted
    scripted.close()


def test_table_encodes_writes_and_decodes_answers(server):
    table = HttpTableService(server.url, TIMEOUT_MS)
    server.answer = json_answer(200, {"versions": [1, 0]})
    assert table.write([INSERT, Write("gone", None, 3)]) == Written((1, 0))
    line, body = server.requests[0]
    assert line == "POST /write HTTP/1.1"
    assert json.loads(body) == {
        "writes": [
            {"key": "k", "value": "dg==", "expected_version": 0},
            {"key": "gone", "value": None, "expected_version": 3},
        ]
    }


def test_table_read_scan_and_conflict(server):
    table = HttpTableService(server.url, TIMEOUT_MS)
    value = base64.b64encode(b"\x00\xff").decode()
    row = {"key": "k", "value": value, "version": 4}
    server.answer = json_answer(200, {"row": row})
    assert table.read("k") == Row("k", b"\x00\xff", 4)
    server.answer = json_answer(200, {"row": None})
    assert table.read("k") is None
    server.answer = json_answer(200, {"rows": [row]})
    assert table.scan("k") == (Row("k", b"\x00\xff", 4),)
    server.answer = json_answer(409, {"error": "conflict", "rows": [row]})
    assert table.write([INSERT]) == Conflict((Row("k", b"\x00\xff", 4),))


def test_refused_connection_is_not_applied():
    probe = socket.create_server(("127.0.0.1", 0))
    port = probe.getsockname()[1]
    probe.close()
    table = HttpTableService(f"http://127.0.0.1:{port}", TIMEOUT_MS)
    failure = table.write([INSERT])
    assert isinstance(failure, Failure)
    assert not failure.maybe_applied


def test_unavailable_answer_is_not_applied(server):
    server.answer = json_answer(503, {"error": "unavailable", "detail": "down"})
    table = HttpTableService(server.url, TIMEOUT_MS)
    assert not table.write([INSERT]).maybe_applied
    assert not HttpObjectStore(server.url, TIMEOUT_MS).put("a", b"").maybe_applied


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        http_answer(200, b'{"versions": [1', length=100),
        http_answer(200, b"not json"),
        json_answer(200, {}),
        json_answer(409, {"error": "conflict"}),
        json_answer(500, {"error": "internal"}),
        http_answer(503, b"a balancer's page"),
        http_answer(302, b""),
        None,
    ],
)
def test_write_with_a_lost_or_invalid_answer_may_be_applied_and_is_sent_once(
    server, answer
):
    server.answer = answer
    timeout_ms = SHORT_TIMEOUT_MS if answer is None else TIMEOUT_MS
    failure = HttpTableService(server.url, timeout_ms).write([INSERT])
    assert isinstance(failure, Failure)
    assert failure.maybe_applied
    assert len(server.requests) == 1


def test_read_on_a_broken_connection_is_retried_once(server):
    server.answer = b""
    failure = HttpTableService(server.url, TIMEOUT_MS).read("k")
    assert isinstance(failure, Failure)
    assert not failure.maybe_applied
    assert len(server.requests) == 2


def test_objects_are_put_read_and_listed(server):
    store = HttpObjectStore(server.url, TIMEOUT_MS)
    server.answer = http_answer(200, b"")
    assert store.put("config/a b", b"\x00body") is None
    assert server.requests[-1] == ("PUT /objects/config/a%20b HTTP/1.1", b"\x00body")
    server.answer = http_answer(200, b"\x00body")
    assert store.get("config/a b") == b"\x00body"
    server.answer = http_answer(404, b"")
    assert store.get("config/none") is None
    server.answer = json_answer(200, {"names": ["config/a"]})
    assert store.list_names("config/") == ("config/a",)


def test_truncated_object_is_a_failure(server):
    server.answer = http_answer(200, b"half", length=8)
    assert isinstance(HttpObjectStore(server.url, TIMEOUT_MS).get("a"), Failure)


def test_host_list_is_decoded(server):
    host = {
        "host_id": "h1",
        "service": "assist-llm",
        "zone": "dk-west-1",
        "agent_host": "127.0.0.1",
        "agent_port": 9000,
        "state": "leaving",
    }
    server.answer = json_answer(200, {"hosts": [host]})
    hosts = HttpHostList(server.url, TIMEOUT_MS)
    (read,) = hosts.read()
    assert read.state is HostState.LEAVING
    server.answer = json_answer(200, {"hosts": [{**host, "state": "gone"}]})
    assert isinstance(hosts.read(), Failure)
