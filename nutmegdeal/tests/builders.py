"""Builders of test data."""

from nutmegdeal.accounts import Event
from nutmegdeal.configuration import (
    AdapterPolicy,
    Configuration,
    OperationPolicy,
    ServicePolicy,
    WeightStorePolicy,
)
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.messages import BackendKind, Submit, Urgency
from nutmegdeal.services.objects import ObjectStore


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


def build_event(**changes):
    """Return an Event of an entry that received a request."""
    values = {
        "request_id": "e1-1",
        "at_unix_ms": 1_700_000_000_000,
        "process": "entry-1",
        "incarnation": "e1",
        "step": Step.RECEIVE,
        "outcome": "received",
    }
    return Event(**{**values, **changes})


class FaultyObjects(ObjectStore):
    """An object store in memory with one fault at a time.

    Attributes
    ----------
    stored : dict of str to bytes
    fault : str
        ``""``, ``"down"``, or ``"answer lost"`` after a write took effect.
    """

    def __init__(self):
        self.stored = {}
        self.fault = ""

    def put(self, name, body):
        """Store `body` unless the store is down."""
        if self.fault != "down":
            self.stored[name] = body
        if not self.fault:
            return None
        return self._failure(maybe_applied=self.fault == "answer lost")

    def get(self, name):
        """Return the bytes under `name`, None, or a Failure."""
        if self.fault:
            return self._failure(maybe_applied=False)
        return self.stored.get(name)

    def list_names(self, prefix, after="", limit=1000):
        """Return sorted names, or a Failure."""
        if self.fault:
            return self._failure(maybe_applied=False)
        names = [name for name in self.stored if name.startswith(prefix)]
        return tuple(sorted(name for name in names if name > after)[:limit])

    def _failure(self, maybe_applied):
        return Failure(
            Reason.STORE_UNAVAILABLE,
            Step.FLUSH,
            "objects",
            maybe_applied=maybe_applied,
        )
