"""Runs attempts at non-idempotent requests, each under a claim in the ledger."""

import gevent

from nutmegdeal.accounts import Outcome
from nutmegdeal.agent.attempts import AttemptState
from nutmegdeal.agent.dispatch import DeadlineError
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.ledger_rows import (
    AlreadyRecorded,
    LedgerAnswer,
    LedgerState,
)
from nutmegdeal.log import get_logger
from nutmegdeal.messages import Fate

logger = get_logger(__name__)

OUTCOME_POLL_FIRST_MS = 50
OUTCOME_POLL_MAX_MS = 1_000
RECORD_RETRY_FIRST_MS = 200
RECORD_RETRY_MAX_MS = 10_000
SERVER_ERROR_STATUS = 500


class ClaimRunner:
    """Sends a non-idempotent request only once its claim is confirmed.

    Parameters
    ----------
    board : Blackboard
    ledger : Ledger
    dispatcher : Dispatcher
    attempt_finalizer : AttemptFinalizer
    events : EventLog
    clock : Clock
    """

    def __init__(self, board, ledger, dispatcher, attempt_finalizer, events, clock):
        self._board = board
        self._ledger = ledger
        self._dispatcher = dispatcher
        self._attempt_finalizer = attempt_finalizer
        self._events = events
        self._clock = clock

    def run(self, attempt):
        """Run an attempt until its outcome is recorded.

        Once the request was sent, its answer is read and recorded even if the entry
        has disconnected, so that a repeat with the same key gets the recorded outcome.
        """
        attempt.state = AttemptState.CLAIMING
        claim = self._ledger.begin(attempt.submit, self._board.incarnation)
        if isinstance(claim, Failure):
            self._end_unclaimed(attempt, claim)
            return
        if isinstance(claim, AlreadyRecorded):
            self._replay(attempt, claim.row)
            return
        self._events.add_event(attempt.submit, Step.LEDGER, Outcome.CLAIMED)
        stop_reason = self._find_stop_reason(attempt)
        if stop_reason is not None:
            failure = self._failure(stop_reason, "not sent")
            self._attempt_finalizer.refuse(attempt, failure)
            self._record(attempt, claim, LedgerState.NOT_RUN)
            return
        self._send(attempt, claim)

    def _end_unclaimed(self, attempt, failure):
        self._attempt_finalizer.refuse(attempt, failure)
        if failure.maybe_applied:
            submit = attempt.submit
            self._retry_until_expiry(submit, lambda: self._ledger.withdraw(submit))

    def _find_stop_reason(self, attempt):
        """Return the Reason for which an attempt must not go on, or None."""
        if attempt.is_cancelled:
            return Reason.CANCELLED
        if self._clock.monotonic_ms() >= attempt.deadline_ms:
            return Reason.DEADLINE_PASSED
        return None

    def _send(self, attempt, claim):
        attempt.state = AttemptState.DISPATCHED
        deadline_timer = self._start_deadline_timer(attempt)
        until_expiry_ms = attempt.submit.expiry_unix_ms - self._clock.unix_ms()
        try:
            with gevent.Timeout(max(until_expiry_ms, 0) / 1000, DeadlineError):
                self._exchange(attempt, claim)
        except DeadlineError:
            failure = Failure(
                Reason.KEY_EXPIRED, Step.RELAY, self._board.agent_id, "no answer"
            )
            self._attempt_finalizer.fail(attempt, Fate.IN_DOUBT, failure)
        finally:
            deadline_timer.kill(block=False)

    def _start_deadline_timer(self, attempt):
        remaining_ms = attempt.deadline_ms - self._clock.monotonic_ms()
        return gevent.spawn_later(
            max(remaining_ms, 0.0) / 1000, self._report_in_doubt, attempt
        )

    def _report_in_doubt(self, attempt):
        """Report the attempt as in doubt at its deadline.

        Its answer is still read and recorded.
        """
        failure = Failure(
            Reason.DEADLINE_PASSED,
            Step.RELAY,
            self._board.agent_id,
            "sent, and not answered in time",
        )
        self._events.add_event(attempt.submit, Step.RELAY, failure.reason)
        attempt.send_failure(Fate.IN_DOUBT, failure)
        attempt.is_output_suppressed = True

    def _exchange(self, attempt, claim):
        started_ms = self._clock.monotonic_ms()
        answer = self._dispatcher.call(attempt)
        if isinstance(answer, Failure):
            self._end_unanswered(attempt, claim, answer)
            return
        body = []
        failure = self._dispatcher.relay(attempt, answer, body.append)
        self._dispatcher.record_run(started_ms)
        if failure is not None:
            self._attempt_finalizer.fail(attempt, Fate.FAILED, failure)
            self._record(attempt, claim, LedgerState.FAILED)
            return
        self._attempt_finalizer.complete(attempt)
        is_error = answer.head.status_code >= SERVER_ERROR_STATUS
        state = LedgerState.FAILED if is_error else LedgerState.COMPLETED
        head = answer.head
        answer = LedgerAnswer(head.status_code, head.content_type, b"".join(body))
        self._record(attempt, claim, state, answer)

    def _end_unanswered(self, attempt, claim, failure):
        self._dispatcher.end_unanswered(attempt, failure)
        if not failure.maybe_applied:
            self._record(attempt, claim, LedgerState.NOT_RUN)
        elif failure.reason is not Reason.CONNECTION_LOST:
            self._record(attempt, claim, LedgerState.FAILED)

    def _record(self, attempt, claim, state, answer=None):
        """Record the outcome in the ledger."""
        self._retry_until_expiry(
            attempt.submit, lambda: self._ledger.finish(claim, state, answer)
        )

    def _retry_until_expiry(self, submit, write):
        """Call `write`, and retry while the store is unavailable and the key valid."""
        pause_ms = RECORD_RETRY_FIRST_MS
        while self._clock.unix_ms() < submit.expiry_unix_ms:
            outcome = write()
            if not isinstance(outcome, Failure):
                return
            if outcome.reason is not Reason.STORE_UNAVAILABLE:
                break
            gevent.sleep(pause_ms / 1000)
            pause_ms = min(2 * pause_ms, RECORD_RETRY_MAX_MS)
        logger.warning("outcome_not_recorded", attempt=submit.attempt_id)

    def _replay(self, attempt, row):
        """Answer a repeat with the recorded outcome, waiting for it if necessary."""
        attempt.state = AttemptState.AWAITING_OUTCOME
        self._board.notify()
        row = self._await_outcome(attempt, row)
        if isinstance(row, Failure):
            self._attempt_finalizer.fail(attempt, Fate.IN_DOUBT, row)
        elif row.state is LedgerState.NOT_RUN:
            failure = self._failure(Reason.FENCED, "the attempt was withdrawn")
            self._attempt_finalizer.refuse(attempt, failure)
        elif row.answer is None:
            failure = self._failure(
                Reason.INCOMPLETE_ANSWER, f"{row.state.value}, no answer on record"
            )
            self._attempt_finalizer.fail(attempt, Fate.FAILED, failure)
        else:
            attempt.send_head(row.answer.status_code, row.answer.content_type)
            attempt.send_frame(row.answer.body)
            self._attempt_finalizer.complete(attempt)

    def _failure(self, reason, detail):
        return Failure(reason, Step.LEDGER, self._board.agent_id, detail)

    def _await_outcome(self, attempt, row):
        """Return the LedgerRow with an outcome, or a Failure if the wait ends."""
        pause_ms = OUTCOME_POLL_FIRST_MS
        while True:
            if row is not None and row.state is not LedgerState.DISPATCHED:
                return row
            stop_reason = self._find_stop_reason(attempt)
            if stop_reason is not None:
                return self._failure(
                    stop_reason, "another attempt's outcome is not known"
                )
            remaining_ms = attempt.deadline_ms - self._clock.monotonic_ms()
            gevent.sleep(min(pause_ms, max(remaining_ms, 0.0)) / 1000)
            pause_ms = min(2 * pause_ms, OUTCOME_POLL_MAX_MS)
            found = self._ledger.lookup(attempt.submit)
            row = None if isinstance(found, Failure) else found
