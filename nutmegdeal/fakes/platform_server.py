"""Stand-in for an instance of a plain service, which records what it ran."""

import collections
import json

import gevent

from nutmegdeal.caller_connections import CallerLeftError
from nutmegdeal.http_connections import find_header
from nutmegdeal.http_listener import CallerListener
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
    """

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
        self.listener = CallerListener(
            address, self._respond, lambda: DEFAULT_CALLER_LIMITS
        )
        self.listener.start()
        self._address = (address[0], self.listener.port)

    @property
    def address(self):
        """IP address and TCP port in use."""
        return self._address

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
        if self.failures_pending:
            self.failures_pending -= 1
            responder.reply(500, headers, b"failed")
            return
        responder.reply(200, headers, f"answer to {request_id}".encode())
