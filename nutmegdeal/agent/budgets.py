"""Load budgets: agents' shares of the weight store's limits, without a coordinator."""

import attrs

from nutmegdeal.agent.policy import LoadBudget

MS_PER_S = 1_000.0


class RateBudget(LoadBudget):
    """Token bucket for a fixed part of the store's rate, with a limit on transit.

    Parameters
    ----------
    loads_per_s : float
    transit_max : int
        Loads that this agent may have in transit.
    burst_count : float
        Capacity of the bucket: loads that may start at once after an idle period.
    """

    def __init__(self, loads_per_s, transit_max=1, burst_count=1.0):
        self._burst_count = burst_count
        self._available_count = burst_count
        self._updated_ms = 0.0
        self.transit_count = 0
        self.set_share(loads_per_s, transit_max)

    def set_share(self, loads_per_s, transit_max):
        """Change the share from now on."""
        self._loads_per_s = loads_per_s
        self._transit_max = transit_max

    def try_start(self, now_ms):
        """Reserve the start of one load; return whether the budget allows it."""
        self._refill(now_ms)
        if self._available_count < 1.0 or self.transit_count >= self._transit_max:
            return False
        self._available_count -= 1.0
        self.transit_count += 1
        return True

    def finish(self, now_ms):
        """Record the end of a load in transit."""
        self.transit_count = max(0, self.transit_count - 1)

    def restart(self, now_ms):
        """Empty the bucket, as when this budget takes over from another."""
        self._available_count = 0.0
        self._updated_ms = now_ms

    def next_start_ms(self, now_ms):
        """Return when the rate allows the next load to start."""
        self._refill(now_ms)
        missing_count = max(0.0, 1.0 - self._available_count)
        return now_ms + missing_count / self._loads_per_s * MS_PER_S

    def _refill(self, now_ms):
        elapsed_s = max(0.0, now_ms - self._updated_ms) / MS_PER_S
        available_count = self._available_count + elapsed_s * self._loads_per_s
        # Without rounding, float errors could keep the bucket just below one load.
        self._available_count = min(self._burst_count, round(available_count, 9))
        self._updated_ms = max(self._updated_ms, now_ms)


class EqualShareBudget(RateBudget):
    """The store's limits divided equally among the live agents.

    Parameters
    ----------
    weight_store : WeightStorePolicy
    agent_count : int
    """

    def __init__(self, weight_store, agent_count):
        self._weight_store = weight_store
        super().__init__(weight_store.loads_per_s / agent_count)
        self.set_limits(weight_store, agent_count)

    def set_limits(self, weight_store, agent_count):
        """Set the store's limits and the number of agents that share them."""
        self._weight_store = weight_store
        self._set_fraction(1.0 / max(1, agent_count))

    def _set_fraction(self, fraction):
        transit_max = int(self._weight_store.transit_max * fraction)
        self.set_share(self._weight_store.loads_per_s * fraction, max(1, transit_max))


class DemandShareBudget(EqualShareBudget):
    """The store's limits divided in proportion to the last reported demand.

    Parameters
    ----------
    weight_store : WeightStorePolicy
    agent_count : int
    """

    def set_demand(self, own_count, total_count, agent_count):
        """Set the number of loads wanted by this agent and by all agents.

        Each agent counts as wanting one load more, so that none is left without a
        share.
        """
        self._set_fraction((own_count + 1) / (total_count + agent_count))


@attrs.frozen
class Hold:
    """A load in transit, as recorded in the shared row.

    Parameters
    ----------
    holder : str
        Incarnation of the agent.
    until_unix_ms : int
        When the hold expires, in case its agent never releases it.
    """

    holder: str
    until_unix_ms: int


@attrs.frozen
class TrancheRow:
    """Use of the weight store's limits by all agents, one row in the table service.

    Parameters
    ----------
    next_start_unix_ms : float
        When the next load may start.
    holds : tuple of Hold
    """

    next_start_unix_ms: float = 0.0
    holds: tuple[Hold, ...] = ()


@attrs.frozen
class Grant:
    """Result of `take_grants`.

    Parameters
    ----------
    row : TrancheRow
        The row to write, provided that no other agent has written it meanwhile.
    starts_unix_ms : tuple of float
        When each granted load may start.
    """

    row: TrancheRow
    starts_unix_ms: tuple[float, ...]


HOLD_LIFETIME_MS = 30_000
# Starts are granted at most this long in advance.
GRANT_AHEAD_MS = 500.0
# A grant is returned if it is still unused this long after its start time.
GRANT_LIFETIME_MS = 1_000.0


def take_grants(row, weight_store, holder, wanted_count, ended_count, now_unix_ms):
    """Release ended loads and reserve starts for new ones.

    Parameters
    ----------
    row : TrancheRow
    weight_store : WeightStorePolicy
    holder : str
        Incarnation of the agent.
    wanted_count, ended_count : int
    now_unix_ms : int

    Returns
    -------
    Grant
        Has fewer starts than wanted, or none, if the limits allow no more.
    """
    kept = _without_ended(row.holds, holder, ended_count, now_unix_ms)
    gap_ms = MS_PER_S / weight_store.loads_per_s
    burst_ms = gap_ms * (weight_store.full_speed_count - 1)
    next_ms = max(row.next_start_unix_ms, now_unix_ms - burst_ms)
    starts = []
    free_count = weight_store.transit_max - len(kept)
    while len(starts) < min(wanted_count, free_count):
        if next_ms > now_unix_ms + GRANT_AHEAD_MS:
            break
        starts.append(max(next_ms, now_unix_ms))
        next_ms += gap_ms
    new_holds = [Hold(holder, int(start) + HOLD_LIFETIME_MS) for start in starts]
    return Grant(TrancheRow(next_ms, (*kept, *new_holds)), tuple(starts))


def _without_ended(holds, holder, ended_count, now_unix_ms):
    live = [hold for hold in holds if hold.until_unix_ms > now_unix_ms]
    own = [hold for hold in live if hold.holder == holder]
    ended = sorted(own, key=lambda hold: hold.until_unix_ms)[:ended_count]
    for hold in ended:
        live.remove(hold)
    return tuple(live)


class TrancheBudget(LoadBudget):
    """Starts loads by grants that a controller obtained from the shared row.

    Parameters
    ----------
    clock : Clock
        Grants are in wall-clock time, the budget's calls in monotonic time.

    Attributes
    ----------
    ended_count : int
        Ended loads and returned grants that the row still counts as in transit.
    transit_count : int
        Loads in transit that were started by a grant.
    next_grant_unix_ms : float
        When the row allows the next load that is not granted yet.
    """

    def __init__(self, clock):
        self._clock = clock
        self._starts_unix_ms = []
        self.ended_count = 0
        self.transit_count = 0
        self.next_grant_unix_ms = 0.0

    @property
    def granted_count(self):
        """Grants not yet used."""
        return len(self._starts_unix_ms)

    def accept(self, grant, returned_count):
        """Add the starts of a Grant whose row was written.

        Parameters
        ----------
        grant : Grant
        returned_count : int
            Ended loads and returned grants that were released by writing the row.
        """
        self._starts_unix_ms.extend(grant.starts_unix_ms)
        self.next_grant_unix_ms = grant.row.next_start_unix_ms
        self.ended_count -= returned_count

    def return_surplus(self, wanted_count):
        """Return the latest grants beyond the number that loads wait for."""
        self.ended_count += max(0, self.granted_count - wanted_count)
        del self._starts_unix_ms[wanted_count:]

    def _return_expired_grants(self):
        """Return grants that were not used in time.

        Otherwise several agents could save up grants and start many loads at once.
        """
        oldest_unix_ms = self._clock.unix_ms() - GRANT_LIFETIME_MS
        kept = [start for start in self._starts_unix_ms if start >= oldest_unix_ms]
        self.ended_count += len(self._starts_unix_ms) - len(kept)
        self._starts_unix_ms = kept

    def try_start(self, now_ms):
        """Reserve the start of one load; return whether the budget allows it."""
        self._return_expired_grants()
        if not self._starts_unix_ms:
            return False
        if self._starts_unix_ms[0] > self._clock.unix_ms():
            return False
        self._starts_unix_ms.pop(0)
        self.transit_count += 1
        return True

    def finish(self, now_ms):
        """Record the end of a load in transit."""
        self.transit_count -= 1
        self.ended_count += 1

    def next_start_ms(self, now_ms):
        """Return when the next load may start, as far as is known."""
        next_unix_ms = self.next_grant_unix_ms
        if self._starts_unix_ms:
            next_unix_ms = self._starts_unix_ms[0]
        return now_ms + max(0.0, next_unix_ms - self._clock.unix_ms())
