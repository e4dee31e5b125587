"""Stand-in for the platform's row store, with reads, change feeds and faults."""

import base64
import collections
import enum
import json
import time
import urllib.parse

import attrs
import gevent

from nutmegdeal.http_listener import CallerListener
from nutmegdeal.site_configuration import DEFAULT_CALLER_LIMITS

FEED_POLL_INTERVAL_MS = 20.0
SILENT_FAULT_S = 30.0


class StoreFault(enum.Enum):
    """How calls to the store fail.

    BUSY answers 503, SILENT delays the response by `SILENT_FAULT_S`, and RESET
    closes the connection without a response.
    """

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"


@attrs.frozen
class StoreCopy:
    """Copy of the store's contents at one version."""

    version: int
    rows: dict
    changes: list


class RowHistory:
    """The store's rows and their changes, without a network.

    Attributes
    ----------
    era : int
        Sent with each answer; `restore` increments it.
    history_start_version : int
        Feeds that start before this version get 410.
    """

    def __init__(self):
        self.era = 1
        self.history_start_version = 0
        self._version = 0
        self._rows = {}
        self._changes = []

    def put(self, table, key, value, part=""):
        """Write `value` (bytes) to a row."""
        self._version += 1
        self._write(table, part, key, value)

    def remove(self, table, key, part=""):
        """Remove a row if it exists."""
        if (table, part, key) not in self._rows:
            return
        self._version += 1
        self._remove(table, part, key)

    def _write(self, table, part, key, value):
        self._rows[table, part, key] = (value, self._version)
        self._changes.append((self._version, table, part, key))

    def _remove(self, table, part, key):
        if self._rows.pop((table, part, key), None) is not None:
            self._changes.append((self._version, table, part, key))

    def discard_history(self):
        """Make feeds that start before the current version get 410."""
        self.history_start_version = self._version

    def take_copy(self):
        """Return a copy of the rows and their history, for `restore`."""
        return StoreCopy(self._version, dict(self._rows), list(self._changes))

    def restore(self, copy):
        """Return to a copy: later writes are lost, and their versions given out again.

        Parameters
        ----------
        copy : StoreCopy
        """
        self.era += 1
        self._version = copy.version
        self._rows = dict(copy.rows)
        self._changes = list(copy.changes)

    @property
    def headers(self):
        """Return the headers of every answer."""
        return [(b"store-era", b"%d" % self.era)]

    def has_history_since(self, version):
        """Return whether the changes after a version are known."""
        return self.history_start_version <= version <= self._version

    def find_parts(self, table):
        """Return the parts that have rows of a table, in order."""
        return sorted({part for name, part, _ in self._rows if name == table})

    def find_keys(self, table, part=""):
        """Return the keys of all rows of a table in a part, in order."""
        return sorted(
            key for name, in_part, key in self._rows if (name, in_part) == (table, part)
        )

    def read(self, table, key, part=""):
        """Return the value (bytes) of a row.

        Raises
        ------
        KeyError
            If there is no such row.
        """
        return self._rows[table, part, key][0]

    def find_rows(self, table, start, part=""):
        """Return all rows of a table with keys from `start` on, as JSON objects."""
        return [
            self._encode_row(table, part, key)
            for key in self.find_keys(table, part)
            if key >= (start or "")
        ]

    def find_changes(self, table, after, part=""):
        """Return the rows of a table changed after a version, as JSON objects."""
        keys = {
            key: version
            for version, name, in_part, key in self._changes
            if version > after and (name, in_part) == (table, part)
        }
        return [
            self._encode_row(table, part, key) for key in sorted(keys, key=keys.get)
        ]

    def _encode_row(self, table, part, key):
        row = {"table": table, "part": part, "key": key}
        if (table, part, key) not in self._rows:
            return {**row, "removed": True, "ver": self._version}
        value, version = self._rows[table, part, key]
        return {**row, "value": base64.b64encode(value).decode(), "ver": version}

    def encode_answer(self, rows):
        """Return the body of an answer with rows (bytes)."""
        body = {"rows": rows, "more_pages": False, **self._state()}
        return json.dumps(body).encode()

    def _state(self):
        return {"ver": self._version, "now_ms": int(time.monotonic() * 1000)}

    def execute(self, transaction):
        """Execute a transaction, given as a JSON object; return status and body.

        All rows that it writes have one version.
        """
        expected = transaction["expected"]
        if any(self._find_version(row) != row["ver"] for row in expected):
            rows = [self._encode_row(*_locate(row)) for row in expected]
            return 412, json.dumps({"rows": rows, **self._state()}).encode()
        self._version += 1
        for row in transaction["writes"]:
            self._write(*_locate(row), base64.b64decode(row["value"]))
        for row in transaction["remove"]:
            self._remove(*_locate(row))
        return 200, json.dumps(self._state()).encode()

    def _find_version(self, row):
        """Return the version of a row, 0 if it does not exist."""
        return self._rows.get(_locate(row), (b"", 0))[1]


def _locate(row):
    """Return the place of a row of a transaction: table, part and key."""
    return row["table"], row["part"], row["key"]


class PlatformStore(RowHistory):
    """Row store that serves its rows over HTTP.

    Parameters
    ----------
    address : tuple of str and int

    Attributes
    ----------
    fault : StoreFault
    call_count : int
        Calls received, including those that failed.
    tables_called : collections.Counter
        The same by path and table; the table is None where the path names none.
    """

    def __init__(self, address):
        super().__init__()
        self.fault = StoreFault.NONE
        self.call_count = 0
        self.tables_called = collections.Counter()
        self.listener = CallerListener(address, self._respond, _default_limits)
        self.listener.start()

    @property
    def port(self):
        """TCP port in use."""
        return self.listener.port

    def _respond(self, request, responder):
        self.call_count += 1
        target = urllib.parse.urlsplit(request.target.decode("latin-1"))
        query = dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True))
        self.tables_called[target.path, query.get("table")] += 1
        if self.fault is StoreFault.SILENT:
            gevent.sleep(SILENT_FAULT_S)
        if self.fault is StoreFault.RESET:
            return
        if self.fault is StoreFault.BUSY:
            responder.reply(503, self.headers, b"")
            return
        if target.path == "/rows-get":
            self._send_rows(
                responder,
                self.find_rows(
                    query["table"], query.get("from"), query.get("part", "")
                ),
            )
        elif target.path == "/rows-feed":
            self._send_changes(responder, query)
        elif target.path == "/rows-tx":
            status_code, body = self.execute(json.loads(request.body))
            responder.reply(status_code, self.headers, body)
        else:
            responder.reply(404, self.headers, b"")

    def _send_changes(self, responder, query):
        after, elapsed_ms = int(query["after"]), 0.0
        if not self.has_history_since(after):
            responder.reply(410, self.headers, b"")
            return
        while True:
            rows = self.find_changes(query["table"], after, query.get("part", ""))
            if rows or elapsed_ms >= float(query["wait_ms"]):
                self._send_rows(responder, rows)
                return
            gevent.sleep(FEED_POLL_INTERVAL_MS / 1000)
            elapsed_ms += FEED_POLL_INTERVAL_MS

    def _send_rows(self, responder, rows):
        responder.reply(200, self.headers, self.encode_answer(rows))


def _default_limits():
    return DEFAULT_CALLER_LIMITS
