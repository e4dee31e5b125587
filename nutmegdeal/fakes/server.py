"""What all stand-ins share: HTTP server, fault switches, ways to cut an answer."""

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

from nutmegdeal.listeners import PromptServer

SOCKET_KEY = "nutmegdeal.socket"
JSON_TYPE = "application/json"
LISTEN_BACKLOG = 512
STOP_WITHIN_S = 5
BODY_BYTES_MAX = 64 * 1024 * 1024

bottle.BaseRequest.MEMFILE_MAX = BODY_BYTES_MAX


class SocketHandler(WSGIHandler):
    """Handler that lets an application reach the connection of a request."""

    def get_environ(self):
        """Return the WSGI environment with the connection's socket."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


def error_answer(status_code, word, detail=""):
    """Return the answer of an error."""
    return json_answer({"error": word, "detail": detail}, status_code)


def json_answer(value, status_code=200):
    """Return the answer whose body is `value` in JSON."""
    headers = {"Content-Type": JSON_TYPE}
    return bottle.HTTPResponse(json.dumps(value), status_code, headers)


def connection_of(request):
    """Return the socket that a bottle request came in on."""
    return request.environ[SOCKET_KEY]


def is_authorized(request, secret):
    """Return whether a request carries `secret`, or none is wanted."""
    if not secret:
        return True
    given = request.get_header("Authorization", "")
    return hmac.compare_digest(given.encode(), f"Bearer {secret}".encode())


def cut(connection):
    """Close a connection without the rest of its answer."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def cut_answer(request):
    """Close a request's connection and return the answer that nobody receives."""
    cut(connection_of(request))
    return bottle.HTTPResponse(b"", 503)


def cut_after(chunks, byte_count, connection):
    """Yield `byte_count` bytes of `chunks`, then cut the connection."""
    left = byte_count
    for chunk in chunks:
        if len(chunk) >= left:
            yield chunk[:left]
            break
        left -= len(chunk)
        yield chunk
    cut(connection)


@attrs.define
class Chance:
    """Switch that fires a number of times, or at random.

    Parameters
    ----------
    count : int
        Times it is still going to fire.
    probability : float
        Chance that it fires once `count` is used up.
    seed : int
        Seed of the random source.
    """

    count: int = 0
    probability: float = 0.0
    seed: int = 0
    _random: random.Random = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self):
        self._random = random.Random(self.seed)

    def fires(self):
        """Return whether the fault strikes now."""
        if self.count > 0:
            self.count -= 1
            return True
        return self.probability > 0 and self._random.random() < self.probability


def _structure_chance(value, _type):
    """Return the Chance that a count, a probability or an object of both describes."""
    if isinstance(value, dict):
        return Chance(**value)
    if isinstance(value, bool):
        return Chance(probability=float(value))
    if isinstance(value, float):
        return Chance(probability=value)
    return Chance(count=int(value))


def make_converter():
    """Return the cattrs converter that reads fault switches strictly."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(Chance, _structure_chance)
    return converter


_converter = make_converter()


class StandIn:
    """One stand-in: its bottle application and its fault switches.

    Parameters
    ----------
    faults_class : type
        attrs class whose fields are the switches and whose defaults are all off.
    """

    def __init__(self, faults_class):
        self.faults = faults_class()
        self._faults_class = faults_class
        self.app = bottle.Bottle()
        self.app.route("/healthz", "GET", lambda: json_answer({}))
        self.app.route("/faults", "GET", self._show_faults)
        self.app.route("/faults", "PUT", self._change_faults)

    def _show_faults(self):
        return json_answer(
            attrs.asdict(self.faults, filter=lambda field, _value: field.init)
        )

    def _change_faults(self):
        try:
            self.faults = _converter.structure(bottle.request.json, self._faults_class)
        except Exception as error:
            return error_answer(400, "bad_request", repr(error))
        return self._show_faults()


def serve(stand_in, kind, host, port):
    """Serve a stand-in until SIGTERM or SIGINT; print its address when it listens."""
    server = PromptServer(
        (host, port),
        stand_in.app,
        log=None,
        handler_class=SocketHandler,
        backlog=LISTEN_BACKLOG,
    )
    server.start()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, server.stop, STOP_WITHIN_S)
    url = f"http://{host}:{server.server_port}"
    address = {"kind": kind, "host": host, "port": server.server_port, "url": url}
    print(json.dumps(address), flush=True)
    server.serve_forever()
    sys.stdout.flush()
