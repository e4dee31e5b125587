"""The operator's configuration of the soak's site, as its store holds it."""

import json

ENGINE_SERVICE = "assist-llm"
PLAIN_SERVICE = "hire-core"
MODEL = "model"
ADAPTER_SLOTS = 3
HOST = "soak.example"
TIMEOUT_MS = 6_000
IDLE_MS = 20_000

_ROUTE = {
    "host": HOST,
    "timeout_ms": TIMEOUT_MS,
    "target_latency_ms": 1_000,
    "max_attempts": 2,
    "priority": 1,
}
_CHAT = {
    **_ROUTE,
    "kind": "streaming",
    "resumable": True,
    "target_gap_ms": 1_000,
    "service": ENGINE_SERVICE,
}
_CONFIGURATION = {
    "routes": [
        {**_CHAT, "name": "chat", "prefix": "/chat/"},
        {**_CHAT, "name": "quote", "prefix": "/quote/", "resumable": False},
        {
            **_ROUTE,
            "name": "book",
            "prefix": "/book/",
            "kind": "unsafe",
            "service": PLAIN_SERVICE,
        },
        {
            **_ROUTE,
            "name": "look",
            "prefix": "/look/",
            "kind": "safe",
            "service": PLAIN_SERVICE,
        },
    ],
    "services": [
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
    ],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 5_000,
        "idle_timeout_ms": IDLE_MS,
    },
}


def encode_configuration(version):
    """Return the configuration (bytes); each version adds a route of its own."""
    added = {
        **_CONFIGURATION["routes"][-1],
        "name": f"added-{version}",
        "prefix": f"/added-{version}/",
    }
    routes = [*_CONFIGURATION["routes"], added]
    data = {**_CONFIGURATION, "version": version, "routes": routes}
    return json.dumps(data).encode()
