"""Tests of leases."""

import pytest

from nutmegdeal.clock import ManualClock
from nutmegdeal.configuration import Fencing
from nutmegdeal.errors import Reason
from nutmegdeal.fakes.memory import MemoryTable
from nutmegdeal.leases import TableLease
from nutmegdeal.settings import AgentSettings

KEY = "lease/assist-llm/host-1"
TERM_MS = 60_000
SKEW_MS = 500
SETTINGS = AgentSettings(lease_term_ms=TERM_MS, clock_skew_ms=SKEW_MS)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
def build_lease(table, clock):
    def build(incarnation, fencing=Fencing.IGNORED):
        return TableLease(table, KEY, incarnation, clock, SETTINGS, fencing)

    return build


def test_first_holder_may_order_until_a_margin_before_its_deadline(build_lease, clock):
    lease = build_lease("a")
    assert not lease.may_order()
    assert lease.acquire() is None
    assert lease.fence == 1
    clock.advance(TERM_MS * 0.9 - 1)
    assert lease.may_order()
    clock.advance(1)
    assert not lease.may_order()


def test_renewal_is_written_only_when_due(build_lease, clock, table):
    lease = build_lease("a")
    lease.acquire()
    lease.renew()
    assert table.write_count == 1
    clock.advance(TERM_MS / 2)
    assert lease.renew() is None
    assert table.write_count == 2
    clock.advance(TERM_MS * 0.9 - 1)
    assert lease.may_order()


def test_successor_waits_where_old_fences_are_ignored(build_lease, clock):
    old, new = build_lease("a"), build_lease("b")
    old.acquire()
    failure = new.acquire()
    assert failure.reason is Reason.LEASE_LOST
    wait_ms = new.retry_at_unix_ms - clock.unix_ms()
    assert wait_ms == TERM_MS + TERM_MS * 0.1 + SKEW_MS
    clock.advance(wait_ms)
    assert not old.may_order()
    assert new.acquire() is None
    assert new.fence == 2
    assert old.renew().reason is Reason.LEASE_LOST
    assert not old.may_order()


def test_successor_takes_over_at_once_where_fences_are_checked(build_lease, table):
    old, new = build_lease("a", Fencing.CHECKED), build_lease("b", Fencing.CHECKED)
    old.acquire()
    assert new.acquire() is None
    assert new.fence == 2
    assert table.write_count == 2


def test_released_lease_is_free_at_once(build_lease):
    old, new = build_lease("a"), build_lease("b")
    old.acquire()
    assert old.release() is None
    assert not old.may_order()
    assert new.acquire() is None
    assert new.fence == 2


def test_lost_answers_are_resolved_by_the_next_call(build_lease, clock, table):
    lease = build_lease("a")
    table.lose_answers = 1
    assert lease.acquire().maybe_applied
    assert not lease.may_order()
    assert lease.acquire() is None
    assert lease.fence == 1
    clock.advance(TERM_MS / 2)
    table.lose_answers = 1
    assert lease.renew().maybe_applied
    assert lease.renew() is None
    clock.advance(TERM_MS * 0.9 - 1)
    assert lease.may_order()


def test_store_outage_ends_the_right_to_order(build_lease, clock, table):
    lease = build_lease("a")
    lease.acquire()
    table.down = True
    clock.advance(TERM_MS / 2)
    assert lease.renew().reason is Reason.STORE_UNAVAILABLE
    assert lease.may_order()
    clock.advance(TERM_MS / 2)
    assert not lease.may_order()
    table.down = False
    assert lease.renew() is None
    assert lease.may_order()
