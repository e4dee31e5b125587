"""One request and its answer on one connection to a backend server."""

import attrs

from nutmegdeal.gateway.availability import LeavingSource
from nutmegdeal.gateway.events import BrokenStreamError, EventSplitter
from nutmegdeal.gateway.requests import HeldAnswer, RunFate, RunOutcome
from nutmegdeal.http_connections import BrokenAnswerError, find_header
from nutmegdeal.platform import headers as platform_headers
from nutmegdeal.site_configuration import RouteKind

# Limit on an answer's body: four times the largest body that a caller may send.
# Answers are a few KB.
ANSWER_BYTES_MAX = 16_777_216
# Timeout for the head of an answer and for the first event of a stream, as a multiple
# of the latency target. It applies if another server may then run the request, else the
# deadline does. Callers abandon a stream after four targets.
FIRST_EVENT_TIMEOUT_TARGETS = 2.0
# Timeout between two events of a stream that another server may then resume, as a
# multiple of the target for the gap between events. Callers abandon a stream after
# eight targets.
GAP_TIMEOUT_TARGETS = 4.0
GAP_TIMEOUT_MIN_MS = 800.0


@attrs.define
class AnswerProgress:
    """The part of the answer that the caller has received.

    Parameters
    ----------
    responder : Responder
    splitter : EventSplitter
    first_byte_ms : float
        When the first part was forwarded, 0.0 if none has been.
    last_byte_ms : float
        When the last part was forwarded, 0.0 if none has been.
    longest_gap_ms : float
        Longest gap between two parts.
    """

    responder: object
    splitter: EventSplitter = attrs.field(factory=EventSplitter)
    first_byte_ms: float = 0.0
    last_byte_ms: float = 0.0
    longest_gap_ms: float = 0.0

    def record_forwarded(self, now_ms):
        """Record that a part of the answer is forwarded.

        Returns
        -------
        float
            Time since the previous part, 0.0 for the first one.
        """
        gap_ms = 0.0
        if not self.first_byte_ms:
            self.first_byte_ms = now_ms
        else:
            gap_ms = now_ms - self.last_byte_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_byte_ms = now_ms
        return gap_ms


class Exchange:
    """One request and its answer on one connection."""

    def __init__(
        self, clock, connection, request, member, progress, may_repeat, membership
    ):
        self._clock = clock
        self._membership = membership
        self._connection = connection
        self._request = request
        self._member = member
        self._progress = progress
        self._may_repeat = may_repeat
        self._sent_ms = 0.0

    def send(self, version):
        """Send the request."""
        request = self._request
        incoming = request.incoming
        has_priority = request.adapter or request.is_stream
        headers = platform_headers.build_backend_headers(
            incoming.headers,
            request.deadline_ms - self._clock.monotonic_ms(),
            self._member.backend_id,
            request.route.rank * 2 if has_priority else None,
            version,
            self._progress.splitter.last_event_id,
        )
        self._connection.send(incoming.method, incoming.target, headers, incoming.body)
        self._sent_ms = self._clock.monotonic_ms()

    def read_matching_head(self):
        """Read the head of the answer to this request, skipping late other answers."""
        limit_ms = self._first_event_limit_ms()
        while True:
            head = self._connection.read_head(limit_ms)
            if platform_headers.is_server_leaving(head.headers):
                self._record_leaving(head)
            answered_id = find_header(head.headers, platform_headers.REQUEST_ID)
            if answered_id is None or answered_id.decode("latin-1") == (
                self._request.request_id
            ):
                break
            self._connection.skip_response(limit_ms, ANSWER_BYTES_MAX)
        now_ms = self._clock.monotonic_ms()
        load = platform_headers.decode_server_load(head.headers)
        if load is not None and not self._member.is_linked:
            self._member.record_load(load.running_count, load.waiting_count, now_ms)
        pause_ms = platform_headers.decode_retry_after_ms(
            head.status_code, head.headers
        )
        if pause_ms is not None:
            self._membership.record_pause(self._member, pause_ms, now_ms)
        return head

    def _record_leaving(self, head):
        # After the address has been assigned to another server, that one answers 421.
        if platform_headers.is_from_server(head.headers, self._member.backend_id):
            self._membership.record_leaving(self._member, LeavingSource.ANSWER)

    def forward_answer(self, head):
        """Forward a successful answer to the caller; keep a failure in the outcome."""
        if not 200 <= head.status_code < 300:
            return self._hold_answer(head)
        if find_header(head.headers, platform_headers.SIGNATURE) is None:
            raise BrokenAnswerError("the successful answer has no signature")
        if find_header(head.headers, platform_headers.REQUEST_ID) is None:
            raise BrokenAnswerError("the successful answer has no request id")
        if self._request.route.kind is RouteKind.STREAM:
            return self._forward_events(head)
        body = self._connection.read_body(self._request.deadline_ms, ANSWER_BYTES_MAX)
        self._progress.record_forwarded(self._clock.monotonic_ms())
        self._progress.responder.reply(
            head.status_code, platform_headers.filter_answer_headers(head.headers), body
        )
        return RunOutcome(RunFate.COMPLETED)

    def _hold_answer(self, head):
        body = self._connection.read_body(self._request.deadline_ms, ANSWER_BYTES_MAX)
        answer = HeldAnswer(
            head.status_code, platform_headers.filter_answer_headers(head.headers), body
        )
        is_run = not platform_headers.is_not_executed(head.status_code, head.headers)
        fate = RunFate.FAILED if is_run else RunFate.NOT_RUN
        return RunOutcome(fate, f"HTTP {head.status_code}", answer)

    def _forward_events(self, head):
        progress = self._progress
        responder = progress.responder
        limit_ms = self._first_event_limit_ms()
        gaps_ms = []
        while (data := self._connection.read_data(limit_ms)) is not None:
            whole = progress.splitter.feed(data)
            if whole:
                self._start_answer(head)
                now_ms = self._clock.monotonic_ms()
                if not gaps_ms:
                    self._member.record_first_event(now_ms - self._sent_ms)
                gaps_ms.append(progress.record_forwarded(now_ms))
                responder.send(whole)
                limit_ms = self._gap_limit_ms()
        if not progress.splitter.is_between_events:
            raise BrokenStreamError("the stream ended inside an event")
        self._start_answer(head)
        responder.finish()
        # The first gap includes the time to reach this server, so it is not one of the
        # engine's own.
        longest_gap_ms = max(gaps_ms[1:], default=0.0)
        return RunOutcome(RunFate.COMPLETED, longest_gap_ms=longest_gap_ms)

    def _start_answer(self, head):
        progress = self._progress
        if progress.responder.has_started:
            return
        progress.responder.start(
            head.status_code, platform_headers.filter_answer_headers(head.headers)
        )

    def classify_failure(self, error):
        """Return the RunOutcome of a run that ended with an error."""
        self._progress.splitter.restart()
        detail = f"{type(error).__name__}: {error}"
        now_ms = self._clock.monotonic_ms()
        silent_ms = now_ms - self._connection.last_active_ms
        is_deadline_passed = now_ms >= self._request.deadline_ms
        if isinstance(error, TimeoutError) and is_deadline_passed:
            return RunOutcome(RunFate.TIMED_OUT, detail, silent_ms=silent_ms)
        is_unresponsive = isinstance(error, TimeoutError) and (
            not self._connection.has_response_started
        )
        has_started = self._progress.responder.has_started
        return RunOutcome(
            RunFate.CUT if has_started else RunFate.MAYBE_RAN,
            detail,
            is_unresponsive=is_unresponsive,
            silent_ms=silent_ms,
        )

    def _first_event_limit_ms(self):
        return self._limit_ms(
            FIRST_EVENT_TIMEOUT_TARGETS * self._request.route.target_ms
        )

    def _gap_limit_ms(self):
        gap_ms = GAP_TIMEOUT_TARGETS * self._request.route.gap_target_ms
        return self._limit_ms(max(gap_ms, GAP_TIMEOUT_MIN_MS))

    def _limit_ms(self, timeout_ms):
        """Return the monotonic time until which to wait for the next bytes (float)."""
        if not self._may_repeat:
            return self._request.deadline_ms
        return min(self._request.deadline_ms, self._clock.monotonic_ms() + timeout_ms)
