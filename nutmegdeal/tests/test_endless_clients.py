"""Clients of urllib3 beside servers whose answers have no end."""

import json
import sys

import gevent.subprocess
import pytest

from nutmegdeal.tests.endless_clients import CLIENTS, SOUND_COUNT
from nutmegdeal.tests.scripted_server import ScriptedServer, send_without_end

CHUNK = b"4000\r\n" + bytes(0x4000) + b"\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
ERROR = b"HTTP/1.1 500 Failed\r\n"
FILLER = bytes(0x4000).replace(b"\0", b"x")
HEADERS = {
    "status line": (b"HTTP/1.1 200 ", FILLER),
    "header line": (OK + b"X-More: ", FILLER),
    "headers": (OK, b"X-More: 1\r\n" * 100),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "headers of an interim head": (b"HTTP/1.1 100 Continue\r\n", b"X-More: 1\r\n"),
    "size of a chunk": (OK + CHUNKED + b"4;", FILLER),
    "trailers": (OK + CHUNKED + b"0\r\n", b"X-More: 1\r\n" * 100),
}
BODIES = {
    "body with a length": (OK + b"Content-Length: 1000000000000\r\n\r\n", FILLER),
    "chunked body": (OK + CHUNKED, CHUNK),
    "body without a length": (OK + b"\r\n", FILLER),
    "compressed body": (OK + b"Content-Encoding: gzip\r\n\r\n", FILLER),
}
# Longer than all calls of a client take; a process that stands still does not end.
PROGRAM_TIMEOUT_S = 300
# Importing the tools makes blocking calls cooperative, as in our programs.
PROGRAM = (
    "import nutmegdeal.tools\n"
    "from nutmegdeal.tests.endless_clients import main\n"
    "main()\n"
)
# Its pieces come faster than the time limit of a read, and slower than any other one.
DRIPPING = {"dripping body": (OK + b"Content-Length: 100000\r\n\r\n", b"x")}
DRIP_PAUSE_S = 0.1
ERRORS = {"error body": (ERROR + CHUNKED, CHUNK)}
# Bodies of answers to requests are passed on to the caller as they arrive.
ANSWERS = {
    "report": {**HEADERS, **ERRORS, **BODIES, **DRIPPING},
    "load": {**HEADERS, **ERRORS, **BODIES, **DRIPPING},
    "engine": {**HEADERS, **ERRORS},
    "plain": HEADERS,
    "service": {**HEADERS, **ERRORS, **BODIES, **DRIPPING},
    "process": {**HEADERS, **ERRORS, **BODIES, **DRIPPING},
}


def answer_soundly(sock, _request):
    sock.sendall(OK + b"Content-Length: 2\r\n\r\n{}")


@pytest.fixture
def start_servers():
    servers = []

    def start(answers):
        servers.extend(map(ScriptedServer, answers))
        return ["http://{}:{}".format(*server.address) for server in servers]

    yield start
    for server in servers:
        server.close()


@pytest.mark.parametrize("client", CLIENTS)
def test_answer_without_end_harms_neither_the_process_nor_other_calls(
    client, start_servers
):
    answers = ANSWERS[client]
    endless = [
        send_without_end(start, then=then, pause_s=DRIP_PAUSE_S * (len(then) == 1))[0]
        for start, then in answers.values()
    ]
    urls = start_servers([answer_soundly, *endless])
    command = [sys.executable, "-c", PROGRAM, client, *urls]
    output = gevent.subprocess.check_output(command, timeout=PROGRAM_TIMEOUT_S)
    results = dict(zip(answers, json.loads(output), strict=True))
    expected = {"outcome": "failure", "sound_count": SOUND_COUNT}
    assert results == dict.fromkeys(answers, expected)
