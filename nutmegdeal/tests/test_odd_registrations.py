"""Odd entries among the registrations of backend servers, and odd reports of engines.

Such an entry names no server to use. Gateways go on following the list, placers the
reports, and requests are served by the other servers.
"""

import json

import gevent
import pytest

from nutmegdeal.gateway import watching
from nutmegdeal.gateway.placers import TRUST_REGISTRATION_AFTER_MS
from nutmegdeal.tests.platform_site import (
    PlatformSite,
    loopback_address,
    wait_until,
)

CALL_COUNT = 4
LINKED_WITHIN_S = 0.5
# More than a placer tolerates before it calls the engine unreachable.
ODD_REPORT_COUNT = 4
REPORT_FIELDS = {
    "busy": False,
    "waiting": 0,
    "running": 0,
    "kv_used": 0,
    "kv_total": 1_000,
    "pending": [],
}
# Numbers and lists as JSON texts; the encoder cannot write all of them.
LARGE = "1" + "0" * 400
ABOVE_64_BITS = "1" + "0" * 20
ENDLESS_DIGITS = "9" * 5_000
NESTED = "[" * 300 + "]" * 300
NESTED_TO_THE_LIMIT = "[" * 980 + "]" * 980
NESTED_DEEPLY = '{"a":' * 10_000 + "1" + "}" * 10_000
LONG_TEXT = json.dumps("v" * 30_000)
ODD_FIELDS = [
    *({"slots": value} for value in (LARGE, ABOVE_64_BITS, "1e308", ENDLESS_DIGITS)),
    *({"slots": value} for value in ("0", "-5", "true", '"6"', "6.5", "NaN")),
    *({"born": value} for value in (LARGE, ABOVE_64_BITS, "1e300", "-1", '"1"')),
    *(
        {field: value}
        for field in ("zone", "state", "models", "born", "slots", "extra", "version")
        for value in (NESTED, NESTED_TO_THE_LIMIT, NESTED_DEEPLY)
    ),
    *({"version": value} for value in (LONG_TEXT,)),
    *({"service": value} for value in (LONG_TEXT, '"\\ud800"')),
    *({"zone": value} for value in (LONG_TEXT, "7", "null")),
    *(
        {"address": json.dumps(value)}
        for value in (
            "127.0.0.1:99999999999999999999",
            "127.0.0.1:70000",
            "127.0.0.1:-1",
            "127.0.0.1:\u0661\u0662",
            "127.0.0.1: 80",
            "127.0.0.1:8_0",
            "127.0.0.1\0:80",
            "host.invalid:80",
            "256.0.0.1:80",
            ":80",
        )
    ),
    *(
        {"models": f'[{{"adapters": ["a1@{version}"]}}]'}
        for version in ("9" * 400, ENDLESS_DIGITS)
    ),
]


def describe(fields):
    """Return the id of a case."""
    ((name, value),) = fields.items()
    return f"{name}-{value[:12]}-{len(value)}"


def encode_odd(backend, fields):
    """Return a server's registration (bytes) with other fields, given as JSON."""
    registration = json.loads(backend.registration())
    texts = {name: json.dumps(value) for name, value in registration.items()}
    texts.update(fields)
    return ("{" + ",".join(f'"{k}":{v}' for k, v in texts.items()) + "}").encode()


@pytest.fixture(scope="module")
def site(bridge):
    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr(watching, "BACKENDS_PAUSE_SHARE", 0.01)
        site = PlatformSite(monkeypatch, bridge)
        yield site
        site.close()


def put_odd_entries(site, fields, prefix="odd"):
    """Put an entry of each service; wait until the gateway has read them."""
    for backend in (site.engines[0], site.servers[0]):
        value = encode_odd(backend, fields)
        site.store.put("servers", f"{prefix}-{backend.service}", value)
    # Whatever is registered after them is read after them.
    site.register(site.engines[0])
    engine = site.engines[0]
    engine.incarnation += 1
    site.register(engine)
    members = site.gateway._board.membership.members
    wait_until(
        lambda: members[engine.backend_id].backend.started_unix_ms == engine.incarnation
    )


@pytest.mark.parametrize("fields", ODD_FIELDS, ids=describe)
def test_odd_entry_does_not_keep_requests_from_other_servers(site, lines, fields):
    """The gateway stopped following the list, or requests crashed beside the entry."""
    put_odd_entries(site, fields)
    for number in range(CALL_COUNT):
        for path, adapter in (("/chat/1", "a1"), ("/chat/1", ""), ("/book/1", "")):
            assert site.call(path, f"q-{number}", adapter)[0] == 200
    # Long enough for a link to its placer.
    gevent.sleep(LINKED_WITHIN_S)
    assert not [line for line in lines if "crashed" in line]


def test_adapters_of_an_engine_with_too_many_slots_are_loaded_elsewhere(site, lines):
    """Requests for its adapters crashed, as its load was compared with its slots."""
    fields = {
        "slots": LARGE,
        "address": json.dumps(f"{loopback_address(9)}:9"),
        "models": '[{"adapters": ["a9@1"]}]',
    }
    put_odd_entries(site, fields, "large")
    # Without a placer the registration counts for its adapters after a while.
    gevent.sleep(TRUST_REGISTRATION_AFTER_MS / 1000 + LINKED_WITHIN_S)
    assert site.call("/chat/1", "q-1", "a9")[0] == 200
    assert not [line for line in lines if "crashed" in line]


def test_row_that_is_no_base64_does_not_end_the_watch(site):
    """The whole answer of the store was dropped, again and again."""
    store = site.store
    odd = {"table": "servers", "part": "", "key": "odd", "value": "a\u00e9?", "ver": 7}
    encode = store.encode_answer

    def add_odd_row(rows):
        answer = json.loads(encode(rows))
        return json.dumps({**answer, "rows": [*answer["rows"], odd]}).encode()

    store.encode_answer = add_odd_row
    try:
        put_odd_entries(site, {"slots": "0"})
        assert site.call("/book/1", "q-1")[0] == 200
    finally:
        store.encode_answer = encode


ODD_REPORTS = [
    *(
        {name: value}
        for name in ("born", "sequence", "running", "waiting", "kv_used")
        for value in (10**400, 2**64, "many")
    ),
    *({"pending": [value]} for value in ("a1", "model/a1@" + "9" * 400, 7)),
    {"models": [{"name": "model", "adapters": ["a1@" + "9" * 400]}]},
]


@pytest.mark.parametrize("fields", ODD_REPORTS, ids=str)
def test_placer_goes_on_after_an_odd_report(site, lines, monkeypatch, fields):
    """The placer's controller crashed again and again while the engine reported so."""
    engine = site.engines[0]
    odd_count = 0

    def send_report(responder):
        nonlocal odd_count
        odd_count += 1
        report = {**engine._registration_fields(), **REPORT_FIELDS, **fields}
        responder.reply(200, [], json.dumps(report).encode())

    with monkeypatch.context() as patched:
        patched.setattr(engine, "_send_report", send_report)
        wait_until(lambda: odd_count > ODD_REPORT_COUNT)
    adapter = f"b{ODD_REPORTS.index(fields)}"
    assert site.call("/chat/1", "q-1", adapter)[0] == 200
    assert not [line for line in lines if "crashed" in line]
