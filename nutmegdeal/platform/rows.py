"""Decoding of the store rows that the operator and the backend servers write.

Every decoder raises one of DECODE_ERRORS for an invalid value.
"""

import base64
import hashlib
import ipaddress
import json
import math

import attrs

from nutmegdeal.platform.headers import encode_text
from nutmegdeal.site_configuration import (
    AdapterVersion,
    Backend,
    BackendState,
    CallerLimits,
    EngineCapacity,
    Quota,
    QuotaUnit,
    Route,
    RouteKind,
    Service,
    SiteConfiguration,
    Tenant,
    WeightedService,
    split_adapter,
)
from nutmegdeal.tenants.directory import TenantDirectory

# Tables of the operator's rows and of the backend servers' registrations.
OPERATOR_TABLE = "op"
BACKENDS_TABLE = "servers"
# Tables of ours: suspected prompt parts, and streams whose version matters.
PARTS_TABLE = "prompt-parts"
STREAMS_TABLE = "streams"
STREAM_KEY_BYTES = 16
# Row that names the software versions of services which have several. It is in the
# table of suspects, which every gateway reads as it starts, and watches. No suspect has
# a space in its id.
VERSIONS_MARK_KEY = "software versions"
CONFIGURATION_KEY = "config"
VERSION_KEY_PREFIX = "version/"
# The last two are of infinite numbers and of JSON that is nested too deeply.
DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)

PORT_MAX = 65_535
# Largest whole number that JSON decoders of all languages read exactly.
WHOLE_NUMBER_MAX = 2**53 - 1
# More requests at once are a mistake of the writer.
SLOTS_MAX = 1_000_000
# Longest name in a registration; services and versions are named in rows of the store.
NAME_CHARACTERS_MAX = 200
# Decoding so many takes about 1 ms of processor time.
ROUTES_BETWEEN_PAUSES = 100

_STATES = {state.value: state for state in BackendState}
_ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}


@attrs.frozen
class StoredRow:
    """A row of the store.

    Parameters
    ----------
    key : str
    value : bytes or None
        None if the row was removed.
    version : int
        0 for a removed row without a version.
    """

    key: str
    # The operator's row has API keys, which must not be logged.
    value: bytes | None = attrs.field(repr=False)
    version: int


def decode_row(data):
    """Return the StoredRow in a decoded JSON object of an answer.

    A value that is no base64 is empty: whoever wrote it must not keep others' rows from
    being read.
    """
    if data.get("removed"):
        return StoredRow(str(data["key"]), None, int(data.get("ver") or 0))
    try:
        value = base64.b64decode(data.get("value"), validate=True)
    except (TypeError, ValueError):
        value = b""
    return StoredRow(str(data["key"]), value, int(data["ver"]))


def decode_whole_number(value, smallest=0, largest=WHOLE_NUMBER_MAX):
    """Return a whole number (int) of a decoded JSON object.

    Raises
    ------
    ValueError
        If it is of another type, or out of range.
    """
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not smallest <= value <= largest or value != int(value):
        raise ValueError("not a whole number in the range")
    return int(value)


def encode_transaction(table, expected, writes, removed_keys, part=""):
    """Return the body (bytes) of a transaction.

    Parameters
    ----------
    table : str
    expected : dict of str to int
        Version that each row must have, by key; 0 if it must not exist.
    writes : dict of str to bytes
    removed_keys : iterable of str
    part : str
        Part of the store that holds the rows. Transactions of one part are executed
        one after the other.
    """

    def locate(key):
        return {"table": table, "part": part, "key": key}

    body = {
        "expected": [{**locate(key), "ver": ver} for key, ver in expected.items()],
        "writes": [
            {**locate(key), "value": base64.b64encode(value).decode()}
            for key, value in writes.items()
        ],
        "remove": [locate(key) for key in removed_keys],
    }
    return json.dumps(body).encode()


def decode_configuration(value, pause=None):
    """Return the SiteConfiguration in the operator's row.

    Parameters
    ----------
    value : bytes
    pause : callable, optional
        Called after every ROUTES_BETWEEN_PAUSES routes, so that other work can go on.
    """
    try:
        data = json.loads(value)
    except UnicodeError:
        # Its representation would quote the whole row, with all API keys.
        raise ValueError("the configuration is not UTF-8") from None
    routes = []
    for number, route in enumerate(data["routes"], start=1):
        routes.append(_decode_route(route))
        if pause is not None and number % ROUTES_BETWEEN_PAUSES == 0:
            pause()
    return SiteConfiguration(
        version=int(data["version"]),
        routes=tuple(routes),
        services={
            item["name"]: _decode_service(item) for item in data.get("services", ())
        },
        limits=_decode_limits(data["limits"]),
        tenants=_decode_tenants(data.get("tenants")),
    )


class _TenantError(ValueError):
    """A tenant is not valid. The text has no part of an API key."""


def _decode_tenants(data):
    """Return the TenantDirectory of a configuration, None if it names no tenants."""
    if data is None:
        return None
    try:
        return TenantDirectory(
            (_decode_tenant(item), _decode_keys(item.get("api_keys") or []))
            for item in data
        )
    except _TenantError:
        raise
    except DECODE_ERRORS as error:
        # Other errors may quote what was decoded, and errors are logged.
        raise _TenantError(f"not tenants: {type(error).__name__}") from None


def _decode_keys(data):
    """Return the API keys (list of bytes) of a tenant."""
    if not isinstance(data, list) or not all(isinstance(key, str) for key in data):
        raise _TenantError("the API keys of a tenant are not a list of texts")
    return [encode_text(key) for key in data]


def _decode_tenant(data):
    rank = data.get("priority")
    name = str(data["name"])
    if not name.isprintable() or name != name.strip():
        raise _TenantError("the name of a tenant cannot be sent in a header")
    return Tenant(
        name=name,
        rank=int(rank) if rank is not None else None,
        quota=_decode_quota(data),
    )


def _decode_quota(data):
    """Return the Quota of a tenant, None without a limit."""
    rate_per_s = float(data.get("rate_per_s") or 0)
    burst = float(data.get("burst") or 0)
    if not rate_per_s:
        return None
    if not (0 < rate_per_s < math.inf and 0 <= burst < math.inf):
        raise _TenantError(f"not a quota: {rate_per_s}, {burst}")
    is_tokens = data.get("unit") == QuotaUnit.TOKENS.value
    unit = QuotaUnit.TOKENS if is_tokens else QuotaUnit.REQUESTS
    plain_tokens = float(data.get("plain_tokens") or 0)
    return Quota(unit, rate_per_s, burst, plain_tokens)


def _decode_route(data):
    # A route names one service, or several with the weights of a traffic split.
    split = data.get("traffic_split") or [{"service": data["service"], "weight": 1}]
    return Route(
        name=str(data["name"]),
        host=str(data["host"]).lower(),
        prefix=str(data["prefix"]),
        kind=_ROUTE_KINDS[data["kind"]],
        targets=tuple(
            WeightedService(str(part["service"]), float(part["weight"]))
            for part in split
        ),
        attempts_max=int(data.get("max_attempts") or 1),
        timeout_ms=float(data["timeout_ms"]),
        target_ms=float(data.get("target_latency_ms") or data["timeout_ms"]),
        # Priority 0 is the most urgent.
        rank=int(data.get("priority") or 0),
        is_resumable=bool(data.get("resumable")),
        gap_target_ms=float(data.get("target_gap_ms") or 0.0),
        is_public=bool(data.get("public")),
    )


def _decode_service(data):
    engine = data.get("engine")
    return Service(
        name=str(data["name"]),
        connections_max=int(data["max_connections"]),
        engine=_decode_engine(engine) if engine and engine.get("models") else None,
    )


def _decode_engine(data):
    model = data["models"][0]
    slots = int(data["adapter_slots"])
    adapter_mb = float(model.get("adapter_mb") or 0.0)
    if adapter_mb > 0:
        # "weights_mb" of the engine is the memory for the model and all its adapters.
        available_mb = float(data["weights_mb"]) - float(model["weights_mb"])
        slots = min(slots, int(available_mb / adapter_mb))
    return EngineCapacity(str(model["name"]), slots, int(data["slots"]))


def _decode_limits(data):
    return CallerLimits(
        header_bytes_max=int(data["max_header_bytes"]),
        body_bytes_max=int(data["max_body_bytes"]),
        header_timeout_ms=float(data["header_timeout_ms"]),
        idle_timeout_ms=float(data["idle_timeout_ms"]),
    )


def decode_backend(key, value):
    """Return the Backend in a registration row."""
    if not _is_header_value(key):
        raise ValueError("the id of a server cannot be sent in a header")
    data = json.loads(value)
    host, port = _decode_address(data["address"])
    return Backend(
        backend_id=key,
        service=_check_name(data["service"]),
        zone=_check_name(data["zone"]),
        host=host,
        port=port,
        slots=decode_whole_number(data["slots"], 1, SLOTS_MAX),
        state=_STATES[data["state"]],
        adapters=decode_adapters(data.get("models") or ()),
        # "born" is the start of the incarnation.
        started_unix_ms=decode_whole_number(data.get("born") or 0),
        software_version=_decode_software_version(data.get("version")),
    )


def _decode_address(text):
    """Return the host and the port in IP:PORT."""
    host, _, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdigit()):
        raise ValueError("the port is no number")
    return host, decode_whole_number(int(port), 1, PORT_MAX)


def _check_name(value):
    """Return a name, which must be a text that rows of the store can hold."""
    if not isinstance(value, str) or len(value) > NAME_CHARACTERS_MAX:
        raise ValueError("not a name")
    value.encode()
    return value


def _decode_software_version(value):
    """Return the version of a server's software, "" if it is missing or no text."""
    return _check_name(value) if isinstance(value, str) else ""


def _is_header_value(text):
    """Return whether a text can be sent as the value of a header."""
    is_encodable = text.isascii() and text.isprintable()
    return bool(text) and is_encodable and text == text.strip()


def decode_adapters(models):
    """Return the adapters of a list of models, a frozenset of ``name@version``."""
    return frozenset(
        check_adapter(adapter)
        for model in models
        for adapter in model.get("adapters") or ()
    )


def check_adapter(name):
    """Return ``name@version`` of an adapter.

    Raises
    ------
    AttributeError, ValueError
        If it is something else.
    """
    _, version = split_adapter(name)
    decode_whole_number(version)
    return name


def decode_adapter_version(value):
    """Return the AdapterVersion in an operator's row."""
    data = json.loads(value)
    return AdapterVersion(
        str(data["model"]), str(data["adapter"]), decode_whole_number(data["version"])
    )


@attrs.frozen
class StreamRow:
    """The value of a row of the table of streams.

    Parameters
    ----------
    service : str
    version : str
        Software version of the server that began the stream.
    begun_ms : float
        When the caller received its first event, on the store's clock.
    """

    service: str
    version: str
    begun_ms: float


def encode_stream_key(request_id):
    """Return the key of the row of a stream, named by its first attempt (str)."""
    digest = hashlib.blake2b(request_id.encode("latin-1"), digest_size=STREAM_KEY_BYTES)
    return digest.hexdigest()


def encode_stream_row(stream):
    """Return the value (bytes) of a row with a StreamRow."""
    return json.dumps(attrs.asdict(stream)).encode()


def decode_stream_row(value):
    """Return the StreamRow in a row."""
    data = json.loads(value)
    service, version = data["service"], data["version"]
    if not (isinstance(service, str) and isinstance(version, str)):
        raise ValueError("not a stream")
    return StreamRow(service, version, float(data["begun_ms"]))


def encode_versions_mark(marked_ms, first_ms_by_service, offset_ms):
    """Return the value (bytes) of the row that names versions of services.

    Parameters
    ----------
    marked_ms : float
    first_ms_by_service : dict of str to dict of str to float
        When each version joined, by service and version.
    offset_ms : float
        Store's clock less the clock of the times given.
    """
    # Gateways of earlier releases also read when each version was seen last.
    versions = {
        service: {
            version: [first_ms + offset_ms, marked_ms + offset_ms]
            for version, first_ms in by_version.items()
        }
        for service, by_version in first_ms_by_service.items()
    }
    data = {"marked_ms": marked_ms + offset_ms, "versions": versions}
    return json.dumps(data).encode()


def decode_versions_mark(value, offset_ms):
    """Return the time and the versions of the row that `encode_versions_mark` wrote."""
    data = json.loads(value)
    first_ms_by_service = {
        str(service): {
            str(version): float(first_ms) - offset_ms
            for version, (first_ms, _) in by_version.items()
        }
        for service, by_version in data["versions"].items()
    }
    return float(data["marked_ms"]) - offset_ms, first_ms_by_service
