"""Sends one attempt to the backend server and relays its answer."""

import gevent

from nutmegdeal.accounts import Outcome
from nutmegdeal.agent.attempts import AttemptState
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.messages import Fate

REQUEUES_MAX = 3
SUCCESS_STATUS_MIN = 200
SUCCESS_STATUS_MAX = 299


class AttemptCancelled(gevent.GreenletExit):
    """Raised in the greenlet of an attempt that was cancelled."""


class DeadlineError(Exception):
    """Raised in the greenlet of an attempt at its deadline or at its key's expiry."""


class Dispatcher:
    """Runs attempts that need no ledger row.

    Parameters
    ----------
    board : Blackboard
    backend : Backend
    relay : Relay
    attempt_finalizer : AttemptFinalizer
    events : EventLog
    clock : Clock
    peer : str
        Address of the backend server.
    """

    def __init__(self, board, backend, relay, attempt_finalizer, events, clock, peer):
        self._board = board
        self._backend = backend
        self._relay = relay
        self._attempt_finalizer = attempt_finalizer
        self._events = events
        self._clock = clock
        self._peer = peer

    def run(self, attempt):
        """Run an attempt until it has ended; called in a greenlet of its own."""
        if attempt.is_cancelled:
            failure = Failure(
                Reason.CANCELLED, Step.CANCEL, self._board.agent_id, "not sent"
            )
            self._attempt_finalizer.refuse(attempt, failure)
            return
        attempt.state = AttemptState.DISPATCHED
        started_ms = self._clock.monotonic_ms()
        remaining_ms = attempt.deadline_ms - started_ms
        try:
            with gevent.Timeout(max(remaining_ms, 0.0) / 1000, DeadlineError):
                self._exchange(attempt)
        except DeadlineError:
            # The request would have run even longer. Leaving its time out would make
            # the forecast too low.
            self.record_run(started_ms)
            self._end_interrupted(attempt, Reason.DEADLINE_PASSED)
        except AttemptCancelled:
            self._end_interrupted(attempt, Reason.CANCELLED)

    def _end_interrupted(self, attempt, reason):
        failure = Failure(
            reason, Step.RELAY, self._board.agent_id, "stopped by the agent"
        )
        self._attempt_finalizer.fail(attempt, Fate.FAILED, failure)

    def _exchange(self, attempt):
        started_ms = self._clock.monotonic_ms()
        answer = self.call(attempt)
        if isinstance(answer, Failure):
            self.end_unanswered(attempt, answer)
            return
        failure = self.relay(attempt, answer)
        self.record_run(started_ms)
        if failure is None:
            self._attempt_finalizer.complete(attempt)
        else:
            self._attempt_finalizer.fail(attempt, Fate.FAILED, failure)

    def call(self, attempt):
        """Send the request; return the answer of its adapter, or a Failure.

        Returns
        -------
        BackendAnswer or Failure
        """
        submit = attempt.submit
        self._events.add_event(submit, Step.DISPATCH, Outcome.SENT, self._peer)
        answer = self._backend.call(submit)
        if isinstance(answer, Failure):
            return answer
        mismatch = check_echo(attempt.adapter, answer.head, self._peer)
        if mismatch is None:
            return answer
        answer.close()
        return mismatch

    def relay(self, attempt, answer, on_chunk=None):
        """Relay an answer; return None if it was complete, or a Failure."""
        try:
            return self._relay.relay(attempt, answer, on_chunk)
        except BaseException:
            answer.close()
            raise

    def record_run(self, started_ms):
        """Record the run time of a request sent at `started_ms` that has ended."""
        self._board.record_run_time(self._clock.monotonic_ms() - started_ms)

    def end_unanswered(self, attempt, failure):
        """End an attempt whose call returned a Failure."""
        if failure.reason is Reason.NOT_FOUND and self._requeue(attempt):
            return
        if not failure.maybe_applied:
            self._attempt_finalizer.refuse(attempt, failure)
            return
        # A request answered by a wrong adapter did run; after a lost connection it is
        # unknown whether the request ran.
        is_lost = failure.reason is Reason.CONNECTION_LOST
        fate = Fate.IN_DOUBT if is_lost else Fate.FAILED
        self._attempt_finalizer.fail(attempt, fate, failure)

    def _requeue(self, attempt):
        """Requeue an attempt that the engine refused because its adapter was missing.

        Returns
        -------
        bool
            False for a non-idempotent request, whose claim covers only one try, and
            after `REQUEUES_MAX` times.
        """
        self._board.slots.mark_missing(attempt.adapter, self._clock.monotonic_ms())
        if not attempt.submit.idempotent or attempt.requeue_count >= REQUEUES_MAX:
            return False
        attempt.requeue_count += 1
        attempt.state = AttemptState.WAITING
        self._events.add_event(
            attempt.submit, Step.QUEUE, Outcome.QUEUED, detail="adapter not resident"
        )
        self._board.notify()
        return True


def check_echo(adapter, head, peer):
    """Return a Failure if an answer isn't from the requested adapter.

    Parameters
    ----------
    adapter : str
        Engine name of the requested adapter, "" for a plain service.
    head : BackendHead
    peer : str

    Returns
    -------
    Failure or None
    """
    if not adapter or head.adapter == adapter:
        return None
    is_success = SUCCESS_STATUS_MIN <= head.status_code <= SUCCESS_STATUS_MAX
    if not head.adapter and not is_success:
        return None
    return Failure(
        Reason.WRONG_ADAPTER,
        Step.DISPATCH,
        peer,
        f"asked for {adapter!r}, answered by {head.adapter!r}",
        maybe_applied=True,
    )
