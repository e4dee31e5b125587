"""Tests of the stand-ins as processes."""

import base64
import contextlib
import time

import pytest
import urllib3

from nutmegdeal.fakes.answers import expected_answer, plain_answer, read_text
from nutmegdeal.identifiers import body_digest
from nutmegdeal.tests.programs import CALL_WITHIN_S, start_stand_in

pytestmark = pytest.mark.processes

ADAPTER = "quote-0001@2"
CUT_ERRORS = urllib3.exceptions.HTTPError


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
    engine, headers=None, path="/v1/completions", timeout=CALL_WITHIN_S, **fields
):
    body = {"model": ADAPTER, "prompt": "jaw", "max_tokens": 5} | fields
    return engine.call("POST", path, body, headers=headers, timeout=timeout)


def wait_until(condition):
    for _ in range(1000):
        if condition():
            return
        time.sleep(0.01)
    raise AssertionError("the condition did not come true")


def write_row(table, key, value, expected_version=0):
    encoded = base64.b64encode(value).decode()
    write = {"key": key, "value": encoded, "expected_version": expected_version}
    return table.call("POST", "/write", {"writes": [write]})


def read_row(table, key):
    return table.call("POST", "/read", {"key": key}).json()["row"]


def test_table_writes_conflict_and_scan():
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


def test_table_loses_the_answer_of_an_applied_write():
    with running("table") as table:
        table.set_faults(lose_answer=1)
        with pytest.raises(CUT_ERRORS):
            write_row(table, "a", b"1")
        assert read_row(table, "a")["version"] == 1
        assert write_row(table, "b", b"1").status == 200


def test_table_faults_refuse_without_effect():
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


def test_objects_are_kept_under_names_with_slashes():
    with running("objects") as objects:
        name = "/objects/accounts/x/1"
        assert objects.call("PUT", name, body=b"\x00bytes").status == 200
        assert objects.call("GET", name).data == b"\x00bytes"
        assert objects.call("GET", "/objects/accounts/x/2").status == 404
        names = objects.call("GET", "/objects?prefix=accounts/&after=&limit=10")
        assert names.json() == {"names": ["accounts/x/1"]}
        objects.set_faults(lose_answer=1)
        with pytest.raises(CUT_ERRORS):
            objects.call("PUT", "/objects/lost", body=b"1")
        assert objects.call("GET", "/objects/lost").data == b"1"


def test_host_list_lags():
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


def test_weight_store_refuses_over_its_rate():
    options = ("--over-rate", "refuse", "--loads-per-s", "0.001", "--load-ms", "1")
    with running("weights", *options) as weights:
        answers = [weights.call("GET", f"/weights/{ADAPTER}") for _ in range(3)]
        assert [answer.status for answer in answers] == [200, 200, 429]
        assert len(answers[0].data) > 0


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("path", ["/v1/completions", "/v1/chat/completions"])
def test_engine_answers_what_a_checker_expects(path, stream):
    messages = [{"role": "user", "content": "jaw"}]
    with (
        running("weights") as weights,
        running_engine("--weights-url", weights.url) as e,
    ):
        assert complete(e).json()["error"] == "not_resident"
        assert load(e).status == 200
        answer = complete(
            e, {"X-Attempt-Id": "r.1"}, path, stream=stream, messages=messages
        )
        prompt = "user: jaw" if "chat" in path else "jaw"
        assert read_text(answer.data, stream) == expected_answer(ADAPTER, prompt, 5)
        assert answer.headers["X-Adapter"] == ADAPTER
        wait_until(lambda: e.record()["runs"][0]["outcome"] == "completed")
        (run,) = e.record()["runs"]
        assert (run["attempt_id"], run["adapter"]) == ("r.1", ADAPTER)
        report = e.call("GET", "/admin/report").json()
        assert report["resident"] == [ADAPTER]
        assert report["incarnation"] == answer.headers["X-Engine-Incarnation"]


@pytest.mark.parametrize("stream", [False, True])
def test_engine_resumes_where_the_reader_is(stream):
    with running_engine() as engine:
        load(engine)
        whole = complete(engine, stream=stream).data
        for offset in (1, len(whole) // 2, len(whole) - 1, len(whole)):
            headers = {"X-Resume-From": str(offset)}
            assert complete(engine, headers, stream=stream).data == whole[offset:]


def test_engine_cuts_streams_and_plain_answers():
    with running_engine() as engine:
        load(engine)
        whole = complete(engine, stream=True).data
        engine.set_faults(cut_after_bytes=100, cut_count=1)
        answer = complete_unread(engine, stream=True)
        with pytest.raises(CUT_ERRORS):
            list(answer.stream())
        assert complete(engine, stream=True).data == whole
        engine.set_faults(cut_after_bytes=100)
        with pytest.raises(CUT_ERRORS):
            complete(engine)


def complete_unread(engine, **fields):
    body = {"model": ADAPTER, "prompt": "jaw", "max_tokens": 5} | fields
    return engine.call("POST", "/v1/completions", body, preload_content=False)


def start_long_stream(engine):
    """Return the chunks of an answer that is in progress."""
    answer = complete_unread(engine, stream=True, max_tokens=4000)
    chunks = answer.stream(1)
    next(chunks)
    return chunks


def test_engine_cancels_a_stream_whose_reader_goes():
    with running_engine("--batch-size", "1") as engine:
        load(engine)
        start_long_stream(engine).close()
        wait_until(lambda: outcomes_of(engine) == ["cancelled"])
        assert complete(engine).status == 200


def test_engine_cancels_what_waits_or_runs_when_its_reader_goes():
    with running_engine("--batch-size", "1") as engine:
        load(engine)
        chunks = start_long_stream(engine)
        with pytest.raises(CUT_ERRORS):
            complete(engine, timeout=0.2)
        wait_until(lambda: outcomes_of(engine) == ["running", "cancelled"])
        chunks.close()
        with pytest.raises(CUT_ERRORS):
            complete(engine, timeout=0.2, max_tokens=4000)
        wait_until(lambda: outcomes_of(engine) == ["cancelled"] * 3)
        assert complete(engine).status == 200


def outcomes_of(engine):
    return [run["outcome"] for run in engine.record()["runs"]]


def test_engine_orders_follow_fences_and_slots():
    with running_engine("--fencing", "checked", "--slots", "1") as engine:
        assert load(engine, fence=5).status == 200
        assert load(engine, fence=4).json()["error"] == "old_fence"
        assert load(engine, "other@1", fence=5).json()["error"] == "no_free_slot"
        assert load(engine, fence=5, order="unload").status == 200
        engine.set_faults(load_fails=["other@1"])
        assert load(engine, "other@1", fence=5).json()["error"] == "load_failed"
        engine.set_faults(lose_order_answer=1)
        with pytest.raises(CUT_ERRORS):
            load(engine, fence=6)
        assert engine.call("GET", "/admin/report").json()["resident"] == [ADAPTER]


def test_engine_that_ignores_fences_follows_old_orders():
    with running_engine() as engine:
        assert load(engine, fence=5).status == 200
        assert load(engine, fence=4, order="unload").status == 200
        assert engine.call("GET", "/admin/report").json()["resident"] == []


def test_engine_counts_adapters_dropped_in_use():
    with running_engine() as engine:
        load(engine)
        chunks = start_long_stream(engine)
        load(engine, order="unload")
        chunks.close()
        assert engine.record()["evicted_in_use"] == 1


def test_engine_restarts_cold_and_cuts_what_runs():
    with running_engine() as engine:
        load(engine)
        before = engine.call("GET", "/admin/report").json()
        chunks = start_long_stream(engine)
        incarnation = engine.call("POST", "/restart").json()["incarnation"]
        with pytest.raises(CUT_ERRORS):
            list(chunks)
        after = engine.call("GET", "/admin/report").json()
        assert before["incarnation"] != after["incarnation"] == incarnation
        assert (after["resident"], after["running_count"]) == ([], 0)
        assert [run["outcome"] for run in engine.record()["runs"]] == ["failed"]
        engine.set_faults(report_lag_ms=60_000)
        late = engine.call("GET", "/admin/report").json()
        assert late["resident"] == []
        assert late["incarnation"] == before["incarnation"]


def test_engine_says_wrong_things_when_told_to():
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


def test_plain_service_records_every_effect():
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
            with pytest.raises(CUT_ERRORS):
                book(plain)
        else:
            assert book(plain).json()["error"] == fault
        assert len(plain.record()["runs"]) == effect_count
        assert book(plain).status == 200
