"""Carries out the ledger actions of an AttemptPlan for one request."""

from nutmegdeal.entry.attempts import (
    FenceAttempt,
    LookUpRow,
    WithdrawAttempt,
)
from nutmegdeal.errors import Failure, Reason, Step

POLL_FIRST_MS = 50
POLL_MAX_MS = 1_000


class LedgerActions:
    """Carries out ledger actions and reports their results to the plan.

    Parameters
    ----------
    ledger : Ledger
    plan : AttemptPlan
    account : RequestAccount
    clock : Clock
    wait_for_cancel : callable
        Waits for a number of ms; returns None, or a Failure as soon as the caller
        disconnects.
    """

    def __init__(self, ledger, plan, account, clock, wait_for_cancel):
        self._ledger = ledger
        self._plan = plan
        self._account = account
        self._clock = clock
        self._wait_for_cancel = wait_for_cancel
        self._poll_ms = 0

    def carry_out(self, action, submit):
        """Carry out a ledger action.

        Parameters
        ----------
        action : object
            Any action of `attempts` except SendAttempt and Finish.
        submit : Submit
            The last attempt; the first one if none was sent yet.

        Returns
        -------
        object
            The plan's next action.
        """
        if isinstance(action, LookUpRow):
            return self._look_up(submit)
        if isinstance(action, FenceAttempt):
            result = self._ledger.fence(submit)
            return self._apply_fence_result("fence", submit, result)
        if isinstance(action, WithdrawAttempt):
            result = self._ledger.withdraw(submit)
            return self._apply_fence_result("withdraw", submit, result)
        return self._poll(submit)

    def _look_up(self, submit):
        result = self._ledger.lookup(submit)
        if result is not None:
            self._account.add(Step.LEDGER, "found", detail=_describe(result))
        return self._plan.on_lookup(result)

    def _apply_fence_result(self, outcome, submit, result):
        attempt_id = submit.attempt_id
        self._account.add(Step.LEDGER, outcome, attempt_id, detail=_describe(result))
        return self._plan.on_fence(result)

    def _poll(self, submit):
        """Wait for the poll interval and read the row.

        The interval is 0 at first, then `POLL_FIRST_MS`, and doubles up to
        `POLL_MAX_MS`.
        """
        remaining_ms = submit.deadline_unix_ms - self._clock.unix_ms()
        if remaining_ms <= 0:
            detail = "the outcome was not recorded in time"
            failure = Failure(Reason.DEADLINE_PASSED, Step.LEDGER, "", detail)
            return self._plan.on_deadline(failure)
        failure = self._wait_for_cancel(min(self._poll_ms, remaining_ms))
        if failure is not None:
            return self._plan.on_deadline(failure)
        self._poll_ms = min(max(2 * self._poll_ms, POLL_FIRST_MS), POLL_MAX_MS)
        return self._plan.on_poll(self._ledger.lookup(submit))


def _describe(result):
    """Return a one-line description of a ledger result."""
    if isinstance(result, Failure):
        return str(result)
    row = getattr(result, "row", result)
    return f"{type(result).__name__}: {row.state.value} by {row.attempt_id}"
