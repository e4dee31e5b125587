"""What an installation's configuration says: routes, services and limits.

These types are the same wherever the configuration comes from.
"""

import enum

import attrs

from nutmegdeal.identifiers import ADAPTER_SEPARATOR

# Callers give a stream up that has no next event, nor a first one, for the longest of
# these: a time, so many latency targets, so many pauses that are on time.
PATIENCE_LEAST_MS = 2_000.0
PATIENCE_TARGETS = 4.0
PATIENCE_GAPS = 8.0


class RouteKind(enum.Enum):
    """What may be repeated of a request."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class WeightedService:
    """A service that a route sends part of its requests to."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """How requests of one host and path prefix are served.

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
        Latency objective; of the first event for streams.
    rank : int
        Urgency, 0 is the most urgent.
    is_resumable : bool
        A broken stream may go on at another backend server.
    gap_target_ms : float
        Longest pause between events of a stream that is still on time.
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

    @property
    def patience_ms(self):
        """Return how long callers wait for the next event of a stream."""
        return max(
            PATIENCE_LEAST_MS,
            PATIENCE_TARGETS * self.target_ms,
            PATIENCE_GAPS * self.gap_target_ms,
        )

    @property
    def is_repeatable(self):
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.is_resumable


@attrs.frozen
class EngineTerms:
    """What the model engines of a service hold.

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
    engine : EngineTerms or None
        None for a plain service.
    """

    name: str
    connections_max: int
    engine: EngineTerms | None = None


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how slowly."""

    header_bytes_max: int
    body_bytes_max: int
    header_within_ms: float
    idle_within_ms: float


DEFAULT_CALLER_LIMITS = CallerLimits(16_384, 4_194_304, 3_000.0, 15_000.0)


@attrs.frozen
class SiteConfiguration:
    """One version of an installation's configuration.

    Parameters
    ----------
    version : int
        Only grows.
    routes : tuple of Route
    services : dict of str to Service
    limits : CallerLimits
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    _by_host: dict = attrs.field(init=False, repr=False, eq=False)

    @_by_host.default
    def _group_by_host(self):
        grouped = {}
        for route in self.routes:
            grouped.setdefault(route.host, []).append(route)
        for routes in grouped.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        return grouped

    def find_route(self, host, path):
        """Return the Route with the longest prefix of a path, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


# Adapters that an engine has on their way at once.
LOADS_AT_ONCE = 4
# Time that a load takes while the weight store is not crowded, from the sheets.
LOAD_MS = 250.0


def split_adapter(name):
    """Return the adapter (str) and the version (int) in ``name@version``.

    Raises
    ------
    ValueError
        If it is something else.
    """
    adapter, _, version = name.rpartition(ADAPTER_SEPARATOR)
    if not adapter or not version.isdigit():
        raise ValueError(f"not an adapter with a version: {name!r}")
    return adapter, int(version)


class BackendState(enum.Enum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class Backend:
    """A backend server as it registered itself.

    Parameters
    ----------
    backend_id : str
        Changes with most restarts.
    service, zone : str
    host : str
        IP address.
    port : int
    slots : int
        Requests that it runs at once.
    state : BackendState
    adapters : frozenset of str
        Those it held when it registered, as ``name@version``.
    started_unix_ms : int
        Start of this incarnation by the server's clock, 0 if it does not say.
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

    @property
    def address(self):
        """Return the pair of IP address and port."""
        return (self.host, self.port)


@attrs.frozen
class AdapterVersion:
    """The newest version of an adapter of a model."""

    model: str
    adapter: str
    version: int
