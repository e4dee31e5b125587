"""Tests of the decoding and encoding of the platform's formats."""

import base64
import json

import attrs
import pytest

from nutmegdeal.errors import Failure
from nutmegdeal.fakes.platform_configuration import encode_configuration
from nutmegdeal.order_kinds import OrderKind
from nutmegdeal.placer.orders import Order
from nutmegdeal.platform import rows
from nutmegdeal.platform.engine import decode_report, encode_order, encode_order_headers
from nutmegdeal.platform.headers import (
    decode_request_terms,
    decode_retry_after_ms,
    decode_server_load,
)
from nutmegdeal.platform.settings import load_node_settings
from nutmegdeal.site_configuration import BackendState, Quota, QuotaUnit, RouteKind
from nutmegdeal.tests.platform_builders import encode_registration

ROUTE = {
    "name": "r-1",
    "host": "Ficu95.example",
    "prefix": "/pufi791/",
    "kind": "streaming",
    "timeout_ms": 15000,
    "target_latency_ms": 1000,
    "priority": 0,
    "service": "huvo11a",
    "max_attempts": 1,
    "resumable": False,
    "target_gap_ms": 250,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        ROUTE,
        {
            **ROUTE,
            "prefix": "/pufi791/more/",
            "kind": "safe",
            "traffic_split": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
        },
    ],
    "services": [
        {
            "name": "huvo11a",
            "max_connections": 370,
            "engine": {
                "slots": 64,
                "models": [{"name": "daka", "weights_mb": 16100.0, "adapter_mb": 14.0}],
                "weights_mb": 16800.0,
                "adapter_slots": 29,
            },
        },
        {"name": "wuno96b", "max_connections": 110},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


def encode(data):
    return json.dumps(data).encode()


def test_configuration_is_decoded():
    decoded = rows.decode_configuration(encode(CONFIGURATION))
    assert decoded.version == 7
    assert decoded.services["huvo11a"].engine.adapter_slots_max == 29
    assert decoded.services["wuno96b"].engine is None
    assert decoded.find_route("ficu95.example", "/pufi791/x").kind is RouteKind.STREAM
    longer = decoded.find_route("ficu95.example", "/pufi791/more/x")
    assert longer.kind is RouteKind.SAFE
    assert [target.weight for target in longer.targets] == [90.0, 10.0]
    assert decoded.find_route("ficu95.example", "/pufi791") is None
    assert decoded.find_route("other.example", "/pufi791/x") is None


def test_adapter_slots_are_limited_by_memory():
    data = json.loads(encode(CONFIGURATION))
    data["services"][0]["engine"]["weights_mb"] = 16100.0 + 14.0 * 3
    decoded = rows.decode_configuration(encode(data))
    assert decoded.services["huvo11a"].engine.adapter_slots_max == 3


def test_registration_is_decoded():
    backend = rows.decode_backend("i-1", encode_registration(state="draining"))
    assert backend.address == ("10.1.0.9", 8080)
    assert backend.state is BackendState.DRAINING
    assert backend.adapters == {"a3@1"}
    assert backend.started_unix_ms == 1_700_000_000_000


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"[]",
        b"{}",
        b"null",
        encode_registration(state="sleeping"),
        encode_registration(service=7),
        encode_registration(address=None),
        encode_registration(address="8080"),
        encode_registration(address="10.1.0.9:70000"),
        encode_registration(address="10.1.0.9:0"),
        encode_registration(address="10.1.0.9:-1"),
        encode_registration(address="a..b:8080"),
        encode_registration(address="a" * 70 + ":8080"),
        encode_registration(slots="many"),
        encode_registration(slots=float("inf")),
        encode_registration(born=float("nan")),
        b"[" * 100_000,
        encode_registration(models=[{"adapters": ["a3"]}]),
        encode_registration(models=[{"adapters": [5]}]),
        encode_registration(models=7),
        encode_registration(born="yesterday"),
        encode_registration(slots=10**400),
        encode_registration(slots=10**9),
        encode_registration(slots=0),
        encode_registration(slots=True),
        encode_registration(slots="6"),
        encode_registration(slots=6.5),
        encode_registration(born=2**64),
        encode_registration(born=1e300),
        encode_registration(born=-1),
        encode_registration(address="host.example:80"),
        encode_registration(address="10.1.0.9: 80"),
        encode_registration(address="10.1.0.9:\u0661"),
        encode_registration(address="[::1]:80"),
        encode_registration(zone=["a"]),
        encode_registration(zone="z" * 201),
        encode_registration(service="\ud800"),
        encode_registration(version="v" * 201),
        encode_registration(models=[{"adapters": ["a3@" + "9" * 20]}]),
    ],
)
def test_malformed_registration_raises_a_decode_error(value):
    with pytest.raises(rows.DECODE_ERRORS):
        rows.decode_backend("i-1", value)


@pytest.mark.parametrize("key", ["", "i\n1", "i-\u2603", "i-1 ", " i-1", "i\x001"])
def test_registration_whose_id_fits_no_header_raises_a_decode_error(key):
    with pytest.raises(rows.DECODE_ERRORS):
        rows.decode_backend(key, encode_registration())


def test_rows_are_decoded():
    value = base64.b64encode(b"x").decode()
    row = rows.decode_row({"key": "k", "value": value, "ver": 3})
    assert (row.key, row.value, row.version) == ("k", b"x", 3)
    assert rows.decode_row({"key": "k", "removed": True}).value is None


def test_report_is_decoded():
    report = decode_report(
        b'{"stage":"colocated","models":[{"name":"daka","version":1,'
        b'"adapters":["a1@2"]}],"busy":false,"sequence":2,"waiting":1,"running":12,'
        b'"kv_used":41000,"kv_total":90000,"pending":["daka/a3@1"],"born":5}'
    )
    assert report.resident == {"a1@2"}
    assert report.loading == {"a3@1"}
    assert (report.order_count, report.started_unix_ms) == (2, 5)
    assert decode_report(b'{"models":[]}') is None
    assert decode_report(b"nothing") is None


def test_order_is_encoded():
    order = Order(OrderKind.LOAD, "daka", "a3", 2)
    data = json.loads(encode_order(order, "side-1", 4))
    assert data["expected"] == 4
    assert (data["operation"], data["model"]) == ("load", "daka")
    assert (data["adapter"], data["version"], data["holder"]) == ("a3", 2, "side-1")


def test_order_names_the_instance_that_it_is_for():
    order = Order(OrderKind.LOAD, "daka", "a3", target_id="i-1")
    assert dict(encode_order_headers(order))[b"x-target-instance"] == b"i-1"
    anywhere = attrs.evolve(order, target_id="")
    assert b"x-target-instance" not in dict(encode_order_headers(anywhere))


def test_request_terms_are_decoded():
    terms = decode_request_terms(
        [
            (b"host", b"Chat.Example:80"),
            (b"x-request-id", b"q"),
            (b"x-model", b"daka/a3"),
            (b"x-deadline-ms", b"1200"),
        ]
    )
    assert terms.host == "chat.example"
    assert (terms.model, terms.adapter, terms.within_ms) == ("daka", "a3", 1200.0)
    with pytest.raises(ValueError, match="soon"):
        decode_request_terms([(b"x-deadline-ms", b"soon")])


@pytest.mark.parametrize(
    "value", [b"9" * 400 + b",0,8", b"3," + b"9" * 5_000 + b",8", b"-9,0,8", b"3,0,-1"]
)
def test_impossible_server_load_is_none(value):
    assert decode_server_load([(b"x-server-load", value)]) is None


@pytest.mark.parametrize("value", [b"1e306", b"inf", b"nan", b"-1", b"0", b"soon"])
def test_retry_after_that_is_no_finite_time_is_none(value):
    assert decode_retry_after_ms(503, [(b"retry-after", value)]) is None


def test_malformed_server_load_is_none():
    assert decode_server_load([(b"x-server-load", b"3,0,8")]).running_count == 3
    assert decode_server_load([(b"x-server-load", b"3,0")]) is None
    assert decode_server_load([]) is None


@pytest.mark.parametrize(
    ("value", "work_time_percent"),
    [
        (b"3,1,8", None),
        (b"3,1,8,170", 170.0),
        (b"3, 1, 8, 70.5", 70.5),
        (b"3,1,8,170,9,x", 170.0),
        (b"3,1,8,", None),
        (b"3,1,8,fast", None),
        (b"3,1,8,-70", None),
        (b"3,1,8,0", None),
        (b"3,1,8,inf", None),
        (b"3,1,8,1e2", None),
        (b"3,1,8," + b"9" * 400, None),
    ],
)
def test_further_figures_leave_the_three_counts_of_a_server_load(
    value, work_time_percent
):
    """A header with a fourth figure was dropped whole, and with it the load."""
    load = decode_server_load([(b"x-server-load", value)])
    assert (load.running_count, load.waiting_count, load.slots) == (3, 1, 8)
    assert load.work_time_percent == work_time_percent


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"internal_ports": [1]}'])
def test_invalid_settings_are_a_failure(tmp_path, text):
    path = tmp_path / "node.json"
    path.write_text(text)
    failure = load_node_settings(str(path))
    assert isinstance(failure, Failure)
    assert failure.peer == str(path)


def test_missing_settings_file_is_a_failure(tmp_path):
    assert isinstance(load_node_settings(str(tmp_path / "none.json")), Failure)


def decode_tenants(**tenant):
    data = json.loads(encode_configuration(1, "chat.example", 1_000, 100))
    data["tenants"] = [{"name": "t1", "api_keys": ["key-1", "key-2"], **tenant}]
    return rows.decode_configuration(json.dumps(data).encode()).tenants


def test_tenants_are_found_by_each_of_their_keys_only():
    tenants = decode_tenants(priority=1)
    assert tenants.find(b"key-2").name == "t1"
    assert tenants.find(b"key-1").rank == 1
    assert tenants.find(b"key-3") is None
    assert tenants.find(b"") is None


def test_a_configuration_without_tenants_needs_no_keys():
    data = encode_configuration(1, "chat.example", 1_000, 100)
    assert rows.decode_configuration(data).tenants is None


@pytest.mark.parametrize(
    ("tenant", "quota"),
    [
        ({}, None),
        ({"rate_per_s": 0, "burst": 9}, None),
        ({"rate_per_s": 5}, Quota(QuotaUnit.REQUESTS, 5.0, 0.0)),
        (
            {"rate_per_s": 5, "burst": 2, "unit": "tokens", "plain_tokens": 200},
            Quota(QuotaUnit.TOKENS, 5.0, 2.0, 200.0),
        ),
    ],
)
def test_quota_of_a_tenant(tenant, quota):
    assert decode_tenants(**tenant).find(b"key-1").quota == quota


def test_a_quota_that_is_no_number_makes_the_configuration_invalid():
    with pytest.raises(ValueError, match="not a quota"):
        decode_tenants(rate_per_s="inf")
