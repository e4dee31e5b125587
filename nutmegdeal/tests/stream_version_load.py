"""Gateways that share streams, servers of several versions and a store, without I/O."""

import random

import attrs

from nutmegdeal.clock import ManualClock
from nutmegdeal.gateway.blackboard import Blackboard
from nutmegdeal.gateway.members import Membership
from nutmegdeal.gateway.software_versions import select_members
from nutmegdeal.gateway.stream_rows import StreamRowKeeper
from nutmegdeal.gateway.stream_versions import StreamVersions
from nutmegdeal.gateway.suspect_book import SuspectBook
from nutmegdeal.gateway.suspect_rows import SuspectsWatcher
from nutmegdeal.gateway.telemetry import GatewayTelemetry
from nutmegdeal.gateway.versions import AdapterVersions
from nutmegdeal.platform.rows import PARTS_TABLE
from nutmegdeal.site_configuration import BackendState, WeightedService
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.local_store import LocalStore

SERVICE = build.ENGINE_SERVICE
SERVICES = (SERVICE, build.PLAIN_SERVICE)
TICK_MS = 500.0
# Steps of long waits, in which nothing else happens.
LONG_TICK_MS = 2_500.0
LONG_WAIT_MS = 10_000.0
# How often a gateway reads the registrations, which takes two ticks to be noticed.
READ_EVERY_MS = 1_000.0
# For how long a server runs after its registration has gone.
LEAVING_MS = 6_000.0
# Streams older than this are not taken up any more.
TAKEN_UP_WITHIN_MS = 25_000.0


class ClockedStore(LocalStore):
    """A LocalStore with the time of a ManualClock."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def _decode(self, rows):
        return attrs.evolve(super()._decode(rows), store_ms=self._clock.monotonic_ms())


class LinkedStore:
    """One gateway's link to the store.

    Attributes
    ----------
    is_cut : bool
        All calls fail.
    is_write_lost : bool
        Transactions fail.
    """

    def __init__(self, store):
        self._store = store
        self.is_cut = False
        self.is_write_lost = False

    @property
    def newest_era(self):
        return self._store.newest_era

    def _target(self, is_write=False):
        if not self.is_cut and not (is_write and self.is_write_lost):
            return self._store
        silent = LocalStore()
        silent.is_silent = True
        return silent

    def read_table(self, table):
        return self._target().read_table(table)

    def read_first_row(self, table, key, within_ms):
        return self._target().read_first_row(table, key, within_ms)

    def write_rows(self, table, expected, writes, removed_keys=()):
        return self._target(is_write=True).write_rows(
            table, expected, writes, removed_keys
        )


class StreamGateway:
    """One gateway's knowledge of versions and streams.

    Parameters
    ----------
    site : StreamSite
    """

    def __init__(self, site):
        self._site = site
        self.store = LinkedStore(site.store)
        self.restart()

    def restart(self):
        """Forget everything, and read all tables if the store answers."""
        telemetry = GatewayTelemetry()
        self.board = Blackboard(
            build.build_node_settings(),
            self._site.clock,
            Membership(),
            AdapterVersions(5_000.0),
        )
        self.keeper = StreamRowKeeper(
            self.store, self.board, telemetry, random.Random(1)
        )
        self.streams = StreamVersions(self.store, self.board, self.keeper, telemetry)
        self._watcher = SuspectsWatcher(
            self.store, self.board, telemetry, SuspectBook(), None, lambda: None
        )
        self._read_due_ms = 0.0
        self._held = None
        self.is_ready = False
        self.tick()

    def stop(self):
        """Neither read nor write until the restart."""
        self.is_ready = False

    def tick(self):
        """Read what is due, and write rows."""
        now_ms = self._site.clock.monotonic_ms()
        is_due = now_ms >= self._read_due_ms and self._held is None
        if is_due and not self._is_cut():
            self._read_due_ms = now_ms + READ_EVERY_MS
            sent_ms = self.board.clock.boot_ms()
            answer = self.store.read_table(PARTS_TABLE)
            era = answer.position.era
            self.board.record_store_answer(answer.store_ms, era, sent_ms)
            self._watcher.apply_snapshot(answer.rows, is_from_copy=False)
            self.read_registrations(now_ms)
            self.is_ready = True
        self.keeper.write()

    def _is_cut(self):
        return self.store.is_cut or self._site.store.is_silent

    def read_registrations(self, now_ms):
        """Read the registrations of all servers."""
        self.apply_registrations(list(self._site.servers.values()), now_ms, now_ms)

    def apply_registrations(self, backends, made_ms, now_ms):
        """Apply an answer of the store about all servers."""
        membership = self.board.membership
        membership.replace_all(backends, now_ms)
        membership.expire(now_ms)
        versions = membership.software_versions()
        self.board.record_suspended()
        self.board.software_versions.record_read(versions, now_ms, made_ms)

    def hold_answer(self):
        """Let the store make an answer that arrives later."""
        made_ms = self._site.clock.monotonic_ms()
        self._held = (list(self._site.servers.values()), made_ms)

    def get_held_answer(self):
        """Get the answer that was held up, if there is one."""
        if self._held is None:
            return
        (backends, made_ms), self._held = self._held, None
        now_ms = self._site.clock.monotonic_ms()
        self.apply_registrations(backends, made_ms, now_ms)

    def find_members(self, request):
        """Return the members at which a request may run."""
        now_ms = self._site.clock.monotonic_ms()
        usable = self.board.membership.usable(request.service.name, now_ms)
        return select_members(request, usable, self.board.software_versions, now_ms)


def build_stream(service, **changes):
    """Return the Request of a resumable stream of a service."""
    route = build.build_route(targets=(WeightedService(service, 1.0),))
    return build.build_request(route, **changes)


@attrs.define
class PlayedStream:
    """A stream that its caller has a part of."""

    request_id: str
    version: str
    begun_ms: float
    service: str = SERVICE


class StreamSite:
    """Some gateways, servers of several versions, and a store.

    Parameters
    ----------
    gateway_count : int
    gateway_class : type

    Attributes
    ----------
    mixed : list of tuple of str
        Version that began a stream, and the one at which it went on.
    """

    def __init__(self, gateway_count, gateway_class=StreamGateway):
        self.clock = ManualClock()
        self.store = ClockedStore(self.clock)
        self.servers = {}
        self._running_until_ms = {}
        self.streams = []
        self.mixed = []
        self.taken_up_count = 0
        self.went_on_count = 0
        self._count = 0
        self.add_server("v1")
        self.gateways = [gateway_class(self) for _ in range(gateway_count)]

    def add_server(self, version, service=SERVICE):
        """Register a server of a version."""
        self._count += 1
        backend = build.build_backend(
            backend_id=f"i-{self._count}",
            port=1_000 + self._count,
            service=service,
            started_unix_ms=self._count,
            software_version=version,
        )
        self.servers[backend.backend_id] = backend

    def remove_server(self, index):
        """End a server; the last one of a service stays."""
        backend_id = sorted(self.servers)[index % len(self.servers)]
        service = self.servers[backend_id].service
        if sum(item.service == service for item in self.servers.values()) > 1:
            self._end(backend_id)

    def _end(self, backend_id):
        """Remove a registration; the server runs for a while longer."""
        del self.servers[backend_id]
        self._running_until_ms[backend_id] = self.clock.monotonic_ms() + LEAVING_MS

    def _is_running(self, member):
        backend_id = member.backend_id
        until_ms = self._running_until_ms.get(backend_id, 0.0)
        return backend_id in self.servers or self.clock.monotonic_ms() < until_ms

    def remove_version(self, version, service=SERVICE):
        """End all servers of a version; the last version of a service stays."""
        found = [item for item in self.servers.values() if item.service == service]
        ended = [item for item in found if item.software_version == version]
        if len(ended) < len(found):
            for backend in ended:
                self._end(backend.backend_id)

    def restart_all(self):
        """Restart all gateways at once: none of them remembers anything."""
        for gateway in self.gateways:
            gateway.stop()
        for gateway in self.gateways:
            gateway.restart()

    def drain_server(self, index):
        """Let a server say that it leaves."""
        backend_id = sorted(self.servers)[index % len(self.servers)]
        self.servers[backend_id] = attrs.evolve(
            self.servers[backend_id], state=BackendState.DRAINING
        )

    def restore_store(self, copy):
        """Return the store to a copy."""
        self.store.history.restore(copy)

    def advance(self, duration_ms):
        """Let time pass."""
        tick_ms = TICK_MS if duration_ms < LONG_WAIT_MS else LONG_TICK_MS
        for _ in range(round(duration_ms / tick_ms)):
            self.clock.advance(tick_ms)
            for gateway in self.gateways:
                gateway.tick()
        oldest_ms = self.clock.monotonic_ms() - TAKEN_UP_WITHIN_MS
        self.streams = [item for item in self.streams if item.begun_ms > oldest_ms]

    def begin(self, index, choice, service=SERVICE):
        """Begin a stream at a gateway, and break it off after its first event."""
        gateway = self.gateways[index]
        self._count += 1
        request = build_stream(service, request_id=f"q-{self._count}")
        members = gateway.find_members(request) if gateway.is_ready else []
        running = [item for item in members if self._is_running(item)]
        if not running:
            return
        member = running[choice % len(running)]
        request.software_version = member.backend.software_version
        gateway.streams.record_begun(request)
        now_ms = self.clock.monotonic_ms()
        self.streams.append(
            PlayedStream(request.request_id, request.software_version, now_ms, service)
        )

    def take_up(self, index, choice):
        """Take one of the streams up at a gateway."""
        gateway = self.gateways[index]
        if not self.streams or not gateway.is_ready:
            return
        stream = self.streams[choice % len(self.streams)]
        request = build_stream(
            stream.service,
            request_id="q-next",
            has_events=True,
            resumes_id=stream.request_id,
        )
        self.taken_up_count += 1
        if not gateway.streams.find_version(request):
            return
        for member in gateway.find_members(request):
            if self._is_running(member):
                self.went_on_count += 1
                version = member.backend.software_version
                if version != stream.version:
                    self.mixed.append((stream.version, version))
