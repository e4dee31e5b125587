"""Sites of real processes with low limits, for crowds of clients."""

import contextlib
import itertools
import json
import resource

import gevent
import gevent.socket

from nutmegdeal.fakes.platform_configuration import MODEL, PLAIN_SERVICE
from nutmegdeal.fakes.platform_server import PlatformBackend
from nutmegdeal.gateway.process import METRICS_PORT as GATEWAY_METRICS_PORT
from nutmegdeal.placer.process import METRICS_PORT as PLACER_METRICS_PORT
from nutmegdeal.soak.site import HOST, RETRY_BOUNDS, SoakSite
from nutmegdeal.tests.crowds import BODY_BYTES, CROWD_REQUEST_ID

# Limits of the processes of the users' platform. Of the descriptors 200 are for files.
MEMORY_MB = 100
DESCRIPTORS_MAX = 600
SOCKETS_MAX = 400
# Of the processes of our own interface, as the settings page says.
OWN_MEMORY_MB = 512
# The smallest memory of a host on the users' pages.
SMALLEST_HOST_MB = 160
LARGE_ANSWER_TARGET = "/look/large"
LARGE_ANSWER_BYTES = 1_000_000
CALL_TIMEOUT_S = 10.0
# Only ends a test of a process that hangs.
ANSWERED_WITHIN_S = 60.0
RETRY_PAUSE_S = 0.2
OK_LINE = b"HTTP/1.1 200 "
# On the users' platform; our own interface takes a point in time.
DEADLINE = "X-Deadline-Ms: 5000"


class LargeAnswerBackend(PlatformBackend):
    """Plain server with large answers to requests for one target.

    Attributes
    ----------
    body_lengths : dict of bytes to int
        Length of the body of the last request with each id.
    """

    def __init__(self, *arguments):
        self.body_lengths = {}
        super().__init__(*arguments)

    def _execute(self, request, request_id, responder):
        self.body_lengths[request_id] = len(request.body)
        if request.target != LARGE_ANSWER_TARGET.encode():
            super()._execute(request, request_id, responder)
            return
        headers = [*self._common_headers(request), (b"x-response-signature", b"s")]
        responder.reply(200, headers, bytes(LARGE_ANSWER_BYTES))


class CrowdSite(SoakSite):
    """One gateway, engines with placers and plain servers; low limits on processes.

    Parameters
    ----------
    folder : pathlib.Path
    prefix : str
        As in SoakSite.
    memory_mb : int
        Memory of each program.
    """

    def __init__(self, folder, prefix, memory_mb=MEMORY_MB):
        self._memory_mb = memory_mb
        self._request_numbers = itertools.count()
        with lowered_descriptor_limit():
            super().__init__(folder, prefix, RETRY_BOUNDS[0], gateway_count=1)
        wait_until_answered(self.readiness_address, build_get("/ready"))

    def _make_server(self, number):
        address = (self._ip(10 + number), 0)
        server = LargeAnswerBackend(address, f"p-{number}", PLAIN_SERVICE)
        self._add_proxy(server)
        return server

    def _make_program(self, *arguments):
        program = super()._make_program(*arguments)
        settings = json.loads(program.settings_path.read_text())
        settings["limits"] = {"memory_mb": self._memory_mb, "max_fds": DESCRIPTORS_MAX}
        program.settings_path.write_text(json.dumps(settings))
        return program

    @property
    def upload_count(self):
        """Return how many servers have received a body of the greatest size (int)."""
        lengths = [server.body_lengths.get(CROWD_REQUEST_ID) for server in self.servers]
        return lengths.count(BODY_BYTES)

    @property
    def gateway(self):
        """Return the gateway's Program."""
        return self.gateways[0]

    @property
    def placer(self):
        """Return the Program of the first placer."""
        return self.placers[0]

    @property
    def callers_address(self):
        """Return the gateway's address for callers."""
        return self.gateway_address(0)

    @property
    def readiness_address(self):
        """Return the gateway's address for the readiness check."""
        return self._ip(20), self.gateway_ports[1]

    @property
    def metrics_address(self):
        """Return the address of the gateway's metrics."""
        return self._ip(20), GATEWAY_METRICS_PORT

    @property
    def placer_metrics_address(self):
        """Return the address of the first placer's metrics."""
        return self.engines[0].address[0], PLACER_METRICS_PORT

    @property
    def placer_streams_address(self):
        """Return the address at which the first placer accepts streams."""
        return self.engines[0].address[0], self.placer_port

    def build_booking(self):
        """Return an ordinary request of its own id, without an adapter."""
        return build_post("/book/1", f"o-{next(self._request_numbers)}", [DEADLINE])

    def build_chat(self):
        """Return a request for an adapter that no placer has loaded before."""
        number = next(self._request_numbers)
        adapter = f"X-Model: {MODEL}/new-{number}"
        fields = [DEADLINE, adapter, "X-Token-Usage: 80,10"]
        return build_post("/chat/1", f"o-{number}", fields)


def wait_until_answered(address, request):
    """Send requests on new connections until one is answered with success.

    Parameters
    ----------
    address : tuple of str and int
    request : bytes or callable
        A callable returns the bytes of each new one.
    """
    error = AssertionError(f"no success within {ANSWERED_WITHIN_S} s")
    with gevent.Timeout(ANSWERED_WITHIN_S, error):
        while not is_answered(address, request() if callable(request) else request):
            gevent.sleep(RETRY_PAUSE_S)


def is_answered(address, request):
    """Return whether a request on a new connection is answered with success."""
    try:
        with gevent.socket.create_connection(address, CALL_TIMEOUT_S) as sock:
            sock.sendall(request)
            return sock.recv(65_536).startswith(OK_LINE)
    except OSError:
        return False


def build_get(target):
    """Return a GET request."""
    return f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()


def build_post(target, request_id, fields=(), body=b"{}"):
    """Return a POST request."""
    lines = [
        f"POST {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        *fields,
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


@contextlib.contextmanager
def lowered_descriptor_limit():
    """Limit the descriptors of the processes that are started within the context."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS_MAX, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
