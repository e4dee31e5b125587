"""Tests of the gateway's quotas against a store in this process."""

import base64

import gevent
import pytest

from nutmegdeal.addresses import Address
from nutmegdeal.clock import SystemClock
from nutmegdeal.connection_pool import ConnectionPool
from nutmegdeal.fakes.platform_store import PlatformStore
from nutmegdeal.gateway.requests import Request
from nutmegdeal.incoming_requests import CallerLeftError
from nutmegdeal.platform.headers import RequestTerms
from nutmegdeal.platform.store import StoreClient
from nutmegdeal.quotas.balance import Waiter
from nutmegdeal.quotas.rows import (
    BUCKET_KEY,
    QUOTAS_TABLE,
    decode_record,
    locate_cell,
)
from nutmegdeal.site_configuration import QuotaUnit, Tenant
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests import quota_builders as quotas
from nutmegdeal.tests.local_store import LocalStore


class CountingStore(LocalStore):
    """LocalStore that counts calls, whatever they do, and can hold them back."""

    def __init__(self):
        super().__init__()
        self.call_count = 0
        self.delay_ms = 5.0

    def read_first_row(self, *args, **kwargs):
        """Read after a delay."""
        self.call_count += 1
        gevent.sleep(self.delay_ms / 1000)
        return super().read_first_row(*args, **kwargs)

    def write_rows(self, *args, **kwargs):
        """Write after a delay."""
        self.call_count += 1
        gevent.sleep(self.delay_ms / 1000)
        return super().write_rows(*args, **kwargs)


class Site:
    """Gateways that share the quota of one tenant."""

    def __init__(self, quota, gateway_count=1):
        self.store = CountingStore()
        self.clock = SystemClock()
        self.tenant = Tenant("t-1", quota=quota)
        configuration = quotas.build_limited_configuration(quota)
        self.keepers, self.boards, self._greenlets = [], [], []
        for number in range(gateway_count):
            keeper, board = quotas.build_keeper(
                self.store, self.clock, f"front-{number}", configuration
            )
            now_ms = self.clock.monotonic_ms()
            board.record_store_answer(now_ms, 1)
            # The store has not returned from a copy lately.
            board.store_era_since_ms = now_ms - 60_000.0
            self.keepers.append(keeper)
            self.boards.append(board)
            self._greenlets.append(gevent.spawn(keeper.run))

    def admit(self, tokens=1_100, index=0, tenant=None):
        """Return the Refusal of a request, or None."""
        return self.keepers[index].admit(
            tenant or self.tenant,
            quotas.build_terms(tokens),
            self.clock.monotonic_ms(),
        )

    def records(self):
        """Return the QuotaRecords in the store (list)."""
        history = self.store.history
        return [
            decode_record(base64.b64decode(row["value"]))
            for part in history.find_parts(QUOTAS_TABLE)
            for row in history.find_rows(QUOTAS_TABLE, BUCKET_KEY, part)
        ]

    def configure(self, quota, version):
        """Put another configuration in force."""
        configuration = quotas.build_limited_configuration(quota, version)
        for board in self.boards:
            board.configuration = configuration
        self.tenant = configuration.tenants.find_by_name("t-1")

    def close(self):
        """Stop the controllers."""
        gevent.killall(self._greenlets)


@pytest.fixture
def start():
    """Return a function that starts a Site."""
    sites = []

    def start_site(quota=None, gateway_count=1):
        sites.append(Site(quota or quotas.build_quota(), gateway_count))
        return sites[-1]

    yield start_site
    for site in sites:
        site.close()


def test_first_request_waits_for_its_tokens_and_is_granted(start):
    """A gateway without a tranche must not refuse a tenant below its limit."""
    site = start()
    assert site.admit() is None
    (record,) = site.records()
    assert record.level <= record.burst - 1_100


def test_requests_that_arrive_together_are_granted_by_one_fetch(start):
    """Twenty first requests at once must neither be refused nor call one by one."""
    site = start()
    waiting = [gevent.spawn(site.admit) for _ in range(20)]
    gevent.joinall(waiting, raise_error=True)
    assert [greenlet.value for greenlet in waiting] == [None] * 20
    assert site.store.call_count <= 6


def test_request_beyond_the_limit_gets_429_with_retry_after(start):
    site = start(quotas.build_quota(rate_per_s=500.0, burst=2_000.0))
    answers = [site.admit(1_000) for _ in range(5)]
    refused = [answer for answer in answers if answer is not None]
    assert answers[0] is None
    assert refused
    assert refused[0].status_code == 429
    assert refused[0].reason == "quota_exceeded"
    assert all(300.0 <= item.retry_after_ms <= 10_000.0 for item in refused)


def test_callers_beyond_the_limit_return_one_after_the_other(start):
    """Callers that return at the same time would all be refused again."""
    site = start(quotas.build_quota(rate_per_s=2_000.0, burst=1_000.0))
    calls = [gevent.spawn(site.admit, 1_000) for _ in range(8)]
    gevent.joinall(calls, raise_error=True)
    answers = [call.value for call in calls]
    times_ms = [answer.retry_after_ms for answer in answers if answer is not None]
    assert len(times_ms) >= 4
    assert max(times_ms) - min(times_ms) >= 1_000.0


def test_store_is_not_called_for_tenants_without_quota_or_traffic(start):
    """Deployments without quotas must keep their store calls."""
    site = start()
    assert site.admit(tenant=Tenant("t-2")) is None
    gevent.sleep(0.1)
    assert site.store.call_count == 0


def test_unspent_tokens_are_returned_when_they_are_not_needed(start):
    """A tranche that lies unused would be lost to other gateways."""
    site = start()
    for _ in range(30):
        assert site.admit() is None
        gevent.sleep(0.01)
    site.keepers[0].give_back(build_charged_request(site.tenant, 40_000.0))
    gevent.sleep(2.6)
    assert all(record.level > record.burst - 1.0 for record in site.records())
    assert not any(record.participants for record in site.records())


def build_charged_request(tenant, charge, configuration_version=0):
    """Return a Request that was charged to a tenant."""
    return Request(
        incoming=build.build_incoming(),
        request_id="q-1",
        route=build.build_route(),
        service=None,
        deadline_ms=0.0,
        configuration_version=configuration_version,
        tenant=tenant,
        quota_charge=charge,
    )


def test_tokens_of_a_request_are_given_back_once(start):
    site = start(quotas.build_quota(rate_per_s=50.0, burst=1_000.0))
    assert site.admit(1_000) is None
    assert site.admit(1_000) is not None
    request = build_charged_request(site.tenant, 1_000.0)
    site.keepers[0].give_back(request)
    site.keepers[0].give_back(request)
    assert site.admit(1_000) is None
    assert site.admit(1_000) is not None


def test_requests_are_refused_while_a_store_never_seen_is_silent(start):
    """Without a row the gateway does not know what others have used."""
    site = start()
    site.store.is_silent = True
    answer = site.admit()
    assert (answer.status_code, answer.reason) == (503, "quota_unconfirmed")
    site.store.is_silent = False
    gevent.sleep(0.6)
    assert site.admit() is None


def test_part_of_the_limit_is_left_while_the_store_is_silent(start):
    """A silent store must not stop a tenant whose keys are confirmed."""
    site = start()
    for _ in range(60):
        assert site.admit(400) is None
        gevent.sleep(0.02)
    site.store.is_silent = True
    answers = []
    for _ in range(150):
        answers.append(site.admit(400))
        gevent.sleep(0.02)
    assert 60 <= answers.count(None) < 150


def test_malformed_row_counts_as_an_empty_bucket_and_is_rewritten(start):
    site = start(quotas.build_quota(rate_per_s=10_000.0, burst=30_000.0))
    part = locate_cell("t-1", 0)
    site.store.history.put(QUOTAS_TABLE, BUCKET_KEY, b"{}", part)
    assert site.admit(20_000) is not None
    assert site.admit(500) is None
    (record,) = site.records()
    assert record.rate_per_s == 10_000.0


def test_lowered_limit_is_applied_by_the_first_gateway_that_knows_it(start):
    site = start(quotas.build_quota(rate_per_s=20_000.0), gateway_count=2)
    assert site.admit(index=0) is None
    assert site.admit(index=1) is None
    site.configure(quotas.build_quota(rate_per_s=1_000.0, burst=1_000.0), version=2)
    site.admit(index=0)
    (record,) = site.records()
    assert (record.rate_per_s, record.configuration_version) == (1_000.0, 2)
    assert record.level <= 1_000.0


def test_requests_are_counted_where_the_unit_is_not_tokens(start):
    site = start(quotas.build_quota(rate_per_s=0.1, burst=3.0, unit=QuotaUnit.REQUESTS))
    answers = [site.admit(9_999) for _ in range(4)]
    assert answers[:3] == [None] * 3
    assert answers[3] is not None


def test_request_without_usage_counts_as_a_plain_one(start):
    site = start()
    terms = RequestTerms("q-1", "chat.example", None)
    assert site.keepers[0].count(site.tenant, terms) == 200.0
    assert site.keepers[0].count(None, terms) == 0.0


def test_rows_are_kept_over_http():
    """The store's calls must name the part, in reads and transactions."""
    store = PlatformStore(("127.0.0.1", 0))
    clock = SystemClock()
    client = StoreClient(Address("127.0.0.1", store.port), ConnectionPool(clock))
    configuration = quotas.build_limited_configuration(quotas.build_quota())
    tenant = configuration.tenants.find_by_name("t-1")
    keepers, greenlets = [], []
    for name in ("front-1", "front-2"):
        keeper, board = quotas.build_keeper(client, clock, name, configuration)
        board.record_store_answer(clock.monotonic_ms(), 1)
        board.store_era_since_ms -= 60_000.0
        keepers.append(keeper)
        greenlets.append(gevent.spawn(keeper.run))
    try:
        for keeper in keepers * 3:
            now_ms = clock.monotonic_ms()
            assert keeper.admit(tenant, quotas.build_terms(), now_ms) is None
    finally:
        gevent.killall(greenlets)
    parts = store.find_parts(QUOTAS_TABLE)
    assert set(parts) <= {locate_cell("t-1", cell) for cell in range(4)}
    rows = [
        decode_record(base64.b64decode(row["value"]))
        for part in parts
        for row in store.find_rows(QUOTAS_TABLE, BUCKET_KEY, part)
    ]
    assert sum(record.burst - record.level for record in rows) > 0
    assert {name for record in rows for name in record.participants} == {
        "front-1",
        "front-2",
    }


@pytest.mark.parametrize("tokens", [10**9, 10**400])
def test_absurd_usage_of_one_request_does_not_disturb_its_tenant(start, tokens):
    """It raised OverflowError, or counted as demand that hides all other demand."""
    site = start()
    assert site.admit() is None
    assert site.admit(tokens).status_code == 429
    assert site.admit(tokens).status_code == 429
    gevent.sleep(0.1)
    assert [site.admit() for _ in range(20)] == [None] * 20
    share = site.keepers[0]._shares["t-1"]
    assert share.cells.demand_per_s(site.clock.monotonic_ms()) < 100_000


def test_tokens_of_a_caller_that_leaves_while_it_waits_are_not_lost(start):
    """It left just after the grant of its request, and nobody returned the tokens."""
    site = start()
    site.admit()
    cells = site.keepers[0]._shares["t-1"].cells
    cells.home.balance = 0.0
    cells.admit = lambda charge, *_: Waiter(charge, cells.home, is_granted=True)

    def leave_while_waiting():
        with pytest.raises(CallerLeftError):
            site.admit()

    waiting = gevent.spawn(leave_while_waiting)
    gevent.sleep(0)
    waiting.kill(CallerLeftError)
    waiting.get()
    assert cells.home.balance == 1_100


def test_refusal_names_the_tenant(start):
    """The line on a refused request did not tell whose quota was used up."""
    site = start(quotas.build_quota(rate_per_s=500.0, burst=2_000.0))
    refused = [item for item in (site.admit(1_000) for _ in range(5)) if item]
    assert {refusal.tenant.name for refusal in refused} == {"t-1"}


@pytest.mark.parametrize(("rate_per_s", "is_dropped"), [(50.0, True), (900.0, False)])
def test_tokens_charged_under_a_higher_limit_are_not_given_back(
    start, rate_per_s, is_dropped
):
    """Hundreds of requests that waited exceeded a limit that was lowered meanwhile."""
    site = start(quotas.build_quota(rate_per_s=500.0, burst=2_000.0))
    site.admit(100)
    earlier = build_charged_request(site.tenant, 1_900.0, 1)
    site.configure(quotas.build_quota(rate_per_s=rate_per_s, burst=2_000.0), 2)
    site.admit(100)
    balance = site.keepers[0]._shares["t-1"].cells.home
    before = balance.balance
    site.keepers[0].give_back(earlier)
    assert balance.balance == before + (0.0 if is_dropped else 1_900.0)
    site.keepers[0].give_back(build_charged_request(site.tenant, 10.0, 2))
    assert balance.balance == before + (10.0 if is_dropped else 1_910.0)


def test_fetch_of_a_cell_that_is_gone_ends_without_an_error(start):
    """A limit with fewer cells was applied between the start of a fetch and its run."""
    site = start(quotas.build_quota(rate_per_s=20_000.0, burst=80_000.0))
    assert site.admit() is None
    keeper = site.keepers[0]
    share = keeper._shares["t-1"]
    (last,) = share.cells.balances[3:]
    # As if no other fetch were due.
    share.cells.find_due = lambda now_ms: [] if last.is_fetching else [3]
    keeper._start_fetches(site.clock.monotonic_ms())
    now_ms = site.clock.monotonic_ms()
    share.cells.apply_quota(quotas.build_quota(20_000.0, 20_000.0), 2, now_ms)
    assert last.is_fetching
    gevent.sleep(0.2)
    assert not last.is_fetching


@pytest.mark.parametrize("tokens", [24_000, 39_000])
def test_request_within_the_burst_is_granted_whatever_the_number_of_cells(
    start, tokens
):
    """One that exceeds the part of a cell was refused with 429 each time."""
    site = start(quotas.build_quota(rate_per_s=20_000.0, burst=40_000.0))
    gevent.sleep(0.1)
    assert site.admit(tokens) is None


def test_rate_of_a_quota_without_burst_is_used(start):
    """At a third of the rate, most requests of such a tenant were refused."""
    site = start(quotas.build_quota(burst=0.0))
    waiting = []
    for _ in range(80):
        waiting.append(gevent.spawn(site.admit))
        gevent.sleep(0.025)
    gevent.joinall(waiting, raise_error=True)
    refused = [item.value for item in waiting if item.value is not None]
    assert len(refused) <= 8
