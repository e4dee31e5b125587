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
from nutmegdeal.platform.table import Conflict, Write
from nutmegdeal.records import decode_record, encode_record

logger = get_logger(__name__)

SHARED_KEY = "weights/limits"
CONFLICTS_MAX = 4
RETRY_AFTER_MS = 1_000.0
GRANT_SOON_MS = 100.0
POLL_EVERY_MS = 10.0


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

    def is_due(self, wanted_count):
        """Return whether there is anything to write, as `step` would."""
        tranches = self._budget.tranches
        if self._clock.monotonic_ms() < self._retry_at_ms:
            return False
        if wanted_count <= tranches.granted_count:
            return tranches.ended_count > 0 or tranches.granted_count > wanted_count
        return self._clock.unix_ms() >= tranches.next_grant_unix_ms - GRANT_SOON_MS

    def step(self, wanted_count):
        """Take leave for loads and give back ended ones; return None or a Failure."""
        failure = self._try_step(wanted_count)
        if isinstance(failure, Failure):
            self._known = None
            self._budget.is_shared = False
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
        if tranches.granted_count > wanted_count:
            tranches.drop_unused()
        ended_count = tranches.ended_count
        grant = take_grants(
            known.row,
            self._budget.weight_store,
            self._holder,
            max(0, wanted_count - tranches.granted_count),
            ended_count,
            self._clock.unix_ms(),
        )
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
    scheduler : Scheduler
    board : Blackboard
    """

    def __init__(self, controller, scheduler, board):
        self._controller = controller
        self._scheduler = scheduler
        self._board = board

    def run(self):
        """Poll until the greenlet is killed."""
        while True:
            gevent.sleep(POLL_EVERY_MS / 1000)
            wanted_count = self._scheduler.wanted_load_count
            if not self._controller.is_due(wanted_count):
                continue
            self._controller.step(wanted_count)
            self._board.notify()


def _known_row(row):
    if row is None:
        return _KnownRow(TrancheRow(), 0)
    return _KnownRow(decode_record(row.value, TrancheRow), row.version)
