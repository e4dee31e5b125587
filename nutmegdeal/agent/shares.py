"""The agent's share of the weight store: grants from a row, or an equal part."""

import gevent

from nutmegdeal.agent.budgets import (
    GRANT_AHEAD_MS,
    EqualShareBudget,
    TrancheBudget,
    TrancheRow,
    take_grants,
)
from nutmegdeal.agent.policy import LoadBudget
from nutmegdeal.errors import Failure
from nutmegdeal.log import get_logger
from nutmegdeal.platform.table import Conflict, Write, Written
from nutmegdeal.records import decode_record, encode_record

logger = get_logger(__name__)

ROW_KEY = "weights/budget"
RACES_MAX = 16
STORE_RETRY_MS = 1_000
GRANTS_WANTED_MAX = 4
PAUSE_MIN_MS = 5.0


class SharedBudget(LoadBudget):
    """Grants from the shared row; an equal part while the table service is down.

    Parameters
    ----------
    weight_store : WeightStorePolicy
    agent_count : int
    clock : Clock
    """

    def __init__(self, weight_store, agent_count, clock):
        self.weight_store = weight_store
        self.tranche = TrancheBudget(clock)
        self._equal = EqualShareBudget(weight_store, agent_count)
        self.is_store_up = True

    def set_limits(self, weight_store, agent_count):
        """Note the store's limits and how many agents share them now."""
        self.weight_store = weight_store
        self._equal.set_limits(weight_store, agent_count)

    def note_store(self, is_up, now_ms):
        """Note whether the row can be written."""
        if self.is_store_up and not is_up:
            self._equal.restart(now_ms)
        self.is_store_up = is_up

    def _current(self):
        return self.tranche if self.is_store_up else self._equal

    def try_start(self, now_ms):
        """Take leave to start one load; return whether it is given."""
        return self._current().try_start(now_ms)

    def finish(self, now_ms):
        """Give back a load in transit that has ended."""
        is_granted = self.tranche.transit_count > 0
        budget = self.tranche if is_granted else self._equal
        budget.finish(now_ms)

    def next_start_ms(self, now_ms):
        """Return when the next load may start, as far as is known."""
        return self._current().next_start_ms(now_ms)


class ShareController:
    """Takes grants from the shared row while loads are wanted.

    Parameters
    ----------
    board : Blackboard
    budget : SharedBudget
    table : TableService
    clock : Clock
    """

    def __init__(self, board, budget, table, clock):
        self._board = board
        self._budget = budget
        self._table = table
        self._clock = clock
        self._row = TrancheRow()
        self._version = None

    def step(self):
        """Take as many grants as are wanted and allowed now.

        Returns
        -------
        float
            Time in ms after which another call may take more.
        """
        for _ in range(RACES_MAX):
            missing_count = self.missing_count()
            if missing_count <= 0:
                return STORE_RETRY_MS
            if self._version is None and not self._read():
                return self._note_outage()
            grant = self._compute(missing_count)
            if not grant.starts_unix_ms:
                self._budget.tranche.next_grant_unix_ms = grant.row.next_start_unix_ms
                return self._pause_ms()
            result = self._write(grant)
            if isinstance(result, Failure):
                return self._note_outage()
            if isinstance(result, Written):
                self._accept(grant, result)
                return self._pause_ms()
        return PAUSE_MIN_MS

    def missing_count(self):
        """Return the number of grants that are wanted and not held (int)."""
        wanted_count = min(self._board.wanted_load_count, GRANTS_WANTED_MAX)
        return wanted_count - self._budget.tranche.granted_count

    def _compute(self, missing_count):
        self._returned_count = self._budget.tranche.ended_count
        return take_grants(
            self._row,
            self._budget.weight_store,
            self._board.incarnation,
            missing_count,
            self._returned_count,
            self._clock.unix_ms(),
        )

    def _pause_ms(self):
        next_ms = self._budget.tranche.next_grant_unix_ms - self._clock.unix_ms()
        return max(PAUSE_MIN_MS, next_ms - GRANT_AHEAD_MS)

    def _note_outage(self):
        """Fall back to an equal part; the row is read anew after an outage."""
        self._version = None
        if self._budget.is_store_up:
            logger.warning("load_share_not_written")
        self._budget.note_store(False, self._clock.monotonic_ms())
        self._board.notify()
        return STORE_RETRY_MS

    def _read(self):
        """Read the row; return whether it is known now (bool)."""
        stored = self._table.read(ROW_KEY)
        if isinstance(stored, Failure):
            return False
        self._take_in(stored)
        self._budget.note_store(True, self._clock.monotonic_ms())
        return True

    def _take_in(self, stored):
        self._version = stored.version if stored else 0
        self._row = TrancheRow()
        if stored is None:
            return
        try:
            self._row = decode_record(stored.value, TrancheRow)
        except ValueError as error:
            logger.error("load_share_not_readable", error=str(error))

    def _write(self, grant):
        """Return Written, Conflict or Failure; a Conflict shows the row as it is."""
        write = Write(ROW_KEY, encode_record(grant.row), self._version)
        result = self._table.write([write])
        if isinstance(result, Conflict):
            self._take_in(result.rows[0] if result.rows else None)
        return result

    def _accept(self, grant, written):
        self._row = grant.row
        self._version = written.versions[0]
        self._budget.tranche.accept(grant, self._returned_count)
        self._board.notify()

    def run(self):
        """Take grants until the greenlet is killed."""
        while True:
            self._board.loads_wanted.wait()
            self._board.loads_wanted.clear()
            pause_ms = self.step()
            if self.missing_count() > 0:
                self._board.loads_wanted.set()
                gevent.sleep(pause_ms / 1000)
