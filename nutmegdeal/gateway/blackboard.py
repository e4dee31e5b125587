"""The gateway's shared state: controllers read all of it and write their own part."""

import math

import attrs
import gevent.event

from nutmegdeal.clock import RemoteClockBound
from nutmegdeal.gateway.key_access import KeyStateLog
from nutmegdeal.gateway.shutdown import Shutdown
from nutmegdeal.gateway.software_versions import VersionHistory
from nutmegdeal.gateway.stream_book import StreamBook
from nutmegdeal.site_configuration import DEFAULT_CALLER_LIMITS
from nutmegdeal.tenants.access import KeyRing, build_access_limits

# Key in `AdapterWaiters` for requests that need only the base model.
BASE_MODEL = ""


def _build_key_ring(board):
    return KeyRing(build_access_limits(board.settings.bounds))


class AdapterWaiters:
    """Events on which requests wait until an adapter is loaded."""

    def __init__(self):
        self._events = {}

    def wait(self, adapter, within_ms):
        """Wait for at most `within_ms` until `wake` is called for the adapter."""
        event = self._events.get(adapter)
        if event is None:
            event = self._events[adapter] = gevent.event.Event()
        event.wait(max(within_ms, 0.0) / 1000)

    def wake_all(self):
        """Wake all greenlets that wait."""
        self.wake(list(self._events))

    def wake(self, adapters):
        """Wake all greenlets that wait for one of the adapters."""
        for adapter in adapters:
            event = self._events.pop(adapter, None)
            if event is not None:
                event.set()


@attrs.define
class Blackboard:
    """Current state of a gateway.

    Parameters
    ----------
    settings : NodeSettings
    clock : Clock
    membership : Membership
    versions : AdapterVersions
    configuration : SiteConfiguration or None
        None until the first one has been read.
    has_registrations : bool
        The registrations have been read at least once.
    has_prompt_parts : bool
        The suspected prompt parts have been read at least once.
    prompt_parts_era : int
        Era of the store in which the suspected prompt parts were read.
    is_draining : bool
    is_ending : bool
        Requests that have not been sent are refused, as the grace time ends.
    store_clock : RemoteClockBound
    store_clock_offset_ms : float
        Store's clock less the monotonic clock.
    store_era : int or None
        Era of the last answer of the store, None before the first one.
    store_era_since_ms : float
        When that era was first seen, on the monotonic clock.
    last_trouble_ms : float
        When a backend server ended or a call to the store failed, on the monotonic
        clock.
    initialized : gevent.event.Event
        Set once the configuration, the registrations and the suspected prompt parts
        have been read.
    waiters : AdapterWaiters
    software_versions : VersionHistory
    streams : StreamBook
    stream_rows_due : gevent.event.Event
        Set when rows of streams or the mark of software versions may have to be
        written.
    keys : KeyRing
        API keys of the configuration in force, on the boot-time clock.
    key_state_log : KeyStateLog
    shutdown : Shutdown
    """

    settings: object
    clock: object
    membership: object
    versions: object
    configuration: object = None
    has_registrations: bool = False
    has_prompt_parts: bool = False
    prompt_parts_era: int = 0
    is_draining: bool = False
    is_ending: bool = False
    store_clock: RemoteClockBound = attrs.field(factory=RemoteClockBound)
    store_clock_offset_ms: float = 0.0
    store_era: int | None = None
    store_era_since_ms: float = float("-inf")
    last_trouble_ms: float = float("-inf")
    initialized: gevent.event.Event = attrs.field(factory=gevent.event.Event)
    waiters: AdapterWaiters = attrs.field(factory=AdapterWaiters)
    software_versions: VersionHistory = attrs.field(factory=VersionHistory)
    streams: StreamBook = attrs.field(factory=StreamBook)
    stream_rows_due: gevent.event.Event = attrs.field(factory=gevent.event.Event)
    keys: KeyRing = attrs.field(default=attrs.Factory(_build_key_ring, takes_self=True))
    key_state_log: KeyStateLog = attrs.field(
        default=attrs.Factory(KeyStateLog, takes_self=True)
    )
    shutdown: Shutdown = attrs.field(factory=Shutdown)

    def put_in_force(self, configuration):
        """Use a newer configuration from now on."""
        self.keys.put_in_force(configuration.tenants, self.clock.boot_ms())
        self.configuration = configuration
        self.update_initialized()

    def update_initialized(self):
        """Set `initialized` if all tables have now been read."""
        if self._is_initialized:
            self.initialized.set()

    @property
    def _is_initialized(self):
        return (
            self.configuration is not None
            and self.has_registrations
            and self.has_prompt_parts
        )

    def find_made_ms(self, sent_ms, store_ms):
        """Return the earliest time at which an answer of the store may have been made.

        Parameters
        ----------
        sent_ms : float
            When the call was sent, on the boot-time clock.
        store_ms : float
            Time of the answer on the store's clock, 0.0 if it is not stated.

        Returns
        -------
        float
            On the monotonic clock, as if it had run while the host was suspended.
        """
        received_ms = self.clock.boot_ms()
        self.store_clock.tighten(sent_ms, store_ms, received_ms)
        made_ms = self.store_clock.find_made_ms(sent_ms, store_ms, received_ms)
        return self.clock.monotonic_ms() - (received_ms - made_ms)

    def record_store_answer(self, store_ms, era, sent_ms=None):
        """Record the time of an answer, on the store's clock, and its era.

        Parameters
        ----------
        store_ms : float
        era : int
        sent_ms : float, optional
            When the call was sent, on the boot-time clock. By default the answer counts
            as just made.
        """
        now_ms = made_ms = self.clock.monotonic_ms()
        if sent_ms is not None:
            made_ms = self.find_made_ms(sent_ms, store_ms)
        self.store_clock_offset_ms = store_ms - made_ms
        if era != self.store_era:
            self.store_era, self.store_era_since_ms = era, now_ms

    def record_suspended(self):
        """Record a suspension of the host for what depends on the time of reads."""
        suspended_ms = self.clock.boot_ms() - self.clock.monotonic_ms()
        self.software_versions.record_suspended(suspended_ms)

    def store_clock_least_offset_ms(self):
        """Return the least offset of the store's clock that is possible (float).

        With it, a time of the store is never converted to one that is too early.
        """
        boot_ms = self.clock.boot_ms()
        least_ms = self.store_clock.least_offset_at(boot_ms)
        if not math.isfinite(least_ms):
            return self.store_clock_offset_ms
        return least_ms + boot_ms - self.clock.monotonic_ms()

    def store_now_ms(self):
        """Return the time on the store's clock (float)."""
        return self.clock.monotonic_ms() + self.store_clock_offset_ms

    def record_trouble(self):
        """Record that a backend server has ended or a call to the store has failed."""
        self.last_trouble_ms = self.clock.monotonic_ms()

    def refuse_waiting(self):
        """Refuse the requests that have not been sent."""
        self.is_ending = True
        self.waiters.wake_all()

    @property
    def limits(self):
        """Return the CallerLimits in force."""
        if self.configuration is None:
            return DEFAULT_CALLER_LIMITS
        return self.configuration.limits

    @property
    def is_ready(self):
        """Return whether the gateway accepts new connections."""
        if not self._is_initialized or self.is_draining:
            return False
        return self.keys.is_confirmed(self.clock.boot_ms())

    def engine_capacity_for(self, service_name):
        """Return the EngineCapacity of a service, None if it has no model engines."""
        if self.configuration is None:
            return None
        service = self.configuration.services.get(service_name)
        return service.engine if service else None

    def shortest_gap_target_ms(self, service_name):
        """Return the shortest inter-event gap target of a service's streams.

        0.0 if no route of the service has a gap target.
        """
        if self.configuration is None:
            return 0.0
        gaps_ms = [
            route.gap_target_ms
            for route in self.configuration.routes
            if route.gap_target_ms > 0
            and any(target.service == service_name for target in route.targets)
        ]
        return min(gaps_ms, default=0.0)
