"""Stand-in for the weight store."""

import enum
import hashlib

import attrs
import bottle
import gevent

from nutmegdeal.fakes.server import StandIn, error_response
from nutmegdeal.fakes.transfers import TransferSchedule

WEIGHT_BYTES = 4096


class OverRate(enum.Enum):
    """How the store treats a load that exceeds its rate limit."""

    REFUSE = "refuse"
    QUEUE = "queue"


@attrs.define
class WeightsFaults:
    """Fault switches of the weight store.

    Parameters
    ----------
    down : bool
        Every load gets 503.
    slow_ms : float
        Time added to every load.
    half_rate : bool
        The rate limit is halved.
    """

    down: bool = False
    slow_ms: float = 0.0
    half_rate: bool = False


class WeightsStandIn(StandIn):
    """Weight store that derives the bytes of each adapter from its name.

    Parameters
    ----------
    clock : Clock
    policy : WeightStorePolicy
    over_rate : OverRate
    """

    def __init__(self, clock, policy, over_rate):
        super().__init__(WeightsFaults)
        self._clock = clock
        self._over_rate = over_rate
        self._schedule = TransferSchedule(policy)
        self.app.route("/weights/<engine_name:path>", "GET", self.read)

    def read(self, engine_name):
        """Send an adapter's bytes after the time that its transfer takes."""
        if self.faults.down:
            return error_response(503, "unavailable", "the service is down")
        self._schedule.rate_factor = 0.5 if self.faults.half_rate else 1.0
        transfer = self._begin_transfer()
        if transfer is None:
            return error_response(429, "over_rate", "too many loads a second")
        try:
            wait_ms = transfer.ends_at_ms - self._clock.monotonic_ms()
            gevent.sleep((wait_ms + self.faults.slow_ms) / 1000)
        finally:
            self._schedule.finish()
        headers = {"Content-Type": "application/octet-stream"}
        return bottle.HTTPResponse(make_weights(engine_name), 200, headers)

    def _begin_transfer(self):
        now_ms = self._clock.monotonic_ms()
        if self._over_rate is OverRate.REFUSE:
            return self._schedule.try_begin(now_ms)
        return self._schedule.begin(now_ms)


def make_weights(engine_name):
    """Return the bytes of an adapter's weights."""
    digest = hashlib.sha256(engine_name.encode()).digest()
    return digest * (WEIGHT_BYTES // len(digest))
