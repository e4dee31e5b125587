"""Protects requests of a predecessor that still run after a takeover."""

import collections


class TakeoverGuard:
    """Forbids evictions while requests of a predecessor may be running.

    They hold no pins here, so that the slot table alone would let their adapters go.
    The guard opens at a takeover and closes with the first later report that counts
    no more requests than this agent had running all the while.
    """

    def __init__(self):
        self._began_ms = None
        self._own_counts = collections.deque()

    @property
    def is_open(self):
        """True while requests of a predecessor may be running."""
        return self._began_ms is not None

    def begin(self, now_ms):
        """Note that the engine may run requests of another agent."""
        self._began_ms = now_ms
        self._own_counts.append((now_ms, 0))

    def note_own(self, running_count, now_ms):
        """Note how many requests this agent has running, at each change."""
        if self.is_open:
            self._own_counts.append((now_ms, running_count))

    def observe_report(self, running_count, taken_after_ms):
        """Read a report, and close if it can count only this agent's requests.

        Parameters
        ----------
        running_count : int
            Requests in the engine's batch by the report.
        taken_after_ms : float
            Earliest time at which the engine can have taken it.
        """
        if not self.is_open or taken_after_ms < self._began_ms:
            return
        while len(self._own_counts) > 1 and self._own_counts[1][0] <= taken_after_ms:
            self._own_counts.popleft()
        least_count = min(count for _, count in self._own_counts)
        if running_count <= least_count:
            self._began_ms = None
            self._own_counts.clear()
