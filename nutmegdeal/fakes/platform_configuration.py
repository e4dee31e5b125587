"""Operator configuration of a small site, in the format of the platform's store."""

import json

ENGINE_SERVICE = "assist-llm"
PLAIN_SERVICE = "hire-core"
MODEL = "model"
ADAPTER_SLOTS = 3
IDLE_MS = 20_000

_SERVICES = [
    {
        "name": ENGINE_SERVICE,
        "max_connections": 100,
        "engine": {
            "slots": 64,
            "models": [{"name": MODEL, "weights_mb": 1, "adapter_mb": 0}],
            "weights_mb": 100,
            "adapter_slots": ADAPTER_SLOTS,
        },
    },
    {"name": PLAIN_SERVICE, "max_connections": 100},
]
_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 5_000,
    "idle_timeout_ms": IDLE_MS,
}


def encode_configuration(
    version, host, timeout_ms, target_ms, gap_target_ms=None, tenants=None
):
    """Return a configuration (bytes) that has a route of each kind.

    Parameters
    ----------
    version : int
        Each version also has a route that only it has, ``/added-VERSION/``.
    host : str
    timeout_ms, target_ms : int
        Timeout and target latency of all routes.
    gap_target_ms : int, optional
        Target for the time between two events of a stream; `target_ms` by default.
    tenants : list of dict, optional
        Tenants with their API keys. There is then also a route that needs no key,
        ``/open/``.
    """
    route = {
        "host": host,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "max_attempts": 2,
        "priority": 1,
    }
    stream = {
        **route,
        "kind": "streaming",
        "target_gap_ms": gap_target_ms or target_ms,
        "service": ENGINE_SERVICE,
    }
    plain = {**route, "service": PLAIN_SERVICE}
    added = f"added-{version}"
    routes = [
        {**stream, "name": "chat", "prefix": "/chat/", "resumable": True},
        {**stream, "name": "quote", "prefix": "/quote/", "resumable": False},
        {**plain, "name": "book", "prefix": "/book/", "kind": "unsafe"},
        {**plain, "name": "look", "prefix": "/look/", "kind": "safe"},
        {**plain, "name": added, "prefix": f"/{added}/", "kind": "safe"},
    ]
    data = {
        "version": version,
        "routes": routes,
        "services": _SERVICES,
        "limits": _LIMITS,
    }
    if tenants is not None:
        open_route = {**plain, "name": "open", "prefix": "/open/", "kind": "safe"}
        routes.append({**open_route, "public": True})
        data["tenants"] = tenants
    return json.dumps(data).encode()
