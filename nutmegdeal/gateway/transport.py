"""Sends a request to one backend server and forwards its answer to the caller."""

import attrs

from nutmegdeal.gateway.availability import LeavingSource
from nutmegdeal.gateway.events import BrokenStreamError, EventSplitter
from nutmegdeal.gateway.requests import HeldAnswer, RunFate, RunOutcome
from nutmegdeal.http_connections import (
    BrokenAnswerError,
    ConnectError,
    find_header,
)
from nutmegdeal.platform import headers as platform_headers
from nutmegdeal.site_configuration import RouteKind

# Limits on the body of an answer, which is held until it is whole. Answers are a few
# KB; many of them at once have to fit into the memory of the process.
ANSWER_BYTES_MAX = 1_048_576
FAILURE_BYTES_MAX = 65_536
# Timeout for a connection to a backend server, which takes 1 to 3 ms. After it another
# server can be tried, since nothing was sent.
CONNECT_WITHIN_MS = 250.0
# Timeout for the head of an answer and for the first event of a stream, as a multiple
# of the latency target. It applies if another server may then run the request, else the
# deadline does. Callers abandon a stream after four targets.
FIRST_EVENT_TIMEOUT_TARGETS = 2.0
# Timeout between two events of a stream that another server may then resume, as a
# multiple of the target for the gap between events. Callers abandon a stream after
# eight targets.
GAP_TIMEOUT_TARGETS = 4.0
GAP_TIMEOUT_MIN_MS = 800.0
# Longest idle time of a connection that is reused for a request that may run only once.
# If the server has dropped the connection without notice, it is not known whether the
# request has run.
NON_REPEATABLE_IDLE_MAX_MS = 50.0


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


class DirectTransport:
    """Runs requests over direct connections to the backend servers.

    Parameters
    ----------
    pool : ConnectionPool
    clock : Clock
    membership : Membership
        Gets what the servers' answers say of their availability.
    """

    def __init__(self, pool, clock, membership):
        self._pool = pool
        self._clock = clock
        self._membership = membership

    def run(self, request, member, version, progress, may_repeat):
        """Run a request once.

        Parameters
        ----------
        request : Request
        member : Member
        version : int or None
            Version of the adapter on which the request must run, None for any.
        progress : AnswerProgress
        may_repeat : bool
            Whether another server may run the request if this one is too slow.

        Returns
        -------
        RunOutcome
        """
        now_ms = self._clock.monotonic_ms()
        remaining_ms = request.deadline_ms - now_ms
        if remaining_ms <= 0:
            return RunOutcome(RunFate.NOT_SENT, "the deadline passed")
        try:
            connection = self._pool.acquire(
                member.backend.address,
                min(CONNECT_WITHIN_MS, remaining_ms),
                _idle_max_ms(request),
            )
        except ConnectError as error:
            return RunOutcome(RunFate.NOT_SENT, str(error), is_unresponsive=True)
        member.record_sent(now_ms)
        try:
            return self._exchange(
                connection, request, member, version, progress, may_repeat
            )
        except BaseException:
            connection.close()
            raise
        finally:
            member.in_flight_count -= 1

    def drop_idle_connections(self, member):
        """Close the idle connections to a member that stopped responding."""
        self._pool.drop(member.backend.address)

    def _exchange(self, connection, request, member, version, progress, may_repeat):
        run = _Exchange(
            self._clock,
            connection,
            request,
            member,
            progress,
            may_repeat,
            self._membership,
        )
        try:
            run.send(version)
            head = run.read_matching_head()
            outcome = run.forward_answer(head)
        except (OSError, BrokenAnswerError, BrokenStreamError) as error:
            connection.close()
            return run.classify_failure(error)
        self._pool.release(connection, head)
        return outcome


def _idle_max_ms(request):
    """Return the longest idle time of a connection reused for a request (float)."""
    return float("inf") if request.route.is_repeatable else NON_REPEATABLE_IDLE_MAX_MS


class _Exchange:
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
        self._connection.send(
            incoming.method,
            incoming.target,
            headers,
            incoming.body,
            request.deadline_ms,
        )
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
        deadline_ms = self._request.deadline_ms
        headers = platform_headers.filter_answer_headers(head.headers)
        detail = f"HTTP {head.status_code}"
        if platform_headers.is_not_executed(head.status_code, head.headers):
            # The head states it, whatever becomes of the body.
            self._connection.discard_body(deadline_ms)
            answer = HeldAnswer(head.status_code, headers, b"")
            return RunOutcome(RunFate.NOT_RUN, detail, answer)
        body = self._connection.read_body(deadline_ms, FAILURE_BYTES_MAX)
        answer = HeldAnswer(head.status_code, headers, body)
        return RunOutcome(RunFate.FAILED, detail, answer)

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
