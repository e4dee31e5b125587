"""Stand-in of a plain service."""

import attrs
import bottle
import gevent

from nutmegdeal.fakes.answers import plain_answer
from nutmegdeal.fakes.record import Outcome, Record
from nutmegdeal.fakes.server import (
    JSON_TYPE,
    Chance,
    StandIn,
    connection_of,
    cut_after,
    cut_answer,
    error_answer,
    is_authorized,
    json_answer,
)
from nutmegdeal.identifiers import body_digest


@attrs.define
class PlainFaults:
    """Fault switches of the plain service.

    Parameters
    ----------
    slow_ms : float
        Time that a call takes before its effect.
    slow_answer_ms : float
        Time between the effect of a call and its answer.
    not_run : Chance
        A call answers 503 and has no effect.
    cut_before_effect : Chance
        A call has no effect and its connection is cut.
    cut_after_effect : Chance
        A call has its effect and its connection is cut.
    cut_after_bytes : int
        Answers are cut after so many bytes; 0 for never.
    backend_error : Chance
        A call has its effect and answers 500.
    """

    slow_ms: float = 0.0
    slow_answer_ms: float = 0.0
    not_run: Chance = attrs.field(factory=Chance)
    cut_before_effect: Chance = attrs.field(factory=Chance)
    cut_after_effect: Chance = attrs.field(factory=Chance)
    cut_after_bytes: int = 0
    backend_error: Chance = attrs.field(factory=Chance)


class PlainStandIn(StandIn):
    """Plain service that records the effect of every call, repeated ones too.

    Parameters
    ----------
    clock : Clock
    secret : str
        Secret that calls must carry, "" for a service that checks none.
    """

    def __init__(self, clock, secret):
        super().__init__(PlainFaults)
        self.record = Record()
        self._clock = clock
        self._secret = secret
        self.app.route("/record", "GET", lambda: json_answer(self.record.to_json()))
        self.app.route("/<path:path>", "ANY", self.call)

    def call(self, path):
        """Run a call of any method and path."""
        request = bottle.request
        if not is_authorized(request, self._secret):
            return error_answer(401, "unauthenticated", "wrong or no secret")
        if self.faults.not_run.fires():
            return error_answer(503, "not_run", "the service takes no work now")
        if self.faults.cut_before_effect.fires():
            return cut_answer(request)
        digest = body_digest(request.body.read())
        run = self._begin_run(request, digest)
        gevent.sleep(self.faults.slow_ms / 1000)
        run.end(Outcome.COMPLETED)
        gevent.sleep(self.faults.slow_answer_ms / 1000)
        return self._answer(request, digest)

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

    def _answer(self, request, digest):
        if self.faults.cut_after_effect.fires():
            return cut_answer(request)
        if self.faults.backend_error.fires():
            return error_answer(500, "backend_error", "the service failed")
        body = plain_answer(request.method, request.path, digest)
        headers = {"Content-Type": JSON_TYPE, "Content-Length": str(len(body))}
        chunks = [body]
        if self.faults.cut_after_bytes:
            byte_count = self.faults.cut_after_bytes
            chunks = cut_after(chunks, byte_count, connection_of(request))
        return bottle.HTTPResponse(chunks, 200, headers)
