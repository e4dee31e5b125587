"""Builders of test data."""

from nutmegdeal.configuration import (
    AdapterPolicy,
    Configuration,
    OperationPolicy,
    ServicePolicy,
    WeightStorePolicy,
)
from nutmegdeal.messages import BackendKind, Submit, Urgency


def build_submit(**changes):
    """Return a Submit of an idempotent completion."""
    values = {
        "request_id": "r-1",
        "attempt_id": "r-1.1",
        "service": "assist-llm",
        "method": "POST",
        "path": "/v1/completions",
        "content_type": "application/json",
        "body": b'{"prompt": "jaw setting", "max_tokens": 4}',
        "adapter": "quote-0001",
        "version": "2",
        "urgency": Urgency.URGENT,
        "idempotent": True,
        "idempotency_key": "",
        "expiry_unix_ms": 0,
        "deadline_unix_ms": 1_700_000_030_000,
        "generation": 1,
    }
    return Submit(**{**values, **changes})


def build_booking(**changes):
    """Return a Submit of a non-idempotent call to a plain service."""
    values = {
        "service": "hire-core",
        "path": "/bookings",
        "body": b'{"crusher": 7}',
        "adapter": "",
        "version": "",
        "idempotent": False,
        "idempotency_key": "booking-7",
        "expiry_unix_ms": 1_700_000_600_000,
    }
    return build_submit(**{**values, **changes})


def build_configuration(**changes):
    """Return a small configuration of a model engine and a plain service."""
    completions = OperationPolicy(
        "completions", "POST", "/v1/*", idempotent=True, urgency=Urgency.URGENT
    )
    lookup = OperationPolicy(
        "availability", "GET", "/availability*", idempotent=True, urgency=Urgency.NORMAL
    )
    booking = OperationPolicy(
        "book", "POST", "/bookings", idempotent=False, urgency=Urgency.URGENT
    )
    engine = ServicePolicy(
        name="assist-llm",
        kind=BackendKind.MODEL_ENGINE,
        operations=(completions,),
        replica_count=2,
        concurrency_max=8,
        base_model="crusher-8b",
        slot_count=4,
    )
    plain = ServicePolicy(
        name="hire-core",
        kind=BackendKind.PLAIN_SERVICE,
        operations=(lookup, booking),
        replica_count=1,
        concurrency_max=8,
    )
    adapters = [
        AdapterPolicy(f"quote-{number:04}", "assist-llm", ("1", "2"), "2")
        for number in range(20)
    ]
    values = {
        "generation": 1,
        "team": "knusepool",
        "region": "dk-west",
        "zones": ("dk-west-1", "dk-west-2", "dk-west-3"),
        "stall_weight": 0.8,
        "weight_store": WeightStorePolicy(loads_per_s=4.0),
        "services": {service.name: service for service in (engine, plain)},
        "adapters": {adapter.name: adapter for adapter in adapters},
    }
    return Configuration(**{**values, **changes})
