"""A team's configuration of one generation, as the processes use it."""

import enum

import attrs

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.identifiers import ADAPTER_SEPARATOR, AdapterRef
from nutmegdeal.messages import BackendKind, Urgency


class Fencing(enum.Enum):
    """How a service's model engines treat an order with an old fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


@attrs.frozen
class OperationPolicy:
    """Policy for the calls of one operation of a service.

    Parameters
    ----------
    name : str
    method : str
        HTTP method.
    path : str
        HTTP path at the backend server; a trailing ``*`` matches any suffix.
    idempotent : bool
        False if a call may run at most once.
    urgency : Urgency
    """

    name: str
    method: str
    path: str
    idempotent: bool
    urgency: Urgency

    def matches(self, method, path):
        """Return whether a call belongs to this operation."""
        if method != self.method:
            return False
        if self.path.endswith("*"):
            return path.startswith(self.path[:-1])
        return path == self.path


@attrs.frozen
class ServicePolicy:
    """One service of the team.

    Parameters
    ----------
    name : str
    kind : BackendKind
    operations : tuple of OperationPolicy
    replica_count : int
        Backend servers that the team plans for.
    concurrency_max : int
        Requests a backend server runs at once; a model engine's batch size.
    base_model : str
        Empty for a plain service.
    slot_count : int
        Adapters that one engine holds at once, 0 for a plain service.
    fencing : Fencing
    checks_orders : bool
        True if its backend servers authenticate the sender of an order.
    """

    name: str
    kind: BackendKind
    operations: tuple[OperationPolicy, ...]
    replica_count: int
    concurrency_max: int
    base_model: str = ""
    slot_count: int = 0
    fencing: Fencing = Fencing.IGNORED
    checks_orders: bool = False

    def find_operation(self, method, path):
        """Return the OperationPolicy of a call, or a Failure."""
        for operation in self.operations:
            if operation.matches(method, path):
                return operation
        return Failure(
            Reason.UNKNOWN_OPERATION,
            Step.RESOLVE,
            self.name,
            f"{method} {path} is not an operation of service {self.name}",
        )


@attrs.frozen
class AdapterPolicy:
    """One adapter and its versions.

    Parameters
    ----------
    name : str
    service : str
        Service whose engines serve it.
    versions : tuple of str
        Versions that requests may name.
    current : str
        Version used when a request names none.
    urgency : Urgency or None
        Overrides the operation's urgency if set.
    """

    name: str
    service: str
    versions: tuple[str, ...]
    current: str
    urgency: Urgency | None = None


@attrs.frozen
class WeightStorePolicy:
    """Limits of the weight store, shared by all of the team's engines.

    Parameters
    ----------
    loads_per_s : float
    full_speed_count : int
        Concurrent loads from the store that all run at full speed.
    transit_max : int
        Adapters in transit across all replicas, above which load time grows.
    load_ms : float
        Time of one load within these limits.
    """

    loads_per_s: float
    full_speed_count: int = 2
    transit_max: int = 16
    load_ms: float = 250.0


@attrs.frozen
class Configuration:
    """A team's complete policy of one generation.

    Parameters
    ----------
    generation : int
        0 for a configuration that has not been accepted yet.
    team, region : str
    zones : tuple of str
    stall_weight : float
        Relative weight of load stalls from 0 to 1; batch efficiency has the rest.
    weight_store : WeightStorePolicy
    services : dict of str to ServicePolicy
    adapters : dict of str to AdapterPolicy
    """

    generation: int
    team: str
    region: str
    zones: tuple[str, ...]
    stall_weight: float
    weight_store: WeightStorePolicy
    services: dict[str, ServicePolicy]
    adapters: dict[str, AdapterPolicy]

    def find_service(self, name):
        """Return the ServicePolicy of a name, or a Failure."""
        if name in self.services:
            return self.services[name]
        return Failure(
            Reason.UNKNOWN_SERVICE, Step.RESOLVE, name, f"no service {name!r}"
        )

    def resolve_model(self, model):
        """Return the AdapterRef that a request's ``model`` names, or a Failure.

        Parameters
        ----------
        model : str
            ``adapter@version``, or an adapter alone for its current version.
        """
        name, separator, version = model.partition(ADAPTER_SEPARATOR)
        adapter = self.adapters.get(name)
        if adapter is None:
            return Failure(
                Reason.UNKNOWN_ADAPTER, Step.RESOLVE, name, f"no adapter {name!r}"
            )
        if not separator:
            return AdapterRef(name, adapter.current)
        if version in adapter.versions:
            return AdapterRef(name, version)
        served = ", ".join(adapter.versions)
        return Failure(
            Reason.UNKNOWN_VERSION,
            Step.RESOLVE,
            name,
            f"adapter {name!r} has no version {version!r}; served: {served}",
        )
