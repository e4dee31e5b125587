"""Stand-in for the platform's row store, with reads, change feeds and faults."""

import base64
import enum
import json
import urllib.parse

import gevent
import gevent.event

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


class PlatformStore:
    """Row store that keeps its rows in memory.

    Parameters
    ----------
    address : tuple of str and int

    Attributes
    ----------
    fault : StoreFault
    call_count : int
        Calls received, including those that failed.
    history_start_version : int
        Feeds that start before this version get 410.
    """

    def __init__(self, address):
        self.fault = StoreFault.NONE
        self.call_count = 0
        self.history_start_version = 0
        self._version = 0
        self._rows = {}
        self._changes = []
        self.listener = CallerListener(address, self._respond, _default_limits)
        self.listener.start()

    @property
    def port(self):
        """TCP port in use."""
        return self.listener.port

    def put(self, table, key, value):
        """Write `value` (bytes) to a row."""
        self._version += 1
        self._rows[table, key] = (value, self._version)
        self._changes.append((self._version, table, key))

    def remove(self, table, key):
        """Remove a row if it exists."""
        if self._rows.pop((table, key), None) is None:
            return
        self._version += 1
        self._changes.append((self._version, table, key))

    def discard_history(self):
        """Make feeds that start before the current version get 410."""
        self.history_start_version = self._version

    def _respond(self, request, responder):
        self.call_count += 1
        if self.fault is StoreFault.SILENT:
            gevent.sleep(SILENT_FAULT_S)
        if self.fault is StoreFault.RESET:
            return
        if self.fault is StoreFault.BUSY:
            responder.reply(503, [], b"")
            return
        target = urllib.parse.urlsplit(request.target.decode("latin-1"))
        query = dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True))
        if target.path == "/rows-get":
            self._send_rows(
                responder, self._find_rows(query["table"], query.get("from"))
            )
        elif target.path == "/rows-feed":
            self._send_changes(responder, query)
        else:
            responder.reply(404, [], b"")

    def _send_changes(self, responder, query):
        after, elapsed_ms = int(query["after"]), 0.0
        if after < self.history_start_version:
            responder.reply(410, [], b"")
            return
        while True:
            rows = self._find_changes(query["table"], after)
            if rows or elapsed_ms >= float(query["wait_ms"]):
                self._send_rows(responder, rows)
                return
            gevent.sleep(FEED_POLL_INTERVAL_MS / 1000)
            elapsed_ms += FEED_POLL_INTERVAL_MS

    def _find_rows(self, table, start):
        return [
            self._encode_row(table, key)
            for row_table, key in sorted(self._rows)
            if row_table == table and key >= (start or "")
        ]

    def _find_changes(self, table, after):
        keys = {
            key: version
            for version, row_table, key in self._changes
            if version > after and row_table == table
        }
        return [self._encode_row(table, key) for key in sorted(keys, key=keys.get)]

    def _encode_row(self, table, key):
        row = {"table": table, "part": "", "key": key}
        if (table, key) not in self._rows:
            return {**row, "removed": True, "ver": self._version}
        value, version = self._rows[table, key]
        return {**row, "value": base64.b64encode(value).decode(), "ver": version}

    def _send_rows(self, responder, rows):
        body = {"rows": rows, "more_pages": False, "ver": self._version, "now_ms": 0}
        responder.reply(200, [], json.dumps(body).encode())


def _default_limits():
    return DEFAULT_CALLER_LIMITS
