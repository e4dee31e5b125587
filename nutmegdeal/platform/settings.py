"""The settings file that the platform provides to each process."""

import json
import os

import attrs

from nutmegdeal.addresses import Address
from nutmegdeal.errors import Failure, Reason, Step

# Environment variable with the path of the settings file.
SETTINGS_PATH_VARIABLE = "NUTMEGDEAL_BOOT"
# Pause between two writes of a registration, if the settings do not state it.
REGISTRATION_INTERVAL_MS = 1_200.0


@attrs.frozen
class Bounds:
    """Bounds that the platform sets on the behaviour of gateways and placers.

    Parameters
    ----------
    retry_ratio : float
        Retries allowed per request of a service, over all processes.
    retry_burst : float
        Further retries allowed in each window, over all processes.
    retry_window_ms : float
    grace_ms : float
        Time between SIGTERM and SIGKILL.
    drain_ms : float
        Time within which requests to a leaving backend server must stop.
    version_ms : float
        Time within which requests must start on a new version of their adapter.
    contact_ms : float
        Time after a fault from which on the other bounds must hold again.
    revoke_ms : float or None
        Time after which no request may run whose API key was taken away, at any
        gateway; None if only gateways in contact with the store are bound.
    config_apply_ms : float
        Time within which a new configuration must be in force.
    quota_window_ms : float
        Window in which quotas are measured.
    quota_overage : float
        Share by which quotas may be exceeded in it.
    quota_slack : float
        Further amount, in the unit of the quota.
    """

    retry_ratio: float
    retry_burst: float
    retry_window_ms: float
    grace_ms: float
    drain_ms: float
    version_ms: float
    contact_ms: float
    revoke_ms: float | None = None
    config_apply_ms: float = 0.0
    quota_window_ms: float = 0.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0


@attrs.frozen
class NodeSettings:
    """Settings of one process.

    Parameters
    ----------
    node_name, role, zone, ip : str
    callers_at, readiness_at : Address or None
        Addresses on which to listen for callers and for the readiness check.
    internal_port_first, internal_port_last : int
        Range of ports for connections between gateways and placers.
    store_at : Address
    engine_at : Address or None
        The backend server beside which this process runs, None if there is none.
    engine_service : str
        Service of that backend server, ``""`` if there is none.
    bounds : Bounds
    registration_interval_ms : float
        Pause between two writes of a backend server's registration.
    memory_mb : float or None
        Memory that the process may use; None if it is not limited.
    descriptors_max : int or None
        Descriptors that it may open; None if only the system limits them.
    """

    node_name: str
    role: str
    zone: str
    ip: str
    callers_at: Address | None
    readiness_at: Address | None
    internal_port_first: int
    internal_port_last: int
    store_at: Address
    engine_at: Address | None
    engine_service: str
    bounds: Bounds
    registration_interval_ms: float = REGISTRATION_INTERVAL_MS
    memory_mb: float | None = None
    descriptors_max: int | None = None


def parse_address(text):
    """Return the Address in a text ``IP:PORT``.

    Raises
    ------
    ValueError, AttributeError
        If the text has another form.
    """
    host, _, port = text.rpartition(":")
    if not host:
        raise ValueError(f"not an address: {text!r}")
    return Address(host, int(port))


def load_node_settings(path=None):
    """Read the settings file.

    Parameters
    ----------
    path : str, optional
        By default the value of the environment variable NUTMEGDEAL_BOOT.

    Returns
    -------
    NodeSettings or Failure
    """
    path = path or os.environ.get(SETTINGS_PATH_VARIABLE, "")
    try:
        with open(path, encoding="utf-8") as file:
            return decode_node_settings(json.load(file))
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        detail = f"{type(error).__name__}: {error}"
        return Failure(Reason.BAD_REQUEST, Step.CONFIGURE, path, detail)


def decode_node_settings(data):
    """Return the NodeSettings in decoded JSON; unknown fields are ignored.

    Raises
    ------
    KeyError, TypeError, ValueError, AttributeError
        If a required field is missing or has an invalid value.
    """
    listen = data.get("listen") or {}
    first_port, last_port = data["internal_ports"]
    limits = data.get("limits") or {}
    return NodeSettings(
        node_name=str(data["node_name"]),
        role=str(data["role"]),
        zone=str(data["zone"]),
        ip=str(data["ip"]),
        callers_at=_optional_address(listen.get("front")),
        readiness_at=_optional_address(listen.get("ready")),
        internal_port_first=int(first_port),
        internal_port_last=int(last_port),
        store_at=parse_address(data["platform"]["address"]),
        engine_at=_optional_address(data.get("app")),
        engine_service=str(data.get("service") or ""),
        bounds=_decode_bounds(data["bounds"]),
        registration_interval_ms=float(
            data.get("heartbeat_ms") or REGISTRATION_INTERVAL_MS
        ),
        memory_mb=_optional_float(limits.get("memory_mb")),
        descriptors_max=_optional_int(limits.get("max_fds")),
    )


def _optional_address(text):
    return parse_address(text) if text else None


def _optional_float(value):
    return float(value) if value else None


def _optional_int(value):
    return int(value) if value else None


def _decode_bounds(data):
    is_strict = data.get("revoke_strict")
    return Bounds(
        retry_ratio=float(data["retry_budget_ratio"]),
        # "budget_slack" is a number of retries, not a time.
        retry_burst=float(data["budget_slack"]),
        retry_window_ms=float(data["budget_window_s"]) * 1000,
        grace_ms=float(data["grace_s"]) * 1000,
        drain_ms=float(data["drain_ms"]),
        version_ms=float(data["version_ms"]),
        contact_ms=float(data["contact_ms"]),
        revoke_ms=_optional_float(data.get("revoke_ms")) if is_strict else None,
        config_apply_ms=float(data.get("config_apply_ms") or 0),
        quota_window_ms=float(data.get("quota_window_s") or 0) * 1000,
        quota_overage=float(data.get("quota_overage") or 0),
        # An amount of the quota's unit, not a time.
        quota_slack=float(data.get("quota_slack") or 0),
    )
