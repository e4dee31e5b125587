"""The tokens of one tenant that one gateway holds, and when it needs more.

Points in time are on the gateway's monotonic clock, unless their name says otherwise.
"""

import collections

from nutmegdeal.quotas.bucket import (
    HELD_KEPT_MS,
    Ask,
    EmptyBucket,
    build_record,
    find_others_demand,
    plan_tranche,
    settle,
)
from nutmegdeal.quotas.demand import Demand
from nutmegdeal.quotas.silent_share import NO_SHARE_MS, SilentShare
from nutmegdeal.quotas.waiting import Waiter

# Tokens are used for so long after the last write. The row counts them longer, as this
# gateway's view of the store's clock may be late.
TRANCHE_VALID_MS = HELD_KEPT_MS - 1_000.0
# Unspent tokens are returned, or their entry renewed, this long after the last write.
RENEW_AFTER_MS = 1_500.0
# Without requests for so long, unspent tokens are returned.
IDLE_AFTER_MS = 1_000.0
# More tokens are fetched if less than this part of the target is left.
PREFETCH_SHARE = 0.35
# Surplus over the target, after requests that did not run, that is returned soon.
SURPLUS_FACTOR = 2.0
# Longest wait of a request for tokens. A fetch takes 8 to 20 ms, more after conflicts
# or a lost answer; a later answer is still of use to most callers.
WAIT_MAX_MS = 400.0
# Least pause between two fetches. Each conflict lengthens it, and each success shortens
# it: transactions that queue for a part are all planned on the same version, so that
# only the first of them succeeds.
FETCH_PAUSE_MS = 20.0
FETCH_PAUSE_MAX_MS = 3_000.0
# Longest one of a tenant below its limit, whose requests wait meanwhile.
BELOW_LIMIT_PAUSE_MAX_MS = 150.0
CONFLICT_FACTOR = 1.5
SUCCESS_FACTOR = 0.7
# A row that others write too is read again before a write if it was seen longer ago.
# A read takes 4 ms, and a transaction with a wrong version takes 8 ms.
RECORD_FRESH_MS = 30.0
# Pause between the fetches of all gateways together while a tenant asks for more than
# its limit. Its part of the store executes 150 transactions a second, and those that
# overlap conflict.
EMPTY_PAUSE_MS = 40.0
EMPTY_PAUSE_MIN_MS = 60.0
EMPTY_PAUSE_MAX_MS = 1_000.0
# An empty bucket counts as one for so long after the next fetch was possible.
EMPTY_KEPT_MS = 300.0
# Conflicts after which a change is given up, also while a tenant exceeds its limit.
CONFLICTS_MAX = 8
# Longest random pause after a conflict, doubled with each one.
CONFLICT_PAUSE_MS = 8.0
CONFLICT_PAUSE_MAX_MS = 300.0
OVER_LIMIT_CONFLICTS = 2
PAUSE_JITTER = 0.25
# Delay of a repeated fetch of a tenant below its limit, doubled each time.
REFILL_DELAY_MS = 10.0
REFILL_DELAY_MAX_MS = 160.0
# Pause after a call that failed, doubled each time.
FAILURE_PAUSE_MS = 50.0
FAILURE_PAUSE_MAX_MS = 400.0
# Calls that fail one after the other before the store counts as silent.
SILENT_FAILURES = 2
# Failures and conflicts tell nothing this long after the next call was due.
FAILURE_KEPT_MS = 1_000.0


class TenantBalance:
    """The tokens of one tenant at one gateway.

    Parameters
    ----------
    name : str
        Of the gateway.
    quota : Quota
    version : int
        Of the configuration.
    bounds : QuotaBounds
    random_state : random.Random

    Attributes
    ----------
    record : QuotaRecord or None
        The row as it was last seen.
    row_version : int
        0 if there is no row.
    balance : float
        Unspent tokens.
    waiters : collections.deque of Waiter
    is_empty : bool
        The bucket had too little when it was last asked.
    demand : Demand
    """

    def __init__(self, name, quota, version, bounds, random_state):
        self.record = None
        self.row_version = 0
        self.balance = 0.0
        self.waiters = collections.deque()
        self.is_empty = False
        self.demand = Demand()
        self._name = name
        self._quota = quota
        self._version = version
        self._bounds = bounds
        self._random = random_state
        self._limit = (quota.rate_per_s, quota.burst)
        self._target = 0.0
        self._written_ms = float("-inf")
        self._asked_silent_spent = 0.0
        self._silent = SilentShare(0.0, 0.0, NO_SHARE_MS, 0.0, 0.0)
        self._retry_at_ms = float("-inf")
        self._fetch_began_ms = None
        self._failure_count = 0
        self._shortage_count = 0
        self._fetch_pause_ms = FETCH_PAUSE_MS
        self._seen_ms = float("-inf")
        self._others_per_s = 0.0
        self._written_era = None
        # Since when the configuration is known, None if it was at the start.
        self._limit_ms = None

    @property
    def quota(self):
        """Return the Quota that the configuration states."""
        return self._quota

    @property
    def rate_per_s(self):
        """Return the rate in force (float)."""
        return self._limit[0]

    @property
    def is_fetching(self):
        """Return whether a call to the store is under way."""
        return self._fetch_began_ms is not None

    def apply_quota(self, quota, version, bounds, now_ms):
        """Apply the quota of a newer configuration."""
        self._bounds = bounds
        self._limit_ms = now_ms
        if quota.unit is not self._quota.unit:
            self.balance = self._target = 0.0
        self._quota, self._version = quota, version
        self._apply_limit((quota.rate_per_s, quota.burst))

    def _apply_limit(self, limit):
        # Tranches that were taken under a higher limit are dropped.
        if limit[0] < self._limit[0] or limit[1] < self._limit[1]:
            self.balance = self._target = 0.0
        self._limit = limit

    def try_spend(self, charge, now_ms):
        """Grant a request from the tokens at hand; return whether they suffice."""
        if not self.waiters and self._try_spend(charge, now_ms):
            return self._decide(charge, True, now_ms)
        if self._failure_count and self._silent.try_spend(charge, now_ms):
            return self._decide(charge, True, now_ms)
        return False

    def may_wait(self, charge, now_ms):
        """Return whether a request may wait for tokens to be fetched."""
        if self.is_silent(now_ms):
            return False
        if not self._bounds.is_servable(charge, self._limit[1]):
            return False
        self._forget_empty(now_ms)
        if not self.is_empty or not self.waiters:
            return True
        waiting = sum(waiter.charge for waiter in self.waiters)
        next_turn = self.share_per_s(now_ms) * self._empty_pause_ms(now_ms) / 1_000
        return waiting + charge <= next_turn

    def wait(self, charge, on_decided=lambda: None):
        """Let a request wait; return its Waiter."""
        waiter = Waiter(charge, self, on_decided)
        self.waiters.append(waiter)
        return waiter

    def record_refused(self, charge, now_ms):
        """Record a request that is refused at once.

        One that may never run is no demand: it would make the tenant seem to exceed its
        limit, at all gateways, until the average has forgotten it.
        """
        if self._bounds.is_servable(charge, self._limit[1]):
            self._decide(charge, False, now_ms)

    def give_up(self, waiter, now_ms):
        """End the wait of a request; return whether it is granted all the same."""
        if waiter.is_granted is not None:
            return waiter.is_granted
        self.waiters.remove(waiter)
        is_granted = self._silent.try_spend(waiter.charge, now_ms)
        waiter.is_granted = is_granted
        return self._decide(waiter.charge, is_granted, now_ms)

    def give_back(self, charge):
        """Return the tokens of a request that did not run."""
        self.balance += charge

    def _decide(self, charge, is_granted, now_ms):
        self.demand.record(charge, is_granted, now_ms)
        return is_granted

    def _try_spend(self, charge, now_ms):
        self._expire(now_ms)
        if charge > self.balance:
            return False
        self.balance -= charge
        return True

    def _expire(self, now_ms):
        if now_ms >= self._written_ms + TRANCHE_VALID_MS:
            self.balance = 0.0

    def is_silent(self, now_ms):
        """Return whether the store does not answer this gateway."""
        if self._failure_count < SILENT_FAILURES:
            return False
        return self.is_fetching or now_ms < self._retry_at_ms + FAILURE_KEPT_MS

    def share_per_s(self, now_ms):
        """Return the part of the rate that is due to this gateway's callers (float)."""
        return self.rate_per_s * self._demand_part(now_ms)

    def _demand_part(self, now_ms):
        """Return the part of the tenant's demand that is at this gateway (float)."""
        own_per_s = max(self.demand.recent.per_s(now_ms), self.demand.typical, 1.0)
        return own_per_s / (own_per_s + self._others_per_s)

    def _is_over_limit(self, now_ms):
        """Return whether callers ask for more than the limit, at all gateways."""
        demand_per_s = self.demand.recent.per_s(now_ms) + self._others_per_s
        return demand_per_s > self.rate_per_s

    def _empty_pause_ms(self, now_ms):
        """Return the pause of this gateway; the more demand it has, the shorter."""
        pause_ms = EMPTY_PAUSE_MS / self._demand_part(now_ms)
        return min(max(pause_ms, EMPTY_PAUSE_MIN_MS), EMPTY_PAUSE_MAX_MS)

    def fetch_due_ms(self, now_ms):
        """Return when the store has to be called (float), infinite if it need not be.

        Parameters
        ----------
        now_ms : float
        """
        if self.is_fetching:
            return float("inf")
        self._expire(now_ms)
        if self.waiters or self._is_low(now_ms):
            return self._retry_at_ms
        if self._failure_count and now_ms - self.demand.last_ms < IDLE_AFTER_MS:
            return self._retry_at_ms
        if not self.balance:
            return float("inf")
        if self.balance > SURPLUS_FACTOR * self._target + self.demand.typical:
            return self._retry_at_ms
        return max(self._written_ms + RENEW_AFTER_MS, self._retry_at_ms)

    def _is_low(self, now_ms):
        if self.balance >= PREFETCH_SHARE * self._target:
            return False
        return self.demand.recent.per_s(now_ms) >= self.demand.typical

    def begin_fetch(self, now_ms):
        """Record that a call to the store begins."""
        self._forget_empty(now_ms)
        if now_ms > self._retry_at_ms + FAILURE_KEPT_MS:
            self._failure_count = 0
            self._fetch_pause_ms = FETCH_PAUSE_MS
        self._fetch_began_ms = now_ms

    def _forget_empty(self, now_ms):
        # It may have been refilled long ago, while no requests came.
        if not self.is_fetching and now_ms > self._retry_at_ms + EMPTY_KEPT_MS:
            self.is_empty = False

    def needs_read(self, now_ms):
        """Return whether others may have changed the row since it was seen."""
        if self.record is None:
            return True
        if not self.record.participants.keys() - {self._name}:
            return False
        return now_ms - self._seen_ms > RECORD_FRESH_MS

    def observe(self, record, row_version, now_ms):
        """Record the row of the store; `record` is None if it is missing."""
        self.record, self.row_version = record, row_version
        self._seen_ms = now_ms
        if record is not None and record.configuration_version >= self._version:
            self._apply_limit((record.rate_per_s, record.burst))

    def plan(self, era, now_ms, store_ms, era_since_ms):
        """Plan a change of the row.

        Parameters
        ----------
        era : int
            Of the store.
        now_ms, store_ms : float
            The time, on both clocks.
        era_since_ms : float
            When this era was first seen, on the store's clock.

        Returns
        -------
        Tranche or EmptyBucket
        """
        self._expire(now_ms)
        record = self.record
        if record is None:
            # It is malformed, or missing in the era in which it was written.
            is_unknown = self.row_version or self._written_era == era
            empty_ms = store_ms if is_unknown else era_since_ms
            record = build_record(self._quota, self._version, era, store_ms, empty_ms)
        record = settle(
            record,
            self._quota,
            self._version,
            era,
            store_ms,
            self._bounds,
            era_since_ms,
            store_ms - now_ms + (now_ms if self._limit_ms is None else self._limit_ms),
        )
        self._others_per_s = find_others_demand(record, self._name, store_ms)
        ask = Ask(
            charges=tuple(waiter.charge for waiter in self.waiters),
            balance=self.balance,
            demand_per_s=self._wanted_per_s(now_ms),
            steady_per_s=self.demand.steady.per_s(now_ms),
            typical=self.demand.typical,
            silent_spent=self._find_silent_debt(record, era, now_ms),
        )
        must_write = self.record is None or (
            (record.era, record.configuration_version)
            != (self.record.era, self.record.configuration_version)
        )
        return plan_tranche(record, self._name, ask, store_ms, self._bounds, must_write)

    def _find_silent_debt(self, record, era, now_ms):
        """Return what was used of a silent store's share and is not set aside (float).

        All of the share has been set aside if the entry has expired since. If it is
        missing as the store has returned from a copy, the bucket has been refilled
        since the share was used.
        """
        spent = self._silent.spent
        if self._name in record.participants:
            return spent
        if era == self._written_era:
            return 0.0
        passed_ms = now_ms - self._silent.spent_ms
        return max(spent - record.rate_per_s * passed_ms / 1_000, 0.0)

    def _wanted_per_s(self, now_ms):
        """Return the demand, 0.0 if it is too low to hold tokens for it."""
        if now_ms - self.demand.last_ms > IDLE_AFTER_MS:
            return 0.0
        recent_per_s = self.demand.recent.per_s(now_ms)
        return recent_per_s if recent_per_s >= self.demand.typical / 2 else 0.0

    def begin_write(self, tranche):
        """Record that a change of the row is about to be written.

        Returned tokens are no longer spent, as the answer may be lost.
        """
        self.balance += min(tranche.taken, 0.0)
        self._asked_silent_spent = self._silent.spent

    def cancel_write(self, tranche):
        """Record that the change was not written, as another gateway was faster."""
        self.balance -= min(tranche.taken, 0.0)
        pause_ms = self._fetch_pause_ms * CONFLICT_FACTOR
        self._fetch_pause_ms = min(pause_ms, FETCH_PAUSE_MAX_MS)

    def may_repeat(self, conflict_count):
        """Return whether a change is decided again after conflicts.

        While the limit is exceeded, gateways that repeat it at once would only conflict
        with each other.
        """
        most = OVER_LIMIT_CONFLICTS if self.is_empty else CONFLICTS_MAX
        return conflict_count < most

    def conflict_pause_ms(self, conflict_count):
        """Return the random pause after a conflict (float)."""
        longest_ms = CONFLICT_PAUSE_MS * 2 ** (conflict_count - 1)
        return self._random.random() * min(longest_ms, CONFLICT_PAUSE_MAX_MS)

    def apply_tranche(self, tranche, planned_ms, now_ms, row_version, era):
        """Apply a change of the row that was written.

        Parameters
        ----------
        tranche : Tranche
        planned_ms, now_ms : float
            When it was planned, and now.
        row_version, era : int
            Of the store's answer.
        """
        self._end_fetch()
        record = tranche.record
        pause_ms = self._fetch_pause_ms * SUCCESS_FACTOR
        self._fetch_pause_ms = max(pause_ms, FETCH_PAUSE_MS)
        self.observe(record, row_version, now_ms)
        if record.era != era:
            # The store may have lost what the plan was based on.
            self._retry_at_ms = now_ms
            return
        self.balance += max(tranche.taken, 0.0)
        self._target = tranche.target
        self._written_ms = planned_ms
        self._written_era = era
        self._silent = self._build_silent_share(record, planned_ms)
        self._serve_waiters(now_ms)
        if tranche.is_partial:
            refilled_ms = tranche.refilled_ms or 0.0
            self._apply_shortage(refilled_ms + now_ms - record.level_ms, now_ms)
            return
        self._shortage_count = 0
        self.is_empty = self._is_over_limit(now_ms)
        pause_ms = min(self._fetch_pause_ms, BELOW_LIMIT_PAUSE_MAX_MS)
        if self.is_empty:
            pause_ms = max(self._fetch_pause_ms, self._empty_pause_ms(now_ms))
        self._retry_at_ms = now_ms + self._jitter(pause_ms)

    def _build_silent_share(self, record, written_ms):
        own = record.participants.get(self._name)
        if own is None:
            return SilentShare(0.0, 0.0, NO_SHARE_MS, 0.0, 0.0)
        limit = (record.rate_per_s, record.burst)
        return SilentShare(
            own.silent_per_s,
            own.silent_per_s * self._bounds.carry_s(*limit),
            written_ms,
            self._bounds.silent_kept_ms,
            self._bounds.held_max(*limit) / len(record.participants),
            spent=self._silent.spent - self._asked_silent_spent,
        )

    def _serve_waiters(self, now_ms):
        """Grant what the balance covers, in order."""
        while self.waiters and self._covers(self.waiters[0].charge):
            waiter = self.waiters.popleft()
            self.balance = max(self.balance - waiter.charge, 0.0)
            self._decide(waiter.charge, True, now_ms)
            waiter.decide(True)

    def _covers(self, charge):
        # Sums of charges differ from the tranche by rounding.
        return charge <= self.balance + 1e-6

    def apply_empty(self, empty, now_ms, store_ms):
        """Apply that the bucket does not have what is needed."""
        self._end_fetch()
        refilled_ms = now_ms + empty.refilled_ms - store_ms
        self._apply_shortage(refilled_ms, now_ms)

    def _apply_shortage(self, refilled_ms, now_ms):
        """Wait for the bucket to refill, or refuse if that takes too long.

        Requests of a tenant below its limit wait; if the limit is exceeded, they would
        wait for nothing.
        """
        self._shortage_count += 1
        is_soon = refilled_ms - now_ms <= WAIT_MAX_MS / 2
        if is_soon and not self._is_over_limit(now_ms):
            delay_ms = REFILL_DELAY_MS * 2 ** (self._shortage_count - 1)
            delay_ms = min(delay_ms, REFILL_DELAY_MAX_MS) * (1 + self._random.random())
            self._retry_at_ms = max(refilled_ms, now_ms) + delay_ms
            return
        self.is_empty = True
        pause_ms = max(self._empty_pause_ms(now_ms), self._fetch_pause_ms)
        # A smaller request may come before the bucket has enough for this one.
        self._retry_at_ms = now_ms + self._jitter(pause_ms)
        for waiter in self.waiters:
            self._decide(waiter.charge, False, now_ms)
        self.refuse_waiters()

    def _jitter(self, pause_ms):
        return pause_ms * (1 + PAUSE_JITTER * (2 * self._random.random() - 1))

    def refuse_waiters(self):
        """Refuse the requests that wait."""
        while self.waiters:
            self.waiters.popleft().decide(False)

    def apply_failure(self, now_ms):
        """Apply that a call to the store failed."""
        self._fetch_began_ms = None
        self._failure_count += 1
        self._silent.drop_carry()
        pause_ms = FAILURE_PAUSE_MS * 2 ** min(self._failure_count - 1, 10)
        self._retry_at_ms = now_ms + self._jitter(min(pause_ms, FAILURE_PAUSE_MAX_MS))
        if not self.is_silent(now_ms):
            return
        while self.waiters:
            waiter = self.waiters.popleft()
            is_granted = self._silent.try_spend(waiter.charge, now_ms)
            waiter.decide(self._decide(waiter.charge, is_granted, now_ms))

    def _end_fetch(self):
        self._fetch_began_ms = None
        self._failure_count = 0

    def apply_conflicts(self, now_ms):
        """Apply that other gateways were faster again and again."""
        self._end_fetch()
        pause_ms = max(self._empty_pause_ms(now_ms), self._fetch_pause_ms)
        self._retry_at_ms = now_ms + self._jitter(pause_ms)


def is_tranche(planned):
    """Return whether a plan changes the row."""
    return not isinstance(planned, EmptyBucket)
