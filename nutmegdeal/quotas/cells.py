"""Division of a large quota into several buckets, at one gateway.

Transactions on one row conflict, and those of one part are executed one after the
other. The bucket of a tenant with a large quota is therefore divided into cells, each
with a row and a part of its own. A gateway takes from its home cell first, and from the
others while that one is empty. The cells' limits add up to the tenant's.
"""

import zlib

import attrs

from nutmegdeal.quotas.balance import TenantBalance
from nutmegdeal.site_configuration import QuotaUnit

CELLS_MAX = 4
# Least burst of a cell: several of the largest requests, which would otherwise find no
# cell with enough tokens.
CELL_TOKENS_MIN = 20_000.0
CELL_REQUESTS_MIN = 20.0


def count_cells(quota):
    """Return the number of cells of a Quota (int); all gateways get the same."""
    is_tokens = quota.unit is QuotaUnit.TOKENS
    least = CELL_TOKENS_MIN if is_tokens else CELL_REQUESTS_MIN
    return int(min(max(quota.burst // least, 1), CELLS_MAX))


def divide_quota(quota):
    """Return the Quota of one cell."""
    count = count_cells(quota)
    return attrs.evolve(
        quota, rate_per_s=quota.rate_per_s / count, burst=quota.burst / count
    )


class QuotaCells:
    """The tokens of one tenant at one gateway, by cell.

    Parameters
    ----------
    name : str
        Of the gateway.
    quota : Quota
    version : int
        Of the configuration.
    bounds : QuotaBounds
    random_state : random.Random
    balance_class : type

    Attributes
    ----------
    balances : list of TenantBalance
        By number of the cell.
    """

    def __init__(
        self,
        name,
        quota,
        version,
        bounds,
        random_state,
        balance_class=TenantBalance,
    ):
        self.balances = []
        self._quota = quota
        self._version = version
        self._name = name
        self._bounds = bounds
        self._random = random_state
        self._balance_class = balance_class
        self._divide()

    def _divide(self, now_ms=None):
        count = count_cells(self._quota)
        quota = divide_quota(self._quota)
        bounds = attrs.evolve(self._bounds, slack=self._bounds.slack / count)
        for balance in self.balances[:count]:
            balance.apply_quota(quota, self._version, bounds, now_ms)
        for balance in self.balances[count:]:
            balance.refuse_waiters()
        del self.balances[count:]
        while len(self.balances) < count:
            self.balances.append(
                self._balance_class(
                    self._name, quota, self._version, bounds, self._random
                )
            )
        # A stable digest, so that a gateway comes back to its cell.
        home = zlib.crc32(self._name.encode()) % count
        self._in_order = self.balances[home:] + self.balances[:home]

    @property
    def home(self):
        """Return the TenantBalance of the home cell."""
        return self._in_order[0]

    @property
    def rate_per_s(self):
        """Return the tenant's rate as far as this gateway knows it (float)."""
        return sum(balance.rate_per_s for balance in self.balances)

    def apply_quota(self, quota, version, now_ms):
        """Apply the quota of a configuration, if it is newer."""
        if version <= self._version:
            return
        self._quota, self._version = quota, version
        self._divide(now_ms)

    def admit(self, charge, now_ms, on_decided=lambda: None):
        """Decide on a request.

        Returns
        -------
        bool or Waiter
            Whether it is granted, or a Waiter for the decision.
        """
        for balance in self._in_order:
            if balance.try_spend(charge, now_ms):
                return True
        for balance in sorted(self._in_order, key=lambda item: item.is_empty):
            if balance.may_wait(charge, now_ms):
                return balance.wait(charge, on_decided)
        self.home.record_refused(charge, now_ms)
        return False

    def give_back(self, charge):
        """Return the tokens of a request that did not run."""
        self.home.give_back(charge)

    def share_per_s(self, now_ms):
        """Return the part of the rate that is due to this gateway's callers (float)."""
        return sum(balance.share_per_s(now_ms) for balance in self.balances)

    def is_silent(self, now_ms):
        """Return whether the store does not answer this gateway."""
        return any(balance.is_silent(now_ms) for balance in self.balances)

    def demand_per_s(self, now_ms):
        """Return what this gateway's callers ask for (float)."""
        return sum(item.demand.recent.per_s(now_ms) for item in self.balances)

    @property
    def gateway_count(self):
        """Return how many gateways are known to take from the cells (int)."""
        names = {
            name
            for balance in self.balances
            if balance.record is not None
            for name in balance.record.participants
        }
        return len(names)

    def find_due(self, now_ms):
        """Return the numbers of the cells for which the store has to be called."""
        return [
            cell
            for cell, balance in enumerate(self.balances)
            if balance.fetch_due_ms(now_ms) <= now_ms
        ]

    def fetch_due_ms(self, now_ms):
        """Return when the store has to be called for any cell (float)."""
        return min(balance.fetch_due_ms(now_ms) for balance in self.balances)
