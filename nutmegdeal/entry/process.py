"""Builds, runs and shuts down an entry process."""

import random

import attrs
import gevent
import gevent.event
import gevent.pool

from nutmegdeal.accounts import SegmentRecorder
from nutmegdeal.addresses import Address
from nutmegdeal.bridges import GreenletBridge
from nutmegdeal.buffering.answers import HELD_ANSWERS_BYTES_MAX
from nutmegdeal.buffering.bound import (
    BYTES_PER_MB,
    MemoryBound,
    compute_held_bytes_max,
)
from nutmegdeal.buffering.connections import ConnectionBound
from nutmegdeal.buffering.process_limits import (
    compute_connections_max,
    read_descriptors_max,
)
from nutmegdeal.channel import ChannelClient
from nutmegdeal.clock import SystemClock
from nutmegdeal.draining import wait_until_idle
from nutmegdeal.entry.admission import AdmissionLimiter
from nutmegdeal.entry.agents import AgentLinks
from nutmegdeal.entry.attempt_router import AttemptRouter
from nutmegdeal.entry.blackboard import Blackboard
from nutmegdeal.entry.http import CallerApplication
from nutmegdeal.entry.pollers import ConfigurationController, HostsController, Poller
from nutmegdeal.entry.relay import EntryComponents
from nutmegdeal.entry.rendezvous import RendezvousChooser
from nutmegdeal.entry.replication_degree import ReplicationDegreeTracker
from nutmegdeal.entry.server import CallerServer
from nutmegdeal.entry.service import EntryService
from nutmegdeal.entry.status import describe_status
from nutmegdeal.generations import StoredConfigurationTracker
from nutmegdeal.identifiers import RequestIdGenerator, new_incarnation
from nutmegdeal.ledger import TableLedger
from nutmegdeal.log import get_logger
from nutmegdeal.retry_budget import RetryBudget, compute_burst_tokens
from nutmegdeal.services.grouping import GroupCommitTable
from nutmegdeal.services.hosts import HttpHostList
from nutmegdeal.services.objects import HttpObjectStore
from nutmegdeal.services.table import HttpTableService

logger = get_logger(__name__)

IDLE_CHECK_EVERY_MS = 1_000
REFRESH_CHECK_EVERY_MS = 100
EXIT_FLUSH_TIMEOUT_MS = 5_000
# Time to send the answers of requests that are in progress when the drain times out.
FINAL_ANSWERS_WITHIN_MS = 500.0


@attrs.frozen
class Platform:
    """Clients of the platform's services: TableService, ObjectStore and HostList."""

    table: object
    objects: object
    hosts: object


def connect_platform(settings):
    """Return the Platform of a `PlatformSettings`."""
    timeout_ms = settings.call_within_ms
    return Platform(
        HttpTableService(settings.table_url, timeout_ms),
        HttpObjectStore(settings.objects_url, timeout_ms),
        HttpHostList(settings.hosts_url, timeout_ms),
    )


class EntryProcess:
    """Runs the listener, the controllers and the account recorder of an entry.

    Parameters
    ----------
    settings : Settings
    platform : Platform
    clock : Clock, optional
        The system clock by default.
    """

    def __init__(self, settings, platform, clock=None):
        clock = clock or SystemClock()
        incarnation = new_incarnation()
        name = settings.process.name or f"entry-{settings.listen.port}"
        configuration_tracker = StoredConfigurationTracker(
            platform.table, platform.objects, clock
        )
        self._settings = settings
        self._board = Blackboard(
            settings, clock, configuration_tracker, name, incarnation
        )
        self._recorder = SegmentRecorder(
            platform.objects, name, incarnation, clock, settings.accounts
        )
        self._hosts = HostsController(self._board, platform.hosts)
        client = ChannelClient(GreenletBridge(), settings.channel)
        self._links = AgentLinks(self._board, client)
        self._components = self._build_components(
            TableLedger(GroupCommitTable(platform.table), clock)
        )
        service = EntryService(
            self._components, self._recorder, RequestIdGenerator(incarnation)
        )
        limits = settings.process
        # Beside the answers, which have a bound of their own.
        memory_mb = limits.memory_mb - HELD_ANSWERS_BYTES_MAX / BYTES_PER_MB
        self._connections_max = compute_connections_max(
            memory_mb, read_descriptors_max(limits.descriptors_max)
        )
        self._application = CallerApplication(
            service,
            self._board,
            lambda: describe_status(self._board, self._components),
            MemoryBound(compute_held_bytes_max(memory_mb), clock),
        )
        self._server = None
        self._stop_requested = gevent.event.Event()
        self._greenlets = gevent.pool.Group()

    def _build_components(self, ledger):
        chooser = RendezvousChooser(random.Random())
        entry_settings = self._settings.entry
        ratio = entry_settings.retry_ratio
        return EntryComponents(
            blackboard=self._board,
            links=self._links,
            attempt_router=AttemptRouter(
                self._board, self._links, chooser, ReplicationDegreeTracker()
            ),
            ledger=ledger,
            admission_limiter=AdmissionLimiter(entry_settings.in_flight_max),
            budget=RetryBudget(
                ratio, compute_burst_tokens(ratio, entry_settings.in_flight_max)
            ),
        )

    def start(self):
        """Start the listener and the controllers; return the Address in use."""
        listen = self._settings.listen
        self._server = CallerServer(
            (listen.host, listen.port),
            self._application.wsgi,
            self._settings.entry.header_bytes_max,
            self._application.reply_to_invalid,
            ConnectionBound(self._connections_max),
        )
        self._server.start()
        platform = self._settings.platform
        configuration = ConfigurationController(self._board, self._links, random)
        pollers = (
            Poller(configuration.refresh, platform.head_poll_every_ms),
            Poller(configuration.refresh_if_due, REFRESH_CHECK_EVERY_MS),
            Poller(self._hosts.refresh, platform.hosts_poll_every_ms),
            Poller(self._links.close_idle, IDLE_CHECK_EVERY_MS),
        )
        for poller in pollers:
            self._greenlets.spawn(poller.run)
        self._greenlets.spawn(self._recorder.run)
        address = Address(listen.host, self._server.server_port)
        logger.info("started", address=str(address))
        return address

    def request_shutdown(self):
        """Make `run` drain and return; may be called from a signal handler."""
        self._board.is_draining = True
        self._stop_requested.set()

    def run(self):
        """Serve until asked to stop, then drain open requests and flush the accounts.

        Returns
        -------
        bool
            False if a request was still in progress when the drain timed out.
        """
        self._stop_requested.wait()
        logger.info("draining", open_count=self._application.open_count)
        clock = self._board.clock
        end_ms = clock.monotonic_ms() + self._settings.entry.drain_within_ms
        cut_off_count = wait_until_idle(self._application, clock, end_ms)
        if self._application.end_requests():
            answered_ms = clock.monotonic_ms() + FINAL_ANSWERS_WITHIN_MS
            wait_until_idle(self._application, clock, answered_ms)
        self._server.stop(timeout=0)
        self._links.close()
        self._greenlets.kill()
        self._flush()
        logger.info("stopped", cut_off_count=cut_off_count)
        return cut_off_count == 0

    def _flush(self):
        with gevent.Timeout(EXIT_FLUSH_TIMEOUT_MS / 1000, False):
            self._recorder.write_watermark(is_final=True)
