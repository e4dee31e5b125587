"""Takes leave for loads from the row that all agents of a weight store share."""

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
from nutmegdeal.records import decode_record, encode_record
from nutmegdeal.services.table import Conflict, Write

logger = get_logger(__name__)

SHARED_KEY = "weights/budget"
CONFLICTS_MAX = 4
RETRY_AFTER_MS = 1_000.0
GRANT_SOON_MS = 100.0
POLL_EVERY_MS = 20.0
RETURN_AFTER_MS = 1_000.0


class SharedBudget(LoadBudget):
    """Leave from the shared row, or an equal share while the row can't be used.

    Parameters
    ----------
    clock : Clock
    weight_store : WeightStorePolicy
    agent_count : int

    Attributes
    ----------
    tranches : TrancheBudget
    is_shared : bool
        True while the row can be used.
    """

    def __init__(self, clock, weight_store, agent_count):
        self.tranches = TrancheBudget(clock)
        self.weight_store = weight_store
        self.is_shared = False
        self._equal = EqualShareBudget(weight_store, agent_count)
        self._clock = clock

    def leave_row(self):
        """Go over to the equal share, with nothing saved up, as in an outage."""
        if self.is_shared:
            self._equal.restart(self._clock.monotonic_ms())
        self.is_shared = False

    def set_limits(self, weight_store, agent_count):
        """Take over the limits of a configuration."""
        self.weight_store = weight_store
        self._equal.set_limits(weight_store, agent_count)

    @property
    def _current(self):
        return self.tranches if self.is_shared else self._equal

    def try_start(self, now_ms):
        """Take leave to start one load; return whether it is given."""
        return self._current.try_start(now_ms)

    def finish(self, now_ms):
        """Give back a load in transit that has ended."""
        if self.tranches.transit_count > 0:
            self.tranches.finish(now_ms)
        else:
            self._equal.finish(now_ms)

    def next_start_ms(self, now_ms):
        """Return when the next load may start, as far as is known."""
        return self._current.next_start_ms(now_ms)


@attrs.frozen
class _KnownRow:
    """The shared row as it was seen last."""

    row: TrancheRow
    version: int


class TrancheController:
    """Writes an agent's wants and ended loads into the shared row.

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
        self._known = None
        self._retry_at_ms = 0.0
        self._return_from_ms = None

    def is_due(self, wanted_count):
        """Return whether `step` has anything to take or give back now."""
        now_ms = self._clock.monotonic_ms()
        tranches = self._budget.tranches
        if now_ms < self._retry_at_ms:
            return False
        if wanted_count <= tranches.granted_count:
            return self._is_return_due(wanted_count, now_ms)
        return self._clock.unix_ms() >= tranches.next_grant_unix_ms - GRANT_SOON_MS

    def _is_return_due(self, wanted_count, now_ms):
        """Return whether ended loads have waited to go along with the next grant."""
        tranches = self._budget.tranches
        if not tranches.ended_count and tranches.granted_count <= wanted_count:
            self._return_from_ms = None
            return False
        if self._return_from_ms is None:
            self._return_from_ms = now_ms
        return now_ms >= self._return_from_ms + RETURN_AFTER_MS

    def step(self, wanted_count):
        """Take leave for loads and give back ended ones; return None or a Failure."""
        failure = self._try_step(wanted_count)
        if isinstance(failure, Failure):
            self._known = None
            self._budget.leave_row()
            self._retry_at_ms = self._clock.monotonic_ms() + RETRY_AFTER_MS
            logger.warning("weight_store_share_not_taken", error=str(failure))
            return failure
        self._budget.is_shared = True
        return None

    def _try_step(self, wanted_count):
        for _ in range(CONFLICTS_MAX):
            known = self._known or self._read()
            if isinstance(known, Failure):
                return known
            outcome = self._write(known, wanted_count)
            if not isinstance(outcome, Conflict):
                return outcome if isinstance(outcome, Failure) else None
            self._known = _known_row(outcome.rows[0]) if outcome.rows else None
        return None

    def _read(self):
        row = self._table.read(SHARED_KEY)
        return row if isinstance(row, Failure) else _known_row(row)

    def _write(self, known, wanted_count):
        tranches = self._budget.tranches
        tranches.drop_surplus(wanted_count)
        ended_count = tranches.ended_count
        grant = take_grants(
            known.row,
            self._budget.weight_store,
            self._holder,
            max(0, wanted_count - tranches.granted_count),
            ended_count,
            self._clock.unix_ms(),
        )
        if not grant.starts_unix_ms and not ended_count:
            tranches.next_grant_unix_ms = grant.row.next_start_unix_ms
            self._known = known
            return None
        write = Write(SHARED_KEY, encode_record(grant.row), known.version)
        outcome = self._table.write([write])
        if isinstance(outcome, Failure | Conflict):
            return outcome
        self._known = _KnownRow(grant.row, outcome.versions[0])
        tranches.accept(grant, ended_count)
        return outcome


class TrancheRunner:
    """Runs a TrancheController as the scheduler wants loads.

    Parameters
    ----------
    controller : TrancheController
    board : Blackboard
    """

    def __init__(self, controller, board):
        self._controller = controller
        self._board = board

    def step(self):
        """Take or give back once if it is due."""
        wanted_count = self._board.wanted_load_count
        if self._controller.is_due(wanted_count):
            self._controller.step(wanted_count)
            self._board.notify()

    def run(self):
        """Step while loads are wanted, and seldom besides."""
        while True:
            self._board.loads_wanted.wait(RETURN_AFTER_MS / 1000)
            self._board.loads_wanted.clear()
            self.step()
            if self._board.wanted_load_count:
                self._board.loads_wanted.set()
                gevent.sleep(POLL_EVERY_MS / 1000)


def _known_row(row):
    if row is None:
        return _KnownRow(TrancheRow(), 0)
    return _KnownRow(decode_record(row.value, TrancheRow), row.version)
