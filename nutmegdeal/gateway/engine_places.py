"""The places of a model engine for adapters, as its placer reports them."""

import attrs


@attrs.define
class EnginePlaces:
    """The places of a model engine for further adapters.

    Parameters
    ----------
    spare_count : int
        Adapters that it can begin to load now; not positive if none, and negative by
        the number of adapters that wait for a place.
    in_time_count : int
        Adapters that wait and can still be loaded in time.
    interval_ms, late_interval_ms : float
        Average time between two places that become free, and between two that are left
        to adapters that are late.
    resumed_count : int
        Adapters that wait and that resumed streams still need.
    urgent_rank : int
        Resumed streams of this rank, and of more urgent ones, get the next place.
    """

    spare_count: int
    in_time_count: int = 0
    interval_ms: float = 0.0
    late_interval_ms: float = 0.0
    resumed_count: int = 0
    urgent_rank: int = -1

    def resumed_ahead_count(self, is_queued):
        """Return how many adapters of resumed streams go before one more (int)."""
        return max(self.resumed_count - is_queued, 0)

    def in_time_wait_ms(self, is_queued):
        """Return the wait for a place of an adapter that can be in time (float).

        Parameters
        ----------
        is_queued : bool
            Whether the adapter is one of those that wait.
        """
        return (self.in_time_count + (not is_queued)) * self.interval_ms

    def late_wait_ms(self, is_queued):
        """Return the wait for a place of an adapter that is late (float)."""
        late_count = max(-self.spare_count - self.in_time_count, 0)
        return (late_count + (not is_queued)) * self.late_interval_ms
