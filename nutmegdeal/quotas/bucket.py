"""The token bucket of one tenant, as a row of the store holds it.

Gateways take tranches of tokens from the bucket and spend them locally. What all
gateways together hold unspent is bounded, so a window sees at most what the bucket
grants in it and that amount. Points in time are on the store's clock, and given by the
caller.
"""

import attrs

# Length of a tranche, as time that it lasts at the demand of its gateway: a gateway
# then calls the store about once in that time.
TRANCHE_S = 1.0
# How long the unspent tokens of a gateway count after its last write. The gateway stops
# using them earlier, as its view of the store's clock may be late.
HELD_KEPT_MS = 4_000.0
# From this long after its last write a gateway may use its share for a silent store.
# Gateways in contact write more often while their demand is high.
SILENT_AFTER_MS = 1_000.0
# Part of the tenant's rate that a silent store leaves to all gateways together.
SILENT_FACTOR = 0.5
# For how much time unused tokens of a silent store's share add up.
SILENT_CARRY_MAX_S = 0.8
# How long that share is kept for a gateway, if keys need no confirmation. Otherwise it
# is kept for as long as the keys may be used.
SILENT_KEPT_MS = 20_000.0
# How long the demand that a gateway has written counts.
DEMAND_KEPT_MS = 3_000.0
# Entry for the tokens that unknown gateways may hold after the store has returned from
# a copy.
COPY_ENTRY = ""
# More gateways take exactly what their requests need.
PARTICIPANTS_MAX = 512
DEFAULT_WINDOW_MS = 8_000.0


@attrs.frozen
class QuotaBounds:
    """What a window may hold beyond the rate and the burst.

    Parameters
    ----------
    window_ms : float
    overage : float
        Share of what the limit allows in a window.
    slack : float
        Further amount.
    silent_kept_ms : float
        How long after its last write a gateway may use its share for a silent store.
    silent_factor : float
        Part of the rate that a silent store leaves to all gateways together.
    """

    window_ms: float = DEFAULT_WINDOW_MS
    overage: float = 0.0
    slack: float = 0.0
    silent_kept_ms: float = SILENT_KEPT_MS
    silent_factor: float = SILENT_FACTOR

    @classmethod
    def from_settings(cls, bounds):
        """Return the QuotaBounds in the Bounds of a process."""
        return cls(
            window_ms=bounds.quota_window_ms or DEFAULT_WINDOW_MS,
            overage=bounds.quota_overage,
            slack=bounds.quota_slack,
            silent_kept_ms=bounds.revoke_ms or SILENT_KEPT_MS,
        )

    def allowed(self, rate_per_s, burst):
        """Return what may run in a window (float)."""
        limit = rate_per_s * self.window_ms / 1_000 + burst
        return limit * (1 + self.overage) + self.slack

    def held_max(self, rate_per_s, burst):
        """Return the bound on the unspent tokens of all gateways (float).

        It is half of what a window may hold beyond the limit. The other half is for the
        shares of a silent store, for machines that were suspended with tokens, and for
        requests that exceed the burst.
        """
        limit = rate_per_s * self.window_ms / 1_000 + burst
        return (limit * self.overage + self.slack) / 2

    def is_servable(self, charge, burst):
        """Return whether a request may ever run; one that exceeds the burst may."""
        return charge - burst <= self.slack / 2

    def carry_s(self, rate_per_s, burst):
        """Return for how much time shares of a silent store add up (float)."""
        if not self.silent_factor:
            return 0.0
        spare_s = self.held_max(rate_per_s, burst) / (self.silent_factor * rate_per_s)
        return min(SILENT_CARRY_MAX_S, spare_s)


@attrs.frozen
class Participant:
    """What the row holds of one gateway.

    Parameters
    ----------
    written_ms : float
        When it last wrote the row.
    held : float
        Unspent tokens that it had after that.
    demand_per_s : float
        What its callers ask for.
    silent_per_s : float
        What it may use while the store is silent for it. The bucket sets it aside from
        SILENT_AFTER_MS after `written_ms` on.
    """

    written_ms: float
    held: float = 0.0
    demand_per_s: float = 0.0
    silent_per_s: float = 0.0

    def recent_demand(self, now_ms):
        """Return the demand, 0.0 if it was written too long ago (float)."""
        is_recent = self.written_ms > now_ms - DEMAND_KEPT_MS
        return self.demand_per_s if is_recent else 0.0

    def set_aside(self, from_ms, to_ms, kept_ms):
        """Return the tokens of a silent store's share in a time (float)."""
        begin_ms = max(from_ms, self.written_ms + SILENT_AFTER_MS)
        end_ms = min(to_ms, self.written_ms + kept_ms)
        return self.silent_per_s * max(end_ms - begin_ms, 0.0) / 1_000


@attrs.frozen
class QuotaRecord:
    """What the store holds of the quota of one tenant.

    Parameters
    ----------
    rate_per_s, burst : float
    configuration_version : int
        Version of the configuration that set them.
    level : float
        Tokens in the bucket, below 0 after a request that exceeds the burst.
    level_ms : float
        Time of the level.
    era : int
        Era of the store in which the row was written.
    participants : dict of str to Participant
        Gateways that take from the bucket, by name.
    """

    rate_per_s: float
    burst: float
    configuration_version: int
    level: float
    level_ms: float
    era: int
    participants: dict = attrs.field(factory=dict)


@attrs.frozen
class Ask:
    """What one gateway asks of the bucket.

    Parameters
    ----------
    charges : tuple of float
        Of the requests that wait, in order.
    balance : float
        Its unspent tokens.
    demand_per_s : float
        What its callers asked for recently; 0.0 to return the balance.
    steady_per_s : float
        What they were granted on average of some seconds.
    typical : float
        Charge of a usual request.
    silent_spent : float
        What it has used of a silent store's share since its last write.
    """

    charges: tuple = ()
    balance: float = 0.0
    demand_per_s: float = 0.0
    steady_per_s: float = 0.0
    typical: float = 0.0
    silent_spent: float = 0.0


@attrs.frozen
class Tranche:
    """A change of the bucket that a gateway may write.

    Parameters
    ----------
    record : QuotaRecord
    taken : float
        Tokens taken, below 0 if some are returned.
    target : float
        Tokens that the gateway is meant to hold.
    is_partial : bool
        The bucket had less than was wanted.
    refilled_ms : float or None
        When it will have what is needed, if it had not even that.
    """

    record: QuotaRecord
    taken: float
    target: float = 0.0
    is_partial: bool = False
    refilled_ms: float | None = None


@attrs.frozen
class EmptyBucket:
    """The bucket does not have what a gateway asks for.

    Parameters
    ----------
    record : QuotaRecord
        Settled at the present time.
    refilled_ms : float
        When it will have it, if no one else takes from it.
    """

    record: QuotaRecord
    refilled_ms: float


def build_record(quota, version, era, now_ms, empty_ms):
    """Return the QuotaRecord of a tenant without a row.

    Parameters
    ----------
    quota : Quota
    version : int
        Of the configuration.
    era : int
    now_ms : float
    empty_ms : float
        When the bucket may have been empty, as there may have been a row that was lost.
    """
    refilled = quota.rate_per_s * max(now_ms - empty_ms, 0.0) / 1_000
    level = min(refilled, quota.burst)
    return QuotaRecord(quota.rate_per_s, quota.burst, version, level, now_ms, era)


def settle(record, quota, version, era, now_ms, bounds, empty_ms, limit_ms=None):
    """Return a QuotaRecord as it is now: refilled, in this era, with the newest limit.

    Parameters
    ----------
    record : QuotaRecord
    quota : Quota
        As this gateway's configuration states it.
    version : int
        Of that configuration. A newer one that the record names stays in force.
    era : int
    now_ms : float
    bounds : QuotaBounds
    empty_ms : float
        When the bucket may have been empty, if the era is a new one.
    limit_ms : float, optional
        Since when this gateway has known the configuration; by default since now. A
        newer limit has been in force since then.
    """
    settled = record
    if version > record.configuration_version:
        limit_ms = now_ms if limit_ms is None else min(limit_ms, now_ms)
        settled = _refill(settled, limit_ms, bounds)
        settled = _apply_limit(settled, quota, version)
    settled = _refill(settled, now_ms, bounds)
    if era != record.era:
        settled = _assume_used(settled, era, now_ms, bounds, empty_ms)
    return settled


def _refill(record, now_ms, bounds):
    if now_ms <= record.level_ms:
        return record
    kept_ms = bounds.silent_kept_ms
    gained = record.rate_per_s * (now_ms - record.level_ms) / 1_000
    for participant in record.participants.values():
        gained -= participant.set_aside(record.level_ms, now_ms, kept_ms)
    last_ms = now_ms - max(HELD_KEPT_MS, kept_ms)
    participants = {
        name: participant
        for name, participant in record.participants.items()
        if participant.written_ms > last_ms
    }
    return attrs.evolve(
        record,
        level=min(record.level + gained, record.burst),
        level_ms=now_ms,
        participants=participants,
    )


def _assume_used(record, era, now_ms, bounds, empty_ms):
    """Return a record of a copy as if all that was granted after it had been used."""
    held = bounds.held_max(record.rate_per_s, record.burst)
    participants = {**record.participants, COPY_ENTRY: Participant(empty_ms, held)}
    refilled = record.rate_per_s * max(now_ms - empty_ms, 0.0) / 1_000
    return attrs.evolve(
        record,
        level=min(record.level, refilled),
        level_ms=max(record.level_ms, now_ms),
        era=era,
        participants=participants,
    )


def _apply_limit(record, quota, version):
    """Return the record with another limit; its level is carried over."""
    scale = min(quota.rate_per_s / record.rate_per_s, 1.0)
    participants = {
        name: attrs.evolve(item, silent_per_s=item.silent_per_s * scale)
        for name, item in record.participants.items()
    }
    return attrs.evolve(
        record,
        rate_per_s=quota.rate_per_s,
        burst=quota.burst,
        configuration_version=version,
        level=min(record.level, quota.burst),
        participants=participants,
    )


def plan_tranche(record, name, ask, now_ms, bounds, must_write=False):
    """Plan what a gateway takes from the bucket, or returns to it.

    Parameters
    ----------
    record : QuotaRecord
        Settled at `now_ms`.
    name : str
        Of the gateway.
    ask : Ask
    now_ms : float
    bounds : QuotaBounds
    must_write : bool
        The row is written even if nothing is taken, as it is missing, malformed, or has
        another limit or era: it refills from the time when it is written.

    Returns
    -------
    Tranche or EmptyBucket
    """
    record = _credit(record, name, ask, bounds)
    target = _choose_target(record, name, ask, now_ms, bounds)
    needed = sum(ask.charges)
    wanted = needed + target - ask.balance
    taken = min(wanted, max(record.level, 0.0))
    served = needed
    is_partial = taken < wanted
    if is_partial:
        required = _required_level(record, ask, bounds)
        if record.level < required:
            missing = required - record.level
            refilled_ms = now_ms + 1_000 * missing / record.rate_per_s
            if not must_write:
                return EmptyBucket(record, refilled_ms)
            booked = _book(record, name, ask, 0.0, ask.balance, now_ms, bounds)
            return Tranche(booked, 0.0, 0.0, True, refilled_ms)
        if ask.charges:
            taken, served = _take_rest(ask, taken, target)
    held = max(ask.balance + taken - served, 0.0)
    booked = _book(record, name, ask, taken, held, now_ms, bounds)
    return Tranche(booked, taken, target, is_partial)


def _credit(record, name, ask, bounds):
    """Return the record with what this gateway has not used of a silent store's share.

    Only a bounded time of it: it may be spent at once, as unspent tokens may.
    """
    own = record.participants.get(name)
    credit = -ask.silent_spent
    if own is not None:
        kept_ms = bounds.silent_kept_ms
        credit += own.set_aside(own.written_ms, record.level_ms, kept_ms)
        carry_s = bounds.carry_s(record.rate_per_s, record.burst)
        credit = min(credit, own.silent_per_s * carry_s)
    return attrs.evolve(record, level=min(record.level + credit, record.burst))


def _choose_target(record, name, ask, now_ms, bounds):
    """Return the tokens that a gateway should hold, after its waiting requests."""
    if not ask.demand_per_s:
        return 0.0
    others = [item for key, item in record.participants.items() if key != name]
    if len(others) >= PARTICIPANTS_MAX:
        return 0.0
    held_max = bounds.held_max(record.rate_per_s, record.burst)
    demand_per_s = ask.demand_per_s + _sum_demand(others, now_ms)
    held = sum(item.held for item in others if item.written_ms > now_ms - HELD_KEPT_MS)
    target = min(
        ask.demand_per_s * TRANCHE_S,
        held_max * ask.demand_per_s / demand_per_s,
        held_max - held,
    )
    # Less than a request would lie unused at many gateways.
    return target if target >= ask.typical else 0.0


def _required_level(record, ask, bounds):
    """Return the level from which on a part of what is wanted is taken (float).

    A request that exceeds the burst is taken from a full bucket, whose level is below 0
    afterwards.
    """
    if not ask.charges:
        return min(ask.typical, record.burst)
    first = ask.charges[0]
    if not bounds.is_servable(first, record.burst):
        return float("inf")
    return min(first, record.burst) - ask.balance


def _take_rest(ask, available, target):
    """Return what is taken, and how much of it waiting requests use.

    Requests are served in order. A gateway that should hold no tokens takes no more
    than they need.
    """
    usable = ask.balance + available
    # The first one may exceed what there is, if it exceeds the burst.
    served = ask.charges[0]
    for charge in ask.charges[1:]:
        if served + charge > usable:
            break
        served += charge
    least = served - ask.balance
    return max(min(available, least + target), least), served


def _book(record, name, ask, taken, held, now_ms, bounds):
    """Return the record after a gateway has taken tokens."""
    others = {key: item for key, item in record.participants.items() if key != name}
    participants = others
    is_taking = ask.charges or ask.demand_per_s or held
    if is_taking and len(others) < PARTICIPANTS_MAX:
        silent_per_s = _choose_silent_share(record, others, ask, now_ms, bounds)
        own = Participant(now_ms, held, ask.demand_per_s, silent_per_s)
        participants = {**others, name: own}
    return attrs.evolve(
        record,
        level=min(record.level - taken, record.burst),
        participants=participants,
    )


def _sum_demand(participants, now_ms):
    return sum(item.recent_demand(now_ms) for item in participants)


def find_others_demand(record, name, now_ms):
    """Return what callers ask for at other gateways (float)."""
    others = [item for key, item in record.participants.items() if key != name]
    return _sum_demand(others, now_ms)


def _choose_silent_share(record, others, ask, now_ms, bounds):
    """Return what a gateway may use a second while the store is silent (float)."""
    silent_max = bounds.silent_factor * record.rate_per_s
    given = sum(item.silent_per_s for item in others.values())
    if ask.demand_per_s >= ask.typical and ask.demand_per_s:
        demand_per_s = _sum_demand(others.values(), now_ms)
        part = ask.demand_per_s / (demand_per_s + ask.demand_per_s)
        share = min(silent_max * part, ask.steady_per_s)
    else:
        # It writes seldom, so that its share is set aside most of the time.
        equal = silent_max / (len(others) + 1)
        share = min(equal, bounds.silent_factor * ask.steady_per_s)
    return max(min(share, silent_max - given), 0.0)
