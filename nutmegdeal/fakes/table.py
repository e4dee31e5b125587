"""Stand-in of the table service."""

import base64

import attrs
import bottle
import gevent

from nutmegdeal.fakes.memory import MemoryTable
from nutmegdeal.fakes.rates import RateLimit
from nutmegdeal.fakes.server import (
    Chance,
    StandIn,
    cut_answer,
    error_answer,
    json_answer,
)
from nutmegdeal.services.table import Conflict, Write

SCAN_ROWS_MAX = 1000


@attrs.define
class StoreFaults:
    """Fault switches of the table service and the object store.

    Parameters
    ----------
    down : bool
        Every call answers 503 and has no effect.
    slow_ms : float
        Time added to every call.
    lose_answer : Chance
        A write takes effect and its connection is cut.
    write_limit_per_s : float
        Writes above it answer 503; 0 for no limit.
    """

    down: bool = False
    slow_ms: float = 0.0
    lose_answer: Chance = attrs.field(factory=Chance)
    write_limit_per_s: float = 0.0


class StoreStandIn(StandIn):
    """Faults that the table service and the object store have in common.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock):
        super().__init__(StoreFaults)
        self._clock = clock
        self._write_limit = RateLimit(burst_count=1)

    def refuse_call(self, is_write=False):
        """Return the answer of a call that a fault refuses, else None."""
        gevent.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            return error_answer(503, "unavailable", "the service is down")
        limit = self.faults.write_limit_per_s
        if not is_write or limit == 0:
            return None
        if self._write_limit.try_take(self._clock.monotonic_ms(), limit):
            return None
        return error_answer(503, "unavailable", f"over {limit} writes a second")

    def answer_write(self, answer):
        """Return the answer of an applied write, or cut its connection."""
        if self.faults.lose_answer.fires():
            return cut_answer(bottle.request)
        return answer


class TableStandIn(StoreStandIn):
    """Table service over a MemoryTable."""

    def __init__(self, clock):
        super().__init__(clock)
        self.table = MemoryTable()
        self.app.route("/read", "POST", self.read)
        self.app.route("/scan", "POST", self.scan)
        self.app.route("/write", "POST", self.write)

    def read(self):
        """Answer one row."""
        refusal = self.refuse_call()
        if refusal:
            return refusal
        row = self.table.read(bottle.request.json["key"])
        return json_answer({"row": row_to_json(row) if row else None})

    def scan(self):
        """Answer rows in key order."""
        refusal = self.refuse_call()
        if refusal:
            return refusal
        body = bottle.request.json
        limit = min(int(body.get("limit") or SCAN_ROWS_MAX), SCAN_ROWS_MAX)
        rows = self.table.scan(body.get("prefix", ""), body.get("after", ""), limit)
        return json_answer({"rows": [row_to_json(row) for row in rows]})

    def write(self):
        """Apply a transaction."""
        refusal = self.refuse_call(is_write=True)
        if refusal:
            return refusal
        writes = [write_from_json(write) for write in bottle.request.json["writes"]]
        outcome = self.table.write(writes)
        if isinstance(outcome, Conflict):
            rows = [row_to_json(row) for row in outcome.rows]
            body = {"error": "conflict", "detail": "a version differs", "rows": rows}
            return json_answer(body, 409)
        return self.answer_write(json_answer({"versions": outcome.versions}))


def row_to_json(row):
    """Return a Row as the interface shows it."""
    value = base64.b64encode(row.value).decode()
    return {"key": row.key, "value": value, "version": row.version}


def write_from_json(fields):
    """Return the Write that a call describes."""
    value = fields["value"]
    return Write(
        fields["key"],
        None if value is None else base64.b64decode(value),
        int(fields["expected_version"]),
    )
