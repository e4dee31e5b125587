"""Builders of test data for the gateway, the placer and the platform's formats."""

import json

from nutmegdeal.addresses import Address
from nutmegdeal.engine_messages import EngineLoad, EngineState
from nutmegdeal.fakes.platform_backend import PlatformEngine
from nutmegdeal.fakes.platform_configuration import (
    ADAPTER_SLOTS,
    ENGINE_SERVICE,
    MODEL,
    PLAIN_SERVICE,
    encode_configuration,
)
from nutmegdeal.fakes.platform_server import PlatformBackend
from nutmegdeal.gateway.members import Member
from nutmegdeal.gateway.requests import Request
from nutmegdeal.incoming_requests import IncomingRequest
from nutmegdeal.platform.engine import EngineReport
from nutmegdeal.platform.settings import Bounds, NodeSettings
from nutmegdeal.site_configuration import (
    DEFAULT_CALLER_LIMITS,
    Backend,
    EngineCapacity,
    Route,
    RouteKind,
    Service,
    SiteConfiguration,
    Tenant,
    WeightedService,
)
from nutmegdeal.tenants.directory import TenantDirectory


def build_backend(**changes):
    """Return a model engine's Backend."""
    values = {
        "backend_id": "i-1",
        "service": ENGINE_SERVICE,
        "zone": "a",
        "host": "127.0.0.1",
        "port": 8000,
        "slots": 64,
    }
    return Backend(**{**values, **changes})


def build_member(backend_id="i-1", resident=(), is_linked=True, **changes):
    """Return the Member of a model engine with loaded ``name@version`` adapters."""
    member = Member(build_backend(backend_id=backend_id, **changes))
    member.set_resident(resident)
    member.is_linked = is_linked
    return member


def build_engine_state(queued_count=0, **changes):
    """Return the EngineState of an engine without adapters."""
    values = {
        "backend_started_unix_ms": 7,
        "is_reachable": True,
        "has_model": True,
        "resident": (),
        "loading": (),
        "load": EngineLoad(queued_count=queued_count),
    }
    return EngineState(**{**values, **changes})


def build_route(**changes):
    """Return a Route of resumable streams."""
    values = {
        "name": "r-chat",
        "host": "chat.example",
        "prefix": "/chat/",
        "kind": RouteKind.STREAM,
        "targets": (WeightedService(ENGINE_SERVICE, 1.0),),
        "attempts_max": 2,
        "timeout_ms": 12_000.0,
        "target_ms": 600.0,
        "rank": 1,
        "is_resumable": True,
        "gap_target_ms": 250.0,
    }
    return Route(**{**values, **changes})


def build_booking_route(**changes):
    """Return a Route of requests that may run only once."""
    values = {
        "name": "r-book",
        "prefix": "/book/",
        "kind": RouteKind.UNSAFE,
        "targets": (WeightedService(PLAIN_SERVICE, 1.0),),
        "attempts_max": 1,
        "timeout_ms": 1_500.0,
        "target_ms": 300.0,
        "is_resumable": False,
    }
    return build_route(**{**values, **changes})


def build_lookup_route(**changes):
    """Return a Route of requests that may run more than once."""
    values = {
        "name": "r-look",
        "prefix": "/look/",
        "kind": RouteKind.SAFE,
        "attempts_max": 2,
    }
    return build_booking_route(**{**values, **changes})


def build_services():
    """Return the Services of a site, by name."""
    capacity = EngineCapacity("model", 29, 64)
    return {
        ENGINE_SERVICE: Service(ENGINE_SERVICE, 370, capacity),
        PLAIN_SERVICE: Service(PLAIN_SERVICE, 110),
    }


def build_configuration(
    version=1, routes=None, limits=DEFAULT_CALLER_LIMITS, tenants=None
):
    """Return a SiteConfiguration with one route of each kind."""
    if routes is None:
        routes = (build_route(), build_booking_route(), build_lookup_route())
    return SiteConfiguration(version, tuple(routes), build_services(), limits, tenants)


def build_directory(keys=None):
    """Return a TenantDirectory.

    Parameters
    ----------
    keys : dict of str to list of bytes, optional
        Keys by the tenant's name; by default ``t1`` with ``key-1``.
    """
    keys = keys if keys is not None else {"t1": [b"key-1"]}
    return TenantDirectory((Tenant(name), held) for name, held in keys.items())


def encode_tenants(tenants, version=1, host="chat.example"):
    """Return the operator's row (bytes) of a configuration with tenants.

    Parameters
    ----------
    tenants : list of dict
        As in the row.
    version : int
    host : str
    """
    return encode_configuration(version, host, 20_000, 5_000, tenants=tenants)


def build_incoming(path=b"/chat/1", request_id=b"q-1", **changes):
    """Return an IncomingRequest that names an adapter."""
    values = {
        "method": b"POST",
        "target": path,
        "headers": [
            (b"host", b"chat.example"),
            (b"x-request-id", request_id),
            (b"x-model", b"model/a7"),
            (b"x-deadline-ms", b"9000"),
        ],
        "body": b"prompt",
        "arrived_ms": 0.0,
    }
    return IncomingRequest(**{**values, **changes})


def build_request(route=None, deadline_ms=9_000.0, **changes):
    """Return a Request of a resumable stream."""
    route = route or build_route()
    values = {
        "incoming": build_incoming(),
        "request_id": "q-1",
        "route": route,
        "service": build_services()[route.targets[0].service],
        "deadline_ms": deadline_ms,
        "adapter": "a7" if route.kind is RouteKind.STREAM else "",
    }
    return Request(**{**values, **changes})


def build_report(**changes):
    """Return the EngineReport of an engine with its base model and no adapter."""
    values = {
        "started_unix_ms": 1,
        "order_count": 0,
        "models": frozenset({"model"}),
        "resident": frozenset(),
        "loading": frozenset(),
        "running_count": 0,
        "waiting_count": 0,
        "memory_used": 0,
        "memory_max": 100_000,
        "is_changing_model": False,
    }
    return EngineReport(**{**values, **changes})


def build_ended_fields(**changes):
    """Return the fields of a ``request_ended`` log line of a stream served in time."""
    values = {
        "request": "q-1",
        "route": "r-chat",
        "kind": "stream",
        "end": "completed",
        "reason": "",
        "suspect": "",
        "adapter": "a1",
        "backends": ["i-1"],
        "sent": 1,
        "runs": 1,
        "first_ms": 100.0,
        "target_ms": 600.0,
        "gap_ms": 40.0,
        "gap_target_ms": 250.0,
        "whole_ms": 900.0,
        "waited_ms": 0.0,
        "paced_ms": 0.0,
        "tokens": 800,
    }
    return {**values, **changes}


def build_bounds(**changes):
    """Return the Bounds of the Knusepool installation."""
    values = {
        "retry_ratio": 0.2,
        "retry_burst": 58.0,
        "retry_window_ms": 10_000.0,
        "grace_ms": 8_000.0,
        "drain_ms": 2_000.0,
        "version_ms": 5_000.0,
        "contact_ms": 3_000.0,
    }
    return Bounds(**{**values, **changes})


def build_node_settings(**changes):
    """Return the NodeSettings of a gateway."""
    address = Address("127.0.0.1", 0)
    values = {
        "node_name": "front-1",
        "role": "gateway",
        "zone": "a",
        "ip": "127.0.0.1",
        "callers_at": address,
        "readiness_at": address,
        "internal_port_first": 7380,
        "internal_port_last": 7395,
        "store_at": address,
        "engine_at": None,
        "engine_service": "",
        "bounds": build_bounds(),
    }
    return NodeSettings(**{**values, **changes})


def build_stream_answer(request_id, events, is_ended=True):
    """Return the bytes of a chunked answer.

    Parameters
    ----------
    request_id : str
    events : iterable of int
        Ids of the events of the stream.
    is_ended : bool
        Whether the answer is complete.
    """
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"X-Request-Id: {request_id}\r\n"
        "X-Response-Signature: s\r\n"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()
    chunks = b"".join(encode_chunk(build_event(number)) for number in events)
    return head + chunks + (b"0\r\n\r\n" if is_ended else b"")


def build_event(number):
    """Return the bytes of the event with the id `number`."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def encode_chunk(data):
    """Return the bytes of one HTTP chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def build_plain_answer(request_id, body=b"done", status="200 OK", extra=""):
    """Return the bytes of an answer with a Content-Length."""
    head = (
        f"HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Response-Signature: s\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def build_unframed_answer(request_id, body, status="200 OK", extra="", minor=1):
    """Return the bytes of an answer whose body ends with the connection.

    Parameters
    ----------
    request_id, body, status, extra
        As in `build_plain_answer`.
    minor : int
        The minor version of HTTP.
    """
    head = (
        f"HTTP/1.{minor} {status}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Response-Signature: s\r\n{extra}\r\n"
    )
    return head.encode() + body


def build_events(numbers):
    """Return the bytes of the events with the ids `numbers`."""
    return b"".join(map(build_event, numbers))


def encode_registration(**changes):
    """Return the value (bytes) of a backend server's registration row."""
    values = {
        "service": ENGINE_SERVICE,
        "address": "10.1.0.9:8080",
        "zone": "a",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "cold_remaining_ms": 0,
        "models": [{"name": "model", "version": 1, "adapters": ["a3@1"]}],
        "sequence": 4,
        "born": 1_700_000_000_000,
    }
    return json.dumps({**values, **changes}).encode()


def start_platform_server():
    """Return a stand-in for a plain server, which listens on a free port."""
    return PlatformBackend(("127.0.0.1", 0), "p-1", PLAIN_SERVICE)


def start_platform_engine():
    """Return a stand-in for a model engine, which listens on a free port."""
    return PlatformEngine(
        ("127.0.0.1", 0), "e-1", ENGINE_SERVICE, "a", MODEL, ADAPTER_SLOTS
    )


def encode_backend_request(request_id="q-1", extra=""):
    """Return the bytes of a request for the base model, as a gateway sends it.

    Parameters
    ----------
    request_id : str
    extra : str
        Further lines of the head, each with its end.
    """
    return (
        f"POST /chat/1 HTTP/1.1\r\nHost: chat.example\r\nX-Request-Id: {request_id}\r\n"
        f"X-Model: {MODEL}\r\n{extra}Content-Length: 0\r\n\r\n"
    ).encode()
