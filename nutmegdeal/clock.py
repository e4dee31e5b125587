"""Clocks: the system clock, one that tests control, and those of other hosts."""

import abc
import math
import time

# Most by which two clocks may drift apart: the limit of the rate correction that NTP
# applies on Linux, 500 parts per million.
CLOCK_DRIFT_MAX = 5e-4


class Clock(abc.ABC):
    """Source of wall-clock, monotonic and boot-time time in milliseconds."""

    @abc.abstractmethod
    def unix_ms(self):
        """Return the wall-clock time in ms since 1970 (int)."""

    @abc.abstractmethod
    def monotonic_ms(self):
        """Return the time in ms on a clock that never goes backwards (float)."""

    @abc.abstractmethod
    def boot_ms(self):
        """Return such a time that includes what the host was suspended for (float)."""


class SystemClock(Clock):
    """The clock of this host."""

    def unix_ms(self):
        """Return the wall-clock time in ms since 1970."""
        return time.time_ns() // 1_000_000

    def monotonic_ms(self):
        """Return the host's monotonic time in ms."""
        return time.monotonic_ns() / 1e6

    def boot_ms(self):
        """Return the time in ms since the host was booted."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6


class ManualClock(Clock):
    """A clock that advances only on request.

    Parameters
    ----------
    start_unix_ms : int
        The wall-clock time at monotonic time 0.
    """

    def __init__(self, start_unix_ms=1_700_000_000_000):
        self._start_unix_ms = start_unix_ms
        self._elapsed_ms = 0.0
        self._suspended_ms = 0.0

    def unix_ms(self):
        """Return the simulated wall-clock time in ms since 1970."""
        return self._start_unix_ms + int(self.boot_ms())

    def monotonic_ms(self):
        """Return the ms advanced so far, without those of suspensions."""
        return self._elapsed_ms

    def boot_ms(self):
        """Return the ms advanced so far."""
        return self._elapsed_ms + self._suspended_ms

    def advance(self, step_ms):
        """Move all times forward by `step_ms`."""
        self._elapsed_ms += step_ms

    def suspend(self, step_ms):
        """Suspend the host for `step_ms`, in which the monotonic clock stands still."""
        self._suspended_ms += step_ms

    def advance_to(self, monotonic_ms):
        """Move to `monotonic_ms`, never backwards."""
        self._elapsed_ms = max(self._elapsed_ms, monotonic_ms)


class RemoteClockBound:
    """Bounds of the offset of a remote clock: its time less the boot-time clock.

    An answer made at the remote time `r` to a call sent at `q` was made after `q` and
    before its receipt at `a`, so the offset is at most `r - q` and at least `r - a`.
    The closest such bounds hold, moved by the drift that is possible since.
    """

    def __init__(self):
        self._offset_ms = math.inf
        self._stated_ms = 0.0
        self._least_ms = -math.inf
        self._least_stated_ms = 0.0

    def tighten(self, sent_ms, remote_ms, received_ms):
        """Use one answer.

        Parameters
        ----------
        sent_ms : float
            When the call was sent.
        remote_ms : float
            When the answer was made, on the remote clock; 0 if it is not stated.
        received_ms : float
            When the answer arrived.
        """
        if remote_ms <= 0:
            return
        offset_ms = self._offset_at(received_ms)
        if remote_ms - received_ms > offset_ms:
            # No answer arrives before it is made: the remote clock has been set ahead.
            offset_ms = math.inf
        if remote_ms - sent_ms <= offset_ms:
            self._offset_ms, self._stated_ms = remote_ms - sent_ms, sent_ms
        least_ms = self.least_offset_at(received_ms)
        if remote_ms - sent_ms < least_ms:
            # None is made before its call either: the remote clock has been set back.
            least_ms = -math.inf
        if remote_ms - received_ms >= least_ms:
            self._least_ms, self._least_stated_ms = remote_ms - received_ms, received_ms

    def find_made_ms(self, sent_ms, remote_ms, received_ms):
        """Return the earliest time at which an answer may have been made (float).

        On the boot-time clock. An answer may arrive long after it was made, or be read
        late.

        Parameters
        ----------
        sent_ms, remote_ms, received_ms
            As for `tighten`.
        """
        if remote_ms <= 0:
            return sent_ms
        made_ms = remote_ms - self._offset_at(received_ms)
        return max(min(made_ms, received_ms), sent_ms)

    def least_offset_at(self, now_ms):
        """Return the least offset (float), minus infinity if none is known."""
        return self._least_ms - _drift_since(self._least_stated_ms, now_ms)

    def _offset_at(self, now_ms):
        return self._offset_ms + _drift_since(self._stated_ms, now_ms)


def _drift_since(stated_ms, now_ms):
    """Return by how much two clocks may have drifted apart since a time, in ms."""
    return CLOCK_DRIFT_MAX * max(now_ms - stated_ms, 0.0)
