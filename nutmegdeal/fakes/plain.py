"""Stand-in for a plain service, which is any service but a model engine."""

import attrs
import bottle
import gevent

from nutmegdeal.fakes.answers import plain_answer
from nutmegdeal.fakes.run_record import Outcome, RunRecord
from nutmegdeal.fakes.server import (
    JSON_TYPE,
    FaultTrigger,
    StandIn,
    abort_after,
    abort_request,
    connection_of,
    error_response,
    is_authorized,
    json_response,
)
from nutmegdeal.identifiers import body_digest

HOLD_POLL_MS = 10.0


@attrs.define
class PlainFaults:
    """Fault switches of the plain service.

    Parameters
    ----------
    holds_calls : bool
        Calls wait before their effect until this is false again.
    slow_ms : float
        Time from the start of a call to its effect.
    slow_answer_ms : float
        Time from the effect of a call to its response.
    not_run : FaultTrigger
        A call gets 503 and has no effect.
    cut_before_effect : FaultTrigger
        A call has no effect and its connection is aborted.
    cut_after_effect : FaultTrigger
        A call has its effect, but its connection is aborted.
    cut_after_bytes : int
        The connection is aborted after so many bytes of a response; 0 for never.
    backend_error : FaultTrigger
        A call has its effect, but gets 500.
    """

    holds_calls: bool = False
    slow_ms: float = 0.0
    slow_answer_ms: float = 0.0
    not_run: FaultTrigger = attrs.field(factory=FaultTrigger)
    cut_before_effect: FaultTrigger = attrs.field(factory=FaultTrigger)
    cut_after_effect: FaultTrigger = attrs.field(factory=FaultTrigger)
    cut_after_bytes: int = 0
    backend_error: FaultTrigger = attrs.field(factory=FaultTrigger)


class PlainStandIn(StandIn):
    """Plain service that runs and records each call, even if its key is repeated.

    A call that a fault keeps from having an effect is not recorded.

    Parameters
    ----------
    clock : Clock
    secret : str
        Bearer token that calls must carry; "" if none is checked.
    """

    def __init__(self, clock, secret):
        super().__init__(PlainFaults)
        self.record = RunRecord()
        self._clock = clock
        self._secret = secret
        self.app.route("/record", "GET", lambda: json_response(self.record.to_json()))
        self.app.route("/<path:path>", "ANY", self.call)

    def call(self, path):
        """Run a call with any method and path."""
        request = bottle.request
        if not is_authorized(request, self._secret):
            return error_response(401, "unauthenticated", "wrong or no secret")
        if self.faults.not_run.fires():
            return error_response(503, "not_run", "the service takes no work now")
        if self.faults.cut_before_effect.fires():
            return abort_request(request)
        digest = body_digest(request.body.read())
        run = self._begin_run(request, digest)
        while self.faults.holds_calls:
            gevent.sleep(HOLD_POLL_MS / 1000)
        gevent.sleep(self.faults.slow_ms / 1000)
        run.end(Outcome.COMPLETED)
        gevent.sleep(self.faults.slow_answer_ms / 1000)
        return self._respond(request, digest)

    def _begin_run(self, request, digest):
        return self.record.begin(
            attempt_id=request.get_header("X-Attempt-Id", ""),
            idempotency_key=request.get_header("Idempotency-Key", ""),
            adapter="",
            method=request.method,
            path=request.path,
            body_digest=digest,
            started_ms=self._clock.unix_ms(),
        )

    def _respond(self, request, digest):
        if self.faults.cut_after_effect.fires():
            return abort_request(request)
        if self.faults.backend_error.fires():
            return error_response(500, "backend_error", "the service failed")
        body = plain_answer(request.method, request.path, digest)
        headers = {"Content-Type": JSON_TYPE, "Content-Length": str(len(body))}
        chunks = [body]
        if self.faults.cut_after_bytes:
            byte_count = self.faults.cut_after_bytes
            chunks = abort_after(chunks, byte_count, connection_of(request))
        return bottle.HTTPResponse(chunks, 200, headers)
