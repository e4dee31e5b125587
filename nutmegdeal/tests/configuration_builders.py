"""Builders of the operator's configuration, and of changes to each of its fields."""

import copy
import json

import attrs

from nutmegdeal.fakes.platform_configuration import (
    ENGINE_SERVICE,
    MODEL,
    PLAIN_SERVICE,
)

HOST = "chat.example"
SPARE_ENGINE_SERVICE = "spare-llm"
SPARE_PLAIN_SERVICE = "spare-core"
# No request ends by its timeout, unless a change shortens it.
TIMEOUT_MS = 20_000
TARGET_MS = 100
GAP_TARGET_MS = 50
# Latency target of the route whose requests wait before they are sent.
PATIENT_TARGET_MS = 5_000
HEADER_BYTES_MAX = 16_384
BODY_BYTES_MAX = 65_536
# Refusals that a limit or a timeout of a changed configuration may cause.
LIMIT_REFUSALS = frozenset({408, 413, 431})
DEADLINE_REFUSALS = frozenset({502, 503, 504})


def build_engine():
    """Return the description of the model engines of a service."""
    return {
        "slots": 64,
        "models": [{"name": MODEL, "weights_mb": 1, "adapter_mb": 0}],
        "weights_mb": 100,
        "adapter_slots": 3,
    }


def build_operator_configuration():
    """Return a configuration with routes of each kind and services of both kinds."""
    route = {
        "host": HOST,
        "timeout_ms": TIMEOUT_MS,
        "target_latency_ms": TARGET_MS,
        "max_attempts": 2,
        "priority": 1,
    }
    stream = {
        **route,
        "kind": "streaming",
        "target_gap_ms": GAP_TARGET_MS,
        "service": ENGINE_SERVICE,
    }
    plain = {**route, "service": PLAIN_SERVICE}
    patient = {**stream, "target_latency_ms": PATIENT_TARGET_MS}
    return {
        "version": 1,
        "routes": [
            {**stream, "name": "chat", "prefix": "/chat/", "resumable": True},
            {**stream, "name": "quote", "prefix": "/quote/", "resumable": False},
            {**patient, "name": "wait", "prefix": "/wait/", "resumable": True},
            {**plain, "name": "book", "prefix": "/book/", "kind": "unsafe"},
            {**plain, "name": "look", "prefix": "/look/", "kind": "safe"},
        ],
        "services": [
            {"name": name, "max_connections": 100, "engine": build_engine()}
            for name in (ENGINE_SERVICE, SPARE_ENGINE_SERVICE)
        ]
        + [
            {"name": name, "max_connections": 100}
            for name in (PLAIN_SERVICE, SPARE_PLAIN_SERVICE)
        ],
        "limits": {
            "max_header_bytes": HEADER_BYTES_MAX,
            "max_body_bytes": BODY_BYTES_MAX,
            "header_timeout_ms": 5_000,
            "idle_timeout_ms": 20_000,
        },
    }


@attrs.frozen
class ConfigurationChange:
    """A change of the operator's configuration.

    Parameters
    ----------
    name : str
    apply : callable
        Changes the configuration, a dict, in place.
    refusals : frozenset of int
        Status codes with which the changed configuration may refuse requests.
    """

    name: str
    apply: object
    refusals: frozenset = frozenset()


def encode_changed(version, *changes):
    """Return the row (bytes) of a configuration after changes, in their order."""
    data = copy.deepcopy(build_operator_configuration())
    for change in changes:
        change.apply(data)
    return json.dumps({**data, "version": version}).encode()


def change_routes(name, refusals=(), **fields):
    """Return a ConfigurationChange that sets fields of all routes, None to drop one."""

    def apply(data):
        for route in data["routes"]:
            for field, value in fields.items():
                if value is None:
                    route.pop(field, None)
                else:
                    route[field] = value

    return ConfigurationChange(name, apply, frozenset(refusals))


def change_services(name, refusals=(), is_engine_only=False, **fields):
    """Return a ConfigurationChange that sets fields of all services.

    Fields of the engines if `is_engine_only`.
    """

    def apply(data):
        for service in data["services"]:
            if not is_engine_only:
                service.update(fields)
            elif service.get("engine"):
                service["engine"].update(fields)

    return ConfigurationChange(name, apply, frozenset(refusals))


def change_limits(name, **fields):
    """Return a ConfigurationChange that sets limits of callers."""
    return ConfigurationChange(
        name, lambda data: data["limits"].update(fields), LIMIT_REFUSALS
    )


def _remove_routes(data):
    data["routes"] = []


def _add_routes(data):
    data["routes"] += [
        {**route, "name": f"added-{number}", "prefix": f"/added-{number}/"}
        for route in data["routes"][-1:]
        for number in range(300)
    ]


def _move_routes(data):
    spare = {ENGINE_SERVICE: SPARE_ENGINE_SERVICE, PLAIN_SERVICE: SPARE_PLAIN_SERVICE}
    for route in data["routes"]:
        route["service"] = spare[route["service"]]


def _split_routes(data, weight=1.0, spare_weight=2.0):
    spare = {ENGINE_SERVICE: SPARE_ENGINE_SERVICE, PLAIN_SERVICE: SPARE_PLAIN_SERVICE}
    for route in data["routes"]:
        service = route["service"]
        route["traffic_split"] = [
            {"service": service, "weight": weight},
            {"service": spare[service], "weight": spare_weight},
        ]


def _split_to_one(data):
    _split_routes(data, weight=0, spare_weight=1)


def _set_weights_to_zero(data):
    _split_routes(data, weight=0, spare_weight=0)


def _lengthen_prefixes(data):
    for route in data["routes"]:
        route["prefix"] += "go/"


def _swap_plain_kinds(data):
    kinds = {"safe": "unsafe", "unsafe": "safe"}
    for route in data["routes"]:
        route["kind"] = kinds.get(route["kind"], route["kind"])


def _remove_services(data):
    data["services"] = []


def _drop_engines(data):
    for service in data["services"]:
        service.pop("engine", None)


def _add_engines(data):
    for service in data["services"]:
        service.setdefault("engine", build_engine())


CHANGES = [
    ConfigurationChange("only_the_version", lambda data: None),
    ConfigurationChange("routes_removed", _remove_routes, frozenset({404})),
    ConfigurationChange("routes_added", _add_routes),
    ConfigurationChange("routes_moved", _move_routes),
    ConfigurationChange("routes_split", _split_routes),
    ConfigurationChange("split_to_one", _split_to_one),
    ConfigurationChange("weights_zero", _set_weights_to_zero, frozenset({503})),
    ConfigurationChange("prefixes_longer", _lengthen_prefixes, frozenset({404})),
    ConfigurationChange("kinds_swapped", _swap_plain_kinds),
    change_routes("host_changed", {404}, host="other.example"),
    change_routes("timeout_down", DEADLINE_REFUSALS, timeout_ms=150),
    change_routes("timeout_up", timeout_ms=60_000),
    change_routes("target_down", {503}, target_latency_ms=1),
    change_routes("target_up", target_latency_ms=10_000),
    change_routes("target_dropped", target_latency_ms=None),
    change_routes("gap_target_down", target_gap_ms=1),
    change_routes("gap_target_up", target_gap_ms=5_000),
    change_routes("gap_target_dropped", target_gap_ms=None),
    change_routes("attempts_down", max_attempts=1),
    change_routes("attempts_up", max_attempts=5),
    change_routes("priority_changed", priority=7),
    change_routes("not_resumable", resumable=False),
    change_routes("resumable", resumable=True),
    ConfigurationChange("services_removed", _remove_services, frozenset({503})),
    ConfigurationChange("engines_dropped", _drop_engines),
    ConfigurationChange("engines_added", _add_engines),
    change_services("models_dropped", is_engine_only=True, models=[]),
    change_services("slots_none", is_engine_only=True, adapter_slots=0),
    change_services("slots_up", is_engine_only=True, adapter_slots=50),
    change_services("memory_down", is_engine_only=True, weights_mb=1),
    change_services("running_down", is_engine_only=True, slots=1),
    change_services("connections_down", max_connections=1),
    change_services("connections_up", max_connections=10_000),
    change_limits("header_bytes_down", max_header_bytes=1),
    change_limits("header_bytes_up", max_header_bytes=1_000_000),
    change_limits("body_bytes_down", max_body_bytes=1),
    change_limits("body_bytes_up", max_body_bytes=10_000_000),
    change_limits("header_timeout_down", header_timeout_ms=1),
    change_limits("header_timeout_up", header_timeout_ms=60_000),
    change_limits("idle_timeout_down", idle_timeout_ms=1),
    change_limits("idle_timeout_up", idle_timeout_ms=60_000),
]
