"""Stand-in for an instance of a plain service, which records what it ran."""

import collections
import itertools
import json
import time

import gevent

from nutmegdeal.fakes.answer_faults import (
    AnswerBreak,
    AnswerFaults,
    ChunkedWriter,
    UnframedWriter,
)
from nutmegdeal.fakes.breakable_listener import BreakableListener
from nutmegdeal.fakes.endless_answers import encode_head
from nutmegdeal.fakes.named_limit import NamedLimit
from nutmegdeal.fakes.prompt_crashes import CauseRecord
from nutmegdeal.fakes.stream_runs import SOFTWARE_VERSION
from nutmegdeal.http_connections import find_header
from nutmegdeal.incoming_requests import CallerLeftError
from nutmegdeal.log import get_logger
from nutmegdeal.site_configuration import DEFAULT_CALLER_LIMITS

logger = get_logger(__name__)

PLAIN_WORK_MS = 20.0
SLOTS = 64
CRASH_DOWN_MS = 2_000.0
# Time for which a request runs before it crashes its server.
CRASH_AFTER_MS = 10.0
# Pause before a server that returns tries again to listen on its port.
LISTEN_RETRY_S = 0.1


def _do_nothing():
    """Take no notice of a crash."""


def _record(request, request_id):
    now_ms = time.monotonic() * 1000
    return CauseRecord(request.target.decode(), request_id.decode(), now_ms)


class PlatformBackend:
    """Instance of a plain service.

    Parameters
    ----------
    address : tuple of str and int
    backend_id, service, zone : str

    Attributes
    ----------
    state : str
        State in its registration.
    runs, completed, cancelled : collections.Counter
        Runs begun, completed and cancelled, by request id. A run is cancelled if the
        caller disconnects or stops reading; runs that end in a 500 or an aborted
        stream count as completed.
    failures_pending, refusals_pending : int
        Number of next requests that get 500 after they ran (plain services only), or
        503 without running.
    aborts_pending : int
        Number of next streams of a model engine that end before their last event.
    incarnation : int
        Sent as ``born``; a restart increments it.
    software_version : object
        ``version`` in its registration; None leaves it out.
    is_leaving : bool
        Every answer says that the server leaves; its registration is not changed.
    retry_after_s : float or None
        Sent with each refusal by 503, if not None.
    faults : AnswerFaults
    work_time_percent : float or None
        How long work takes, 100 is usual. All answers state it with the load; None
        states neither.
    limit : NamedLimit
    crashing_targets : set of bytes
        Requests for these targets crash the server shortly after it has begun to run
        them. Connections are then reset, and all runs count as cancelled.
    request_crashes, request_arrivals : list of CauseRecord
        Crashes by such requests, and all such requests that the server received.
    crash_down_ms : float
        Time from a crash to the start of the next incarnation. Until then the server
        refuses connections.
    tenants : dict of str to list of bytes
        Names of tenants in each request that arrived, by its id.
    key_count : int
        Requests that arrived with an API key, which no server may see.
    on_crash : callable
        Called without arguments when the server crashes.
    restart_after_crash : callable
        Called without arguments when a crashed server accepts connections again; by
        default `restart` under a new id.
    """

    # Number of the event at which a stream breaks off.
    _break_event = 0

    def __init__(self, address, backend_id, service, zone="a"):
        self.backend_id = backend_id
        self.service = service
        self.zone = zone
        self.state = "ready"
        self.runs = collections.Counter()
        self.completed = collections.Counter()
        self.cancelled = collections.Counter()
        self.failures_pending = 0
        self.refusals_pending = 0
        self.aborts_pending = 0
        self.incarnation = 1
        self.software_version = SOFTWARE_VERSION
        self.is_leaving = False
        self.retry_after_s = None
        self.faults = AnswerFaults()
        self.work_time_percent = None
        self.limit = NamedLimit()
        self.crashing_targets = set()
        self.request_crashes = []
        self.request_arrivals = []
        self.tenants = {}
        self.key_count = 0
        self.crash_down_ms = CRASH_DOWN_MS
        self.on_crash = _do_nothing
        self.restart_after_crash = self._restart_under_new_id
        self._return_greenlet = None
        self._listen(address)
        self._address = (address[0], self.listener.port)

    @property
    def address(self):
        """IP address and TCP port in use."""
        return self._address

    def _listen(self, address):
        self.listener = BreakableListener(
            address, self._accept, lambda: DEFAULT_CALLER_LIMITS
        )
        self.listener.start()

    def close(self):
        """Stop listening, also if the server would return from a crash later."""
        if self.is_down:
            self._return_greenlet.kill()
        self.listener.stop_accepting()
        self.listener.break_off()

    def restart(self, backend_id=None, software_version=None):
        """Begin a new incarnation.

        Parameters
        ----------
        backend_id, software_version : str, optional
            By default the server keeps its id and version.
        """
        self.incarnation += 1
        self.software_version = software_version or self.software_version
        self.is_leaving = False
        self.backend_id = backend_id or self.backend_id

    @property
    def is_down(self):
        """Return whether the server has crashed and not returned yet."""
        return self._return_greenlet is not None

    def _restart_under_new_id(self):
        name = self.backend_id.partition("#")[0]
        self.restart(f"{name}#{self.incarnation + 1}")

    def _crash(self):
        """Break off all connections, and refuse new ones for a time."""
        self.on_crash()
        self.listener.stop_accepting()
        self._return_greenlet = gevent.spawn_later(
            self.crash_down_ms / 1000, self._return_from_crash
        )
        self.listener.break_off()

    def _return_from_crash(self):
        while True:
            try:
                self._listen(self.address)
                break
            except OSError as error:
                logger.warning("port_in_use", address=self.address, error=str(error))
                gevent.sleep(LISTEN_RETRY_S)
        self._return_greenlet = None
        self.restart_after_crash()

    def registration(self):
        """Return the value of its registration row (bytes)."""
        return json.dumps(self._registration_fields()).encode()

    def _registration_fields(self):
        fields = {
            "service": self.service,
            "address": f"{self._address[0]}:{self._address[1]}",
            "zone": self.zone,
            "slots": SLOTS,
            "state": self.state,
            "cold_remaining_ms": 0,
            "models": [],
            "sequence": 0,
            "born": self.incarnation,
        }
        if self.software_version is not None:
            fields["version"] = self.software_version
        return fields

    def _accept(self, request, responder):
        if self.faults.ignores_close:
            self.listener.run_detached(self._respond, request, responder)
            return
        self._respond(request, responder)

    def _respond(self, request, responder):
        self.faults.wait_while_silent()
        self.listener.current_connection().write_late_answer()
        request_id = find_header(request.headers, b"x-request-id") or b""
        self.limit.record_arrival(request_id.decode())
        self._record_caller(request, request_id.decode())
        if request.target in self.crashing_targets:
            self.request_arrivals.append(_record(request, request_id))
        target_id = find_header(request.headers, b"x-target-instance")
        if target_id is not None and target_id.decode() != self.backend_id:
            self._refuse(request, responder, 421)
            return
        if self.refusals_pending:
            self.refusals_pending -= 1
            self._refuse(request, responder, 503)
            return
        self._serve(request, responder)

    def _record_caller(self, request, request_id):
        """Record who calls; servers that read CGI variables know no hyphens."""
        headers = [(name.replace(b"_", b"-"), value) for name, value in request.headers]
        self.key_count += any(name == b"x-credential" for name, _ in headers)
        self.tenants[request_id] = [
            value for name, value in headers if name == b"x-tenant"
        ]

    def _refuse(self, request, responder, status_code):
        headers = [*self._common_headers(request), (b"x-not-executed", b"1")]
        if status_code == 503 and self.retry_after_s is not None:
            headers.append((b"retry-after", f"{self.retry_after_s}".encode()))
        if self.faults.repeats_refusals:
            whole = encode_head([*headers, (b"content-length", b"0")], status_code)
            self.listener.current_connection().late_answer = whole
        responder.reply(status_code, headers, b"")

    def _leaving_headers(self):
        return [(b"server-leaving", b"1")] if self.is_leaving else []

    def _load_headers(self):
        if self.work_time_percent is None:
            return []
        ended = self.completed.total() + self.cancelled.total()
        running_count = self.runs.total() - ended
        load = b"%d,0,%d,%g" % (running_count, SLOTS, self.work_time_percent)
        return [(b"x-server-load", load)]

    def _common_headers(self, request):
        headers = [
            (b"x-instance-id", self.backend_id.encode()),
            *self._leaving_headers(),
            *self._load_headers(),
            *self.limit.headers,
        ]
        request_id = find_header(request.headers, b"x-request-id")
        if request_id is not None:
            headers.append((b"x-request-id", request_id))
        return headers

    def _serve(self, request, responder):
        request_id = find_header(request.headers, b"x-request-id").decode()
        self.runs[request_id] += 1
        try:
            self._crash_by(request, request_id)
            self._execute(request, request_id, responder)
        except CallerLeftError:
            self.cancelled[request_id] += 1
            raise
        self.completed[request_id] += 1

    def _crash_by(self, request, request_id):
        """Crash if the request is a crashing one."""
        if request.target not in self.crashing_targets:
            return
        gevent.sleep(CRASH_AFTER_MS / 1000)
        if self.is_down:
            # The connection was accepted just before another crash.
            self.listener.break_off()
        self.request_crashes.append(_record(request, request_id.encode()))
        self._crash()

    def _execute(self, request, request_id, responder):
        gevent.sleep(PLAIN_WORK_MS / 1000 * (self.work_time_percent or 100) / 100)
        headers = [*self._common_headers(request), (b"x-response-signature", b"s")]
        body = f"answer to {request_id}".encode()
        self.faults.pause_before(self.faults.silence_event)
        if self.failures_pending:
            self.failures_pending -= 1
            responder.reply(500, headers, b"failed")
        elif self._is_framed_by_length():
            responder.reply(200, headers, body)
        else:
            self._write_answer(responder, headers, [(0, body)])

    def _is_framed_by_length(self):
        faults = self.faults
        return not (faults.is_unframed or faults.breaks_pending or faults.endless)

    def _write_answer(self, responder, headers, pieces):
        """Write a successful answer with the faults that are on.

        Parameters
        ----------
        responder : Responder
        headers : list of (bytes, bytes)
        pieces : iterable of (int, bytes)
            Numbered pieces of the body.
        """
        connection = self.listener.current_connection()
        if self.faults.endless is not None:
            self._write_endless(connection, headers)
        writer = ChunkedWriter(responder)
        if self.faults.is_unframed:
            writer = UnframedWriter(connection)
        writer.start(headers)
        if self.faults.sends_head_early:
            writer.send(b"")
        for number, piece in pieces:
            break_kind = self._claim_break() if number == self._break_event else None
            if break_kind in (None, AnswerBreak.BETWEEN_EVENTS):
                writer.send(piece)
            else:
                writer.send(piece[: len(piece) // 2])
            if break_kind is AnswerBreak.RESET:
                connection.reset_on_close()
            if break_kind is not None:
                return
        writer.finish()

    def _claim_break(self):
        if self.aborts_pending:
            self.aborts_pending -= 1
            return AnswerBreak.BETWEEN_EVENTS
        return self.faults.claim_break()

    def _write_endless(self, connection, headers):
        """Write an answer until the client closes, which raises CallerLeftError."""
        endless = self.faults.endless
        connection.write(endless.encode_start(headers))
        for number in itertools.count():
            connection.write(endless.encode_piece(number))
            gevent.sleep(self.faults.endless_interval_ms / 1000)
