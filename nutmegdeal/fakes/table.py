"""Stand-in for the table service."""

import base64

import attrs
import bottle
import gevent

from nutmegdeal.fakes.memory import MemoryTable
from nutmegdeal.fakes.rate_limit import RateLimit
from nutmegdeal.fakes.server import (
    FaultTrigger,
    StandIn,
    abort_request,
    error_response,
    json_response,
)
from nutmegdeal.services.table import Conflict, Write

SCAN_ROWS_MAX = 1000


@attrs.define
class StoreFaults:
    """Fault switches of the table service and the object store.

    Parameters
    ----------
    down : bool
        Every call gets 503 and has no effect.
    slow_ms : float
        Time added to every call.
    lose_answer : FaultTrigger
        A write takes effect, but its connection is aborted.
    write_limit_per_s : float
        Writes above this rate get 503; 0 for no limit.
    """

    down: bool = False
    slow_ms: float = 0.0
    lose_answer: FaultTrigger = attrs.field(factory=FaultTrigger)
    write_limit_per_s: float = 0.0


class StoreStandIn(StandIn):
    """Base of the table service and the object store, which share their faults.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock):
        super().__init__(StoreFaults)
        self._clock = clock
        self._write_limit = RateLimit(burst_count=1)

    def refuse_call(self, is_write=False):
        """Return the error response if a fault makes this call fail, else None."""
        gevent.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            return error_response(503, "unavailable", "the service is down")
        limit = self.faults.write_limit_per_s
        if not is_write or limit == 0:
            return None
        if self._write_limit.try_take(self._clock.monotonic_ms(), limit):
            return None
        return error_response(503, "unavailable", f"over {limit} writes a second")

    def respond_to_write(self, response):
        """Return the response of an applied write, or abort its connection."""
        if self.faults.lose_answer.fires():
            return abort_request(bottle.request)
        return response


class TableStandIn(StoreStandIn):
    """Table service that keeps its rows in a MemoryTable."""

    def __init__(self, clock):
        super().__init__(clock)
        self.table = MemoryTable()
        self.app.route("/read", "POST", self.read)
        self.app.route("/scan", "POST", self.scan)
        self.app.route("/write", "POST", self.write)

    def read(self):
        """Send one row, or null if there is none."""
        refusal = self.refuse_call()
        if refusal:
            return refusal
        row = self.table.read(bottle.request.json["key"])
        return json_response({"row": row_to_json(row) if row else None})

    def scan(self):
        """Send rows in key order."""
        refusal = self.refuse_call()
        if refusal:
            return refusal
        body = bottle.request.json
        limit = min(int(body.get("limit") or SCAN_ROWS_MAX), SCAN_ROWS_MAX)
        rows = self.table.scan(body.get("prefix", ""), body.get("after", ""), limit)
        return json_response({"rows": [row_to_json(row) for row in rows]})

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
            return json_response(body, 409)
        return self.respond_to_write(json_response({"versions": outcome.versions}))


def row_to_json(row):
    """Return the JSON fields (dict) of a Row."""
    value = base64.b64encode(row.value).decode()
    return {"key": row.key, "value": value, "version": row.version}


def write_from_json(fields):
    """Return the Write in the JSON fields of a call."""
    value = fields["value"]
    return Write(
        fields["key"],
        None if value is None else base64.b64decode(value),
        int(fields["expected_version"]),
    )
