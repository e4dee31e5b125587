"""A store that gives prepared answers, each some time after its call."""


class ScriptedStore:
    """Answers calls of a watcher on simulated time.

    Parameters
    ----------
    clock : ManualClock

    Attributes
    ----------
    answers : list of (float, RowsRead)
        How long each next call takes, in ms, and its answer.
    waits_ms : list of float
        How long the calls were to wait for changes.
    suspended_ms : float
        For how long the host is suspended before each answer is read.
    """

    def __init__(self, clock):
        self._clock = clock
        self.answers = []
        self.waits_ms = []
        self.suspended_ms = 0.0

    def read_table(self, table):
        """Return the next answer."""
        return self._take()

    def read_changes(self, table, after, wait_ms):
        """Return the next answer."""
        self.waits_ms.append(wait_ms)
        return self._take()

    def _take(self):
        taken_ms, answer = self.answers.pop(0)
        self._clock.advance(taken_ms)
        self._clock.suspend(self.suspended_ms)
        return answer
