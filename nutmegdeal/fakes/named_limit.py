"""Limit that a stand-in for a backend server names in its answers."""

import time

import attrs

# The platform's bound on the arrivals at a server with a limit, in any such window.
WINDOW_MS = 4_000.0
ALLOWED_RATIO = 1.5
ALLOWED_EXCESS = 5


@attrs.frozen
class NamedPeriod:
    """A time in which a server named a limit, on the monotonic clock."""

    limit_per_s: float
    from_ms: float
    until_ms: float


@attrs.define
class NamedLimit:
    """The limit that a server names, and the requests that it received.

    Parameters
    ----------
    value : bytes or None
        Sent in all answers; None names no limit.
    arrivals : list of (float, str)
        When each request arrived, on the monotonic clock in ms, and its id.
    periods : list of NamedPeriod
        Ended periods begun by `begin`.
    """

    value: bytes | None = None
    arrivals: list = attrs.field(factory=list)
    periods: list = attrs.field(factory=list)
    _from_ms: float = 0.0

    def begin(self, limit_per_s):
        """Name a limit in all answers from now on."""
        self.end()
        self.value = b"%g" % limit_per_s
        self._from_ms = time.monotonic() * 1000

    def end(self):
        """Name no limit any longer."""
        if self.value is not None:
            until_ms = time.monotonic() * 1000
            period = NamedPeriod(float(self.value), self._from_ms, until_ms)
            self.periods.append(period)
        self.value = None

    @property
    def headers(self):
        """Return the headers for all answers."""
        return [(b"server-limit", self.value)] if self.value is not None else []

    def record_arrival(self, request_id):
        """Record a request that the server receives."""
        self.arrivals.append((time.monotonic() * 1000, request_id))


def allowed_count(limit_per_s):
    """Return how many arrivals the platform allows in a window (float)."""
    return ALLOWED_RATIO * limit_per_s * WINDOW_MS / 1000 + ALLOWED_EXCESS


def most_in_window(arrived_ms):
    """Return the highest number of arrivals in any window (int).

    Parameters
    ----------
    arrived_ms : iterable of float
    """
    ordered = sorted(arrived_ms)
    most = first = 0
    for place, at_ms in enumerate(ordered):
        while ordered[first] <= at_ms - WINDOW_MS:
            first += 1
        most = max(most, place - first + 1)
    return most
