"""One request and its answer on one connection to a backend server.

A server that sends nothing for a while may be sound. Its run is given up only if
another server has begun to answer the request; until then both connections are watched,
and the first one to deliver a part of the answer goes on.
"""

import math

from nutmegdeal.balancing.answer_times import AnswerTimes
from nutmegdeal.buffering.accounts import HeldPart
from nutmegdeal.buffering.bodies import BodyBuffer
from nutmegdeal.gateway.answer_checks import check_continuation, is_success
from nutmegdeal.gateway.answer_heads import AnswerHeadReader
from nutmegdeal.gateway.events import BrokenStreamError, EventSplitter
from nutmegdeal.gateway.requests import HeldAnswer, RunFate, RunOutcome
from nutmegdeal.gateway.run_versions import VersionExpiredError
from nutmegdeal.gateway.silence import OverlapEnd, OvertakenError
from nutmegdeal.gateway.urgency import server_priority
from nutmegdeal.http_connections import (
    SEND_BUFFER_BYTES,
    BrokenAnswerError,
    wait_until_readable,
)
from nutmegdeal.platform import headers as platform_headers

# Limits on the body of an answer, which is held until it is whole. Answers are a few
# KB; many of them at once have to fit into the memory of the process.
ANSWER_BYTES_MAX = 1_048_576
FAILURE_BYTES_MAX = 65_536
# Time without a head or a first event after which a server counts as silent, as a
# multiple of the latency target. Callers abandon a stream after four targets.
FIRST_EVENT_TIMEOUT_TARGETS = 2.0
# The same for the time between two events, as a multiple of the target for the gap
# between events. Callers abandon a stream after eight targets.
GAP_TIMEOUT_TARGETS = 4.0
GAP_TIMEOUT_MIN_MS = 800.0
# A run that has forwarded events so often has shown that its prompt is sound.
DELIVERED_COUNT = 2
# Pause between two searches for a server that can take over a silent run.
SILENCE_RECHECK_MS = 100.0
# Limit on reading bytes that have arrived already.
ARRIVED_READ_MS = 1.0
# Longest time for which two engines work on a stream that has begun, while the first
# one is known to run. The platform allows 400 ms.
OVERLAP_MAX_MS = 300.0
# Pause between two checks of the adapter version of a run that has not begun: a newer
# one may have become known.
VERSION_CHECK_EVERY_MS = 500.0
# What ends an exchange, apart from the caller.
EXCHANGE_ERRORS = (OSError, BrokenAnswerError, BrokenStreamError)


class _RivalEndedError(Exception):
    """The other exchange has ended, so other limits hold for this one."""


class Exchange:
    """One request and its answer on one connection.

    Parameters
    ----------
    clock : Clock
    connection : ClientConnection
    request : Request
    member : Member
    progress : AnswerProgress
    membership : Membership
    run_versions : RunVersions
    silence_handler : SilenceHandler or None
        None if no other server may run the request.
    rival : Exchange or None
        Silent exchange of the same request, which this one replaces once it has a part
        of the answer.

    Attributes
    ----------
    is_abandoned : bool
        Another exchange has taken over.
    """

    def __init__(
        self,
        clock,
        connection,
        request,
        member,
        progress,
        membership,
        run_versions,
        silence_handler=None,
        rival=None,
    ):
        self._clock = clock
        self._connection = connection
        self._request = request
        self._member = member
        self._progress = progress
        self._silence_handler = silence_handler
        self._rival = rival
        self._run_versions = run_versions
        self._version = None
        # Limit of the wait for the first event, which is interrupted by checks of the
        # adapter version.
        self._first_event_until_ms = 0.0
        # Of the incarnation that gets the request; the member may register anew.
        self._software_version = member.backend.software_version
        self._head = None
        self._times = AnswerTimes(member, request.route.name)
        self._heads = AnswerHeadReader(
            clock,
            connection,
            request,
            member,
            membership,
            self._times,
            ANSWER_BYTES_MAX,
        )
        self._sent_ms = 0.0
        self._overlap_end_ms = 0.0
        self._active_ms = 0.0
        self._gaps_ms = []
        self._splitter = EventSplitter(progress.last_event_id)
        # Whole events and the part of a plain body that have been read, but not
        # forwarded.
        self._ready = b""
        self._body = BodyBuffer(ANSWER_BYTES_MAX)
        self._is_at_end = False
        self._failure = None
        self._held = request.incoming.held
        self.is_abandoned = False

    @property
    def connection(self):
        """Return the ClientConnection."""
        return self._connection

    @property
    def head(self):
        """Return the ResponseHead of the answer, None before it has arrived."""
        return self._head

    @property
    def event_count(self):
        """Return how often whole events were forwarded (int)."""
        return len(self._gaps_ms)

    @property
    def is_over(self):
        """Return whether nothing more can arrive that the caller waits for."""
        return self._failure is not None or (
            self._head is not None and not is_success(self._head)
        )

    @property
    def has_response_started(self):
        """Return whether a byte of the answer has arrived."""
        return self._connection.has_response_started

    def send(self, version):
        """Send the request, for a RunVersion of its adapter."""
        request = self._request
        self._version = version
        incoming = request.incoming
        has_priority = request.adapter or request.is_stream or request.has_tenant_rank
        headers = platform_headers.build_backend_headers(
            incoming.headers,
            request.deadline_ms - self._clock.monotonic_ms(),
            self._member.backend_id,
            server_priority(request) if has_priority else None,
            version.number,
            self._progress.last_event_id,
        )
        sending_bytes = min(len(incoming.body), SEND_BUFFER_BYTES)
        self._held.set(HeldPart.SENDING, sending_bytes, self)
        self._connection.send(
            incoming.method,
            incoming.target,
            headers,
            incoming.body,
            request.deadline_ms,
        )
        self._held.set(HeldPart.SENDING, 0, self)
        self._sent_ms = self._active_ms = self._clock.monotonic_ms()
        self._overlap_end_ms = self._sent_ms + OVERLAP_MAX_MS
        if self._rival is not None:
            self._connection.wait_for_data = self._wait_beside_rival

    def follow(self):
        """Read the answer and forward it; return the RunOutcome.

        Raises
        ------
        OvertakenError, VersionExpiredError, OSError, BrokenAnswerError
        BrokenStreamError
        """
        while True:
            try:
                self._check_version()
                return self._advance()
            except _RivalEndedError:
                continue
            except TimeoutError as error:
                if self._is_version_check(error):
                    continue
                if not self._is_silent(error):
                    raise
            if self._has_rival:
                self._end_overlap()
                continue
            attempt = self._silence_handler.replace(self)
            if attempt is not None:
                return RunOutcome(
                    RunFate.SILENT,
                    "the server sent nothing",
                    silent_ms=self.silent_ms(),
                    replacement=attempt,
                )

    @property
    def _has_rival(self):
        return self._rival is not None and not self._rival.is_over

    def _end_overlap(self):
        """Keep one of two runs, or both for as long as the silent one may be sound.

        Raises
        ------
        OvertakenError
            If this one is given up.
        """
        decision = self._rival.decide_overlap()
        if decision is OverlapEnd.FIRST:
            raise OvertakenError("the other server runs, and this one took long")
        if decision is OverlapEnd.SECOND:
            self._take_over()
            return
        self._overlap_end_ms = self._clock.monotonic_ms() + SILENCE_RECHECK_MS

    def decide_overlap(self):
        """Return the OverlapEnd of this silent run and the one beside it."""
        return self._silence_handler.decide_overlap(self)

    @property
    def _begin_until_ms(self):
        """Return until when the server may begin the run (float), infinite if it has.

        Only the events of a stream show that, and parts of one.
        """
        if not self._request.is_stream or self._gaps_ms or self._ready:
            return math.inf
        if not self._splitter.is_between_events:
            return math.inf
        return self._run_versions.begin_until_ms(self._request, self._version)

    @property
    def must_have_begun(self):
        """Return whether the run has to be ended unless it is seen to have begun."""
        now_ms = self._clock.monotonic_ms()
        return now_ms + ARRIVED_READ_MS >= self._begin_until_ms

    def limit_to_version_check(self, limit_ms):
        """Return until when to wait before the adapter version is checked again.

        Parameters
        ----------
        limit_ms : float
            Until when to wait at most, on the monotonic clock.
        """
        if self._version.number is None or not self._request.is_stream:
            return limit_ms
        if self._gaps_ms:
            return limit_ms
        check_ms = self._clock.monotonic_ms() + VERSION_CHECK_EVERY_MS
        return min(limit_ms, check_ms, self._begin_until_ms)

    def _is_version_check(self, error):
        """Return whether a timeout is only the time for a check of the version."""
        now_ms = self._clock.monotonic_ms()
        return (
            error.errno is None
            and now_ms + ARRIVED_READ_MS < self._first_event_until_ms
        )

    def _check_version(self):
        # What has arrived may not have been read yet.
        if not self.must_have_begun or self.poll() or self.is_over:
            return
        if self.must_have_begun:
            raise VersionExpiredError("the run had not begun in time")

    def silent_ms(self):
        """Return for how long the server has sent nothing (float)."""
        return self._clock.monotonic_ms() - self._connection.last_active_ms

    def undelivered_ms(self):
        """Return for how long nothing has arrived that the caller waits for (float)."""
        return self._clock.monotonic_ms() - self._active_ms

    @property
    def has_caller_events(self):
        """Return whether the caller has a part of the stream."""
        return self._progress.last_event_id is not None

    def _is_silent(self, error):
        """Return whether a timeout is one of waiting, and before the deadline."""
        if error.errno is not None:
            return False
        if self._silence_handler is None and not self._has_rival:
            return False
        return self._clock.monotonic_ms() < self._request.deadline_ms

    def _advance(self):
        if self._failure is not None:
            raise self._failure
        if self._head is None:
            self._read_head(self._first_event_limit_ms())
        return self._forward_answer(self._head)

    def poll(self):
        """Read what has arrived; return whether a part of the answer can be forwarded.

        Nothing is forwarded: `follow` does that. A failure is kept for it, too.
        """
        try:
            self._read_arrived(self._clock.monotonic_ms() + ARRIVED_READ_MS)
        except EXCHANGE_ERRORS as error:
            # A timeout without a number is only the end of what has arrived.
            is_failure = not isinstance(error, TimeoutError) or error.errno is not None
            self._failure = error if is_failure else None
        return self._is_at_end or bool(self._ready)

    def _read_arrived(self, limit_ms):
        """Read until there is a part that can be forwarded."""
        if self._head is None:
            self._read_head(limit_ms)
        if self.is_over:
            return
        if not self._request.is_stream:
            self._read_rest(limit_ms)
            return
        while not self._ready and not self._is_at_end:
            self._ready = self._read_events(limit_ms)

    def abandon(self):
        """Close the connection and free its place, as another run has taken over.

        The run that this one was to replace has then been replaced, too.
        """
        self.is_abandoned = True
        self._connection.close()
        self._member.in_flight_count -= 1
        self._silence_handler.record_abandoned()
        if self._rival is not None:
            self._rival.abandon()

    def cancel(self):
        """End the exchange from another greenlet; `follow` raises an error."""
        self._connection.close()

    def _wait_beside_rival(self, deadline_ms):
        """Wait for bytes of this exchange, and for parts of the rival's answer."""
        while not self._rival.is_over:
            pair = (self._connection, self._rival.connection)
            limit_ms = self._rival.limit_to_version_check(deadline_ms)
            try:
                readable = wait_until_readable(pair, limit_ms)
            except TimeoutError:
                if limit_ms == deadline_ms:
                    raise
                if not self._rival.must_have_begun:
                    continue
                if self._rival.poll():
                    raise OvertakenError("the other server went on") from None
                if self._rival.is_over or not self._rival.must_have_begun:
                    continue
                self._take_over()
                return
            if self._rival.connection in readable and self._rival.poll():
                raise OvertakenError("the other server went on")
            if self._connection in readable:
                return
        self._connection.wait_for_data = None
        raise _RivalEndedError

    def _take_over(self):
        """Abandon the rival, as this exchange has a part of the answer."""
        if self._rival is None:
            return
        self._rival.abandon()
        self._rival = None
        self._connection.wait_for_data = None

    def _read_head(self, limit_ms):
        """Read the head of the answer to this request."""
        head = self._heads.read(limit_ms)
        check_continuation(head, self._progress.begun_head)
        self._head = head
        self._active_ms = self._clock.monotonic_ms()

    def _forward_answer(self, head):
        """Forward a successful answer to the caller; keep a failure in the outcome."""
        if not is_success(head):
            return self._hold_answer(head)
        if self._request.is_stream:
            return self._forward_events(head)
        self._read_rest(self._request.deadline_ms)
        self._take_over()
        now_ms = self._clock.monotonic_ms()
        self._times.record_whole(now_ms - self._sent_ms, now_ms)
        self._progress.record_forwarded(now_ms)
        self._progress.responder.reply(
            head.status_code,
            platform_headers.filter_answer_headers(head.headers),
            self._body.view(),
        )
        return RunOutcome(RunFate.COMPLETED)

    def _read_rest(self, limit_ms):
        """Read the body of a plain answer to its end."""
        while not self._is_at_end:
            data = self._connection.read_data(limit_ms)
            if data is None:
                self._is_at_end = True
                return
            length = len(self._body) + len(data)
            if length > ANSWER_BYTES_MAX:
                raise BrokenAnswerError(f"the answer exceeds {ANSWER_BYTES_MAX} bytes")
            self._held.set(HeldPart.ANSWER, length, self)
            self._body.append(data)

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
        # Held beyond this exchange, until the request has its final answer.
        self._held.set(HeldPart.ANSWER, len(body))
        answer = HeldAnswer(head.status_code, headers, body)
        return RunOutcome(RunFate.FAILED, detail, answer)

    def _forward_events(self, head):
        while True:
            if self._ready:
                self._forward(head, self._ready)
                self._ready = b""
                self._held.set(HeldPart.EVENTS, self._splitter.pending_bytes, self)
            if self._is_at_end:
                break
            self._ready = self._read_events(self._event_limit_ms())
        self._take_over()
        self._start_answer(head)
        self._progress.responder.finish()
        # The first gap includes the time to reach this server, so it is not one of the
        # engine's own.
        gaps_ms = self._gaps_ms[1:]
        self._times.record_stream(
            gaps_ms, self._active_ms - self._sent_ms, self._active_ms
        )
        return RunOutcome(RunFate.COMPLETED, longest_gap_ms=max(gaps_ms, default=0.0))

    def _read_events(self, limit_ms):
        """Return the whole events (bytes) in the next bytes, none at the end.

        Raises
        ------
        OSError, BrokenAnswerError, BrokenStreamError
        """
        data = self._connection.read_data(limit_ms)
        if data is not None:
            whole = self._splitter.feed(data)
            held_bytes = len(whole) + self._splitter.pending_bytes
            self._held.set(HeldPart.EVENTS, held_bytes, self)
            return whole
        if not self._splitter.is_between_events:
            raise BrokenStreamError("the stream ended inside an event")
        if self._head.is_unframed and not self._splitter.has_events:
            # Nothing else tells a server that ended from one that has no events.
            raise BrokenStreamError("the stream ended before its first event")
        self._is_at_end = True
        return b""

    def _event_limit_ms(self):
        if not self._gaps_ms:
            return self._first_event_limit_ms()
        self._first_event_until_ms = 0.0
        return self._gap_limit_ms()

    def _forward(self, head, whole):
        """Forward whole events."""
        self._take_over()
        self._start_answer(head)
        now_ms = self._active_ms = self._clock.monotonic_ms()
        if not self._gaps_ms:
            self._times.record_first_event(now_ms - self._sent_ms, now_ms)
            self._run_versions.record_begun(
                self._request, self._member, self._version, self._sent_ms
            )
        if not self._progress.first_byte_ms:
            self._request.software_version = self._software_version
            self._progress.on_begun()
        self._gaps_ms.append(self._progress.record_forwarded(now_ms))
        if self.event_count == DELIVERED_COUNT:
            self._progress.on_delivered()
        self._progress.responder.send(whole)
        self._progress.last_event_id = self._splitter.last_event_id
        self._request.lacks_event_id = self._splitter.last_event_id is None

    def _start_answer(self, head):
        progress = self._progress
        if progress.responder.has_started:
            return
        progress.begun_head = head
        progress.responder.start(
            head.status_code, platform_headers.filter_answer_headers(head.headers)
        )

    def classify_failure(self, error):
        """Return the RunOutcome of a run that ended with an error."""
        if isinstance(error, OvertakenError):
            return RunOutcome(RunFate.SUPERSEDED, str(error))
        if isinstance(error, VersionExpiredError):
            return RunOutcome(RunFate.EXPIRED, str(error), silent_ms=self.silent_ms())
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
            event_count=self.event_count,
            is_broken_off=not isinstance(error, TimeoutError),
        )

    def _first_event_limit_ms(self):
        limit_ms = self._limit_ms(
            FIRST_EVENT_TIMEOUT_TARGETS * self._request.route.target_ms
        )
        self._first_event_until_ms = limit_ms
        return self.limit_to_version_check(limit_ms)

    def _gap_limit_ms(self):
        gap_ms = GAP_TIMEOUT_TARGETS * self._request.route.gap_target_ms
        return self._limit_ms(max(gap_ms, GAP_TIMEOUT_MIN_MS))

    def _limit_ms(self, timeout_ms):
        """Return the monotonic time until which to wait for the next bytes (float)."""
        if self._has_rival:
            return self._overlap_limit_ms()
        if self._silence_handler is None:
            return self._request.deadline_ms
        silent_at_ms = self._active_ms + timeout_ms
        recheck_at_ms = self._clock.monotonic_ms() + SILENCE_RECHECK_MS
        return min(self._request.deadline_ms, max(silent_at_ms, recheck_at_ms))

    def _overlap_limit_ms(self):
        """Return until when this exchange may go on beside its rival (float)."""
        if not self.has_caller_events:
            return self._request.deadline_ms
        return min(self._request.deadline_ms, self._overlap_end_ms)
