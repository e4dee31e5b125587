"""Stand-in for a replica of a plain service, as the users' pages describe it.

It runs some requests at once, queues a few more, and refuses the others with 503 and
X-Not-Executed. On request it duplicates a share of its answers, late.
"""

import asyncio
import random

from http11 import encode_response, read_message
from replica import Replica


class PlainServer(Replica):
    """One replica; `runs` lists the ids of the requests that it has run."""

    def __init__(self, site, server_id, service, record, slots, queue, work_s):
        super().__init__(site, server_id, service, slots)
        self.record = record
        self.queue = queue
        self.work_s = work_s
        self.duplicate_share = 0.0
        self.duplicate_count = 0
        self.runs = []
        self._places = asyncio.Semaphore(slots)

    async def handle(self, reader, writer):
        """Serve one connection."""
        late = b""
        while (request := await read_message(reader)) is not None:
            answer = await self._answer(request)
            # A second copy of an earlier answer stands where this one is expected.
            writer.write(late + answer)
            late = b""
            if random.random() < self.duplicate_share:
                late = answer
                self.duplicate_count += 1
            await writer.drain()

    async def _answer(self, request):
        request_id = request.get("x-request-id")
        if request.target == "/health":
            return encode_response(200, self.headers(request_id), b"")
        if request.get("x-target-instance") not in ("", self.server_id):
            return encode_response(421, self.headers(request_id), b"")
        if self.running_count >= self.slots and self.waiting_count >= self.queue:
            self.record.write(f"{self.server_id} refuses {request_id}")
            headers = [*self.headers(request_id), ("X-Not-Executed", "1")]
            return encode_response(503, headers, b"full")
        self.waiting_count += 1
        async with self._places:
            self.waiting_count -= 1
            self.running_count += 1
            self.runs.append(request_id)
            self.record.write(f"{self.server_id} runs {request_id}")
            try:
                await asyncio.sleep(self.work_s * random.uniform(0.6, 1.4))
            finally:
                self.running_count -= 1
        headers = [*self.headers(request_id), ("X-Response-Signature", request_id)]
        return encode_response(200, headers, f"done {request_id}".encode())
