"""A process that ends within a response, seen by its caller."""

import socket
import subprocess
import sys

import pytest

# Serves one request: sends a part of the body, and the process ends at once.
PROGRAM = """
import os
import gevent
from nutmegdeal.http_listener import CallerListener
from nutmegdeal.site_configuration import DEFAULT_CALLER_LIMITS

def send_a_part(request, responder):
    responder.start(200, [])
    responder.send(b"part")
    gevent.sleep(0.2)
    os._exit(0)

listener = CallerListener(("127.0.0.1", 0), send_a_part, lambda: DEFAULT_CALLER_LIMITS)
listener.start()
print(listener.port, flush=True)
gevent.sleep(60)
"""


@pytest.mark.processes
def test_part_of_an_answer_to_http_1_0_does_not_look_complete():
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE, text=True
    )
    try:
        port = int(process.stdout.readline())
        with socket.create_connection(("127.0.0.1", port), timeout=20.0) as sock:
            sock.sendall(b"GET /a HTTP/1.0\r\nHost: h.example\r\n\r\n")
            with pytest.raises(ConnectionResetError):
                while sock.recv(65_536):
                    pass
    finally:
        process.kill()
        process.wait()
