"""A value that is seen late."""

import collections

LAG_MAX_MS = 60_000


class LaggingValue:
    """A value whose changes are seen up to `LAG_MAX_MS` late.

    Parameters
    ----------
    value : object
        What it is before the first change.
    """

    def __init__(self, value):
        self._changes = collections.deque([(float("-inf"), value)])

    def replace(self, value, now_ms):
        """Set the value and forget changes that no reader can still see."""
        self._changes.append((now_ms, value))
        while len(self._changes) > 1 and self._changes[1][0] <= now_ms - LAG_MAX_MS:
            self._changes.popleft()

    def read(self, now_ms, lag_ms=0.0):
        """Return the value as it was `lag_ms` ago."""
        for at_ms, value in reversed(self._changes):
            if at_ms <= now_ms - lag_ms:
                return value
        return self._changes[0][1]
