"""Stand-in of the platform's store of rows: reading, feeds, and faults."""

import base64
import enum
import json
import urllib.parse

import gevent
import gevent.event

from nutmegdeal.http_listener import CallerListener
from nutmegdeal.site import DEFAULT_CALLER_LIMITS

FEED_POLL_MS = 20.0
SILENCE_S = 30.0


class StoreFault(enum.Enum):
    """What the store does instead of answering."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"


class PlatformStore:
    """Rows in memory.

    Parameters
    ----------
    address : tuple of str and int
    """

    def __init__(self, address):
        self.fault = StoreFault.NONE
        self.call_count = 0
        self.history_from = 0
        self._version = 0
        self._rows = {}
        self._changes = []
        self.listener = CallerListener(address, self._answer, _default_limits)
        self.listener.start()

    @property
    def port(self):
        """Return the TCP port in use."""
        return self.listener.port

    def put(self, table, key, value):
        """Write a row (bytes)."""
        self._version += 1
        self._rows[table, key] = (value, self._version)
        self._changes.append((self._version, table, key))

    def remove(self, table, key):
        """Remove a row."""
        if self._rows.pop((table, key), None) is None:
            return
        self._version += 1
        self._changes.append((self._version, table, key))

    def forget_history(self):
        """Answer 410 to feeds that start before now."""
        self.history_from = self._version

    def _answer(self, request, responder):
        self.call_count += 1
        if self.fault is StoreFault.SILENT:
            gevent.sleep(SILENCE_S)
        if self.fault is StoreFault.RESET:
            return
        if self.fault is StoreFault.BUSY:
            responder.reply(503, [], b"")
            return
        target = urllib.parse.urlsplit(request.target.decode("latin-1"))
        query = dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True))
        if target.path == "/rows-get":
            self._reply(responder, self._find_rows(query["table"], query.get("from")))
        elif target.path == "/rows-feed":
            self._feed(responder, query)
        else:
            responder.reply(404, [], b"")

    def _feed(self, responder, query):
        after, waited_ms = int(query["after"]), 0.0
        if after < self.history_from:
            responder.reply(410, [], b"")
            return
        while True:
            rows = self._find_changes(query["table"], after)
            if rows or waited_ms >= float(query["wait_ms"]):
                self._reply(responder, rows)
                return
            gevent.sleep(FEED_POLL_MS / 1000)
            waited_ms += FEED_POLL_MS

    def _find_rows(self, table, start):
        return [
            self._encode(table, key)
            for row_table, key in sorted(self._rows)
            if row_table == table and key >= (start or "")
        ]

    def _find_changes(self, table, after):
        keys = {
            key: version
            for version, row_table, key in self._changes
            if version > after and row_table == table
        }
        return [self._encode(table, key) for key in sorted(keys, key=keys.get)]

    def _encode(self, table, key):
        row = {"table": table, "part": "", "key": key}
        if (table, key) not in self._rows:
            return {**row, "removed": True, "ver": self._version}
        value, version = self._rows[table, key]
        return {**row, "value": base64.b64encode(value).decode(), "ver": version}

    def _reply(self, responder, rows):
        body = {"rows": rows, "more_pages": False, "ver": self._version, "now_ms": 0}
        responder.reply(200, [], json.dumps(body).encode())


def _default_limits():
    return DEFAULT_CALLER_LIMITS
