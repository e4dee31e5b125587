"""Servers that run requests at any time, and a record of what they ran."""

import collections

import gevent
import gevent.event

from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.scripted_server import reset

REFUSED = "X-Not-Executed: 1\r\n"
# Longer than any test waits for an answer; a standing server ends with its connection.
STANDSTILL_S = 20.0


class LateServers:
    """Answers for `ScriptedServer`, one after another whichever server is asked.

    Parameters
    ----------
    manners : sequence of str
        Names of methods of this class, which answer one request each; the last one
        answers all further requests.
    is_stream : bool
        Whether complete answers are streams.

    Attributes
    ----------
    runs : collections.Counter
        How often requests ran, by id.
    open_count : int
        Requests that a server has received and not ended.
    received : gevent.event.Event
        Set once a server has received a request.
    """

    def __init__(self, manners, is_stream):
        self._manners = list(manners)
        self._is_stream = is_stream
        self.runs = collections.Counter()
        self.open_count = 0
        self.received = gevent.event.Event()

    def answer(self, sock, request):
        """Answer one request in the next manner."""
        manners = self._manners
        manner = manners.pop(0) if len(manners) > 1 else manners[0]
        self.open_count += 1
        self.received.set()
        try:
            return getattr(self, manner)(sock, request[b"x-request-id"].decode())
        except OSError:
            return False
        finally:
            self.open_count -= 1

    def complete(self, sock, request_id):
        """Run the request and answer it."""
        self.runs[request_id] += 1
        if self._is_stream:
            sock.sendall(build.build_stream_answer(request_id, range(3)))
        else:
            sock.sendall(build.build_plain_answer(request_id))

    def run_late(self, sock, request_id):
        """Stand still until the client closes the connection, then run the request."""
        _wait_for_close(sock)
        self.runs[request_id] += 1
        return False

    def run_silently(self, sock, request_id):
        """Run the request, and never answer it."""
        self.runs[request_id] += 1
        _wait_for_close(sock)
        return False

    def close_after_run(self, _sock, request_id):
        """Run the request, and close the connection."""
        self.runs[request_id] += 1
        return False

    def reset_after_run(self, sock, request_id):
        """Run the request, and reset the connection."""
        self.runs[request_id] += 1
        return reset(sock)

    def break_head(self, sock, request_id):
        """Run the request, and break off inside a refusal's head."""
        self.runs[request_id] += 1
        refusal = _build_refusal(request_id)
        sock.sendall(refusal[: refusal.index(b"X-Not") + 3])
        return False

    def send_garbage(self, sock, request_id):
        """Run the request, and send bytes that are no answer."""
        self.runs[request_id] += 1
        sock.sendall(b"503 not HTTP\r\n\r\n")
        return False

    def fail(self, sock, request_id):
        """Run the request, and answer 500."""
        self.runs[request_id] += 1
        sock.sendall(build.build_plain_answer(request_id, b"", "500 Failed"))

    def fail_unavailable(self, sock, request_id):
        """Run the request, and answer 503 without the word that it did not run."""
        self.runs[request_id] += 1
        sock.sendall(build.build_plain_answer(request_id, b"", "503 Busy"))

    def refuse_another(self, sock, request_id):
        """Run the request, and refuse another one."""
        self.runs[request_id] += 1
        sock.sendall(_build_refusal("another"))
        return False

    def refuse(self, sock, request_id):
        """Refuse the request."""
        sock.sendall(_build_refusal(request_id))

    def refuse_misdirected(self, sock, request_id):
        """Refuse the request as one for another server."""
        sock.sendall(_build_refusal(request_id, "421 Misdirected"))

    def refuse_twice(self, sock, request_id):
        """Send two copies of a refusal."""
        sock.sendall(2 * _build_refusal(request_id))

    def refuse_and_close(self, sock, request_id):
        """Refuse the request, and close the connection."""
        sock.sendall(_build_refusal(request_id, extra="Connection: close\r\n"))
        return False

    def refuse_in_part(self, sock, request_id):
        """Break off inside the body of a refusal."""
        sock.sendall(_build_refusal(request_id, body=b"full")[:-2])
        return False


MANNERS = (
    "complete",
    "run_late",
    "run_silently",
    "close_after_run",
    "reset_after_run",
    "break_head",
    "send_garbage",
    "fail",
    "fail_unavailable",
    "refuse_another",
    "refuse",
    "refuse_misdirected",
    "refuse_twice",
    "refuse_and_close",
    "refuse_in_part",
)


def _build_refusal(request_id, status="503 Busy", extra="", body=b""):
    return build.build_plain_answer(request_id, body, status, REFUSED + extra)


def _wait_for_close(sock):
    with gevent.Timeout(STANDSTILL_S):
        sock.recv(1)
