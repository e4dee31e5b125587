"""Continuous batching of the model engine stand-in: places that requests wait for."""

import heapq
import itertools

from gevent.event import Event


class BatchPlaces:
    """Places of a batch, given to the waiting by priority and then in order.

    Parameters
    ----------
    place_count : int
    """

    def __init__(self, place_count):
        self._place_count = place_count
        self._sequence = itertools.count()
        self._waiting = []
        self.running_count = 0

    def ask(self, priority):
        """Ask for a place; return an Event that is set once it is given."""
        given = Event()
        heapq.heappush(self._waiting, (priority, next(self._sequence), given))
        self._give()
        return given

    def give_back(self, given):
        """Return a place, or stop waiting for it."""
        if given.is_set():
            self.running_count -= 1
        else:
            self._waiting = [item for item in self._waiting if item[2] is not given]
            heapq.heapify(self._waiting)
        self._give()

    def _give(self):
        while self._waiting and self.running_count < self._place_count:
            _priority, _sequence, given = heapq.heappop(self._waiting)
            self.running_count += 1
            given.set()
