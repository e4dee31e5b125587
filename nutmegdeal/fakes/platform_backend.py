"""Stand-in for an instance of a model engine, which records what it ran."""

import collections
import json
import time

import gevent

from nutmegdeal.fakes.adapter_runs import AdapterRun
from nutmegdeal.fakes.batch_slots import BatchSlots
from nutmegdeal.fakes.platform_server import PlatformBackend
from nutmegdeal.fakes.prompt_crashes import PromptCrashes
from nutmegdeal.fakes.stream_runs import StreamRun
from nutmegdeal.http_connections import find_header
from nutmegdeal.incoming_requests import CallerLeftError

EVENT_INTERVAL_MS = 10.0
LOAD_MS = 60.0
EVENT_COUNT = 8
# For how long an order that gets no answer keeps its connection open; longer than any
# sender waits.
NO_ANSWER_MS = 1_000.0
# How often a replacement looks whether the runs of its adapter have ended.
REPLACE_POLL_S = 0.01
PRIORITY = 5


class PlatformEngine(PlatformBackend):
    """Instance of a model engine with adapters.

    Parameters
    ----------
    address, backend_id, service, zone
        As for `PlatformBackend`.
    model : str
    adapter_slots : int
        Maximum number of adapters. Loads beyond it are still executed, and counted.

    Attributes
    ----------
    adapters, pending : dict of str to int
        Versions of the adapters that are resident or loading, by name.
    order_count : int
        Orders accepted in this incarnation.
    order_senders : set of str
        Senders of orders (``holder``), over all incarnations.
    slot_overflow_count : int
        Load orders accepted beyond `adapter_slots`, over all incarnations.
    unanswered_pending : int
        Number of next loads of adapters that get no answer and wait in
        `delayed_orders`.
    repeated_status : int or None
        Status of an earlier answer, of which a second copy comes in place of each
        answer that is missing; None for no copies.
    delayed_orders : list of (str or None, dict)
        Target instance and body of the orders that have got no answer.
    refuses_reports : bool
        Reports get 503.
    event_interval_ms : float
        Time from one event of a stream to the next.
    prompts : PromptCrashes
        Parts of prompts that crash the engine as it begins to write its answer.
    stream_runs : list of StreamRun
        Runs begun, over all incarnations.
    writes_version : bool
        Events name the software version of the engine that wrote them.
    adapter_runs : list of AdapterRun
        Runs for adapters that have begun, over all incarnations.
    """

    _break_event = EVENT_COUNT // 2

    def __init__(self, address, backend_id, service, zone, model, adapter_slots):
        self.model = model
        self.has_model = True
        self.adapter_slots = adapter_slots
        self.adapters = {}
        self.pending = {}
        self.order_count = 0
        self.order_senders = set()
        self.slot_overflow_count = 0
        self.unanswered_pending = 0
        self.repeated_status = None
        self.delayed_orders = []
        self.refuses_reports = False
        self.event_interval_ms = EVENT_INTERVAL_MS
        self.prompts = PromptCrashes()
        self.stream_runs = []
        self.writes_version = False
        self.adapter_runs = []
        self._open_runs = collections.Counter()
        self._batch, self._batch_count, self._queue_max = None, None, 0
        super().__init__(address, backend_id, service, zone)

    def limit_batch(self, batch_count, queue_max):
        """Run at most `batch_count` requests at once, and queue `queue_max` more."""
        self._batch = BatchSlots(batch_count)
        self._batch_count, self._queue_max = batch_count, queue_max

    def restart(self, backend_id=None, software_version=None):
        """Lose the model, adapters and order count; begin a new incarnation.

        Parameters
        ----------
        backend_id, software_version : str, optional
            By default the engine keeps its id and version.
        """
        super().restart(backend_id, software_version)
        self.adapters, self.pending, self.order_count = {}, {}, 0
        self.has_model = False

    def execute_delayed_orders(self):
        """Execute the orders that got no answer and are valid now.

        The others stay delayed: they may become valid in a later incarnation.
        """
        delayed, self.delayed_orders = self.delayed_orders, []
        for target_id, order in delayed:
            if self._execute_order(target_id, order) not in (200, 202):
                self.delayed_orders.append((target_id, order))

    def _registration_fields(self):
        names = [f"{name}@{version}" for name, version in self.adapters.items()]
        models = [{"name": self.model, "version": 1, "adapters": names}]
        models = models if self.has_model else []
        fields = super()._registration_fields()
        return {
            **fields,
            "slots": self._batch_count or fields["slots"],
            "models": models,
            "sequence": self.order_count,
        }

    def _respond(self, request, responder):
        self.listener.current_connection().received_s = time.monotonic()
        self.faults.wait_while_silent()
        if request.path == "/report":
            self._send_report(responder)
        elif request.path == "/order":
            self._apply_order(request, responder)
        else:
            request_id = find_header(request.headers, b"x-request-id").decode()
            self.prompts.record_arrival(_find_prompt(request), request_id)
            super()._respond(request, responder)

    def _send_report(self, responder):
        if self.refuses_reports:
            responder.reply(503, self._leaving_headers(), b"")
            return
        report = {
            **self._registration_fields(),
            "busy": False,
            "waiting": self._batch.waiting_count if self._batch else 0,
            "running": (
                self.runs.total() - self.completed.total() - self.cancelled.total()
            ),
            "kv_used": 0,
            "kv_total": 1_000,
            "pending": [f"{self.model}/{n}@{v}" for n, v in self.pending.items()],
        }
        responder.reply(200, self._leaving_headers(), json.dumps(report).encode())

    def _apply_order(self, request, responder):
        order = json.loads(request.body)
        self.order_senders.add(order["holder"])
        target_id = find_header(request.headers, b"x-target-instance")
        target_id = target_id.decode() if target_id is not None else None
        is_adapter_load = order["operation"] == "load" and "adapter" in order
        if self.unanswered_pending and is_adapter_load:
            self.unanswered_pending -= 1
            self.delayed_orders.append((target_id, order))
            if self.repeated_status is not None:
                responder.reply(self.repeated_status, self._leaving_headers(), b"")
                return
            gevent.sleep(NO_ANSWER_MS / 1000)
            return
        status_code = self._execute_order(target_id, order)
        responder.reply(status_code, self._leaving_headers(), b"")

    def _execute_order(self, target_id, order):
        """Execute an order; return the status of its answer."""
        adapter = order.get("adapter")
        if target_id not in (None, self.backend_id):
            return 421
        if order.get("expected") != self.order_count:
            return 409
        if adapter is not None and not self.has_model:
            return 400
        self.order_count += 1
        if adapter is None:
            gevent.spawn_later(LOAD_MS / 1000, self._finish_model, self.incarnation)
            return 202
        if order["operation"] == "unload":
            self.adapters.pop(adapter, None)
            return 200
        self.pending[adapter] = order.get("version") or 1
        if len(self.adapters) + len(self.pending) > self.adapter_slots:
            self.slot_overflow_count += 1
        gevent.spawn_later(LOAD_MS / 1000, self._finish_load, adapter, self.incarnation)
        return 202

    def _finish_model(self, incarnation):
        self.has_model = self.has_model or incarnation == self.incarnation

    def _finish_load(self, adapter, incarnation):
        # A replacement waits for the runs of the version before it.
        while incarnation == self.incarnation and self._open_runs[incarnation, adapter]:
            gevent.sleep(REPLACE_POLL_S)
        if incarnation == self.incarnation and adapter in self.pending:
            self.adapters[adapter] = self.pending.pop(adapter)

    def _serve(self, request, responder):
        status_code = self._find_refusal(request)
        if status_code is not None:
            self._refuse(request, responder, status_code)
        elif self._batch is None:
            self._run(request, responder)
        elif self._batch.waiting_count >= self._queue_max:
            self._refuse(request, responder, 503)
        else:
            self._run_in_batch(request, responder)

    def _run_in_batch(self, request, responder):
        incarnation = self.incarnation
        place = self._batch.request(PRIORITY)
        try:
            place.wait()
            if self._has_client_left():
                raise CallerLeftError
            is_replaced = incarnation != self.incarnation
            status_code = 421 if is_replaced else self._find_refusal(request)
            if status_code is not None:
                self._refuse(request, responder, status_code)
                return
            self._run(request, responder)
        finally:
            self._batch.release(place)

    def _find_refusal(self, request):
        """Return the status with which a request is not run now, or None."""
        adapter = _find_adapter(request)
        expected_version = find_header(request.headers, b"x-expected-version")
        resident_version = self.adapters.get(adapter) if adapter else 0
        if not self.has_model or resident_version is None:
            return 421
        if expected_version is not None and int(expected_version) != resident_version:
            return 421
        # An order that concerns the request is under way.
        return 503 if adapter in self.pending else None

    def _has_client_left(self):
        """Return whether the server knows that the client does not wait any more."""
        if self.faults.ignores_close:
            return False
        return self.listener.current_connection().is_closed

    def _run(self, request, responder):
        place = (self.incarnation, _find_adapter(request))
        self._open_runs[place] += 1
        try:
            super()._serve(request, responder)
        finally:
            self._open_runs[place] -= 1

    def _record_adapter_run(self, request_id, adapter, version):
        """Record that a run writes its first token, unless its client left before."""
        connection = self.listener.current_connection()
        if not adapter or self._has_client_left():
            return
        self.adapter_runs.append(
            AdapterRun(
                request_id,
                self.backend_id,
                adapter,
                version,
                connection.received_s,
                time.monotonic(),
            )
        )

    def _execute(self, request, request_id, responder):
        headers = [
            *self._common_headers(request),
            (b"x-response-signature", b"s"),
            (b"content-type", b"text/event-stream"),
        ]
        if self.faults.endless is not None:
            adapter = _find_adapter(request)
            self._record_adapter_run(request_id, adapter, self.adapters.get(adapter))
        pieces = self._make_events(request, request_id)
        self._write_answer(responder, headers, pieces)

    def _make_events(self, request, request_id):
        """Yield the events of an answer with their numbers, at the engine's pace."""
        last_event_id = find_header(request.headers, b"last-event-id")
        first_number = int(last_event_id) + 1 if last_event_id else 0
        # A restart does not end the runs of the incarnation before it.
        version = self.software_version
        adapter = _find_adapter(request)
        adapter_version = self.adapters.get(adapter)
        self.stream_runs.append(StreamRun(request_id, first_number, version))
        data = f"{request_id} {version}" if self.writes_version else request_id
        for number in range(first_number, EVENT_COUNT):
            gevent.sleep(self.event_interval_ms / 1000)
            if self.is_down:
                # The connection was accepted just before the crash.
                self.listener.break_off()
            if self.prompts.record_crash(_find_prompt(request), request_id):
                self._crash()
            self.faults.pause_before(number)
            if number == first_number:
                self._record_adapter_run(request_id, adapter, adapter_version)
            yield number, f"id: {number}\ndata: {data}\n\n".encode()


def _find_adapter(request):
    """Return the adapter that a request names, "" for the base model."""
    model_name = find_header(request.headers, b"x-model").decode()
    return model_name.partition("/")[2]


def _find_prompt(request):
    return find_header(request.headers, b"x-prompt-prefix")
