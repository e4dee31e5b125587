"""Obtains grants of loads from the row that all agents of a weight store share.

A tranche is the set of loads that an agent is granted by one write of the row.
"""

import attrs
import gevent

from nutmegdeal.agent.budgets import (
    EqualShareBudget,
    TrancheBudget,
    TrancheRow,
    take_grants,
)
from nutmegdeal.agent.policy import LoadBudget
from nutmegdeal.errors import Failure
from nutmegdeal.log import get_logger
from nutmegdeal.row_encoding import decode_record, encode_record
from nutmegdeal.services.table import Conflict, Write

logger = get_logger(__name__)

SHARED_KEY = "weights/budget"
CONFLICTS_MAX = 4
RETRY_AFTER_MS = 1_000.0
# The row is written this long before the next load that it can grant may start.
GRANT_LEAD_MS = 100.0
POLL_EVERY_MS = 20.0
# Ended loads and surplus grants wait this long for a write that also obtains grants.
RETURN_AFTER_MS = 1_000.0


class SharedBudget(LoadBudget):
    """Grants from the shared row, or an equal share while the row can't be used.

    Parameters
    ----------
    clock : Clock
    weight_store : WeightStorePolicy
    agent_count : int

    Attributes
    ----------
    tranches : TrancheBudget
    uses_shared_row : bool
        True while the row can be used.
    """

    def __init__(self, clock, weight_store, agent_count):
        self.tranches = TrancheBudget(clock)
        self.weight_store = weight_store
        self.uses_shared_row = False
        self._equal_share = EqualShareBudget(weight_store, agent_count)
        self._clock = clock

    def fall_back_to_equal_share(self):
        """Switch to the equal share with an empty bucket, as when the store is down."""
        if self.uses_shared_row:
            self._equal_share.restart(self._clock.monotonic_ms())
        self.uses_shared_row = False

    def set_limits(self, weight_store, agent_count):
        """Set the limits of a configuration."""
        self.weight_store = weight_store
        self._equal_share.set_limits(weight_store, agent_count)

    @property
    def _current(self):
        return self.tranches if self.uses_shared_row else self._equal_share

    def try_start(self, now_ms):
        """Reserve the start of one load; return whether the budget allows it."""
        return self._current.try_start(now_ms)

    def finish(self, now_ms):
        """Record the end of a load in transit."""
        if self.tranches.transit_count > 0:
            self.tranches.finish(now_ms)
        else:
            self._equal_share.finish(now_ms)

    def next_start_ms(self, now_ms):
        """Return when the next load may start, as far as is known."""
        return self._current.next_start_ms(now_ms)


@attrs.frozen
class _CachedRow:
    """The shared row as it was last read or written."""

    row: TrancheRow
    version: int


class TrancheController:
    """Obtains an agent's grants from the shared row and returns ended loads to it.

    Parameters
    ----------
    budget : SharedBudget
    table : TableService
    holder : str
        Incarnation of the agent.
    clock : Clock
    """

    def __init__(self, budget, table, holder, clock):
        self._budget = budget
        self._table = table
        self._holder = holder
        self._clock = clock
        self._cached = None
        self._retry_at_ms = 0.0
        self._return_pending_since_ms = None

    def is_due(self, wanted_count):
        """Return whether `step` has grants to obtain or ended loads to return now."""
        now_ms = self._clock.monotonic_ms()
        tranches = self._budget.tranches
        if now_ms < self._retry_at_ms:
            return False
        if wanted_count <= tranches.granted_count:
            return self._is_return_due(wanted_count, now_ms)
        return self._clock.unix_ms() >= tranches.next_grant_unix_ms - GRANT_LEAD_MS

    def _is_return_due(self, wanted_count, now_ms):
        """Return whether ended loads or surplus grants have waited long enough.

        Until then they are kept, to be returned with the write for the next grant.
        """
        tranches = self._budget.tranches
        if not tranches.ended_count and tranches.granted_count <= wanted_count:
            self._return_pending_since_ms = None
            return False
        if self._return_pending_since_ms is None:
            self._return_pending_since_ms = now_ms
        return now_ms >= self._return_pending_since_ms + RETURN_AFTER_MS

    def step(self, wanted_count):
        """Obtain grants and return ended loads; return None or a Failure."""
        failure = self._update_row(wanted_count)
        if isinstance(failure, Failure):
            self._cached = None
            self._budget.fall_back_to_equal_share()
            self._retry_at_ms = self._clock.monotonic_ms() + RETRY_AFTER_MS
            logger.warning("weight_store_share_not_taken", error=str(failure))
            return failure
        self._budget.uses_shared_row = True
        return None

    def _update_row(self, wanted_count):
        for _ in range(CONFLICTS_MAX):
            cached = self._cached or self._read()
            if isinstance(cached, Failure):
                return cached
            outcome = self._write(cached, wanted_count)
            if not isinstance(outcome, Conflict):
                return outcome if isinstance(outcome, Failure) else None
            self._cached = _to_cached_row(outcome.rows[0]) if outcome.rows else None
        return None

    def _read(self):
        row = self._table.read(SHARED_KEY)
        return row if isinstance(row, Failure) else _to_cached_row(row)

    def _write(self, cached, wanted_count):
        tranches = self._budget.tranches
        tranches.return_surplus(wanted_count)
        ended_count = tranches.ended_count
        grant = take_grants(
            cached.row,
            self._budget.weight_store,
            self._holder,
            max(0, wanted_count - tranches.granted_count),
            ended_count,
            self._clock.unix_ms(),
        )
        if not grant.starts_unix_ms and not ended_count:
            tranches.next_grant_unix_ms = grant.row.next_start_unix_ms
            self._cached = cached
            return None
        write = Write(SHARED_KEY, encode_record(grant.row), cached.version)
        outcome = self._table.write([write])
        if isinstance(outcome, Failure | Conflict):
            return outcome
        self._cached = _CachedRow(grant.row, outcome.versions[0])
        tranches.accept(grant, ended_count)
        return outcome


class TrancheRunner:
    """Runs a TrancheController when loads wait for grants.

    Parameters
    ----------
    controller : TrancheController
    board : Blackboard
    """

    def __init__(self, controller, board):
        self._controller = controller
        self._board = board

    def step(self):
        """Run the controller once if it is due."""
        wanted_count = self._board.wanted_load_count
        if self._controller.is_due(wanted_count):
            self._controller.step(wanted_count)
            self._board.notify()

    def run(self):
        """Step often while loads are wanted, and every `RETURN_AFTER_MS` otherwise."""
        while True:
            self._board.loads_wanted.wait(RETURN_AFTER_MS / 1000)
            self._board.loads_wanted.clear()
            self.step()
            if self._board.wanted_load_count:
                self._board.loads_wanted.set()
                gevent.sleep(POLL_EVERY_MS / 1000)


def _to_cached_row(row):
    if row is None:
        return _CachedRow(TrancheRow(), 0)
    return _CachedRow(decode_record(row.value, TrancheRow), row.version)
