"""The gateway's view of the backend servers: registration, load and adapters.

Servers join, leave, restart and fail, also while the store that lists them has an
outage. A registration that expires because of such an outage stays valid for a grace
period. The store may also return from a copy: registrations in it may be of servers
that are gone, leave, or have restarted since, and newer ones are missing until their
servers write them again.
"""

import math
from bisect import bisect_right, insort

import attrs

from nutmegdeal.balancing.load_estimate import record_estimate_error
from nutmegdeal.balancing.load_trend import LoadTrend
from nutmegdeal.balancing.server_speed import ServerSpeed, ServiceSpeed
from nutmegdeal.gateway.availability import (
    Availability,
    DepartedBackend,
    LeavingSource,
    is_earlier_incarnation,
    is_same_incarnation,
)
from nutmegdeal.gateway.engine_places import EnginePlaces
from nutmegdeal.gateway.outcomes import OutcomeHistory
from nutmegdeal.platform.settings import REGISTRATION_INTERVAL_MS
from nutmegdeal.site_configuration import Backend, BackendState, split_adapter

# Registrations that expired during an outage of the store are renewed within about 2 s
# of its return. Half a second is added for reading them.
EXPIRY_GRACE_MS = 2_500.0
# Time that a load report takes to arrive: requests sent in this time before its arrival
# are not included in it.
REPORT_DELAY_MS = 150.0
# Validity of the load in an answer's headers: several service times.
LOAD_VALID_MS = 500.0
# Validity of the load in a placer's message: placers send one every 450 ms, and one
# message may be late.
PLACER_LOAD_VALID_MS = 1_000.0
# Time to the first event that is assumed of an engine without observations, and the
# weight of one observation in the average.
FIRST_EVENT_INITIAL_MS = 120.0
FIRST_EVENT_WEIGHT = 0.1
# Time within which a server that ended without notice registers again.
RETURN_WITHIN_MS = 5_000.0
# How long a removed server is remembered. A copy from which the store returns is some
# seconds old.
DEPARTED_KEPT_MS = 60_000.0


@attrs.define
class Member:
    """A backend server as this gateway knows it.

    Parameters
    ----------
    backend : Backend
        Its registration.
    expires_at_ms : float or None
        End of the grace period of an expired registration, on the monotonic clock.
        None while the registration exists.
    in_flight_count : int
        Requests of this gateway in progress at the server.
    history : OutcomeHistory
    availability : Availability
    resident : dict of str to int
        Loaded adapters, with their version.
    loading : frozenset of str
        Adapters that are being loaded, as ``name@version``.
    queued_count, gateway_count, waiting_tokens : int
        From the last EngineLoad that the server's placer sent.
    places : EnginePlaces or None
        From the last EngineLoad, None if the placer does not state it.
    first_event_ms : float
        Average time from sending a request to the first event of its stream.
    running_count, waiting_count : int
        From the last load report.
    reported_ms, load_valid_until_ms : float
        Arrival of the last load report and end of its validity, on the monotonic
        clock; minus infinity if there was none.
    is_linked, has_been_linked : bool
        The placer beside the server is connected, or has been connected before.
    is_registration_trusted : bool
        Without a placer, the adapters in the registration count as loaded.
    has_model : bool
        The engine holds its base model, which it loses in a restart.
    is_reachable : bool
        The server answers the placer beside it.
    recent_sends_ms : list of float
        Send times of this gateway's requests that the last report may not include, in
        order.
    has_restarted : bool
        Its placer reports another incarnation than the registered one.
    speed : ServerSpeed
    trend : LoadTrend
    """

    backend: Backend
    expires_at_ms: float | None = None
    in_flight_count: int = 0
    history: OutcomeHistory = attrs.field(factory=OutcomeHistory)
    availability: Availability = attrs.field(factory=Availability)
    resident: dict = attrs.field(factory=dict)
    loading: frozenset = frozenset()
    queued_count: int = 0
    gateway_count: int = 0
    waiting_tokens: int = 0
    places: EnginePlaces | None = None
    first_event_ms: float = FIRST_EVENT_INITIAL_MS
    running_count: int = 0
    waiting_count: int = 0
    reported_ms: float = float("-inf")
    load_valid_until_ms: float = float("-inf")
    is_linked: bool = False
    has_been_linked: bool = False
    is_registration_trusted: bool = False
    has_model: bool = False
    is_reachable: bool = True
    recent_sends_ms: list = attrs.field(factory=list)
    has_restarted: bool = False
    speed: ServerSpeed = attrs.field(factory=ServerSpeed)
    trend: LoadTrend = attrs.field(factory=LoadTrend)

    @property
    def backend_id(self):
        """Return the id under which the server is registered."""
        return self.backend.backend_id

    def is_usable(self, now_ms):
        """Return whether new requests may be sent to the server."""
        return self.is_registered(now_ms) and self.availability.accepts_requests(now_ms)

    def is_heard(self, now_ms):
        """Return whether its placer has just reported that the server responds."""
        is_fresh = now_ms <= self.load_valid_until_ms
        return self.is_linked and self.is_reachable and is_fresh

    def is_registered(self, now_ms):
        """Return whether the server's registration is valid."""
        return self.expires_at_ms is None or now_ms < self.expires_at_ms

    def record_sent(self, now_ms):
        """Record that a request is sent to the server."""
        self.in_flight_count += 1
        self.recent_sends_ms = [
            at for at in self.recent_sends_ms if at > now_ms - PLACER_LOAD_VALID_MS
        ]
        # The time was taken before the connection was opened, which may take a while.
        insort(self.recent_sends_ms, now_ms)

    def record_load(self, running_count, waiting_count, now_ms, valid_ms=LOAD_VALID_MS):
        """Record a load report of the server or its placer."""
        record_estimate_error(self, running_count + waiting_count, now_ms)
        self.running_count = running_count
        self.waiting_count = waiting_count
        self.reported_ms = now_ms
        self.load_valid_until_ms = max(self.load_valid_until_ms, now_ms + valid_ms)
        self.trend.record(running_count + waiting_count, now_ms)

    def expected_load(self, now_ms):
        """Return the estimated number of requests at the server (float).

        If servers of the service state their speed, the requests that others have added
        since the last report are estimated, too.
        """
        if now_ms > self.load_valid_until_ms:
            return float(self.in_flight_count)
        unseen = self.unseen_count
        if self.speed.service.is_stated:
            age_ms = now_ms - self.reported_ms + REPORT_DELAY_MS
            unseen = max(unseen, self.trend.expected_rise(age_ms))
        reported = self.running_count + self.waiting_count + unseen
        return float(max(reported, self.in_flight_count))

    @property
    def unseen_count(self):
        """Return how many own requests the last report may not include (int)."""
        sends_ms = self.recent_sends_ms
        if not sends_ms:
            return 0
        return len(sends_ms) - bisect_right(
            sends_ms, self.reported_ms - REPORT_DELAY_MS
        )

    def record_first_event(self, taken_ms):
        """Record the time from sending a request to the first event of its stream."""
        change_ms = taken_ms - self.first_event_ms
        self.first_event_ms += FIRST_EVENT_WEIGHT * change_ms

    @property
    def has_spare_place(self):
        """Return whether the engine can begin to load an adapter now."""
        return self.places is not None and self.places.spare_count > 0

    @property
    def has_full_places(self):
        """Return whether an adapter must wait for a place in the engine."""
        return self.places is not None and self.places.spare_count <= 0

    def holds(self, adapter, version):
        """Return whether a version of an adapter, or a newer one, is loaded.

        `version` None matches any version.
        """
        held = self.resident.get(adapter)
        return held is not None and (version is None or held >= version)

    def trust_registration(self):
        """Assume that the server holds what its registration lists."""
        self.is_registration_trusted = True
        self.has_model = True
        self.set_resident(self.backend.adapters)

    def set_resident(self, names):
        """Replace the loaded adapters, given as ``name@version``."""
        self.resident = dict(map(split_adapter, names))

    def update_resident(self, added_adapters, removed_adapters):
        """Add and remove loaded adapters, given as ``name@version``."""
        for name in removed_adapters:
            adapter, version = split_adapter(name)
            if self.resident.get(adapter) == version:
                del self.resident[adapter]
        self.resident.update(map(split_adapter, added_adapters))


class Membership:
    """The backend servers of an installation, by id.

    Parameters
    ----------
    on_joined, on_left : callable, optional
        Called with the Member that was added or removed.
    on_leaving : callable, optional
        Called with a Member that now is known to leave, and the LeavingSource.
    on_paused : callable, optional
        Called with a Member that asked for a pause, and its duration in ms.
    on_limited : callable, optional
        Called with a Member whose limit has changed, and the LimitSource.
    on_limit_unusable : callable, optional
        Called with a Member that names a limit which is no number, once.
    registration_interval_ms : float
        Pause between two writes of a server's registration.
    """

    def __init__(
        self,
        on_joined=None,
        on_left=None,
        on_leaving=None,
        on_paused=None,
        on_limited=None,
        on_limit_unusable=None,
        registration_interval_ms=REGISTRATION_INTERVAL_MS,
    ):
        self.members = {}
        self._limited_members = {}
        self._speeds = {}
        self._departed = {}
        self._replaced_versions = set()
        self._on_joined = on_joined or (lambda member: None)
        self._on_left = on_left or (lambda member: None)
        self._on_leaving = on_leaving or (lambda member, source: None)
        self._on_paused = on_paused or (lambda member, pause_ms: None)
        self._on_limited = on_limited or (lambda member, source: None)
        self._on_limit_unusable = on_limit_unusable or (lambda member: None)
        self._registration_interval_ms = registration_interval_ms
        self._store_regained_ms = float("-inf")

    def record_store_regained(self, now_ms):
        """Record that the store answers again after an outage, or from a copy."""
        self._store_regained_ms = now_ms

    def put(self, backend, now_ms, is_from_copy=False):
        """Add or update a registration.

        A server that has restarted under the same id becomes a new Member. What is
        known of a leaving server holds for all registrations of its incarnation.

        Parameters
        ----------
        backend : Backend
        now_ms : float
        is_from_copy : bool
            The registration may be older than what is known.

        Returns
        -------
        Member or None
            None if the registration is of an earlier incarnation than the known one.
        """
        member = self.members.get(backend.backend_id)
        departed = self._departed.get(backend.backend_id)
        known = member or departed
        if known is not None and is_earlier_incarnation(backend, known.backend):
            return None
        if member is not None and not is_same_incarnation(member.backend, backend):
            self._record_replaced(member.backend, backend)
            self._drop(member, now_ms)
            member = departed = None
        if member is None:
            member = self._add(backend, departed, now_ms, is_from_copy)
        else:
            member.backend = backend
            member.expires_at_ms = None
            if not is_from_copy:
                member.availability.record_confirmed()
            if member.is_registration_trusted and not member.is_linked:
                member.trust_registration()
        if backend.state is not BackendState.READY:
            self.record_leaving(member, LeavingSource.REGISTRATION)
        return member

    def _add(self, backend, departed, now_ms, is_from_copy):
        service_speed = self._speeds.setdefault(backend.service, ServiceSpeed())
        member = Member(backend, speed=ServerSpeed(service_speed))
        if departed is not None and is_same_incarnation(departed.backend, backend):
            member.availability.is_leaving = departed.is_leaving
            if is_from_copy:
                member.availability.record_unconfirmed(
                    self._registration_interval_ms, now_ms
                )
        self._departed.pop(backend.backend_id, None)
        self._replaced_versions.discard((backend.service, backend.software_version))
        self.members[backend.backend_id] = member
        self._on_joined(member)
        return member

    def _record_replaced(self, backend, successor):
        """Record that a server came back, perhaps with another software version."""
        if backend.software_version != successor.software_version:
            self._replaced_versions.add((backend.service, backend.software_version))

    def record_leaving(self, member, source):
        """Record that a server leaves; only its next incarnation gets requests."""
        if member.availability.record_leaving():
            self._on_leaving(member, source)

    def record_pause(self, member, pause_ms, now_ms):
        """Record that a server wants no requests of this gateway for some time."""
        if member.availability.record_pause(pause_ms, now_ms):
            self._on_paused(member, pause_ms)

    def record_limit(self, member, limit_per_s, source, stated_ms):
        """Record how many requests a second a server takes.

        Parameters
        ----------
        member : Member
        limit_per_s : float or None
            None for no limit.
        source : LimitSource
        stated_ms : float
            When the server said so, on the monotonic clock.
        """
        if not member.availability.record_limit(limit_per_s, stated_ms):
            return
        if limit_per_s is None:
            self._limited_members.pop(member.backend_id, None)
        elif self.members.get(member.backend_id) is member:
            self._limited_members[member.backend_id] = member
        self._on_limited(member, source)

    def record_unusable_limit(self, member):
        """Record that a server names a limit that is no number; the last one holds."""
        if member.availability.record_unusable_limit():
            self._on_limit_unusable(member)

    def remove(self, backend_id, now_ms):
        """Handle the removal of a registration.

        A registration that disappears just after an outage of the store may have
        expired because of the outage, so the member is kept for a grace period.
        """
        member = self.members.get(backend_id)
        if member is None:
            return
        grace_end_ms = self._store_regained_ms + EXPIRY_GRACE_MS
        if now_ms >= grace_end_ms:
            self._drop(member, now_ms)
        elif member.expires_at_ms is None:
            member.expires_at_ms = grace_end_ms

    def replace_all(self, backends, now_ms, is_from_copy=False):
        """Replace all registrations by those of a complete read.

        Parameters
        ----------
        backends : list of Backend
        now_ms : float
        is_from_copy : bool
            It is the first read since the store returned from a copy.
        """
        listed = {
            backend.backend_id
            for backend in backends
            if self.put(backend, now_ms, is_from_copy) is not None
        }
        for backend_id in set(self.members) - listed:
            self.remove(backend_id, now_ms)

    def expire(self, now_ms):
        """Remove the members whose grace period has ended."""
        for member in list(self.members.values()):
            if member.expires_at_ms is not None and now_ms >= member.expires_at_ms:
                self._drop(member, now_ms)
        for backend_id, departed in list(self._departed.items()):
            if now_ms - departed.departed_ms >= DEPARTED_KEPT_MS:
                del self._departed[backend_id]

    def usable(self, service, now_ms):
        """Return the Members of a service to which new requests may be sent."""
        return [
            member
            for member in self.members.values()
            if member.backend.service == service and member.is_usable(now_ms)
        ]

    def may_version_return(self, service, version, now_ms):
        """Return whether servers of a version without any may register soon.

        So it is if one has ended without notice, and no other server has taken its
        place; or if none was ever seen here.
        """
        departed = [
            item
            for item in self._departed.values()
            if item.backend.service == service
            and item.backend.software_version == version
        ]
        if not departed:
            return (service, version) not in self._replaced_versions
        taken = {item.backend.address for item in self.members.values()}
        return any(
            not item.is_leaving
            and item.backend.backend_id not in self.members
            and item.backend.address not in taken
            and now_ms - item.departed_ms < RETURN_WITHIN_MS
            for item in departed
        )

    def software_versions(self):
        """Return the versions of the registered servers, by service.

        Returns
        -------
        dict of str to dict of str to int
            Unix time of the earliest start of a server of the version, in ms.
        """
        versions = {}
        for member in self.members.values():
            backend = member.backend
            started = versions.setdefault(backend.service, {})
            known_ms = started.get(backend.software_version, math.inf)
            started[backend.software_version] = min(known_ms, backend.started_unix_ms)
        return versions

    def pause_end_ms(self, service, now_ms):
        """Return when the first paused server of a service accepts requests (float).

        On the monotonic clock. None if no server of the service is paused.
        """
        ends_ms = [
            member.availability.paused_until_ms
            for member in self.members.values()
            if member.backend.service == service
            and member.is_registered(now_ms)
            and member.availability.is_only_paused(now_ms)
        ]
        return min(ends_ms, default=None)

    @property
    def limited_count(self):
        """Return the number of servers that name a limit (int)."""
        return len(self._limited_members)

    def withheld(self, service, now_ms):
        """Return the Members of a service that take requests, but have no slot now."""
        return [
            member
            for member in self._limited_members.values()
            if member.backend.service == service
            and member.is_registered(now_ms)
            and member.availability.is_only_limited(now_ms)
        ]

    def _drop(self, member, now_ms):
        del self.members[member.backend_id]
        self._limited_members.pop(member.backend_id, None)
        self._departed[member.backend_id] = DepartedBackend(
            member.backend, member.availability.is_leaving, now_ms
        )
        self._on_left(member)
