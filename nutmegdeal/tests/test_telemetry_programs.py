"""Tests of the traces, metrics and logs of real processes.

Traces and metrics are received by an OTLP/HTTP receiver in the test process.
"""

import collections
import http.server
import json
import pathlib
import threading

import pytest
import urllib3
from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import (
    ExportMetricsServiceRequest,
)
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import (
    ExportTraceServiceRequest,
)

from nutmegdeal.tests.process_site import STOP_TIMEOUT_S, Site, wait_until

pytestmark = pytest.mark.processes

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
KNUSEPOOL = EXAMPLES / "knusepool" / "questionnaire.ini"
TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACEPARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"


class OtlpReceiver(http.server.ThreadingHTTPServer):
    """An OTLP/HTTP receiver that stores the request bodies by path."""

    def __init__(self):
        super().__init__(("127.0.0.1", 0), OtlpHandler)
        self.bodies = collections.defaultdict(list)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def url(self):
        return f"http://127.0.0.1:{self.server_port}"

    def spans(self):
        """Return (process name, span) for all spans of the test's trace."""
        found = []
        for body in list(self.bodies["/v1/traces"]):
            for resource in ExportTraceServiceRequest.FromString(body).resource_spans:
                process = read_attributes(resource.resource.attributes)["service.name"]
                for scope in resource.scope_spans:
                    found += [(process, span) for span in scope.spans]
        return [item for item in found if item[1].trace_id.hex() == TRACE_ID]

    def metric_names(self):
        names = set()
        for body in list(self.bodies["/v1/metrics"]):
            request = ExportMetricsServiceRequest.FromString(body)
            for resource in request.resource_metrics:
                for scope in resource.scope_metrics:
                    names |= {metric.name for metric in scope.metrics}
        return names


class OtlpHandler(http.server.BaseHTTPRequestHandler):
    """Stores the body of every POST request in the server."""

    def do_POST(self):  # noqa: N802
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.server.bodies[self.path].append(body)
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_arguments):
        pass


def read_attributes(attributes):
    return {
        item.key: getattr(item.value, item.value.WhichOneof("value"))
        for item in attributes
    }


@pytest.fixture
def receiver():
    running = OtlpReceiver()
    yield running
    running.shutdown()
    running.server_close()


def test_hops_of_a_request_are_spans_of_the_callers_trace(receiver, tmp_path):
    telemetry = {"otlp_url": receiver.url, "export_every_ms": 200}
    with Site(tmp_path, {"telemetry": telemetry}) as site:
        site.start_platform(loads_per_s=50)
        site.accept_questionnaire(KNUSEPOOL)
        site.start_engine("assist-llm", "--token-ms", "2")
        site.start_entry()
        site.wait_until_ready()
        answer = urllib3.request(
            "POST",
            site.entries[0].url + "/v1/completions",
            json={"model": "quote-0007@2", "prompt": "jaw", "max_tokens": 4},
            headers={"traceparent": TRACEPARENT},
            retries=False,
            timeout=STOP_TIMEOUT_S,
        )
        assert answer.status == 200, answer.data
        request_id = answer.headers["X-Request-Id"]
        expected = {"nutmegdeal.load_stall", "nutmegdeal.batch_efficiency"}
        wait_until(lambda: expected <= receiver.metric_names())
    spans = receiver.spans()
    assert {process for process, _ in spans} == {"entry-0", "assist-llm-0"}
    ids = {span.span_id for _, span in spans}
    parents = {span.parent_span_id for _, span in spans}
    assert parents - ids == {bytes.fromhex(TRACEPARENT.split("-")[2])}
    for _, span in spans:
        attributes = read_attributes(span.attributes)
        assert attributes["nutmegdeal.request_id"] == request_id
        assert attributes["nutmegdeal.adapter"] == "quote-0007"
        assert attributes["nutmegdeal.version"] == "2"
        assert attributes["nutmegdeal.generation"] == 1


def test_logs_are_json_lines_with_the_process_name(tmp_path):
    with Site(tmp_path, {"process": {"log_level": "debug"}}) as site:
        site.start_platform()
        site.accept_questionnaire(KNUSEPOOL)
        entry = site.start_entry()
        wait_until(lambda: entry.log_path.read_text().count("\n"))
        for line in entry.log_path.read_text().splitlines():
            assert json.loads(line)["process"] == "entry-0"
