"""The part of a quota that one gateway uses without a call to the store.

Gateways publish what callers ask of them for each tenant, and read what all others have
published. Each computes its part from the same figures, so that the parts add up to
`FREE_PART` of the quota. What exceeds a gateway's part is taken from the tenant's
bucket, which has the rest. The load that this answers: many tenants far below their
limits at many gateways, where a transaction for each of their requests would cost more
than it protects.
"""

import attrs

# Part of the rate and of the burst that gateways use freely; the bucket has the rest.
FREE_RATE_PART = 0.6
FREE_BURST_PART = 0.25
# Part of that which all gateways get equally, whatever their demand: a caller may come
# to any of them. The rest goes by demand.
EQUAL_PART = 0.2
# Part of what a window may hold beyond the quota that gateways may owe together: a
# gateway with few requests has less than one request's tokens most of the time.
DEBT_PART = 0.75
# The same of the overage that is left to the bucket for tokens that gateways hold.
BUCKET_OVERAGE_PART = 0.5
# How long a gateway uses its part after it has read what the others need.
SHARE_VALID_MS = 10_000.0


def bucket_quota(quota):
    """Return the Quota that the bucket enforces, without the free part."""
    return attrs.evolve(
        quota,
        rate_per_s=quota.rate_per_s * (1 - FREE_RATE_PART),
        burst=quota.burst * (1 - FREE_BURST_PART),
    )


def bucket_bounds(bounds):
    """Return the QuotaBounds of the bucket: the free parts may use the rest.

    The bucket sets nothing aside for a silent store, as the free parts go on then.
    Gateways that seldom write would otherwise lose half of its rate.
    """
    return attrs.evolve(bounds, slack=bounds.slack * (1 - DEBT_PART), silent_factor=0.0)


class FreeShare:
    """One gateway's part of one tenant's quota, a token bucket.

    Points in time are on a clock that also runs while the host is suspended.

    Parameters
    ----------
    quota : Quota
    bounds : QuotaBounds
    """

    def __init__(self, quota, bounds):
        self._quota = quota
        self._bounds = bounds
        self._weight = 0.0
        self._gateway_count = 1
        self._level = 0.0
        self._level_ms = 0.0
        self._valid_until_ms = float("-inf")

    @property
    def rate_per_s(self):
        """Return the rate of this gateway's part (float)."""
        return FREE_RATE_PART * self._quota.rate_per_s * self._weight

    @property
    def _burst(self):
        return FREE_BURST_PART * self._quota.burst * self._weight

    @property
    def _debt_max(self):
        allowed = self._bounds.allowed(self._quota.rate_per_s, self._quota.burst)
        limit = self._quota.rate_per_s * self._bounds.window_ms / 1_000
        beyond = allowed - limit - self._quota.burst
        return DEBT_PART * beyond / self._gateway_count

    def apply_quota(self, quota):
        """Apply another limit; what has been saved up is cut to it."""
        self._quota = quota
        self._level = min(self._level, self._burst)

    def apply_demand(self, demand_by_gateway, name, read_ms):
        """Apply what gateways have published.

        Parameters
        ----------
        demand_by_gateway : dict of str to float
            What callers ask for a second, by gateway; also of those without demand for
            this tenant.
        name : str
            Of this gateway. Without an entry of its own it has no part, as the others
            do not count it.
        read_ms : float
            When that was read.
        """
        self._refill(read_ms)
        count = len(demand_by_gateway)
        if name not in demand_by_gateway:
            self._weight = 0.0
            return
        total = sum(demand_by_gateway.values())
        part = demand_by_gateway[name] / total if total else 1.0 / count
        self._weight = (1 - EQUAL_PART) * part + EQUAL_PART / count
        self._gateway_count = count
        self._level = min(self._level, self._burst)
        self._valid_until_ms = read_ms + SHARE_VALID_MS

    def try_spend(self, charge, now_ms):
        """Use tokens for a request; return whether there are enough (bool)."""
        if now_ms > self._valid_until_ms or not self._weight:
            return False
        self._refill(now_ms)
        if self._level + self._debt_max < charge:
            return False
        self._level -= charge
        return True

    def give_back(self, charge, now_ms):
        """Return the tokens of a request that did not run."""
        self._refill(now_ms)
        self._level = min(self._level + charge, self._burst)

    def _refill(self, now_ms):
        if now_ms <= self._level_ms:
            return
        if self._weight:
            gained = self.rate_per_s * (now_ms - self._level_ms) / 1_000
            self._level = min(self._level + gained, self._burst)
        self._level_ms = now_ms
