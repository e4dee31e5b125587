"""Configuration of an installation: routes, services and limits.

These types do not depend on where the configuration is stored.
"""

import enum

import attrs

from nutmegdeal.identifiers import ADAPTER_SEPARATOR
from nutmegdeal.tenants.priority import TenantPriorities

# Callers abandon a stream if its first or its next event takes longer than all of: a
# minimum time, a multiple of the route's latency target, and a multiple of its gap
# target.
STREAM_STALL_TIMEOUT_MIN_MS = 2_000.0
STREAM_STALL_TIMEOUT_TARGET_FACTOR = 4.0
STREAM_STALL_TIMEOUT_GAP_FACTOR = 8.0


# Least urgent priority that a server accepts; the most urgent one is 0.
SERVER_PRIORITY_LAST = 9
# Difference of the priorities of two neighbouring ranks of routes, and priority of the
# first rank: resumed streams go one step before new requests of their rank.
ROUTE_PRIORITY_STEP = 2
ROUTE_PRIORITY_FIRST = 1
# Ranks from this one on have no step of their own: the next one has the last priority.
ROUTE_RANK_WITHOUT_STEP = 4


class RouteKind(enum.Enum):
    """Kind of a route; it decides whether a request may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class WeightedService:
    """A service that receives a share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Policy for the requests of one host and path prefix.

    Parameters
    ----------
    name, host, prefix : str
        `prefix` begins and ends with a slash.
    kind : RouteKind
    targets : tuple of WeightedService
    attempts_max : int
        Backend servers that one request may be sent to.
    timeout_ms : float
        Longest time from arrival to the final answer.
    target_ms : float
        Latency target; for streams, of the first event.
    rank : int
        Priority; 0 is the most urgent.
    is_resumable : bool
        True if a broken stream may continue at another backend server.
    gap_target_ms : float
        Longest pause between events of a stream that is still on time.
    is_public : bool
        Requests need no API key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[WeightedService, ...]
    attempts_max: int
    timeout_ms: float
    target_ms: float
    rank: int = 0
    is_resumable: bool = False
    gap_target_ms: float = 0.0
    is_public: bool = False

    @property
    def stream_stall_timeout_ms(self):
        """Return how long callers wait for the next event of a stream."""
        return max(
            STREAM_STALL_TIMEOUT_MIN_MS,
            STREAM_STALL_TIMEOUT_TARGET_FACTOR * self.target_ms,
            STREAM_STALL_TIMEOUT_GAP_FACTOR * self.gap_target_ms,
        )

    @property
    def is_repeatable(self):
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.is_resumable


def route_priority(route):
    """Return the priority (int) that servers are told for a new request of a route."""
    if route.rank == ROUTE_RANK_WITHOUT_STEP:
        return SERVER_PRIORITY_LAST - 1
    priority = route.rank * ROUTE_PRIORITY_STEP + ROUTE_PRIORITY_FIRST
    return min(priority, SERVER_PRIORITY_LAST)


@attrs.frozen
class EngineCapacity:
    """Capacity of each model engine of a service.

    Parameters
    ----------
    model : str
        Name of the base model.
    adapter_slots_max : int
        Adapters that one engine holds or loads at once.
    running_max : int
        Requests that run at once in one engine.
    """

    model: str
    adapter_slots_max: int
    running_max: int


@attrs.frozen
class Service:
    """A group of interchangeable backend servers.

    Parameters
    ----------
    name : str
    connections_max : int
        Connections that one backend server accepts from all callers together.
    engine : EngineCapacity or None
        None for a plain service.
    """

    name: str
    connections_max: int
    engine: EngineCapacity | None = None


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@attrs.frozen
class Quota:
    """Limit on what a tenant may use, over all gateways together.

    Parameters
    ----------
    unit : QuotaUnit
    rate_per_s : float
    burst : float
        What may be used at once, beyond the rate.
    plain_tokens : float
        Tokens of a request that states none.
    """

    unit: QuotaUnit
    rate_per_s: float
    burst: float
    plain_tokens: float = 0.0


@attrs.frozen
class Tenant:
    """A customer's part of an installation, recognized by its API keys.

    Parameters
    ----------
    name : str
    rank : int or None
        Priority, which goes before the route's; None leaves the route's.
    quota : Quota or None
        None for no limit.
    """

    name: str
    rank: int | None = None
    quota: Quota | None = None


@attrs.frozen
class CallerLimits:
    """Limits on the size of a caller's requests and on the time to send them."""

    header_bytes_max: int
    body_bytes_max: int
    header_timeout_ms: float
    idle_timeout_ms: float


DEFAULT_CALLER_LIMITS = CallerLimits(16_384, 4_194_304, 3_000.0, 15_000.0)


@attrs.frozen
class _PrefixTable:
    """The routes of one host.

    Parameters
    ----------
    by_prefix : dict of str to Route
    lengths : list of int
        Of the prefixes, the longest first. There are few, also with many routes.
    """

    by_prefix: dict
    lengths: list

    def find(self, path):
        """Return the Route with the longest prefix of a path, or None."""
        for length in self.lengths:
            route = self.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


@attrs.frozen
class SiteConfiguration:
    """One version of an installation's configuration.

    Parameters
    ----------
    version : int
        Never decreases.
    routes : tuple of Route
    services : dict of str to Service
    limits : CallerLimits
    tenants : TenantDirectory or None
        None if requests need no API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    tenants: object = None
    _by_host: dict = attrs.field(init=False, repr=False, eq=False)
    _priorities: object = attrs.field(init=False, repr=False, eq=False)

    @_priorities.default
    def _build_priorities(self):
        tenants = self.tenants.tenants if self.tenants is not None else ()
        tenant_ranks = {item.rank for item in tenants if item.rank is not None}
        route_ranks = {route.rank for route in self.routes}
        return TenantPriorities(tenant_ranks, route_ranks, SERVER_PRIORITY_LAST)

    def server_priority(self, route, tenant):
        """Return the priority (int) that servers are told for a request.

        Parameters
        ----------
        route : Route
        tenant : Tenant or None
        """
        if tenant is None or tenant.rank is None:
            return route_priority(route)
        return self._priorities.combine(tenant.rank, route.rank)

    @_by_host.default
    def _group_by_host(self):
        grouped = {}
        for route in self.routes:
            by_prefix = grouped.setdefault(route.host, {})
            # Of several routes with the same prefix, the first one counts.
            by_prefix.setdefault(route.prefix, route)
        return {
            host: _PrefixTable(
                by_prefix, sorted(set(map(len, by_prefix)), reverse=True)
            )
            for host, by_prefix in grouped.items()
        }

    def find_route(self, host, path):
        """Return the Route with the longest prefix of a path, or None."""
        table = self._by_host.get(host)
        return table.find(path) if table is not None else None


# Adapters that one engine loads at once.
CONCURRENT_LOADS_MAX = 4
# Time of one load while the weight store is not congested, from the data sheets of the
# installations.
UNCONTENDED_LOAD_MS = 250.0


def split_adapter(name):
    """Return the adapter (str) and the version (int) in ``name@version``.

    Raises
    ------
    ValueError
        If `name` does not have this form.
    """
    adapter, _, version = name.rpartition(ADAPTER_SEPARATOR)
    if not adapter or not version.isdigit():
        raise ValueError(f"not an adapter with a version: {name!r}")
    return adapter, int(version)


class BackendState(enum.Enum):
    """State that a backend server reports about itself."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class Backend:
    """A backend server as it registered itself.

    Parameters
    ----------
    backend_id : str
        Usually changes when the server restarts.
    service, zone : str
    host : str
        IP address.
    port : int
    slots : int
        Requests that it runs at once.
    state : BackendState
    adapters : frozenset of str
        Adapters that it held when it registered, as ``name@version``.
    started_unix_ms : int
        Start of this incarnation by the server's clock, 0 if it is not reported.
    software_version : str
        Version of its software, ``""`` if it is not reported.
    """

    backend_id: str
    service: str
    zone: str
    host: str
    port: int
    slots: int
    state: BackendState = BackendState.READY
    adapters: frozenset[str] = frozenset()
    started_unix_ms: int = 0
    software_version: str = ""

    @property
    def address(self):
        """Return the pair of IP address and port."""
        return (self.host, self.port)


@attrs.define
class VersionPeriod:
    """When servers of one software version were registered.

    Parameters
    ----------
    first_ms, last_ms : float
    absent_ms : float
        Until when none was registered, minus infinity if that is not known.
    """

    first_ms: float
    last_ms: float
    absent_ms: float = float("-inf")


@attrs.frozen
class AdapterVersion:
    """The newest version of an adapter of a model."""

    model: str
    adapter: str
    version: int

    @property
    def adapter_key(self):
        """Return what tells the adapter from those of other models (str)."""
        return build_adapter_key(self.model, self.adapter)


def build_adapter_key(model, adapter):
    """Return what tells an adapter from those of other models (str)."""
    return f"{model}/{adapter}"
