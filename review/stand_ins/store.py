"""Stand-in for the platform's store: rows, transactions, feeds; no faults."""

import asyncio
import base64
import json
import time
import urllib.parse

from http11 import encode_response, read_message

PAGE_ROWS = 500
FEED_POLL_S = 0.01
# As the installations' sheets say.
ANSWER_S = 0.004


class Store:
    """Rows by (table, part, key), each with the version of its last transaction."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.changed = {}

    def put(self, table, key, value, part=""):
        """Write a row, as the operator or a replica does."""
        self.version += 1
        self._write(table, part, key, json.dumps(value).encode())

    def remove(self, table, key, part=""):
        """Remove a row, as the platform does."""
        self.version += 1
        self._drop(table, part, key)

    def _write(self, table, part, key, value):
        self.rows[table, part, key] = (value, self.version)
        self.changed[table, part, key] = self.version

    def _drop(self, table, part, key):
        if self.rows.pop((table, part, key), None) is not None:
            self.changed[table, part, key] = self.version

    def _encode(self, place):
        row = dict(zip(("table", "part", "key"), place, strict=True))
        if place not in self.rows:
            return {**row, "removed": True, "ver": self.changed.get(place, 0)}
        value, version = self.rows[place]
        return {**row, "value": base64.b64encode(value).decode(), "ver": version}

    def _state(self):
        return {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    async def serve(self, host, port=0):
        """Listen; return the port."""
        server = await asyncio.start_server(self._handle, host, port)
        self.server = server
        return server.sockets[0].getsockname()[1]

    async def _handle(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                status, data = await self._answer(request)
                headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
                body = json.dumps(data).encode()
                writer.write(encode_response(status, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/rows-feed":
            return await self._feed(query)
        await asyncio.sleep(ANSWER_S)
        if url.path == "/rows-get":
            return self._get(query)
        if url.path == "/rows-parts":
            parts = sorted({p for t, p, _ in self.rows if t == query["table"]})
            parts = [part for part in parts if part > query.get("after", "")]
            return 200, {"parts": parts[:1000], "more_pages": False, **self._state()}
        if url.path == "/rows-tx":
            return self._execute(json.loads(request.body))
        return 404, {}

    def _get(self, query):
        start, end = query.get("from", ""), query.get("to")
        limit = int(query.get("limit") or PAGE_ROWS)
        places = sorted(
            place
            for place in self.rows
            if place[:2] == (query["table"], query.get("part", ""))
            and place[2] >= start
            and (not end or place[2] < end)
        )
        rows = [self._encode(place) for place in places[:limit]]
        more = len(places) > limit
        return 200, {"rows": rows, "more_pages": more, **self._state()}

    async def _feed(self, query):
        await asyncio.sleep(ANSWER_S)
        after = int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms") or 0) / 1000
        while True:
            places = [
                place
                for place, version in self.changed.items()
                if version > after and place[0] == query["table"]
            ]
            if places or time.monotonic() >= until:
                places.sort(key=self.changed.get)
                rows = [self._encode(place) for place in places]
                return 200, {"rows": rows, "more_pages": False, **self._state()}
            await asyncio.sleep(FEED_POLL_S)

    def _execute(self, body):
        def locate(row):
            return row["table"], row.get("part", ""), row["key"]

        expected = body.get("expected") or []
        for row in expected:
            if self.rows.get(locate(row), (b"", 0))[1] != row["ver"]:
                found = [self._encode(locate(item)) for item in expected]
                return 412, {"rows": found, **self._state()}
        for row in [*(body.get("writes") or []), *(body.get("remove") or [])]:
            if row["table"] in ("op", "servers"):
                return 403, self._state()
        self.version += 1
        for row in body.get("writes") or []:
            self._write(*locate(row), base64.b64decode(row["value"]))
        for row in body.get("remove") or []:
            self._drop(*locate(row))
        return 200, self._state()
