"""Stand-in for an instance of a plain service, which records what it ran."""

import collections
import itertools
import json

import gevent

from nutmegdeal.caller_connections import CallerLeftError
from nutmegdeal.fakes.answer_faults import (
    AnswerBreak,
    AnswerFaults,
    ChunkedWriter,
    UnframedWriter,
)
from nutmegdeal.fakes.breakable_listener import BreakableListener
from nutmegdeal.fakes.named_limit import NamedLimit
from nutmegdeal.http_connections import find_header
from nutmegdeal.site_configuration import DEFAULT_CALLER_LIMITS

PLAIN_WORK_MS = 20.0


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
    is_leaving : bool
        Every answer says that the server leaves; its registration is not changed.
    retry_after_s : float or None
        Sent with each refusal by 503, if not None.
    faults : AnswerFaults
    limit : NamedLimit
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
        self.is_leaving = False
        self.retry_after_s = None
        self.faults = AnswerFaults()
        self.limit = NamedLimit()
        self._listen(address)
        self._address = (address[0], self.listener.port)

    @property
    def address(self):
        """IP address and TCP port in use."""
        return self._address

    def _listen(self, address):
        self.listener = BreakableListener(
            address, self._respond, lambda: DEFAULT_CALLER_LIMITS
        )
        self.listener.start()

    def close(self):
        """Stop listening and reset all connections."""
        self.listener.stop_accepting()
        self.listener.break_off()

    def registration(self):
        """Return the value of its registration row (bytes)."""
        return json.dumps(self._registration_fields()).encode()

    def _registration_fields(self):
        return {
            "service": self.service,
            "address": f"{self._address[0]}:{self._address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": self.state,
            "cold_remaining_ms": 0,
            "models": [],
            "sequence": 0,
            "born": self.incarnation,
        }

    def _respond(self, request, responder):
        self.faults.wait_while_silent()
        request_id = find_header(request.headers, b"x-request-id") or b""
        self.limit.record_arrival(request_id.decode())
        target_id = find_header(request.headers, b"x-target-instance")
        if target_id is not None and target_id.decode() != self.backend_id:
            self._refuse(request, responder, 421)
            return
        if self.refusals_pending:
            self.refusals_pending -= 1
            self._refuse(request, responder, 503)
            return
        self._serve(request, responder)

    def _refuse(self, request, responder, status_code):
        headers = [*self._common_headers(request), (b"x-not-executed", b"1")]
        if status_code == 503 and self.retry_after_s is not None:
            headers.append((b"retry-after", f"{self.retry_after_s}".encode()))
        responder.reply(status_code, headers, b"")

    def _leaving_headers(self):
        return [(b"server-leaving", b"1")] if self.is_leaving else []

    def _common_headers(self, request):
        headers = [
            (b"x-instance-id", self.backend_id.encode()),
            *self._leaving_headers(),
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
            self._execute(request, request_id, responder)
        except CallerLeftError:
            self.cancelled[request_id] += 1
            raise
        self.completed[request_id] += 1

    def _execute(self, request, request_id, responder):
        gevent.sleep(PLAIN_WORK_MS / 1000)
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
