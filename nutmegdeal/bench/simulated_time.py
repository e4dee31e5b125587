"""Blocking programs in simulated time, and a table service with a limited rate."""

import heapq
import itertools

import greenlet

from nutmegdeal.clock import ManualClock
from nutmegdeal.fakes.memory import MemoryTable
from nutmegdeal.services.table import TableService


class Simulation:
    """Runs programs as greenlets; time moves on while all of them wait."""

    def __init__(self):
        self.clock = ManualClock()
        self._due = []
        self._order = itertools.count()

    @property
    def now_ms(self):
        """Simulated time in ms (float)."""
        return self.clock.monotonic_ms()

    def spawn(self, program, at_ms=None):
        """Run a function without arguments, now or at a time."""
        self._plan(self.now_ms if at_ms is None else at_ms, greenlet.greenlet(program))

    def sleep_until(self, at_ms):
        """Stop the current program until a time."""
        self._plan(at_ms, greenlet.getcurrent())
        greenlet.getcurrent().parent.switch()

    def sleep(self, wait_ms):
        """Stop the current program for a time."""
        self.sleep_until(self.now_ms + wait_ms)

    def resume(self, program):
        """Let a program go on that has switched to its parent."""
        self._plan(self.now_ms, program)

    def _plan(self, at_ms, program):
        heapq.heappush(self._due, (at_ms, next(self._order), program))

    def run(self):
        """Run until every program has ended."""
        while self._due:
            at_ms, _, program = heapq.heappop(self._due)
            self.clock.advance_to(at_ms)
            program.parent = greenlet.getcurrent()
            program.switch()


class LimitedTable(TableService):
    """A table service that carries out writes one after the other.

    Parameters
    ----------
    simulation : Simulation
    writes_per_s : float
    one_way_ms : float
        Time of a message in each direction.
    counts_rows : bool
        True if each row of a transaction takes the time of one write.
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
        """Return up to `limit` Rows, in key order."""
        return self.memory.scan(prefix, after, limit)

    def write(self, writes):
        """Apply a sequence of Write all together or not at all."""
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
    """A result that one program waits for and another sets.

    Parameters
    ----------
    simulation : Simulation
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._program = None
        self._values = []

    def set(self, value):
        """Give the result and let the program that waits go on."""
        self._values.append(value)
        if self._program is not None:
            self._simulation.resume(self._program)

    def get(self):
        """Wait for the result and return it."""
        if not self._values:
            self._program = greenlet.getcurrent()
            self._program.parent.switch()
        return self._values[0]
