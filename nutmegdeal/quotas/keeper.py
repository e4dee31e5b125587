"""Keeps the quotas of tenants, together with the other gateways.

The store is called only while the configuration in force has tenants with a quota, and
only for those of them that have traffic at this gateway.
"""

import random

import gevent
import gevent.event

from nutmegdeal.gateway.limited_servers import RETURN_AHEAD_MAX_MS, ReturnSchedule
from nutmegdeal.gateway.requests import Refusal
from nutmegdeal.log import get_logger
from nutmegdeal.quotas.balance import WAIT_MAX_MS
from nutmegdeal.quotas.bucket import QuotaBounds
from nutmegdeal.quotas.cells import QuotaCells
from nutmegdeal.quotas.demand import DecayingRate, count_charge
from nutmegdeal.quotas.fetching import CellFetcher
from nutmegdeal.quotas.free_share import FreeShare, bucket_bounds, bucket_quota
from nutmegdeal.quotas.waiting import Waiter

logger = get_logger(__name__)

STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503
# The tenant has used its quota.
QUOTA_EXCEEDED = "quota_exceeded"
# The store is silent, and what it leaves for this time is used.
QUOTA_UNCONFIRMED = "quota_unconfirmed"
RETRY_AFTER_MIN_MS = 300.0
# Least pause between two log lines on one tenant.
LOG_EVERY_MS = 1_000.0
# Longest pause between two rounds without an event.
ROUND_PAUSE_MAX_MS = 500.0
# Decay time of the demand that gateways publish: that of callers with a request every
# few seconds must not come and go.
PUBLISHED_DECAY_MS = 8_000.0


class _Share:
    """What this gateway keeps of one tenant."""

    def __init__(self, tenant, cells, free):
        self.tenant = tenant
        self.cells = cells
        # None if gateways do not publish their demand.
        self.free = free
        self.demand = DecayingRate(PUBLISHED_DECAY_MS)
        self.schedule = ReturnSchedule()
        self.logged_ms = float("-inf")
        # Configuration in which the limit was last lowered.
        self._lowered_version = 0

    def apply(self, tenant, version, bucket_quota, now_ms):
        """Apply the tenant of a newer configuration.

        Parameters
        ----------
        tenant : Tenant
        version : int
            Of the configuration.
        bucket_quota : Quota
            That the buckets enforce.
        now_ms : float
        """
        before, quota = self.tenant.quota, tenant.quota
        is_same_unit = quota.unit is before.unit
        is_lower = quota.rate_per_s < before.rate_per_s or quota.burst < before.burst
        if is_lower or not is_same_unit:
            self._lowered_version = version
        self.cells.apply_quota(bucket_quota, version, now_ms)
        if self.free is not None:
            self.free.apply_quota(quota)
        self.tenant = tenant

    def may_return(self, request):
        """Return whether the tokens of a request still count.

        Those taken under a higher limit are dropped, as unspent ones are.
        """
        return request.configuration_version >= self._lowered_version

    def rate_per_s(self, now_ms):
        """Return what this gateway may use a second (float)."""
        free_per_s = self.free.rate_per_s if self.free is not None else 0.0
        return free_per_s + self.cells.share_per_s(now_ms)


class QuotaKeeper:
    """Decides whether the requests of tenants are within their quotas.

    Parameters
    ----------
    store : StoreClient
    board : Blackboard
    telemetry : QuotaTelemetry
    random_state : random.Random, optional
    demands : DemandKeeper, optional
        Without it, all tokens are taken from the buckets.
    """

    def __init__(self, store, board, telemetry, random_state=None, demands=None):
        self._board = board
        self._clock = board.clock
        self._telemetry = telemetry
        self._random = random_state or random.Random()
        self._bounds = QuotaBounds.from_settings(board.settings.bounds)
        self._shares = {}
        self._wake = gevent.event.Event()
        self._fetcher = CellFetcher(store, board, telemetry)
        self._demands = demands
        # What gateways have published, and when it was read, on the boot-time clock.
        self._read = {}, float("-inf")
        if demands is not None:
            demands.measure = self._measure_demands
            demands.on_read = self._apply_demands
        # The configuration that `run` has applied.
        self._configuration = None
        self._has_quotas = False
        # When `run` goes on if nothing wakes it.
        self._next_round_ms = float("inf")

    def admit(self, tenant, request_terms, now_ms):
        """Charge a request to its tenant; may wait for tokens that are being fetched.

        Parameters
        ----------
        tenant : Tenant
        request_terms : RequestTerms
        now_ms : float
            On the monotonic clock.

        Returns
        -------
        Refusal or None
            None if the request is within the quota; its `count` is then spent.
        """
        if tenant.quota is None:
            return None
        share = self._find_share(tenant)
        charge = self.count(tenant, request_terms)
        share.demand.add(charge, now_ms)
        is_free = share.free is not None and share.free.try_spend(
            charge, self._clock.boot_ms()
        )
        if not is_free and not self._spend(share, charge, now_ms):
            return self._refuse(share, charge)
        self._telemetry.record_granted(tenant, charge)
        return None

    def count(self, tenant, request_terms):
        """Return what a request counts (float), 0.0 without a quota."""
        if tenant is None or tenant.quota is None:
            return 0.0
        return count_charge(tenant.quota, request_terms.usage_tokens)

    def give_back(self, request):
        """Return the tokens of a request that no server has run."""
        charge, request.quota_charge = request.quota_charge, 0.0
        if not charge:
            return
        share = self._shares.get(request.tenant.name)
        if share is None or not share.may_return(request):
            return
        if share.free is not None:
            share.free.give_back(charge, self._clock.boot_ms())
        else:
            share.cells.give_back(charge)
        self._telemetry.record_returned(request.tenant, charge)
        self._wake_if_due(share, self._clock.monotonic_ms())

    def _reduce(self, quota):
        """Return the Quota of the buckets."""
        return quota if self._demands is None else bucket_quota(quota)

    def _measure_demands(self):
        """Return what callers ask for a second, by tenant (dict)."""
        now_ms = self._clock.monotonic_ms()
        shares = self._shares.items()
        return {name: share.demand.per_s(now_ms) for name, share in shares}

    def _apply_demands(self, demands_by_gateway):
        self._read = demands_by_gateway, self._clock.boot_ms()
        for tenant_name, share in self._shares.items():
            self._apply_demand(tenant_name, share.free)

    def _apply_demand(self, tenant_name, free):
        demands_by_gateway, read_ms = self._read
        demand_by_gateway = {
            gateway: demands.get(tenant_name, 0.0)
            for gateway, demands in demands_by_gateway.items()
        }
        free.apply_demand(demand_by_gateway, self._board.settings.node_name, read_ms)

    def _build_free(self, tenant):
        if self._demands is None:
            return None
        self._demands.wake()
        free = FreeShare(tenant.quota, self._bounds)
        self._apply_demand(tenant.name, free)
        return free

    def _find_share(self, tenant):
        configuration = self._board.configuration
        version = configuration.version
        # The request may have arrived under an earlier configuration.
        if configuration.tenants is not None:
            current = configuration.tenants.find_by_name(tenant.name)
            if current is not None and current.quota is not None:
                tenant = current
        share = self._shares.get(tenant.name)
        if share is None:
            has_free = self._demands is not None
            cells = QuotaCells(
                self._board.settings.node_name,
                self._reduce(tenant.quota),
                version,
                bucket_bounds(self._bounds) if has_free else self._bounds,
                self._random,
            )
            free = self._build_free(tenant)
            share = self._shares[tenant.name] = _Share(tenant, cells, free)
        if share.tenant is not tenant:
            now_ms = self._clock.monotonic_ms()
            share.apply(tenant, version, self._reduce(tenant.quota), now_ms)
        return share

    def _spend(self, share, charge, now_ms):
        """Return whether a request is granted, after a wait if need be."""
        decided = gevent.event.Event()
        admitted = share.cells.admit(charge, now_ms, decided.set)
        self._wake_if_due(share, now_ms)
        if not isinstance(admitted, Waiter):
            return admitted
        try:
            decided.wait(WAIT_MAX_MS / 1000)
        except BaseException:
            # The caller has left: others must not wait behind it, nor lose its tokens.
            if self._give_up(admitted):
                admitted.balance.give_back(charge)
            raise
        return self._give_up(admitted)

    def _give_up(self, waiter):
        """End the wait of a request; return whether it is granted."""
        return waiter.balance.give_up(waiter, self._clock.monotonic_ms())

    def _wake_if_due(self, share, now_ms):
        if share.cells.fetch_due_ms(now_ms) < self._next_round_ms:
            self._wake.set()

    def _refuse(self, share, charge):
        now_ms = self._clock.monotonic_ms()
        self._telemetry.record_refused(share.tenant, charge)
        requests_per_s = share.rate_per_s(now_ms) / max(charge, 1.0)
        return_ms = share.schedule.plan(requests_per_s, now_ms, self._random)
        retry_after_ms = max(return_ms - now_ms, RETRY_AFTER_MIN_MS)
        retry_after_ms = min(retry_after_ms, RETURN_AHEAD_MAX_MS)
        if share.cells.is_silent(now_ms):
            status_code, reason = STATUS_UNAVAILABLE, QUOTA_UNCONFIRMED
        else:
            status_code, reason = STATUS_TOO_MANY, QUOTA_EXCEEDED
            self._log_exceeded(share, now_ms)
        return Refusal(status_code, reason, retry_after_ms, share.tenant)

    def _log_exceeded(self, share, now_ms):
        if now_ms < share.logged_ms + LOG_EVERY_MS:
            return
        share.logged_ms = now_ms
        cells = share.cells
        logger.warning(
            "quota_exceeded",
            tenant=share.tenant.name,
            rate_per_s=share.tenant.quota.rate_per_s,
            demand_per_s=round(share.demand.per_s(now_ms), 1),
            share_per_s=round(share.rate_per_s(now_ms), 1),
            gateways=cells.gateway_count,
            configuration=self._board.configuration.version,
        )

    def run(self):
        """Fetch and return tokens, until killed."""
        while True:
            self._next_round_ms = float("inf")
            self._apply_configuration()
            if not self._has_quotas:
                self._wake.wait()
            self._wake.clear()
            now_ms = self._clock.monotonic_ms()
            self._start_fetches(now_ms)
            pause_ms = self._pause_ms(now_ms)
            self._next_round_ms = now_ms + pause_ms
            self._wake.wait(pause_ms / 1000)

    def _start_fetches(self, now_ms):
        for share in list(self._shares.values()):
            for cell in share.cells.find_due(now_ms):
                balance = share.cells.balances[cell]
                balance.begin_fetch(now_ms)
                # The cells may change before the fetch runs.
                gevent.spawn(self._fetch, share, cell, balance)

    def _apply_configuration(self):
        """Apply new limits, and forget the tenants that are no longer limited."""
        configuration = self._board.configuration
        if configuration is self._configuration:
            return
        self._configuration = configuration
        tenants = configuration.tenants.tenants if configuration.tenants else ()
        limited = {item.name: item for item in tenants if item.quota is not None}
        for name in self._shares.keys() - limited.keys():
            del self._shares[name]
        for name in self._shares:
            self._find_share(limited[name])
        self._has_quotas = bool(limited)

    def _pause_ms(self, now_ms):
        due_ms = [share.cells.fetch_due_ms(now_ms) for share in self._shares.values()]
        next_ms = min(due_ms, default=float("inf"))
        return min(max(next_ms - now_ms, 1.0), ROUND_PAUSE_MAX_MS)

    def _fetch(self, share, cell, balance):
        try:
            self._fetcher.fetch(share.tenant, cell, balance)
        except Exception:
            # Otherwise the tenant's requests would wait for this fetch for ever.
            logger.exception("quota_fetch_crashed", tenant=share.tenant.name)
            balance.apply_failure(self._clock.monotonic_ms())
        self._wake.set()
