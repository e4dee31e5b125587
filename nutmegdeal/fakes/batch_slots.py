"""Slots of the continuous batch of the stand-in model engine."""

import heapq
import itertools

from gevent.event import Event


class BatchSlots:
    """Batch slots, granted to waiting requests by priority, then by arrival.

    Lower priority numbers are granted first.

    Parameters
    ----------
    slot_count : int
        Number of requests that run at once.
    """

    def __init__(self, slot_count):
        self._slot_count = slot_count
        self._sequence = itertools.count()
        self._waiting = []
        self.running_count = 0

    @property
    def waiting_count(self):
        """Return the number of requests that wait for a slot."""
        return len(self._waiting)

    def request(self, priority):
        """Request a slot; return an Event that is set once it is granted."""
        granted = Event()
        heapq.heappush(self._waiting, (priority, next(self._sequence), granted))
        self._grant()
        return granted

    def release(self, granted):
        """Release a granted slot, or withdraw the request for it.

        Parameters
        ----------
        granted : gevent.event.Event
            What `request` returned.
        """
        if granted.is_set():
            self.running_count -= 1
        else:
            self._waiting = [item for item in self._waiting if item[2] is not granted]
            heapq.heapify(self._waiting)
        self._grant()

    def _grant(self):
        while self._waiting and self.running_count < self._slot_count:
            _priority, _sequence, granted = heapq.heappop(self._waiting)
            self.running_count += 1
            granted.set()
