"""OpenTelemetry spans and metrics, exported over OTLP/HTTP if this is configured.

Without export, a span only propagates the trace context of its caller, and recording a
measurement costs one check of a module variable.
"""

import contextlib

import attrs
from opentelemetry import context, trace
from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

TRACEPARENT = "traceparent"
ATTRIBUTE_PREFIX = "nutmegdeal."

_propagator = TraceContextTextMapPropagator()


class Span:
    """One hop of a request, as yielded by `start_span`.

    Parameters
    ----------
    traceparent : str
        W3C trace context for the next hop, ``""`` if there is none.
    span : opentelemetry.trace.Span
    """

    def __init__(self, traceparent, span=trace.INVALID_SPAN):
        self.traceparent = traceparent
        self._span = span

    def set_attribute(self, name, value):
        """Add an attribute (str, int, float or bool) to the running span."""
        self._span.set_attribute(ATTRIBUTE_PREFIX + name, value)


_NO_SPAN = Span("")


@attrs.frozen
class _Export:
    """Providers and instruments of a process that exports telemetry."""

    tracer_provider: TracerProvider
    meter_provider: MeterProvider
    tracer: trace.Tracer
    load_stall: object
    batch_efficiency: object


_export = None


def configure(settings, process_name):
    """Start the export of traces and metrics if it is configured.

    Parameters
    ----------
    settings : TelemetrySettings
        If ``otlp_url`` is empty, nothing is exported.
    process_name : str
        ``service.name`` of the exported data.
    """
    base_url = settings.otlp_url.rstrip("/")
    if not base_url:
        install(None, None)
        return
    resource = Resource.create({"service.name": process_name})
    tracer_provider = TracerProvider(resource=resource)
    span_exporter = OTLPSpanExporter(f"{base_url}/v1/traces")
    tracer_provider.add_span_processor(BatchSpanProcessor(span_exporter))
    reader = PeriodicExportingMetricReader(
        OTLPMetricExporter(f"{base_url}/v1/metrics"),
        export_interval_millis=settings.export_every_ms,
    )
    install(tracer_provider, MeterProvider([reader], resource))


def install(tracer_provider, meter_provider):
    """Use these OpenTelemetry SDK providers; None disables the export."""
    global _export
    if tracer_provider is None:
        _export = None
        return
    meter = meter_provider.get_meter("nutmegdeal")
    _export = _Export(
        tracer_provider,
        meter_provider,
        tracer_provider.get_tracer("nutmegdeal"),
        meter.create_histogram(
            "nutmegdeal.load_stall",
            unit="ms",
            description="Time a request waited for its adapter to arrive",
        ),
        meter.create_histogram(
            "nutmegdeal.batch_efficiency",
            unit="1",
            description="Requests running in a backend server over its batch size",
        ),
    )


def shutdown():
    """Export pending data and stop; to be called once when the process ends."""
    if _export is None:
        return
    _export.tracer_provider.shutdown()
    _export.meter_provider.shutdown()


@contextlib.contextmanager
def start_span(name, traceparent="", **attributes):
    """Run the ``with`` block in a span for one hop of a request.

    Parameters
    ----------
    name : str
    traceparent : str
        W3C trace context of the previous hop, ``""`` to start a new trace.
    **attributes : str, int, float or bool
        Such as ``request_id``, ``attempt``, ``adapter``, ``version`` and
        ``generation``.

    Yields
    ------
    Span
    """
    if _export is None and not traceparent:
        yield _NO_SPAN
        return
    parent = _propagator.extract({TRACEPARENT: traceparent}, context.Context())
    if _export is None:
        with _use_remote_span(trace.get_current_span(parent)):
            yield Span(traceparent)
        return
    prefixed_attributes = {
        ATTRIBUTE_PREFIX + key: value for key, value in attributes.items()
    }
    span = _export.tracer.start_span(name, parent, attributes=prefixed_attributes)
    with trace.use_span(span, end_on_exit=True):
        carrier = {}
        _propagator.inject(carrier)
        yield Span(carrier.get(TRACEPARENT, ""), span)


@contextlib.contextmanager
def _use_remote_span(span):
    """Make a span of another process the current span, so that logs have its ids."""
    token = context.attach(trace.set_span_in_context(span))
    try:
        yield
    finally:
        context.detach(token)


def record_load_stall(load_stall_ms, service):
    """Record how long a request waited until its adapter was loaded.

    Parameters
    ----------
    load_stall_ms : float
    service : str
    """
    if _export is None:
        return
    _export.load_stall.record(load_stall_ms, {"service": service})


def record_batch(running_count, batch_size_max, service):
    """Record the batch utilization of a backend server.

    Parameters
    ----------
    running_count : int
        Requests that it runs now.
    batch_size_max : int
        Most requests that it can run at the same time.
    service : str
    """
    if _export is None:
        return
    _export.batch_efficiency.record(
        running_count / batch_size_max, {"service": service}
    )
