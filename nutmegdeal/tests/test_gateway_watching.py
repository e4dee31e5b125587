"""Tests of the gateway's reads of the store during an outage."""

import pytest

from nutmegdeal.clock import ManualClock
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.gateway.blackboard import Blackboard
from nutmegdeal.gateway.watching import (
    ANSWER_MS,
    RETRY_JITTER,
    RETRY_MAX_MS,
    OperatorWatcher,
)
from nutmegdeal.platform.store import FEED_MARGIN_MS, RowsRead, StorePosition
from nutmegdeal.tests import platform_builders as build

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
