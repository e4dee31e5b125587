"""Records the agent's events for the accounts of requests."""

from nutmegdeal.accounts import Event


class EventLog:
    """Records events, filling in the fields that all events of the agent share.

    Parameters
    ----------
    board : Blackboard
    recorder : accounts.Recorder
    clock : Clock
    process : str
        Name of this process.
    """

    def __init__(self, board, recorder, clock, process):
        self._board = board
        self._recorder = recorder
        self._clock = clock
        self._process = process

    def add_event(self, submit, step, outcome, peer="", detail=""):
        """Record what happened to an attempt.

        Parameters
        ----------
        submit : Submit
        step : Step
        outcome : accounts.Outcome, messages.Fate or errors.Reason
        peer, detail : str
        """
        self._recorder.record(
            Event(
                request_id=submit.request_id,
                at_unix_ms=self._clock.unix_ms(),
                process=self._process,
                incarnation=self._board.incarnation,
                step=step,
                outcome=outcome.value,
                attempt_id=submit.attempt_id,
                peer=peer,
                adapter=submit.adapter,
                version=submit.version,
                generation=self._board.generation,
                detail=detail,
            )
        )
