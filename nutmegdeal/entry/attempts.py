"""Decides the next action for a request from the results of its attempts.

The decisions have no side effects: the caller of `AttemptPlan` carries out the action
that a method returns, and reports its result through the next call. A request ends as
``NOT_RUN`` only if every attempt made so far is known not to have run.
"""

import attrs

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.ledger import AlreadyRecorded, Fenced, LedgerAnswer, LedgerState
from nutmegdeal.messages import Fate

NON_RETRYABLE_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.BODY_TOO_LARGE,
        Reason.UNKNOWN_OPERATION,
        Reason.KEY_MISSING,
        Reason.KEY_REUSED,
        Reason.KEY_EXPIRED,
        Reason.DEADLINE_PASSED,
        Reason.STORE_UNAVAILABLE,
    }
)
LEDGER_CONFLICT_REASONS = frozenset({Reason.STORE_CONFLICT, Reason.FENCED})
# Steps at which an agent refuses an attempt before it writes the ledger row.
STEPS_BEFORE_LEDGER = frozenset({Step.RECEIVE, Step.ADMIT, Step.QUEUE, Step.DRAIN})


@attrs.frozen
class SendAttempt:
    """Choose a replica and send the attempt of this number (from 1)."""

    number: int


@attrs.frozen
class LookUpRow:
    """Read the ledger row of the request's key before the first attempt."""


@attrs.frozen
class FenceAttempt:
    """Record in the ledger that the last attempt must not run any more."""


@attrs.frozen
class WithdrawAttempt:
    """Record in the ledger that the last attempt was not run."""


@attrs.frozen
class PollRow:
    """Wait for the poll interval and read the ledger row of the request's key again."""


@attrs.frozen
class Finish:
    """End the request with this result.

    Parameters
    ----------
    fate : Fate
    failure : Failure or None
        None if and only if the fate is COMPLETED.
    answer : LedgerAnswer or None
        The complete answer from an attempt or from the ledger; None if it was streamed.
    retry_at_unix_ms : int
        When the caller may retry, 0 if unknown.
    """

    fate: Fate
    failure: Failure | None = None
    answer: LedgerAnswer | None = None
    retry_at_unix_ms: int = 0


class AttemptPlan:
    """State machine of one request's attempts; its methods return the next action.

    Parameters
    ----------
    idempotent : bool
    attempts_max : int
    budget : RetryBudget
    """

    def __init__(self, idempotent, attempts_max, budget):
        self._idempotent = idempotent
        self._attempts_max = attempts_max
        self._budget = budget
        self._attempt_count = 0
        self._is_outstanding = False
        self._is_attempt_lost = False
        self._uncertain_finish = None
        self._last_refusal = None
        self._retry_at_unix_ms = 0

    @property
    def attempt_count(self):
        """Number of attempts started."""
        return self._attempt_count

    def start(self):
        """Start: send an idempotent request, look up any other in the ledger first."""
        self._budget.earn()
        return self._send() if self._idempotent else LookUpRow()

    def on_lookup(self, result):
        """Continue after the look-up of the ledger row.

        Parameters
        ----------
        result : LedgerRow, None or Failure
        """
        if isinstance(result, Failure):
            return self._conclude(result)
        if result is None or result.state is LedgerState.NOT_RUN:
            return self._send()
        return self._decide_by_row(result)

    def on_sent(self):
        """Record that the current attempt may have reached an agent."""
        self._is_outstanding = True

    def on_no_replica(self, failure):
        """End the request: no replica is left to choose."""
        return self._conclude(self._last_refusal or failure)

    def on_not_sent(self, failure):
        """Continue after an attempt that cannot have reached an agent."""
        return self._retry_or_conclude(failure, is_budget_exempt=True)

    def on_refused(self, ended):
        """Continue after an AttemptEnded with fate NOT_RUN."""
        self._is_outstanding = False
        self._retry_at_unix_ms = max(self._retry_at_unix_ms, ended.retry_at_unix_ms)
        failure = failure_of(ended)
        self._last_refusal = failure
        if not self._idempotent and ended.reason in LEDGER_CONFLICT_REASONS:
            return PollRow()
        if ended.reason in NON_RETRYABLE_REASONS:
            return self._conclude(failure)
        if not self._idempotent and ended.step not in STEPS_BEFORE_LEDGER:
            return WithdrawAttempt()
        return self._retry_or_conclude(failure, ended.reason is Reason.LEAVING)

    def on_ended(self, ended):
        """Continue after an AttemptEnded with any fate."""
        if ended.fate is Fate.NOT_RUN:
            return self.on_refused(ended)
        return self._on_possible_run(failure_of(ended), ended.fate)

    def on_incomplete(self, failure):
        """Continue after an answer that arrived incomplete or altered."""
        return self._on_possible_run(failure, Fate.FAILED)

    def on_inconsistent(self, failure):
        """End the request: its answer cannot be delivered (see `Inconsistent`)."""
        return Finish(Fate.FAILED, failure)

    def on_lost(self, failure):
        """Continue after the stream to the agent broke during the attempt."""
        if self._idempotent:
            return self._on_possible_run(failure, Fate.IN_DOUBT)
        self._last_refusal = failure
        self._is_attempt_lost = True
        return FenceAttempt()

    def on_fence(self, result):
        """Continue after FenceAttempt or WithdrawAttempt.

        Parameters
        ----------
        result : Fenced, AlreadyRecorded or Failure
        """
        if isinstance(result, Fenced):
            self._is_outstanding = False
            self._is_attempt_lost = False
            failure = self._last_refusal
            return self._retry_or_conclude(failure, is_budget_exempt=False)
        if isinstance(result, AlreadyRecorded):
            return self._decide_by_row(result.row)
        if not self._is_outstanding:
            return Finish(
                Fate.NOT_RUN, self._last_refusal, None, self._retry_at_unix_ms
            )
        return Finish(Fate.IN_DOUBT, result)

    def on_poll(self, result):
        """Continue after a poll of the ledger row.

        Parameters
        ----------
        result : LedgerRow, None or Failure
        """
        if result is None or isinstance(result, Failure):
            return PollRow()
        if self._is_attempt_lost and result.state is LedgerState.NOT_RUN:
            # The row belongs to another attempt: this one is not fenced yet.
            return FenceAttempt()
        return self._decide_by_row(result)

    def on_complete(self, answer=None):
        """End the request with the complete answer, None if it was streamed."""
        return Finish(Fate.COMPLETED, None, answer)

    def on_deadline(self, failure):
        """End the request at its deadline or after its caller disconnected."""
        if self._is_outstanding:
            return Finish(Fate.IN_DOUBT, failure)
        return self._conclude(failure)

    def _decide_by_row(self, row):
        if row.answer is not None:
            return Finish(Fate.COMPLETED, None, row.answer)
        if row.state in (LedgerState.COMPLETED, LedgerState.FAILED):
            detail = "it ran, but its answer was not recorded"
            failure = Failure(Reason.INCOMPLETE_ANSWER, Step.LEDGER, "", detail)
            return Finish(Fate.FAILED, failure)
        if row.state is LedgerState.NOT_RUN:
            self._is_outstanding = False
            detail = "the ledger says that it was not run"
            refusal = Failure(Reason.FENCED, Step.LEDGER, "", detail)
            return self._retry_or_conclude(self._last_refusal or refusal, False)
        self._is_outstanding = True
        return PollRow()

    def _on_possible_run(self, failure, fate):
        self._is_outstanding = False
        if not self._idempotent:
            return Finish(fate, failure)
        self._uncertain_finish = Finish(fate, failure)
        return self._retry_or_conclude(failure, is_budget_exempt=False)

    def _retry_or_conclude(self, failure, is_budget_exempt):
        self._last_refusal = failure
        if self._attempt_count >= self._attempts_max:
            return self._conclude(failure)
        if not is_budget_exempt and not self._budget.try_spend():
            return self._conclude(failure)
        return self._send()

    def _send(self):
        self._attempt_count += 1
        return SendAttempt(self._attempt_count)

    def _conclude(self, failure):
        if self._uncertain_finish is not None:
            return self._uncertain_finish
        return Finish(Fate.NOT_RUN, failure, None, self._retry_at_unix_ms)


def failure_of(ended):
    """Return the Failure that an AttemptEnded describes."""
    return Failure(ended.reason, ended.step, ended.peer, ended.detail)
