"""Tests of spans and metrics, with and without export."""

import pytest
from opentelemetry import trace
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from nutmegdeal import telemetry
from nutmegdeal.log import add_trace_ids
from nutmegdeal.settings import TelemetrySettings

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACEPARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"


@pytest.fixture
def spans():
    exporter = InMemorySpanExporter()
    provider = TracerProvider()
    provider.add_span_processor(SimpleSpanProcessor(exporter))
    telemetry.install(provider, MeterProvider())
    yield exporter
    telemetry.install(None, None)


def test_hops_are_spans_of_the_same_trace(spans):
    with telemetry.start_span("entry", TRACEPARENT, request_id="e1-1") as entry:
        sent = entry.traceparent
    with telemetry.start_span("agent", sent, attempt="e1-1.1") as agent:
        agent.set_attribute("adapter", "quote-0001")
    first, second = spans.get_finished_spans()
    assert format(first.context.trace_id, "032x") == TRACE_ID
    assert second.context.trace_id == first.context.trace_id
    assert second.parent.span_id == first.context.span_id
    assert first.attributes == {"nutmegdeal.request_id": "e1-1"}
    assert second.attributes == {
        "nutmegdeal.attempt": "e1-1.1",
        "nutmegdeal.adapter": "quote-0001",
    }


def test_failed_hop_ends_its_span_with_an_error(spans):
    with pytest.raises(KeyError), telemetry.start_span("entry"):
        raise KeyError
    (span,) = spans.get_finished_spans()
    assert not span.status.is_ok


@pytest.mark.parametrize("traceparent", ["", TRACEPARENT])
def test_trace_context_is_propagated_without_export(traceparent):
    telemetry.configure(TelemetrySettings(), "entry-1")
    with telemetry.start_span("entry", traceparent, request_id="e1-1") as span:
        span.set_attribute("adapter", "quote-0001")
        assert span.traceparent == traceparent
        logged = add_trace_ids(None, "info", {})
    assert logged.get("trace_id", "") == (TRACE_ID if traceparent else "")
    assert not trace.get_current_span().get_span_context().is_valid


def test_invalid_trace_context_starts_a_new_trace(spans):
    with telemetry.start_span("entry", "nonsense") as span:
        assert span.traceparent.startswith("00-")


def test_measurements_are_recorded():
    reader = InMemoryMetricReader()
    telemetry.install(TracerProvider(), MeterProvider([reader]))
    telemetry.record_load_stall(250.0, "assist-llm")
    telemetry.record_batch(4, 8, "assist-llm")
    telemetry.install(None, None)
    telemetry.record_batch(8, 8, "assist-llm")
    (resource,) = reader.get_metrics_data().resource_metrics
    sums = {
        metric.name: metric.data.data_points[0].sum
        for metric in resource.scope_metrics[0].metrics
    }
    assert sums == {"nutmegdeal.load_stall": 250.0, "nutmegdeal.batch_efficiency": 0.5}
