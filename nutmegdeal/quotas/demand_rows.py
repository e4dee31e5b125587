"""Rows in which gateways publish what callers ask of them for each tenant.

Each gateway writes one row for all tenants and reads those of all gateways.
"""

import json

import gevent
import gevent.event

from nutmegdeal.errors import Failure
from nutmegdeal.log import get_logger
from nutmegdeal.platform.rows import DECODE_ERRORS

logger = get_logger(__name__)

DEMANDS_TABLE = "quota-demand"
# Pause between two rounds of a write and a read. Demand moves between gateways within
# seconds, and each call is charged.
ROUND_EVERY_MS = 4_000.0
ROUND_JITTER = 0.2
# Pause before the first round after a start or a time without requests.
FIRST_ROUND_MS = 500.0
# How long a row of another gateway counts, on the store's clock: longer than that
# gateway uses its part, plus the time of two calls.
ROW_COUNTS_MS = 14_000.0
# Age at which rows of gateways that are gone are removed.
ROW_KEPT_MS = 60_000.0
REMOVED_MAX = 50


def encode_demands(written_ms, demands):
    """Return the value (bytes) of a gateway's row.

    Parameters
    ----------
    written_ms : float
        On the store's clock.
    demands : dict of str to float
        What callers ask for a second, by tenant.
    """
    rounded = {name: round(per_s, 1) for name, per_s in demands.items()}
    return json.dumps({"written_ms": written_ms, "demands": rounded}).encode()


def decode_demands(value):
    """Return when a row was written (float) and its demands (dict).

    Raises
    ------
    KeyError, TypeError, ValueError, AttributeError
        If it is not such a row.
    """
    data = json.loads(value)
    demands = {str(name): float(per_s) for name, per_s in data["demands"].items()}
    if not all(0.0 <= per_s < float("inf") for per_s in demands.values()):
        raise ValueError("not a demand")
    return float(data["written_ms"]), demands


class DemandKeeper:
    """Publishes the demand of one gateway's callers, and reads that of the others.

    Parameters
    ----------
    store : StoreClient
    board : Blackboard
    telemetry : QuotaTelemetry
    random_state : random.Random

    Attributes
    ----------
    measure : callable
        Returns the demand by tenant; an empty dict if no tenant has a quota.
    on_read : callable
        Called with a dict of gateways' names to their demands by tenant.
    """

    def __init__(self, store, board, telemetry, random_state):
        self.measure = dict
        self.on_read = lambda demands_by_gateway: None
        self._store = store
        self._board = board
        self._telemetry = telemetry
        self._random = random_state
        self._wake = gevent.event.Event()
        self._was_active = False

    def wake(self):
        """Begin soon, as a tenant with a quota has its first requests."""
        if not self._was_active:
            self._wake.set()

    def run(self):
        """Publish and read until killed."""
        while True:
            if not self.measure():
                self._was_active = False
                self._wake.wait()
                self._wake.clear()
                gevent.sleep(FIRST_ROUND_MS * self._random.random() / 1_000)
            self._was_active = True
            self.run_round()
            jitter = 1.0 + ROUND_JITTER * (2 * self._random.random() - 1)
            gevent.sleep(ROUND_EVERY_MS * jitter / 1_000)

    def run_round(self):
        """Write this gateway's row and read all rows."""
        name = self._board.settings.node_name
        value = encode_demands(self._board.store_now_ms(), self.measure())
        written = self._call("written", lambda: self._write({name: value}))
        if written is None:
            return
        read = self._call("read", lambda: self._store.read_table(DEMANDS_TABLE))
        if read is not None:
            self._apply(read)

    def _write(self, writes, removed_keys=()):
        return self._store.write_rows(DEMANDS_TABLE, {}, writes, removed_keys)

    def _call(self, outcome, call):
        """Make a call to the store; return its result, None if it failed."""
        started_ms = self._board.clock.monotonic_ms()
        result = call()
        taken_ms = self._board.clock.monotonic_ms() - started_ms
        has_failed = isinstance(result, Failure)
        outcome = "failed" if has_failed else outcome
        self._telemetry.record_store_call(DEMANDS_TABLE, outcome, taken_ms)
        if has_failed:
            logger.warning("quota_demand_unread", failure=str(result))
            return None
        return result

    def _apply(self, read):
        demands_by_gateway, old_keys = {}, []
        for row in read.rows:
            try:
                written_ms, demands = decode_demands(row.value)
            except DECODE_ERRORS as error:
                logger.warning("row_malformed", key=row.key, error=repr(error))
                continue
            age_ms = read.store_ms - written_ms
            if age_ms < ROW_COUNTS_MS:
                demands_by_gateway[row.key] = demands
            elif age_ms > ROW_KEPT_MS:
                old_keys.append(row.key)
        self.on_read(demands_by_gateway)
        if old_keys:
            self._call("written", lambda: self._write({}, old_keys[:REMOVED_MAX]))
