"""Tests of the ledger, lease and configuration benchmarks, and of the ledger sweep."""

import attrs
import pytest

from nutmegdeal.bench import generations, leases, ledger
from nutmegdeal.bench.quantiles import percentile
from nutmegdeal.clock import ManualClock
from nutmegdeal.configuration import Fencing
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.fakes.memory import MemoryTable
from nutmegdeal.ledger import TableLedger
from nutmegdeal.ledger_sweep import (
    LATE_WRITE_MS,
    SWEEP_ROWS_MAX,
    SweepTotal,
    sweep_all,
    sweep_expired,
)
from nutmegdeal.tests.builders import build_booking

SKEW_MS = 500


def test_group_commit_reduces_transactions_under_load():
    load = ledger.LedgerLoad(requests_per_s=250.0, until_s=2.0)
    costs = {cost.way: cost for cost in ledger.measure_ledger_costs(load)}
    assert costs["one_synchronous"].transactions_per_request == 2.0
    assert costs["grouped"].transactions_per_request < 1.5
    assert costs["grouped"].added_p99_ms < costs["one_synchronous"].added_p99_ms
    assert (
        costs["grouped"].unrecorded_p99_ms < costs["batched_outcomes"].unrecorded_p99_ms
    )


@pytest.mark.parametrize(
    ("values", "percent", "expected"),
    [([4, 1, 3, 2], 50, 2), (range(1, 101), 99, 99), ([7], 99, 7), ([], 50, 0.0)],
)
def test_percentile_is_the_nearest_rank(values, percent, expected):
    assert percentile(values, percent) == expected


def test_leases_are_renewed_only_if_engines_ignore_fencing():
    checked = leases.measure_lease_cost(60_000, 100, Fencing.CHECKED, duration_s=600.0)
    ignored = leases.measure_lease_cost(60_000, 100, Fencing.IGNORED, duration_s=600.0)
    assert checked.renewals_per_s == 0
    assert ignored.renewals_per_s == pytest.approx(100 / 30, rel=0.1)


def test_lease_check_right_before_order_prevents_late_orders():
    harm = leases.measure_pause_harm(300, seed=1, check_to_order_ms=0.0)
    assert harm.flag_harm_count > 0
    assert harm.lease_harm_count == 0


def test_configuration_change_reads_two_objects():
    cost = generations.measure_generation_cost(200)
    assert cost.change_objects == 2.0


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table():
    return MemoryTable()


def write_rows(table, clock, count):
    table_ledger = TableLedger(table, clock)
    for number in range(count):
        table_ledger.begin(build_booking(idempotency_key=f"k{number:04}"), "agent")


def test_sweep_deletes_rows_only_after_expiry_and_late_write_margin(table, clock):
    write_rows(table, clock, 3)
    expiry_ms = build_booking().expiry_unix_ms - clock.unix_ms()
    clock.advance(expiry_ms + SKEW_MS + LATE_WRITE_MS - 1)
    assert sweep_expired(table, clock, SKEW_MS).deleted_count == 0
    clock.advance(1)
    assert sweep_expired(table, clock, SKEW_MS).deleted_count == 3
    assert not table.rows


def test_sweep_that_stops_tells_how_many_rows_it_deleted(table, clock, monkeypatch):
    write_rows(table, clock, SWEEP_ROWS_MAX + 1)
    clock.advance(10 * LATE_WRITE_MS)
    failure = Failure(Reason.STORE_UNAVAILABLE, Step.LEDGER, "table", "no answer")
    scan = table.scan
    monkeypatch.setattr(
        table,
        "scan",
        lambda prefix, after, limit: failure if after else scan(prefix, after, limit),
    )
    assert sweep_all(table, clock, SKEW_MS) == SweepTotal(SWEEP_ROWS_MAX, failure)


def test_sweep_continues_where_it_stopped_and_skips_unreadable_rows(table, clock):
    write_rows(table, clock, SWEEP_ROWS_MAX + 5)
    broken = min(table.rows)
    table.rows[broken] = attrs.evolve(table.rows[broken], value=b"?")
    clock.advance(10 * LATE_WRITE_MS)
    swept = sweep_expired(table, clock, SKEW_MS)
    assert swept.deleted_count == SWEEP_ROWS_MAX - 1
    rest = sweep_expired(table, clock, SKEW_MS, swept.after)
    assert (rest.after, rest.deleted_count) == ("", 5)
    assert list(table.rows) == [broken]
