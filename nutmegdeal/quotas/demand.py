"""How much the callers of one tenant ask for at one gateway."""

import math

import attrs

from nutmegdeal.site_configuration import QuotaUnit

# Time over which the demand is averaged that tranches are sized for.
RECENT_MS = 1_000.0
# The same for the share that a silent store leaves.
STEADY_MS = 8_000.0
# Shorter times than this tell nothing of a rate.
KNOWN_MIN_MS = 1_000.0
# Most tokens that a request counts: larger figures are a mistake of the caller, and
# may not fit into a float.
USAGE_TOKENS_MAX = 1_000_000_000_000
# Weight of a new request in the charge of a usual one.
TYPICAL_WEIGHT = 0.1


def count_charge(quota, usage_tokens):
    """Return what a request counts under a Quota (float).

    Parameters
    ----------
    quota : Quota
    usage_tokens : int or None
        None if the request does not state them.
    """
    if quota.unit is not QuotaUnit.TOKENS:
        return 1.0
    if usage_tokens is None:
        return quota.plain_tokens
    return float(min(max(usage_tokens, 0), USAGE_TOKENS_MAX))


@attrs.define
class DecayingRate:
    """An amount a second, in which older amounts count less.

    Parameters
    ----------
    period_ms : float
        Time over which the weight of an amount falls to 1/e.
    """

    period_ms: float
    _amount: float = 0.0
    _at_ms: float = 0.0
    _begun_ms: float | None = None

    def add(self, amount, now_ms):
        """Add an amount."""
        if self._begun_ms is None:
            self._begun_ms = now_ms
        self._decay(now_ms)
        self._amount += amount

    def per_s(self, now_ms):
        """Return the rate (float)."""
        if self._begun_ms is None:
            return 0.0
        self._decay(now_ms)
        # The time before the first amount does not count as one without any.
        known_ms = max(now_ms - self._begun_ms, KNOWN_MIN_MS)
        weighted_ms = self.period_ms * -math.expm1(-known_ms / self.period_ms)
        return self._amount / weighted_ms * 1_000

    def _decay(self, now_ms):
        passed_ms = now_ms - self._at_ms
        if passed_ms > 0:
            self._amount *= math.exp(-passed_ms / self.period_ms)
            self._at_ms = now_ms


@attrs.define
class Demand:
    """The demand of one tenant at one gateway.

    Parameters
    ----------
    recent : DecayingRate
        What callers ask for.
    steady : DecayingRate
        What was granted, over a longer time.
    typical : float
        Charge of a usual request.
    last_ms : float
        Time of the last request.
    """

    recent: DecayingRate = attrs.field(factory=lambda: DecayingRate(RECENT_MS))
    steady: DecayingRate = attrs.field(factory=lambda: DecayingRate(STEADY_MS))
    typical: float = 0.0
    last_ms: float = float("-inf")

    def record(self, charge, is_granted, now_ms):
        """Record a request that was granted or refused."""
        self.last_ms = now_ms
        self.recent.add(charge, now_ms)
        if is_granted:
            self.steady.add(charge, now_ms)
        weight = TYPICAL_WEIGHT if self.typical else 1.0
        self.typical += weight * (charge - self.typical)
