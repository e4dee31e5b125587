"""Requests that servers with a limit do not take now, and when they may come back."""

import attrs

# Callers are sent back at most this far ahead; later ones share the time before it.
RETURN_AHEAD_MAX_MS = 10_000.0


@attrs.define
class ReturnSchedule:
    """Times at which the callers of one service come back, on the monotonic clock.

    Each caller gets a time of its own, as far from the last one as the limits allow.

    Parameters
    ----------
    last_ms : float
        The latest time given out.
    """

    last_ms: float = float("-inf")

    def plan(self, share_per_s, now_ms, random_state):
        """Return when the next caller should come back (float).

        Parameters
        ----------
        share_per_s : float
            Requests a second that this gateway may send to the service.
        now_ms : float
        random_state : random.Random
            Spreads the callers that would otherwise come back too late.
        """
        interval_ms = 1_000.0 / share_per_s
        return_ms = max(self.last_ms, now_ms) + interval_ms
        latest_ms = now_ms + RETURN_AHEAD_MAX_MS
        if return_ms > latest_ms:
            return latest_ms - RETURN_AHEAD_MAX_MS / 2 * random_state.random()
        self.last_ms = return_ms
        return return_ms


class LimitedServers:
    """Applies the limits of servers to the requests of one gateway.

    Parameters
    ----------
    membership : Membership
    keeper : LimitKeeper
    telemetry : GatewayTelemetry
    random_state : random.Random
    """

    def __init__(self, membership, keeper, telemetry, random_state):
        self._membership = membership
        self._keeper = keeper
        self._telemetry = telemetry
        self._random = random_state
        self._schedules = {}

    def record_withheld(self, service, now_ms):
        """Record that a request of a service passes over servers without a slot."""
        if not self._membership.limited_count:
            return
        withheld = self._membership.withheld(service, now_ms)
        if not withheld:
            return
        self._telemetry.record_withheld()
        for member in withheld:
            member.availability.slots.wanted_count += 1
        self._keeper.wake()

    def plan_return(self, service, now_ms):
        """Return when a refused request should come back, on the monotonic clock.

        None if no server of the service has a limit.
        """
        withheld = self._membership.withheld(service, now_ms)
        if not withheld:
            return None
        share_per_s = sum(map(self._keeper.share_per_s, withheld))
        schedule = self._schedules.setdefault(service, ReturnSchedule())
        return schedule.plan(share_per_s, now_ms, self._random)
