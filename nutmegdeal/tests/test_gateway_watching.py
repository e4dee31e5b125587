"""Tests of the gateway's reads of the store: outages, and confirmations of keys."""

import pytest
import structlog

from nutmegdeal.clock import ManualClock
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.gateway.blackboard import Blackboard
from nutmegdeal.gateway.watching import (
    ANSWER_MS,
    LATE_CONFIRMATION_WAIT_MS,
    LOSS_DETECTION_MS,
    RETRY_JITTER,
    RETRY_MAX_MS,
    OperatorWatcher,
)
from nutmegdeal.platform.rows import StoredRow
from nutmegdeal.platform.store import FEED_MARGIN_MS, RowsRead, StorePosition
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.scripted_store import ScriptedStore

LOST = Failure(Reason.STORE_UNAVAILABLE, Step.PLATFORM, "store", "timed out")


class FailingStore:
    """Serves whole tables, but loses the answers to reads of changes."""

    def __init__(self):
        self.waits_ms = []

    def read_table(self, table):
        return RowsRead((), StorePosition(0, 1))

    def read_changes(self, table, after, wait_ms):
        self.waits_ms.append(wait_ms)
        return LOST


@pytest.mark.parametrize("contact_ms", [3_000.0, 4_000.0, 5_000.0])
def test_store_is_read_within_contact_ms_of_its_return(contact_ms):
    bounds = build.build_bounds(contact_ms=contact_ms)
    settings = build.build_node_settings(bounds=bounds)
    board = Blackboard(settings, ManualClock(), None, None)
    store = FailingStore()
    watcher = OperatorWatcher(store, board, None)
    watcher._poll()
    for _ in range(6):
        watcher._record_failure(watcher._poll())
    # The last call before the return is lost; then come the longest pause and a read.
    lost_ms = store.waits_ms[-1] + FEED_MARGIN_MS
    pause_ms = RETRY_MAX_MS * (1 + RETRY_JITTER)
    assert lost_ms + pause_ms + ANSWER_MS <= contact_ms


class WatchedKeys:
    """A watcher of the operator's row, with one tenant, and its store.

    Parameters
    ----------
    bounds : dict
        Of the settings.
    """

    def __init__(self, **bounds):
        self.clock = ManualClock()
        self.clock.advance(1_000.0)
        bounds = build.build_bounds(contact_ms=4_000.0, **bounds)
        settings = build.build_node_settings(bounds=bounds)
        self.board = Blackboard(settings, self.clock, None, None)
        self.store = ScriptedStore(self.clock)
        self.watcher = OperatorWatcher(self.store, self.board, None)

    @property
    def confirmed_ms(self):
        return self.board.keys.confirmation.confirmed_ms

    def poll(self, store_ms, version, value=None, taken_ms=10.0, **changes):
        """Let the store answer a call, with a row or none."""
        rows = () if value is None else (StoredRow("config", value, version),)
        position = StorePosition(0, version)
        answer = RowsRead(rows, position, store_ms, **changes)
        self.store.answers.append((taken_ms, answer))
        self.watcher._poll()


def start_keys():
    """Return WatchedKeys that have been confirmed at 1,000 ms of both clocks."""
    watched = WatchedKeys(revoke_ms=5_000.0, config_apply_ms=3_000.0)
    watched.poll(1_000.0, 1, build.encode_tenants([], 1))
    return watched


def test_answer_without_rows_confirms_keys():
    watched = start_keys()
    assert watched.confirmed_ms == pytest.approx(1_000.0, abs=1.0)
    watched.poll(2_300.0, 1, taken_ms=1_300.0)
    assert watched.confirmed_ms == pytest.approx(2_300.0, abs=1.0)


@pytest.mark.parametrize("case", [{"version": 0}, {"version": 2, "has_more": True}])
def test_answer_that_is_stale_or_not_whole_does_not_confirm_keys(case):
    watched = start_keys()
    watched.poll(2_300.0, taken_ms=1_300.0, **case)
    assert watched.confirmed_ms == pytest.approx(1_000.0, abs=1.0)


def test_stale_table_does_not_confirm_keys():
    """A replica of the store that is behind answers, after the history has gone."""
    watched = start_keys()
    watched.watcher._position = StorePosition(0, 7)
    position = StorePosition(0, 6)
    watched.store.answers.append((10.0, RowsRead((), position, 2_000.0)))
    watched.watcher._read_all(watched.clock.boot_ms())
    assert watched.confirmed_ms == pytest.approx(1_000.0, abs=1.0)


def test_table_of_several_pages_confirms_as_of_the_first_one():
    """The configuration is on the first page, and may change during the others."""
    watched = WatchedKeys(revoke_ms=5_000.0, config_apply_ms=3_000.0)
    row = build.encode_tenants([], 1)
    watched.poll(6_000.0, 1, row, taken_ms=5_000.0, first_page_ms=1_000.0)
    assert watched.confirmed_ms == pytest.approx(1_000.0, abs=3.0)


def test_malformed_configuration_ends_confirmations_until_a_newer_one():
    watched = start_keys()
    watched.poll(1_500.0, 2, b"{}", taken_ms=500.0)
    watched.poll(2_500.0, 2, taken_ms=1_000.0)
    assert watched.confirmed_ms == pytest.approx(1_000.0, abs=1.0)
    assert not watched.board.keys.is_confirmed(5_001.0)
    watched.poll(3_500.0, 3, build.encode_tenants([], 3), taken_ms=1_000.0)
    assert watched.confirmed_ms == pytest.approx(3_500.0, abs=2.0)


def test_keys_stay_confirmed_if_the_answer_to_one_call_is_lost():
    watched = start_keys()
    limits = watched.board.keys.limits
    assert watched.watcher.wait_ms + LOSS_DETECTION_MS <= limits.shortest_ms
    # After a suspension the next answer comes soon, as nothing confirms until then.
    watched.clock.suspend(9_000.0)
    assert watched.watcher.wait_ms == LATE_CONFIRMATION_WAIT_MS
    watched.poll(1_000.0, 2, b"{}")
    assert watched.watcher.wait_ms > LATE_CONFIRMATION_WAIT_MS


def test_calls_wait_as_long_as_before_without_tenants():
    watched = WatchedKeys()
    watched.poll(1_000.0, 1, build.encode_configuration(1, "chat.example", 1_000, 100))
    watched.poll(2_000.0, 1)
    watched.clock.suspend(60_000.0)
    watched.poll(3_000.0, 1)
    assert watched.store.waits_ms == [4_000.0 - LOSS_DETECTION_MS] * 2
    assert watched.board.keys.is_confirmed(watched.clock.boot_ms())


def test_start_is_logged_as_one_confirmation():
    with structlog.testing.capture_logs() as entries:
        watched = start_keys()
        watched.poll(2_300.0, 1, taken_ms=1_300.0)
    events = [entry["event"] for entry in entries]
    assert events == ["configuration_in_force", "keys_confirmed"]


def test_short_time_without_confirmation_is_logged():
    """Keys that nobody asked for meanwhile are confirmed again by the next answer."""
    watched = start_keys()
    with structlog.testing.capture_logs() as entries:
        watched.poll(8_000.0, 1, taken_ms=7_000.0)
    events = [(entry["event"], round(entry["age_ms"], -2)) for entry in entries]
    assert events == [("keys_not_confirmed", 7_000.0), ("keys_confirmed", 0.0)]
