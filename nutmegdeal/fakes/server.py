"""HTTP server, fault switches and aborted responses, shared by the stand-ins."""

import hmac
import json
import random
import signal
import socket
import sys

import attrs
import bottle
import cattrs
import gevent
from gevent.pywsgi import WSGIHandler

from nutmegdeal.wsgi_server import NoDelayWSGIServer

SOCKET_KEY = "nutmegdeal.socket"
JSON_TYPE = "application/json"
LISTEN_BACKLOG = 512  # connections
STOP_TIMEOUT_S = 5
BODY_BYTES_MAX = 64 * 1024 * 1024

bottle.BaseRequest.MEMFILE_MAX = BODY_BYTES_MAX


class SocketHandler(WSGIHandler):
    """WSGI handler that passes the connection of a request to the application."""

    def get_environ(self):
        """Return the WSGI environment, with the socket under `SOCKET_KEY`."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def finalize_headers(self):
        """Add the id of the attempt to the headers of its answer."""
        attempt_id = self.environ.get("HTTP_X_ATTEMPT_ID")
        if attempt_id:
            header = (b"X-Attempt-Id", attempt_id.encode("latin-1"))
            self.response_headers.append(header)
        super().finalize_headers()


def error_response(status_code, error_code, detail=""):
    """Return the response for an error."""
    return json_response({"error": error_code, "detail": detail}, status_code)


def json_response(value, status_code=200):
    """Return a response whose body is `value` as JSON."""
    headers = {"Content-Type": JSON_TYPE}
    return bottle.HTTPResponse(json.dumps(value), status_code, headers)


def connection_of(request):
    """Return the socket of a bottle request."""
    return request.environ[SOCKET_KEY]


def is_authorized(request, secret):
    """Return whether a request carries `secret`; always True if that is ""."""
    if not secret:
        return True
    given = request.get_header("Authorization", "")
    return hmac.compare_digest(given.encode(), f"Bearer {secret}".encode())


def abort_connection(connection):
    """Shut a connection down without sending the rest of its response."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def abort_request(request):
    """Abort a request's connection; return a response that is never received."""
    abort_connection(connection_of(request))
    return bottle.HTTPResponse(b"", 503)


def abort_after(chunks, byte_count, connection):
    """Yield up to `byte_count` bytes of `chunks`, then abort the connection."""
    remaining_count = byte_count
    for chunk in chunks:
        if len(chunk) >= remaining_count:
            yield chunk[:remaining_count]
            break
        remaining_count -= len(chunk)
        yield chunk
    abort_connection(connection)


@attrs.define
class FaultTrigger:
    """Decides whether a fault occurs: for the next calls, or at random.

    Parameters
    ----------
    count : int
        Number of next calls in which the fault occurs.
    probability : float
        Probability of the fault once `count` is used up.
    seed : int
        Seed of the random number generator.
    """

    count: int = 0
    probability: float = 0.0
    seed: int = 0
    _random: random.Random = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self):
        self._random = random.Random(self.seed)

    def fires(self):
        """Return whether the fault occurs in this call.

        Counts down `count`.
        """
        if self.count > 0:
            self.count -= 1
            return True
        return self.probability > 0 and self._random.random() < self.probability


def _structure_trigger(value, _type):
    """Return the FaultTrigger for a count, a probability or a dict of its fields.

    True and False stand for the probabilities 1 and 0.
    """
    if isinstance(value, dict):
        return FaultTrigger(**value)
    if isinstance(value, bool):
        return FaultTrigger(probability=float(value))
    if isinstance(value, float):
        return FaultTrigger(probability=value)
    return FaultTrigger(count=int(value))


def make_converter():
    """Return the cattrs converter for fault switches, which rejects unknown keys."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(FaultTrigger, _structure_trigger)
    return converter


_converter = make_converter()


class StandIn:
    """Base of the HTTP stand-ins: a bottle application and its fault switches.

    Parameters
    ----------
    faults_class : type
        attrs class whose fields are the switches, all off by default.
    """

    def __init__(self, faults_class):
        self.faults = faults_class()
        self._faults_class = faults_class
        self.app = bottle.Bottle()
        self.app.route("/healthz", "GET", lambda: json_response({}))
        self.app.route("/faults", "GET", self._show_faults)
        self.app.route("/faults", "PUT", self._change_faults)

    def _show_faults(self):
        return json_response(
            attrs.asdict(self.faults, filter=lambda field, _value: field.init)
        )

    def _change_faults(self):
        try:
            self.faults = _converter.structure(bottle.request.json, self._faults_class)
        except Exception as error:
            return error_response(400, "bad_request", repr(error))
        return self._show_faults()


def serve(stand_in, kind, host, port):
    """Serve a stand-in until SIGTERM or SIGINT.

    Prints its address as one JSON line once it listens.
    """
    server = NoDelayWSGIServer(
        (host, port),
        stand_in.app,
        log=None,
        handler_class=SocketHandler,
        backlog=LISTEN_BACKLOG,
    )
    server.start()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, server.stop, STOP_TIMEOUT_S)
    url = f"http://{host}:{server.server_port}"
    address = {"kind": kind, "host": host, "port": server.server_port, "url": url}
    print(json.dumps(address), flush=True)
    server.serve_forever()
    sys.stdout.flush()
