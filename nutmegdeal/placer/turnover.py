"""Estimate of the time until an engine has a place for one more adapter.

Answers the load of more adapters in use at once than an engine has places for: a place
becomes free only when the last run on its adapter ends. Requests that can still get
their first event in time are served before those that cannot, so the two wait for
different times.
"""

import attrs

from nutmegdeal.usage_rates import UsageRates

# Decay time of the averages; load and its mix change within seconds.
RATE_DECAY_MS = 3_000.0
# Assumed least turnover: each place becomes free once in this time.
HOLD_MAX_MS = 8_000.0
# Least share of the places becoming free that is left to demands that are late.
LATE_SHARE_MIN = 0.1
# Less urgent than each rank.
NO_RANK = 1_000
# Keys of the counted events.
_FREED = "freed"
_TAKEN_IN_TIME = "taken_in_time"


@attrs.frozen
class PlaceQueue:
    """The adapters that wait for a place in an engine, and how fast they get one.

    Parameters
    ----------
    spare_count : int
        Adapters that the engine can begin to load now; not positive if it has no place
        free, and negative by the number of adapters that wait for one.
    in_time_count : int
        Adapters that wait for a place and can still be loaded in time.
    interval_ms : float
        Average time between two places that become free.
    late_interval_ms : float
        The same for places that are left to adapters that are late.
    resumed_count : int
        Adapters that wait for a place and that resumed streams still need.
    urgent_rank : int
        Most urgent rank of the requests that wait for an adapter which can be in time;
        resumed streams of this rank, and of more urgent ones, get the next place.
        NO_RANK if there are none.
    """

    spare_count: int
    in_time_count: int = 0
    interval_ms: float = 0.0
    late_interval_ms: float = 0.0
    resumed_count: int = 0
    urgent_rank: int = NO_RANK


class PlaceTurnover:
    """Counts how often places become free and how often adapters in time get one.

    A load into a place that never was in use, or was free long before, takes none of
    those that become free. So a place is counted as taken with the age of the end of
    use that freed it.
    """

    def __init__(self):
        self._rates = UsageRates(RATE_DECAY_MS)
        self._in_use = frozenset()
        self._freed_ms = {}

    def keep(self, held):
        """Remove the adapters that the engine does not hold.

        Parameters
        ----------
        held : collection of str
        """
        self._freed_ms = {
            adapter: at_ms
            for adapter, at_ms in self._freed_ms.items()
            if adapter in held
        }

    def record_taken_in_time(self, victim, now_ms):
        """Count a place that is taken for an adapter that can be in time.

        Parameters
        ----------
        victim : str
            Adapter that gives its place.
        now_ms : float
        """
        freed_ms = self._freed_ms.pop(victim, None)
        if freed_ms is not None:
            self._rates.record(_TAKEN_IN_TIME, now_ms, now_ms - freed_ms)

    def record_uses(self, in_use, used, now_ms):
        """Count the adapters whose use has ended.

        Parameters
        ----------
        in_use : frozenset of str
            Adapters on which requests run now.
        used : set of str
            Adapters on which requests have started since the last report.
        now_ms : float
        """
        for adapter in (self._in_use | used) - in_use:
            self._rates.record(_FREED, now_ms)
            self._freed_ms[adapter] = now_ms
        self._in_use = in_use

    def estimate(self, place_count, spare_count, in_time_count, now_ms):
        """Return the PlaceQueue of an engine.

        Parameters
        ----------
        place_count : int
            Places of the engine.
        spare_count : int
            As in PlaceQueue.
        in_time_count : int
            As in PlaceQueue.
        now_ms : float
        """
        least_per_ms = place_count / HOLD_MAX_MS
        freed_per_ms = self._rates.rate_per_s(_FREED, now_ms) / 1_000
        freed_per_ms = max(freed_per_ms, least_per_ms)
        in_time_per_ms = self._rates.rate_per_s(_TAKEN_IN_TIME, now_ms) / 1_000
        left_per_ms = max(freed_per_ms - in_time_per_ms, freed_per_ms * LATE_SHARE_MIN)
        return PlaceQueue(spare_count, in_time_count, 1 / freed_per_ms, 1 / left_per_ms)
