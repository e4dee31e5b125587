"""Lets other greenlets run while one of them has much to read.

Receiving switches only if it has to wait, so a peer that sends fast would keep all
other requests of the process from being served.
"""

import gevent

BYTES_PER_SWITCH = 65_536
EVENTS_PER_SWITCH = 64
# The pause is longer than 0, so that the event loop polls all sockets in it.
SWITCH_PAUSE_S = 0.001


class FairTurns:
    """Counts what one greenlet has read since it last let others run.

    Parameters
    ----------
    events_max : int
        Events of one turn.
    """

    def __init__(self, events_max=EVENTS_PER_SWITCH):
        self._events_max = events_max
        self._bytes = 0
        self._events = 0

    def reset(self):
        """Begin anew, as after a wait."""
        self._bytes = 0
        self._events = 0

    def record_bytes(self, byte_count):
        """Count bytes that were received."""
        self._bytes += byte_count

    def take(self):
        """Count one event, after a pause if others are due."""
        if self._events >= self._events_max or self._bytes >= BYTES_PER_SWITCH:
            self.reset()
            gevent.sleep(SWITCH_PAUSE_S)
        self._events += 1
