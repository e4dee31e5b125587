"""Metrics of a placer."""

from prometheus_client import CollectorRegistry, Counter, Gauge


class PlacerTelemetry:
    """Metrics of the orders to the engine and of the engine's state.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry, optional
    """

    def __init__(self, registry=None):
        self.registry = registry or CollectorRegistry()
        self._orders = Counter(
            "nutmegdeal_orders",
            "Orders given to the model engine",
            ("operation", "result"),
            registry=self.registry,
        )
        self._resident = self._gauge("resident_adapters", "Adapters that it holds")
        self._loading = self._gauge("loading_adapters", "Adapters on their way")
        self._queued = self._gauge("queued_adapters", "Adapters that wait for a load")
        self._running = self._gauge("engine_running", "Requests that it runs")
        self._waiting = self._gauge("engine_waiting", "Requests that wait in it")

    def _gauge(self, name, text):
        return Gauge(f"nutmegdeal_{name}", text, registry=self.registry)

    def record_order(self, order, result):
        """Count an order by its OrderResult."""
        self._orders.labels(order.operation.value, result.value).inc()

    def record_state(self, state):
        """Set the gauges to an EngineState."""
        self._resident.set(len(state.resident))
        self._loading.set(len(state.loading))
        self._queued.set(state.load.queued_count)
        self._running.set(state.load.running_count)
        self._waiting.set(state.load.waiting_count)
