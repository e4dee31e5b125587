"""Simulated time for blocking code, and a table service with limited write rate."""

import heapq
import itertools

import greenlet

from nutmegdeal.clock import ManualClock
from nutmegdeal.fakes.memory import MemoryTable
from nutmegdeal.services.table import TableService


class Simulation:
    """Runs tasks as greenlets; time advances when all of them wait."""

    def __init__(self):
        self.clock = ManualClock()
        self._scheduled = []
        self._sequence = itertools.count()

    @property
    def now_ms(self):
        """Simulated time in ms (float)."""
        return self.clock.monotonic_ms()

    def spawn(self, task, at_ms=None):
        """Schedule a task, a function without arguments, now or at a time."""
        self._schedule(self.now_ms if at_ms is None else at_ms, greenlet.greenlet(task))

    def sleep_until(self, at_ms):
        """Suspend the current task until a time."""
        self._schedule(at_ms, greenlet.getcurrent())
        greenlet.getcurrent().parent.switch()

    def sleep(self, wait_ms):
        """Suspend the current task for `wait_ms`."""
        self.sleep_until(self.now_ms + wait_ms)

    def resume(self, task):
        """Schedule a suspended task (a greenlet) to continue now."""
        self._schedule(self.now_ms, task)

    def _schedule(self, at_ms, task):
        heapq.heappush(self._scheduled, (at_ms, next(self._sequence), task))

    def run(self):
        """Run until every task has ended or waits for a result."""
        while self._scheduled:
            at_ms, _, task = heapq.heappop(self._scheduled)
            self.clock.advance_to(at_ms)
            task.parent = greenlet.getcurrent()
            task.switch()


class LimitedTable(TableService):
    """In-memory table service that executes writes one at a time.

    Parameters
    ----------
    simulation : Simulation
    writes_per_s : float
    one_way_ms : float
        Network delay in each direction.
    counts_rows : bool
        True if each row of a transaction takes the time of one write, False if a
        transaction of any size does.
    """

    def __init__(self, simulation, writes_per_s, one_way_ms, counts_rows):
        self.memory = MemoryTable()
        self.transaction_count = 0
        self.row_count = 0
        self._simulation = simulation
        self._write_ms = 1000 / writes_per_s
        self._one_way_ms = one_way_ms
        self._counts_rows = counts_rows
        self._free_at_ms = 0.0

    def read(self, key):
        """Return the Row under `key`, None if there is none."""
        self._simulation.sleep(self._one_way_ms)
        row = self.memory.read(key)
        self._simulation.sleep(self._one_way_ms)
        return row

    def scan(self, prefix, after="", limit=1000):
        """Return up to `limit` Rows in key order, without delay."""
        return self.memory.scan(prefix, after, limit)

    def write(self, writes):
        """Apply a sequence of Write atomically."""
        self.transaction_count += 1
        self.row_count += len(writes)
        cost_ms = self._write_ms * (len(writes) if self._counts_rows else 1)
        arrival_ms = self._simulation.now_ms + self._one_way_ms
        self._free_at_ms = max(self._free_at_ms, arrival_ms) + cost_ms
        self._simulation.sleep_until(self._free_at_ms)
        result = self.memory.write(writes)
        self._simulation.sleep(self._one_way_ms)
        return result


class SimulatedResult:
    """Result that one task waits for and another sets.

    Parameters
    ----------
    simulation : Simulation
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._waiting_task = None
        self._values = []

    def set(self, value):
        """Set the result and resume the waiting task."""
        self._values.append(value)
        if self._waiting_task is not None:
            self._simulation.resume(self._waiting_task)

    def get(self):
        """Wait for the result and return it."""
        if not self._values:
            self._waiting_task = greenlet.getcurrent()
            self._waiting_task.parent.switch()
        return self._values[0]
