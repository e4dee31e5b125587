"""Stand-in for a model replica: reports, orders and resumable streams of events.

It holds its base model; each event names the run and the software version that wrote
it.
"""

import asyncio
import json

from http11 import encode_response, read_message
from replica import Replica

MODEL = "daka510000"


class EngineServer(Replica):
    """One model replica; `runs` lists (request id, first event) of its runs."""

    def __init__(self, site, server_id, service, record, version, events, gap_s):
        super().__init__(site, server_id, service, 64, version)
        self.record = record
        self.events = events
        self.gap_s = gap_s
        self.runs = []

    def _models(self):
        return [{"name": MODEL, "version": 1, "adapters": []}]

    def describe(self):
        """Return the registration."""
        return {**super().describe(), "stage": "colocated", "models": self._models()}

    async def handle(self, reader, writer):
        """Serve one connection."""
        while (request := await read_message(reader)) is not None:
            request_id = request.get("x-request-id")
            if request.target == "/report":
                writer.write(
                    encode_response(200, [], json.dumps(self._report()).encode())
                )
            elif request.target == "/order":
                writer.write(encode_response(200, [], b""))
            elif request.get("x-target-instance") not in ("", self.server_id):
                writer.write(encode_response(421, self.headers(request_id), b""))
            else:
                await self._stream(request, request_id, writer)
            await writer.drain()

    def _report(self):
        return {
            "stage": "colocated",
            "models": self._models(),
            "busy": False,
            "sequence": self.sequence,
            "waiting": self.waiting_count,
            "running": self.running_count,
            "kv_used": 1000,
            "kv_total": 150000,
            "handles": 0,
            "pending": [],
            "born": self.born_ms,
        }

    async def _stream(self, request, request_id, writer):
        last = request.get("last-event-id")
        first = int(last) + 1 if last else 0
        self.runs.append((request_id, first))
        text = f"{self.server_id} ({self.service} {self.version}) runs {request_id}"
        self.record.write(f"{text} from event {first}")
        self.running_count += 1
        try:
            headers = [
                *self.headers(request_id),
                ("X-Response-Signature", request_id),
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked"),
            ]
            lines = [f"{name}: {value}".encode() for name, value in headers]
            head = b"\r\n".join([b"HTTP/1.1 200 OK", *lines]) + b"\r\n\r\n"
            for number in range(first, self.events):
                await asyncio.sleep(self.gap_s)
                data = f"{request_id} {self.service} {self.version}"
                event = f"id: {number}\ndata: {data}\n\n".encode()
                writer.write(head + b"%x\r\n%s\r\n" % (len(event), event))
                head = b""
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running_count -= 1
