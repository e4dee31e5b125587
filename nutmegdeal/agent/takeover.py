"""Protects requests of a predecessor that still run after a takeover."""

import collections


class TakeoverGuard:
    """Forbids evictions while requests of a predecessor may be running.

    Such requests hold no pins at this agent, so the slot table alone would allow the
    eviction of their adapters. The guard becomes active at a takeover and inactive with
    the first later report that counts no more requests than the smallest number that
    this agent had running since the earliest time at which the engine can have taken
    the report.
    """

    def __init__(self):
        self._began_ms = None
        self._running_counts = collections.deque()

    @property
    def is_active(self):
        """True while requests of a predecessor may be running."""
        return self._began_ms is not None

    def begin(self, now_ms):
        """Activate the guard: the engine may run requests of another agent."""
        self._began_ms = now_ms
        self._running_counts.append((now_ms, 0))

    def record_running_count(self, running_count, now_ms):
        """Record how many requests this agent has running; called at each change."""
        if self.is_active:
            self._running_counts.append((now_ms, running_count))

    def process_report(self, running_count, taken_after_ms):
        """Deactivate the guard if a report can count only this agent's requests.

        Parameters
        ----------
        running_count : int
            Requests in the engine's batch by the report.
        taken_after_ms : float
            Earliest time at which the engine can have taken it.
        """
        if not self.is_active or taken_after_ms < self._began_ms:
            return
        while (
            len(self._running_counts) > 1
            and self._running_counts[1][0] <= taken_after_ms
        ):
            self._running_counts.popleft()
        least_count = min(count for _, count in self._running_counts)
        if running_count <= least_count:
            self._began_ms = None
            self._running_counts.clear()
