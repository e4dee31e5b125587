"""What all stand-ins for replicas have in common: registration and connections."""

import asyncio
import time

from installation import HEARTBEAT_MS


class Replica:
    """A replica that registers in the store; subclasses serve its connections."""

    def __init__(self, site, server_id, service, slots, version="1.0.0"):
        self.store = site.store
        self.zone = site.zone
        self.server_id = server_id
        self.service = service
        self.slots = slots
        self.version = version
        self.state = "ready"
        self.running_count = 0
        self.waiting_count = 0
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self._writers = set()

    async def start(self, ip):
        """Listen and register."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"
        self._task = asyncio.create_task(self._register())

    async def _register(self):
        while True:
            self.store.put("servers", self.server_id, self.describe())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def describe(self):
        """Return the registration."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    def headers(self, request_id):
        """Return the headers of all answers."""
        load = f"{self.running_count},{self.waiting_count},{self.slots}"
        return [
            ("X-Request-Id", request_id),
            ("X-Instance-Id", self.server_id),
            ("X-Server-Load", load),
            ("Keep-Alive", "timeout=5"),
        ]

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.handle(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, reader, writer):
        """Serve one connection."""
        raise NotImplementedError
