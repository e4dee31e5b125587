"""Tests of the measurements of ledger, leases and configuration, and of the sweep."""

import attrs
import pytest

from nutmegdeal.bench import generations, leases, ledger
from nutmegdeal.clock import ManualClock
from nutmegdeal.configuration import Fencing
from nutmegdeal.fakes.memory import MemoryTable
from nutmegdeal.ledger import TableLedger
from nutmegdeal.ledger_sweep import LATE_WRITE_MS, SWEEP_ROWS_MAX, sweep_expired
from nutmegdeal.tests.builders import build_booking

SKEW_MS = 500


def test_group_commit_saves_transactions_under_load():
    load = ledger.LedgerLoad(requests_per_s=250.0, until_s=2.0)
    costs = {cost.way: cost for cost in ledger.run(load)}
    assert costs["one_synchronous"].transactions_per_request == 2.0
    assert costs["grouped"].transactions_per_request < 1.5
    assert costs["grouped"].added_p99_ms < costs["one_synchronous"].added_p99_ms
    assert (
        costs["grouped"].unrecorded_p99_ms < costs["batched_outcomes"].unrecorded_p99_ms
    )


def test_only_engines_that_ignore_fences_cost_renewals():
    checked = leases.run(60_000, 100, Fencing.CHECKED, duration_s=600.0)
    ignored = leases.run(60_000, 100, Fencing.IGNORED, duration_s=600.0)
    assert checked.renewals_per_s == 0
    assert ignored.renewals_per_s == pytest.approx(100 / 30, rel=0.1)


def test_checked_lease_leaves_only_the_pause_before_the_order():
    harm = leases.run_pauses(300, seed=1, check_to_order_ms=0.0)
    assert harm.flag_harm_count > 0
    assert harm.lease_harm_count == 0


def test_a_change_costs_two_objects():
    cost = generations.run(200)
    assert cost.change_objects == 2.0


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table():
    return MemoryTable()


def write_rows(table, clock, count):
    book = TableLedger(table, clock)
    for number in range(count):
        book.begin(build_booking(idempotency_key=f"k{number:04}"), "agent")


def test_rows_are_deleted_only_long_after_their_expiry(table, clock):
    write_rows(table, clock, 3)
    expiry_ms = build_booking().expiry_unix_ms - clock.unix_ms()
    clock.advance(expiry_ms + SKEW_MS + LATE_WRITE_MS - 1)
    assert sweep_expired(table, clock, SKEW_MS).deleted_count == 0
    clock.advance(1)
    assert sweep_expired(table, clock, SKEW_MS).deleted_count == 3
    assert not table.rows


def test_sweep_goes_on_where_it_stopped_and_skips_what_it_cannot_read(table, clock):
    write_rows(table, clock, SWEEP_ROWS_MAX + 5)
    broken = min(table.rows)
    table.rows[broken] = attrs.evolve(table.rows[broken], value=b"?")
    clock.advance(10 * LATE_WRITE_MS)
    swept = sweep_expired(table, clock, SKEW_MS)
    assert swept.deleted_count == SWEEP_ROWS_MAX - 1
    rest = sweep_expired(table, clock, SKEW_MS, swept.after)
    assert (rest.after, rest.deleted_count) == ("", 5)
    assert list(table.rows) == [broken]
