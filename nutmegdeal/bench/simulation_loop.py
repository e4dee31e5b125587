"""Discrete-event simulation loop whose greenlets sleep in simulated time."""

import heapq
import itertools

import greenlet

from nutmegdeal.clock import ManualClock


class SimulatedGreenlet(greenlet.greenlet):
    """Greenlet that calls its linked callbacks when it ends, as gevent's do.

    Parameters
    ----------
    function : callable
    parent : greenlet.greenlet
    """

    def __init__(self, function, parent):
        super().__init__(self._run_linked, parent)
        self._function = function
        self._callbacks = []

    def link(self, callback):
        """Call `callback` with this greenlet when it has ended."""
        self._callbacks.append(callback)

    def _run_linked(self, *arguments):
        try:
            self._function(*arguments)
        finally:
            for callback in self._callbacks:
                callback(self)


class Sleeper:
    """Handle of a sleeping greenlet, which it wakes at most once.

    Parameters
    ----------
    owner : greenlet.greenlet
    """

    def __init__(self, owner):
        self._owner = owner
        self._is_awake = False

    def wake(self, value):
        """Continue the greenlet with `value` as the result of its sleep."""
        if self._is_awake:
            return
        self._is_awake = True
        self._owner.switch(value)


class SimulationLoop:
    """Runs events in the order of their simulated time.

    Attributes
    ----------
    clock : ManualClock
    is_stopped : bool
        True once `stop` was called.
    """

    def __init__(self):
        self.clock = ManualClock()
        self._events = []
        self._sequence = itertools.count()
        self._hub = None
        self.is_stopped = False

    @property
    def now_ms(self):
        """Simulated time (float)."""
        return self.clock.monotonic_ms()

    def call_at(self, at_ms, function, *arguments):
        """Schedule a call at a time, or now if that time has passed."""
        event = (max(at_ms, self.now_ms), next(self._sequence), function, arguments)
        heapq.heappush(self._events, event)

    def call_later(self, wait_ms, function, *arguments):
        """Schedule a call after a delay."""
        self.call_at(self.now_ms + wait_ms, function, *arguments)

    def spawn(self, function, *arguments):
        """Schedule a function to run now in a new greenlet, and return the greenlet."""
        spawned = SimulatedGreenlet(function, self._hub)
        self.call_later(0.0, spawned.switch, *arguments)
        return spawned

    def begin_sleep(self):
        """Return the Sleeper that can wake the current greenlet."""
        return Sleeper(greenlet.getcurrent())

    def sleep(self, wait_ms, sleeper=None):
        """Suspend the current greenlet.

        Returns
        -------
        object
            None after the whole wait, else the value given to ``sleeper.wake``.
        """
        sleeper = sleeper or self.begin_sleep()
        self.call_later(wait_ms, sleeper.wake, None)
        return self._hub.switch()

    def stop(self):
        """End the run after the current event."""
        self.is_stopped = True

    def run(self, until_ms):
        """Run the events until a time, or until `stop` is called."""
        self._hub = greenlet.getcurrent()
        while not self.is_stopped and self._events and self._events[0][0] <= until_ms:
            at_ms, _sequence, function, arguments = heapq.heappop(self._events)
            self.clock.advance_to(at_ms)
            function(*arguments)
        self.clock.advance_to(until_ms)
