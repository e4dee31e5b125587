"""Log output to a file descriptor that never blocks the logging greenlet.

Lines are buffered and written by a background greenlet. A line that exceeds the rate
limit of its event, or that does not fit into the buffer, is dropped; the numbers of
dropped lines are logged as the event ``log_lines_left_out``.
"""

import collections
import datetime
import json
import os
import time

import gevent
import gevent.os

# Per event and second; enough to log each request of a busy process when few fail.
LINES_PER_EVENT_PER_S = 100
# As above, for lines of level warning or higher.
WARNINGS_PER_EVENT_PER_S = 200
# About 3,000 lines, which a busy process writes in several seconds.
BUFFER_BYTES_MAX = 1_048_576
# Each wake-up costs processor time, and no reader needs the lines sooner.
WRITE_INTERVAL_MS = 200.0
# Default capacity of a Linux pipe.
WRITE_CHUNK_BYTES = 65_536
WARNING_LEVELS = ("warning", "error", "critical")
# Name under which log_lines_left_out counts failed writes, which are tried again.
FAILED_WRITES = "failed_writes"


class LogRateLimiter:
    """Limits the log lines per event and second, and counts the dropped ones.

    Parameters
    ----------
    clock_s : callable
        Returns the time of the monotonic clock, in s.

    Attributes
    ----------
    dropped_counts : Counter
        Dropped lines by event, or ``"buffer_full"``, not yet logged; failed writes
        under `FAILED_WRITES`.
    """

    def __init__(self, clock_s=time.monotonic):
        self._clock_s = clock_s
        self._current_second = 0
        self._counts = collections.Counter()
        self.dropped_counts = collections.Counter()

    def allows(self, event, level):
        """Count one line of an event; return whether it may be written."""
        second = int(self._clock_s())
        if second != self._current_second:
            self._current_second = second
            self._counts.clear()
        is_warning = level in WARNING_LEVELS
        limit = WARNINGS_PER_EVENT_PER_S if is_warning else LINES_PER_EVENT_PER_S
        self._counts[event] += 1
        if self._counts[event] > limit:
            self.dropped_counts[event] += 1
            return False
        return True


class NonBlockingLogWriter:
    """Buffers log lines and writes them to a file descriptor in the background.

    Parameters
    ----------
    descriptor : int
    rate_limiter : LogRateLimiter, optional
    process_name : str
        Added, with a timestamp, to the line that reports dropped lines; with ``""``
        that line has neither.
    """

    def __init__(self, descriptor=1, rate_limiter=None, process_name=""):
        self.rate_limiter = rate_limiter or LogRateLimiter()
        self._descriptor = descriptor
        self._process_name = process_name
        self._lines = collections.deque()
        self._buffered_bytes = 0
        self._pending_chunk = b""
        self._greenlet = None

    def start(self):
        """Start the greenlet that writes the buffered lines."""
        gevent.os.make_nonblocking(self._descriptor)
        self._greenlet = gevent.spawn(self._run)

    def __call__(self, *_arguments):
        """Return this object; structlog calls it as its logger factory."""
        return self

    def msg(self, line):
        """Buffer a line, or drop and count it if the buffer is full."""
        if not self._append(line):
            self.rate_limiter.dropped_counts["buffer_full"] += 1

    def _append(self, line):
        """Append a line to the buffer; return whether it fitted."""
        data = line.encode("utf-8", "replace") + b"\n"
        if self._buffered_bytes + len(data) > BUFFER_BYTES_MAX:
            return False
        self._lines.append(data)
        self._buffered_bytes += len(data)
        return True

    debug = info = warning = error = critical = exception = msg

    def _run(self):
        while True:
            gevent.sleep(WRITE_INTERVAL_MS / 1000)
            self.flush()

    def flush(self):
        """Write as much as the descriptor accepts; the rest stays buffered."""
        if self.rate_limiter.dropped_counts and self._append(
            self._format_dropped_counts()
        ):
            self.rate_limiter.dropped_counts.clear()
        while self._pending_chunk or self._lines:
            if not self._pending_chunk:
                self._pending_chunk = self._take_chunk()
            try:
                written = os.write(self._descriptor, self._pending_chunk)
            except BlockingIOError:
                return
            except OSError:
                # It cannot be logged before a later write succeeds.
                self.rate_limiter.dropped_counts[FAILED_WRITES] += 1
                return
            self._pending_chunk = self._pending_chunk[written:]

    def _format_dropped_counts(self):
        line = {
            "event": "log_lines_left_out",
            "counts": self.rate_limiter.dropped_counts,
        }
        if self._process_name:
            now = datetime.datetime.now(datetime.UTC)
            line["timestamp"] = now.isoformat().replace("+00:00", "Z")
            line["process"] = self._process_name
        return json.dumps(line)

    def _take_chunk(self):
        chunk = []
        size = 0
        while self._lines and size < WRITE_CHUNK_BYTES:
            line = self._lines.popleft()
            chunk.append(line)
            size += len(line)
        self._buffered_bytes -= size
        return b"".join(chunk)
