"""Process-level tests of the stand-ins."""

import base64
import contextlib
import time

import pytest
import urllib3

from nutmegdeal.fakes.answers import expected_answer, plain_answer, read_text
from nutmegdeal.identifiers import body_digest
from nutmegdeal.tests.stand_in_process import CALL_TIMEOUT_S, start_stand_in

pytestmark = pytest.mark.processes

ADAPTER = "quote-0001@2"
ABORT_ERRORS = urllib3.exceptions.HTTPError


@contextlib.contextmanager
def running(kind, *options):
    stand_in = start_stand_in(kind, *options)
    try:
        yield stand_in
    finally:
        assert stand_in.stop() == 0


@contextlib.contextmanager
def running_engine(*options):
    with running("engine", "--token-ms", "2", *options) as engine:
        yield engine


def load(engine, adapter=ADAPTER, fence=1, order="load", **options):
    fields = {"adapter": adapter, "fence": fence}
    return engine.call("POST", f"/admin/{order}", fields, **options)


def complete(
    engine, headers=None, path="/v1/completions", timeout=CALL_TIMEOUT_S, **fields
):
    body = {"model": ADAPTER, "prompt": "jaw", "max_tokens": 5} | fields
    return engine.call("POST", path, body, headers=headers, timeout=timeout)


def wait_until(condition):
    for _ in range(1000):
        if condition():
            return
        time.sleep(0.01)
    raise AssertionError("the condition was not met in time")


def write_row(table, key, value, expected_version=0):
    encoded = base64.b64encode(value).decode()
    write = {"key": key, "value": encoded, "expected_version": expected_version}
    return table.call("POST", "/write", {"writes": [write]})


def read_row(table, key):
    return table.call("POST", "/read", {"key": key}).json()["row"]


def test_table_detects_conflicts_and_scans():
    with running("table") as table:
        assert table.call("GET", "/healthz").status == 200
        assert write_row(table, "a", b"1").json() == {"versions": [1]}
        conflict = write_row(table, "a", b"2")
        row = {"key": "a", "value": base64.b64encode(b"1").decode(), "version": 1}
        assert (conflict.status, conflict.json()["rows"]) == (409, [row])
        assert conflict.json()["error"] == "conflict"
        assert read_row(table, "a") == row
        assert read_row(table, "b") is None
        scan = table.call("POST", "/scan", {"prefix": "a", "after": "", "limit": 5})
        assert scan.json() == {"rows": [row]}
        delete = {"key": "a", "value": None, "expected_version": 1}
        answer = table.call("POST", "/write", {"writes": [delete]})
        assert answer.json() == {"versions": [0]}


def test_table_loses_the_response_to_an_applied_write():
    with running("table") as table:
        table.set_faults(lose_answer=1)
        with pytest.raises(ABORT_ERRORS):
            write_row(table, "a", b"1")
        assert read_row(table, "a")["version"] == 1
        assert write_row(table, "b", b"1").status == 200


def test_table_faults_refuse_writes_without_effect():
    with running("table") as table:
        table.set_faults(down=True)
        assert write_row(table, "a", b"1").json()["error"] == "unavailable"
        table.set_faults(write_limit_per_s=0.001)
        statuses = [write_row(table, key, b"1").status for key in "ab"]
        assert statuses == [200, 503]
        table.set_faults()
        assert read_row(table, "a")["version"] == 1
        assert read_row(table, "b") is None
        assert table.call("PUT", "/faults", {"unheard_of": 1}).status == 400


def test_object_names_may_contain_slashes():
    with running("objects") as objects:
        name = "/objects/accounts/x/1"
        assert objects.call("PUT", name, body=b"\x00bytes").status == 200
        assert objects.call("GET", name).data == b"\x00bytes"
        assert objects.call("GET", "/objects/accounts/x/2").status == 404
        names = objects.call("GET", "/objects?prefix=accounts/&after=&limit=10")
        assert names.json() == {"names": ["accounts/x/1"]}
        objects.set_faults(lose_answer=1)
        with pytest.raises(ABORT_ERRORS):
            objects.call("PUT", "/objects/lost", body=b"1")
        assert objects.call("GET", "/objects/lost").data == b"1"


def test_host_list_changes_are_delayed():
    host = {
        "host_id": "h1",
        "service": "assist-llm",
        "zone": "dk-west-1",
        "agent_host": "127.0.0.1",
        "agent_port": 9,
        "state": "leaving",
    }
    with running("hosts") as hosts:
        assert hosts.call("PUT", "/hosts", {"hosts": [host]}).status == 200
        assert hosts.call("GET", "/hosts").json() == {"hosts": [host]}
        hosts.set_faults(lag_ms=60_000)
        assert hosts.call("GET", "/hosts").json() == {"hosts": []}


def test_weight_store_refuses_loads_over_its_rate():
    options = ("--over-rate", "refuse", "--loads-per-s", "0.001", "--load-ms", "1")
    with running("weights", *options) as weights:
        answers = [weights.call("GET", f"/weights/{ADAPTER}") for _ in range(3)]
        assert [answer.status for answer in answers] == [200, 200, 429]
        assert len(answers[0].data) > 0


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("path", ["/v1/completions", "/v1/chat/completions"])
def test_engine_sends_the_expected_answer(path, stream):
    messages = [{"role": "user", "content": "jaw"}]
    with (
        running("weights") as weights,
        running_engine("--weights-url", weights.url) as engine,
    ):
        assert complete(engine).json()["error"] == "not_resident"
        assert load(engine).status == 200
        answer = complete(
            engine, {"X-Attempt-Id": "r.1"}, path, stream=stream, messages=messages
        )
        prompt = "user: jaw" if "chat" in path else "jaw"
        assert read_text(answer.data, stream) == expected_answer(ADAPTER, prompt, 5)
        assert answer.headers["X-Adapter"] == ADAPTER
        wait_until(lambda: engine.record()["runs"][0]["outcome"] == "completed")
        (run,) = engine.record()["runs"]
        assert (run["attempt_id"], run["adapter"]) == ("r.1", ADAPTER)
        report = engine.call("GET", "/admin/report").json()
        assert report["resident"] == [ADAPTER]
        assert report["incarnation"] == answer.headers["X-Engine-Incarnation"]


@pytest.mark.parametrize("stream", [False, True])
def test_engine_resumes_from_an_offset(stream):
    with running_engine() as engine:
        load(engine)
        full_body = complete(engine, stream=stream).data
        for offset in (1, len(full_body) // 2, len(full_body) - 1, len(full_body)):
            headers = {"X-Resume-From": str(offset)}
            assert complete(engine, headers, stream=stream).data == full_body[offset:]


def test_engine_aborts_streamed_and_plain_responses():
    with running_engine() as engine:
        load(engine)
        full_body = complete(engine, stream=True).data
        engine.set_faults(cut_after_bytes=100, cut_count=1)
        answer = complete_unread(engine, stream=True)
        with pytest.raises(ABORT_ERRORS):
            list(answer.stream())
        assert complete(engine, stream=True).data == full_body
        engine.set_faults(cut_after_bytes=100)
        with pytest.raises(ABORT_ERRORS):
            complete(engine)


def complete_unread(engine, **fields):
    body = {"model": ADAPTER, "prompt": "jaw", "max_tokens": 5} | fields
    return engine.call("POST", "/v1/completions", body, preload_content=False)


def start_long_stream(engine):
    """Return an iterator over the chunks of a response in progress."""
    answer = complete_unread(engine, stream=True, max_tokens=4000)
    chunks = answer.stream(1)
    next(chunks)
    return chunks


def test_engine_cancels_a_stream_when_its_client_disconnects():
    with running_engine("--batch-size", "1") as engine:
        load(engine)
        start_long_stream(engine).close()
        wait_until(lambda: outcomes_of(engine) == ["cancelled"])
        assert complete(engine).status == 200


def test_engine_cancels_waiting_and_running_requests_on_disconnect():
    with running_engine("--batch-size", "1") as engine:
        load(engine)
        chunks = start_long_stream(engine)
        with pytest.raises(ABORT_ERRORS):
            complete(engine, timeout=0.2)
        wait_until(lambda: outcomes_of(engine) == ["running", "cancelled"])
        chunks.close()
        with pytest.raises(ABORT_ERRORS):
            complete(engine, timeout=0.2, max_tokens=4000)
        wait_until(lambda: outcomes_of(engine) == ["cancelled"] * 3)
        assert complete(engine).status == 200


def outcomes_of(engine):
    return [run["outcome"] for run in engine.record()["runs"]]


def test_engine_orders_respect_fencing_numbers_and_slots():
    with running_engine("--fencing", "checked", "--slots", "1") as engine:
        assert load(engine, fence=5).status == 200
        assert load(engine, fence=4).json()["error"] == "old_fence"
        assert load(engine, "other@1", fence=5).json()["error"] == "no_free_slot"
        assert load(engine, fence=5, order="unload").status == 200
        engine.set_faults(load_fails=["other@1"])
        assert load(engine, "other@1", fence=5).json()["error"] == "load_failed"
        engine.set_faults(lose_order_answer=1)
        with pytest.raises(ABORT_ERRORS):
            load(engine, fence=6)
        assert engine.call("GET", "/admin/report").json()["resident"] == [ADAPTER]


def test_engine_that_ignores_fencing_numbers_executes_old_orders():
    with running_engine() as engine:
        assert load(engine, fence=5).status == 200
        assert load(engine, fence=4, order="unload").status == 200
        assert engine.call("GET", "/admin/report").json()["resident"] == []


def test_engine_counts_adapters_unloaded_in_use():
    with running_engine() as engine:
        load(engine)
        chunks = start_long_stream(engine)
        load(engine, order="unload")
        chunks.close()
        assert engine.record()["evicted_in_use"] == 1


def test_engine_restart_loses_state_and_aborts_requests():
    with running_engine() as engine:
        load(engine)
        before = engine.call("GET", "/admin/report").json()
        chunks = start_long_stream(engine)
        incarnation = engine.call("POST", "/restart").json()["incarnation"]
        with pytest.raises(ABORT_ERRORS):
            list(chunks)
        after = engine.call("GET", "/admin/report").json()
        assert before["incarnation"] != after["incarnation"] == incarnation
        assert (after["resident"], after["running_count"]) == ([], 0)
        assert [run["outcome"] for run in engine.record()["runs"]] == ["failed"]
        engine.set_faults(report_lag_ms=60_000)
        delayed = engine.call("GET", "/admin/report").json()
        assert delayed["resident"] == []
        assert delayed["incarnation"] == before["incarnation"]


def test_engine_checks_its_secret_and_applies_faults():
    with running_engine("--secret", "s3") as engine:
        assert load(engine).status == 401
        headers = {"Authorization": "Bearer s3"}
        load(engine, headers=headers)
        assert complete(engine).status == 401
        engine.set_faults(not_run=1, wrong_echo=1, backend_error=1)
        assert complete(engine, headers).json()["error"] == "not_run"
        assert engine.record()["runs"] == []
        assert complete(engine, headers).json()["error"] == "backend_error"
        assert complete(engine, headers).headers["X-Adapter"] != ADAPTER
        assert complete(engine, headers).headers["X-Adapter"] == ADAPTER


def book(plain, key="k1", **headers):
    return plain.call(
        "POST", "/bookings", {"crusher": 7}, headers={"Idempotency-Key": key} | headers
    )


def test_plain_service_records_every_call():
    with running("plain", "--secret", "s3") as plain:
        authorized = {"Authorization": "Bearer s3"}
        assert book(plain).status == 401
        answers = [book(plain, **authorized) for _ in range(2)]
        runs = plain.record()["runs"]
        assert [run["idempotency_key"] for run in runs] == ["k1", "k1"]
        digest = runs[0]["body_digest"]
        assert digest == body_digest(b'{"crusher":7}')
        assert answers[0].data == plain_answer("POST", "/bookings", digest)
        lookup = plain.call("GET", "/availability/7", headers=authorized)
        assert lookup.json()["path"] == "/availability/7"


@pytest.mark.parametrize(
    "fault, effect_count",
    [
        ("not_run", 0),
        ("cut_before_effect", 0),
        ("cut_after_effect", 1),
        ("backend_error", 1),
    ],
)
def test_plain_service_faults(fault, effect_count):
    with running("plain") as plain:
        plain.set_faults(**{fault: 1})
        if fault.startswith("cut"):
            with pytest.raises(ABORT_ERRORS):
                book(plain)
        else:
            assert book(plain).json()["error"] == fault
        assert len(plain.record()["runs"]) == effect_count
        assert book(plain).status == 200
