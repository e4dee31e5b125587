"""Gateways that share the limit of one server, in simulated time."""

import attrs

from nutmegdeal.fakes.named_limit import WINDOW_MS
from nutmegdeal.gateway.limit_slots import (
    OpenSlots,
    build_record,
    choose_first_era,
    first_slot_ms,
    plan_reservation,
)

TICK_MS = 50.0
# From the naming of a limit to the answer that tells a gateway.
ANSWER_MS = 60.0
# Requests are counted from this long after a gateway was told.
TOLD_BEFORE_MS = 500.0
RETRY_MS = 400.0
# Mean pause of a gateway that finds all slots reserved, as a share of the time until
# the first free one.
RETRY_SHARE = 0.75


@attrs.define
class SharedRow:
    """The row of the store with the limit's slots.

    Parameters
    ----------
    record : LimitRecord or None
    era : int
    is_away : bool
        The store answers nobody.
    copies : list of LimitRecord or None
        The row at the end of each second.
    """

    record: object = None
    era: int = 1
    is_away: bool = False
    copies: list = attrs.field(factory=list)

    def restore(self, age):
        """Return to the copy that is `age` seconds old."""
        self.era += 1
        if self.copies:
            self.record = self.copies[-min(age, len(self.copies))]


class SlotGateway:
    """A gateway that reserves slots in the row.

    Parameters
    ----------
    name : str
    lag_ms : float
        By how much its view of the store's clock is late.
    """

    def __init__(self, name, lag_ms):
        self.name = name
        self.lag_ms = lag_ms
        self.is_cut = False
        self.loses_answers = False
        self.restart()

    def restart(self):
        """Forget everything."""
        self.told_ms = None
        self.slots = OpenSlots()
        self._reservation = None
        self._retry_at_ms = 0.0
        self._seen_era = None
        self._era = None
        self._era_since_ms = 0.0

    def observe(self, row, now_ms):
        """See the era in an answer of the store, which is called all the time."""
        if row.is_away or self.is_cut or row.era == self._era:
            return
        self._era, self._era_since_ms = row.era, now_ms

    def is_told(self, now_ms):
        """Return whether a server's answer has told it the limit."""
        return self.told_ms is not None and now_ms >= self.told_ms

    def try_send(self, now_ms):
        """Return whether a request that arrives now is sent to the server."""
        if not self.is_told(now_ms):
            if self.told_ms is None:
                self.told_ms = now_ms + ANSWER_MS
            return True
        return self.slots.try_take(now_ms - self.lag_ms)

    def reserve(self, row, limit_per_s, now_ms):
        """Reserve slots if they are needed."""
        self.observe(row, now_ms)
        own_ms = now_ms - self.lag_ms
        if not self.is_told(now_ms) or own_ms < self._retry_at_ms:
            return
        if not self.slots.needs_reservation(own_ms):
            return
        if row.is_away or self.is_cut:
            self._repeat(own_ms)
            return
        self.slots.drop_unconfirmed()
        record = self._read(row) or build_record(
            limit_per_s, now_ms, self._known_era(row, now_ms), own_ms
        )
        self._seen_era = row.era
        wanted = self.slots.wanted_count
        planned = plan_reservation(record, self.name, wanted, row.era, own_ms)
        if planned is None:
            wait_ms = first_slot_ms(record, row.era, own_ms) - own_ms
            self._retry_at_ms = own_ms + RETRY_SHARE * wait_ms
            return
        row.record = planned[0]
        if self.loses_answers:
            self._repeat(own_ms)
            return
        self._reservation = planned[1]
        self.slots.add(self._reservation.slots_ms)

    def _known_era(self, row, now_ms):
        if self._seen_era is not None:
            return self._seen_era
        return choose_first_era(row.era, self._era_since_ms, now_ms)

    def _read(self, row):
        return row.record

    def _repeat(self, own_ms):
        self._retry_at_ms = own_ms + RETRY_MS
        if self._reservation is not None and not self.slots.slots_ms:
            self._reservation = self._reservation.repeat(own_ms)
            self.slots.add_unconfirmed(self._reservation.slots_ms)


class BucketGateway(SlotGateway):
    """Faulty version: a token bucket of one token, with an equal share of the limit."""

    gateway_count = 1

    def restart(self):
        """Forget everything."""
        super().restart()
        self._tokens = 1.0
        self._filled_ms = 0.0

    def try_send(self, now_ms):
        """Return whether a request that arrives now is sent to the server."""
        if not self.is_told(now_ms):
            return super().try_send(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def reserve(self, row, limit_per_s, now_ms):
        """Fill the bucket."""
        passed_ms = max(now_ms - self._filled_ms, 0.0)
        self._filled_ms = now_ms
        tokens = self._tokens + passed_ms * limit_per_s / 1000 / self.gateway_count
        self._tokens = min(tokens, 1.0)


class EraBlindGateway(SlotGateway):
    """Faulty version: takes the row of a copy for the present one."""

    def _known_era(self, row, now_ms):
        return row.era

    def _read(self, row):
        return attrs.evolve(row.record, era=row.era) if row.record else None


class LimitedSite:
    """Gateways, the row and the arrivals at one server with a limit.

    Parameters
    ----------
    limit_per_s : float
    gateway_count : int
    gateway_class : type
        SlotGateway or a faulty version of it.
    lags_ms : sequence of float
        Of the gateways in turn.
    """

    def __init__(self, limit_per_s, gateway_count, gateway_class, lags_ms=(0.0,)):
        self.limit_per_s = limit_per_s
        self.row = SharedRow()
        self.now_ms = 10_000.0
        self.gateways = [
            gateway_class(f"g{index}", lags_ms[index % len(lags_ms)])
            for index in range(gateway_count)
        ]
        for gateway in self.gateways:
            gateway.gateway_count = gateway_count
        # When each request of a gateway that had been told long enough arrived.
        self.counted_ms = []
        self.sent_count = 0

    def arrive(self, gateway):
        """Let a request for the server arrive at a gateway."""
        was_told = gateway.is_told(self.now_ms - TOLD_BEFORE_MS)
        if not gateway.try_send(self.now_ms):
            return
        self.sent_count += 1
        if was_told:
            self.counted_ms.append(self.now_ms)

    def advance(self, duration_ms, arrivals_per_tick=0):
        """Let time pass, with so many requests at each gateway in each tick."""
        end_ms = self.now_ms + duration_ms
        # Earlier ones have been checked.
        self.counted_ms = [
            at_ms for at_ms in self.counted_ms if at_ms > self.now_ms - WINDOW_MS
        ]
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            if self.now_ms % 1_000 < TICK_MS:
                self.row.copies.append(self.row.record)
            for gateway in self.gateways:
                gateway.reserve(self.row, self.limit_per_s, self.now_ms)
                for _ in range(arrivals_per_tick):
                    self.arrive(gateway)
