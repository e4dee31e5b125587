"""Slots of a backend server's limit, which gateways reserve in one row of the store.

A server that names a limit takes so many requests a second from all gateways together.
A slot is the time from which one request may be sent, and is valid for a short time
only. Slots of one server are at least the inverse of its limit apart, whichever gateway
has reserved them, so the number of requests in any window is bounded without a count of
the gateways. Points in time are on the store's clock, and given by the caller.
"""

import math

import attrs

# A slot that is not used within this time is lost, so that slots do not add up to a
# burst.
SLOT_VALID_MS = 500.0
# How far ahead slots may be reserved.
RESERVED_AHEAD_MS = 3_000.0
# Limits on the slots of one reservation, as time that they take of the limit: the lower
# one bounds the calls to the store.
RESERVATION_MIN_MS = 125.0
RESERVATION_MAX_MS = 250.0
# How long a gateway that has reserved slots counts as one that shares the limit.
PARTICIPANT_KEPT_MS = 10_000.0
PARTICIPANTS_MAX = 256
# While the store is silent, a gateway repeats its slots with this multiple of the time
# after which its turn would come again: others may have reserved slots meanwhile.
UNCONFIRMED_PERIOD_FACTOR = 2.0
UNCONFIRMED_PARTICIPANTS_MIN = 4


@attrs.frozen
class LimitRecord:
    """What the store holds of the limit of one incarnation of a server.

    Parameters
    ----------
    limit_per_s : float or None
        None if the server names no limit any longer.
    stated_ms : float
        When the server said so.
    next_slot_ms : float
        Earliest time of the next slot.
    era : int
        Era of the store in which the row was written.
    participants : dict of str to float
        Names of the gateways that reserve slots, with their last slot.
    updated_ms : float
    """

    limit_per_s: float | None
    stated_ms: float
    next_slot_ms: float
    era: int
    participants: dict = attrs.field(factory=dict)
    updated_ms: float = 0.0

    def participant_count(self, now_ms):
        """Return how many gateways share the limit, at least 1 (int)."""
        return max(len(_find_participants(self.participants, now_ms)), 1)


@attrs.frozen
class Reservation:
    """Slots that one gateway has reserved.

    Parameters
    ----------
    slots_ms : tuple of float
    period_ms : float
        Time from one turn of the gateway to the next one while the store is silent.
    """

    slots_ms: tuple[float, ...]
    period_ms: float

    def repeat(self, now_ms):
        """Return the Reservation of the next turn that has not passed."""
        passed_ms = now_ms - self.slots_ms[0]
        turns = max(math.ceil(passed_ms / self.period_ms), 1)
        slots_ms = tuple(at_ms + turns * self.period_ms for at_ms in self.slots_ms)
        return attrs.evolve(self, slots_ms=slots_ms)


def build_record(limit_per_s, stated_ms, era, now_ms):
    """Return the LimitRecord of a server that has named a limit."""
    return LimitRecord(limit_per_s, stated_ms, now_ms, era, {}, now_ms)


def choose_first_era(era, era_since_ms, now_ms):
    """Return the era for a row that a gateway begins without having seen one (int).

    If the store has just returned from a copy, the row may be missing there. A gateway
    that has just started takes the era for a new one.

    Parameters
    ----------
    era : int
        Present era of the store.
    era_since_ms : float
        When the gateway first saw this era.
    now_ms : float
    """
    return era if now_ms - era_since_ms >= RESERVED_AHEAD_MS else era - 1


def first_slot_ms(record, era, now_ms):
    """Return the time of the first slot that can be reserved (float).

    After the store has returned from a copy, slots that were reserved in the era before
    may be missing in the row.
    """
    if era != record.era:
        return max(record.next_slot_ms, now_ms + RESERVED_AHEAD_MS)
    return max(record.next_slot_ms, now_ms)


def plan_reservation(record, gateway, wanted_count, era, now_ms):
    """Plan the reservation of slots.

    Parameters
    ----------
    record : LimitRecord
    gateway : str
    wanted_count : int
        Slots that the gateway can use.
    era : int
        Present era of the store.
    now_ms : float

    Returns
    -------
    tuple of LimitRecord and Reservation, or None
        None if the slots are reserved too far ahead.
    """
    first_ms = first_slot_ms(record, era, now_ms)
    if first_ms > now_ms + RESERVED_AHEAD_MS:
        return None
    interval_ms = 1_000.0 / record.limit_per_s
    least = math.ceil(RESERVATION_MIN_MS / interval_ms)
    most = math.ceil(RESERVATION_MAX_MS / interval_ms)
    count = min(max(wanted_count, least), most)
    slots_ms = tuple(first_ms + place * interval_ms for place in range(count))
    participants = _find_participants(record.participants, now_ms)
    participants[gateway] = slots_ms[-1]
    sharing = max(len(participants), UNCONFIRMED_PARTICIPANTS_MIN)
    period_ms = UNCONFIRMED_PERIOD_FACTOR * sharing * count * interval_ms
    planned = attrs.evolve(
        record,
        next_slot_ms=first_ms + count * interval_ms,
        era=era,
        participants=participants,
        updated_ms=now_ms,
    )
    return planned, Reservation(slots_ms, period_ms)


def _find_participants(participants, now_ms):
    """Return the newest of those whose last slot is not long ago (dict)."""
    kept = {
        name: at_ms
        for name, at_ms in participants.items()
        if at_ms > now_ms - PARTICIPANT_KEPT_MS
    }
    newest = sorted(kept, key=kept.get, reverse=True)[:PARTICIPANTS_MAX]
    return {name: kept[name] for name in newest}


@attrs.define
class OpenSlots:
    """The slots of one gateway at one server, on the gateway's monotonic clock.

    Parameters
    ----------
    slots_ms : list of float
        Those that are not used, in order.
    wanted_count : int
        Requests that had or would have used a slot since the last reservation.
    is_confirmed : bool
        The slots are those of the store's row.
    """

    slots_ms: list = attrs.field(factory=list)
    wanted_count: int = 0
    is_confirmed: bool = True

    def add(self, slots_ms):
        """Add reserved slots."""
        self.drop_unconfirmed()
        self.slots_ms = sorted((*self.slots_ms, *slots_ms))
        self.wanted_count = 0

    def add_unconfirmed(self, slots_ms):
        """Add slots that are used while the store is silent."""
        self.slots_ms = sorted((*self.slots_ms, *slots_ms))
        self.is_confirmed = False

    def drop_unconfirmed(self):
        """Drop the slots of the time in which the store was silent."""
        if not self.is_confirmed:
            self.slots_ms.clear()
        self.is_confirmed = True

    def is_open(self, now_ms):
        """Return whether a request may be sent now."""
        self._expire(now_ms)
        return bool(self.slots_ms) and self.slots_ms[0] <= now_ms

    def try_take(self, now_ms):
        """Use a slot for a request; return whether there was one."""
        self.wanted_count += 1
        if not self.is_open(now_ms):
            return False
        self.slots_ms.pop(0)
        return True

    def needs_reservation(self, now_ms):
        """Return whether requests could use more slots than are reserved."""
        self._expire(now_ms)
        return self.wanted_count > 0 and not (self.slots_ms and self.is_confirmed)

    def _expire(self, now_ms):
        while self.slots_ms and self.slots_ms[0] + SLOT_VALID_MS <= now_ms:
            self.slots_ms.pop(0)
