"""Ends attempts: last event, last message, and removal from the agent's state."""

from nutmegdeal.agent.attempts import AttemptState
from nutmegdeal.errors import Step
from nutmegdeal.messages import Fate


class AttemptFinalizer:
    """Ends each attempt of an agent, by exactly one of its methods.

    Parameters
    ----------
    board : Blackboard
    events : EventLog
    """

    def __init__(self, board, events):
        self._board = board
        self._events = events

    def complete(self, attempt):
        """End an attempt whose complete answer was sent."""
        self._events.add_event(attempt.submit, Step.ANSWER, Fate.COMPLETED)
        attempt.send_end()
        self._forget(attempt)

    def fail(self, attempt, fate, failure, retry_at_unix_ms=0):
        """End an attempt without a complete answer.

        Parameters
        ----------
        attempt : Attempt
        fate : Fate
            ``NOT_RUN`` only if the backend server cannot have run any of it.
        failure : Failure
        retry_at_unix_ms : int
        """
        self._events.add_event(
            attempt.submit, Step.ANSWER, fate, failure.peer, str(failure)
        )
        attempt.send_failure(fate, failure, retry_at_unix_ms)
        self._forget(attempt)

    def refuse(self, attempt, failure, retry_at_unix_ms=0):
        """End an attempt that the backend server did not run."""
        self.fail(attempt, Fate.NOT_RUN, failure, retry_at_unix_ms)

    def crash(self, attempt, failure):
        """End an attempt that failed because of an error in the agent's own code."""
        self.fail(attempt, Fate.IN_DOUBT, failure)

    def _forget(self, attempt):
        attempt.state = AttemptState.ENDED
        attempt.is_output_suppressed = True
        self._board.attempts.pop(attempt.attempt_id, None)
        self._board.notify()
