"""Lines to standard output that never make their writer wait.

A greenlet writes what is buffered. Lines beyond the rate of their event, and lines
that find the buffer full, are left out and counted in a line of their own.
"""

import collections
import datetime
import json
import os
import time

import gevent
import gevent.os

# Lines of one event a second: enough for each request of a busy process on a calm day.
LINES_PER_EVENT_PER_S = 100
# Lines of events that are warnings or errors a second.
WARNINGS_PER_EVENT_PER_S = 200
# Some 3,000 lines: several seconds of a busy process.
BUFFER_BYTES_MAX = 1_048_576
# Pause between writes; a wake-up is charged, and nobody reads logs faster.
WRITE_EVERY_MS = 200.0
# What a pipe holds.
WRITE_BYTES = 65_536
IMPORTANT_LEVELS = ("warning", "error", "critical")


class LineBudget:
    """Counts lines by event and second, and those left out.

    Parameters
    ----------
    clock_s : callable
        Returns seconds on the monotonic clock.
    """

    def __init__(self, clock_s=time.monotonic):
        self._clock_s = clock_s
        self._second = 0
        self._counts = collections.Counter()
        self.left_out = collections.Counter()

    def allows(self, event, level):
        """Return whether one more line of an event may be written now."""
        second = int(self._clock_s())
        if second != self._second:
            self._second = second
            self._counts.clear()
        is_important = level in IMPORTANT_LEVELS
        limit = WARNINGS_PER_EVENT_PER_S if is_important else LINES_PER_EVENT_PER_S
        self._counts[event] += 1
        if self._counts[event] > limit:
            self.left_out[event] += 1
            return False
        return True


class BoundedOutput:
    """Writes lines to a file descriptor in the background.

    Parameters
    ----------
    descriptor : int
    budget : LineBudget
    process_name : str
        Told with the lines left out, with the time; ``""`` leaves both away.
    """

    def __init__(self, descriptor=1, budget=None, process_name=""):
        self.budget = budget or LineBudget()
        self._descriptor = descriptor
        self._process_name = process_name
        self._lines = collections.deque()
        self._bytes = 0
        self._unwritten = b""
        self._greenlet = None

    def start(self):
        """Write in the background from now on."""
        gevent.os.make_nonblocking(self._descriptor)
        self._greenlet = gevent.spawn(self._run)

    def __call__(self, *_arguments):
        """Return this object, as structlog's logger factory."""
        return self

    def msg(self, line):
        """Buffer a line, or count it as left out."""
        if not self._buffer(line):
            self.budget.left_out["buffer_full"] += 1

    def _buffer(self, line):
        """Buffer a line; return whether there was room."""
        data = line.encode("utf-8", "replace") + b"\n"
        if self._bytes + len(data) > BUFFER_BYTES_MAX:
            return False
        self._lines.append(data)
        self._bytes += len(data)
        return True

    debug = info = warning = error = critical = exception = msg

    def _run(self):
        while True:
            gevent.sleep(WRITE_EVERY_MS / 1000)
            self.flush()

    def flush(self):
        """Write what the reader takes now; the rest stays buffered."""
        if self.budget.left_out and self._buffer(self._describe_left_out()):
            self.budget.left_out.clear()
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._take()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except (BlockingIOError, OSError):
                return
            self._unwritten = self._unwritten[written:]

    def _describe_left_out(self):
        line = {"event": "log_lines_left_out", "counts": self.budget.left_out}
        if self._process_name:
            now = datetime.datetime.now(datetime.UTC)
            line["timestamp"] = now.isoformat().replace("+00:00", "Z")
            line["process"] = self._process_name
        return json.dumps(line)

    def _take(self):
        taken = []
        size = 0
        while self._lines and size < WRITE_BYTES:
            line = self._lines.popleft()
            taken.append(line)
            size += len(line)
        self._bytes -= size
        return b"".join(taken)
