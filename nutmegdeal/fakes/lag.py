"""A value whose changes become visible after a delay."""

import collections

LAG_MAX_MS = 60_000


class LaggingValue:
    """Value that can be read as it was up to `LAG_MAX_MS` ago.

    Parameters
    ----------
    value : object
        Initial value.
    """

    def __init__(self, value):
        self._changes = collections.deque([(float("-inf"), value)])

    def replace(self, value, now_ms):
        """Set the value.

        Drops the changes that no read with a lag of up to `LAG_MAX_MS` can return.
        """
        self._changes.append((now_ms, value))
        while len(self._changes) > 1 and self._changes[1][0] <= now_ms - LAG_MAX_MS:
            self._changes.popleft()

    def read(self, now_ms, lag_ms=0.0):
        """Return the value as it was `lag_ms` ago."""
        for changed_at_ms, value in reversed(self._changes):
            if changed_at_ms <= now_ms - lag_ms:
                return value
        return self._changes[0][1]
