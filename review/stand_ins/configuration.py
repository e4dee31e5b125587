"""Builders of the operator's configuration."""

from installation import LIMITS


def build_route(name, prefix, kind, target, **changes):
    """Return a route; `target` is a service or a list of (service, weight)."""
    route = {
        "name": name,
        "host": "x.example",
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 300,
        "priority": 2,
        "max_attempts": 1,
        "sticky": False,
        "resumable": False,
    }
    if isinstance(target, str):
        route["service"] = target
    else:
        route["traffic_split"] = [{"service": s, "weight": w} for s, w in target]
    return {**route, **changes}


def build_configuration(version, routes, services):
    """Return the value of the row op/config."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
    }


def build_service(name, **changes):
    """Return a plain service."""
    service = {"name": name, "health_path": "/health", "max_connections": 110}
    return {**service, "protocol": "h1", "tls": False, **changes}


def build_engine_service(name, model):
    """Return a service of model replicas without adapters in use."""
    engine = {
        "slots": 64,
        "kv_capacity": 150000,
        "weights_mb": 17000.0,
        "adapter_slots": 29,
        "loads_per_s": 4.3,
        "models": [
            {
                "name": model,
                "weights_mb": 16100.0,
                "load_s": 0.6,
                "adapters": 0,
                "adapter_mb": 24.0,
            }
        ],
    }
    return build_service(name, max_connections=370, engine=engine)
