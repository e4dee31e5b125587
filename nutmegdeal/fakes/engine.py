"""Stand-in for a model engine."""

import bottle
import gevent
from gevent.event import Event

from nutmegdeal.configuration import Fencing
from nutmegdeal.fakes.adapter_slots import AdapterSlots, OrderResult
from nutmegdeal.fakes.answers import (
    ApiFormat,
    answer_chunks,
    parse_prompt,
    skip_bytes,
)
from nutmegdeal.fakes.batch_slots import BatchSlots
from nutmegdeal.fakes.disconnects import DisconnectWatch
from nutmegdeal.fakes.engine_faults import EngineFaults
from nutmegdeal.fakes.lag import LaggingValue
from nutmegdeal.fakes.run_record import Outcome, RunRecord
from nutmegdeal.fakes.server import (
    StandIn,
    abort_after,
    abort_connection,
    abort_request,
    connection_of,
    error_response,
    is_authorized,
    json_response,
)
from nutmegdeal.identifiers import body_digest, new_incarnation

PRIORITY_DEFAULT = 1
WRONG_ADAPTER = "wrong-adapter@0"


class EngineState:
    """State of one incarnation of an engine, lost in a restart.

    Parameters
    ----------
    options : EngineOptions

    Attributes
    ----------
    load_events : dict of str to gevent.event.Event
        For each adapter that is loading, the event that is set when its load ends.
    disconnect_watches : dict of Run to DisconnectWatch
        Watches of the requests that are waiting for a batch slot or running.
    """

    def __init__(self, options):
        self.incarnation = new_incarnation()
        self.adapter_slots = AdapterSlots(options.slot_count)
        self.batch_slots = BatchSlots(options.batch_size)
        self.load_events = {}
        self.disconnect_watches = {}

    def report(self, batch_size):
        """Return the current report (dict) as ``/admin/report`` sends it."""
        return {
            "incarnation": self.incarnation,
            "resident": sorted(self.adapter_slots.resident),
            "loading": sorted(self.adapter_slots.loading),
            "running_count": self.batch_slots.running_count,
            "batch_size_max": batch_size,
        }


class EngineStandIn(StandIn):
    """Model engine that computes its tokens from adapter, version and prompt.

    Parameters
    ----------
    clock : Clock
    options : EngineOptions
    fetch_weights : callable
        Takes ``adapter@version``; returns whether its weights were fetched (bool).
    """

    def __init__(self, clock, options, fetch_weights):
        super().__init__(EngineFaults)
        self.record = RunRecord()
        self._clock = clock
        self._options = options
        self._fetch_weights = fetch_weights
        self._state = EngineState(options)
        self._report = LaggingValue(self._state.report(options.batch_size))
        for api_format in ApiFormat:
            route = f"/v1/{api_format.value}"
            self.app.route(
                route, "POST", lambda api_format=api_format: self.complete(api_format)
            )
        self.app.route("/admin/load", "POST", self.load)
        self.app.route("/admin/unload", "POST", self.unload)
        self.app.route("/admin/report", "GET", self.report)
        self.app.route("/record", "GET", lambda: json_response(self.record.to_json()))
        self.app.route("/restart", "POST", self.restart)

    def report(self):
        """Send the report as it was `report_lag_ms` ago."""
        if self.faults.report_down:
            return error_response(503, "unavailable", "no report")
        now_ms = self._clock.monotonic_ms()
        return json_response(self._report.read(now_ms, self.faults.report_lag_ms))

    def restart(self):
        """Lose all state and abort the connections of all running requests."""
        old_state, self._state = self._state, EngineState(self._options)
        for run, watch in list(old_state.disconnect_watches.items()):
            run.end(Outcome.FAILED)
            watch.mark_disconnected()
            abort_connection(watch.connection)
        for loaded in old_state.load_events.values():
            loaded.set()
        self._update_report()
        return json_response({"incarnation": self._state.incarnation})

    def load(self):
        """Execute an order to load an adapter."""
        engine_name = bottle.request.json["adapter"]
        refusal = self._refuse_order()
        if refusal:
            return refusal
        state = self._state
        result = state.adapter_slots.begin_load(engine_name)
        if result is OrderResult.NO_FREE_SLOT:
            return error_response(507, result.value, "every slot is taken")
        if result is OrderResult.START:
            self._run_load(state, engine_name)
        if result is OrderResult.WAIT:
            state.load_events[engine_name].wait()
        if state is not self._state:
            return abort_request(bottle.request)
        if engine_name not in state.adapter_slots.resident:
            return error_response(502, "load_failed", f"no weights of {engine_name}")
        return self._respond_to_order()

    def unload(self):
        """Execute an order to unload an adapter."""
        refusal = self._refuse_order()
        if refusal:
            return refusal
        use_count = self._state.adapter_slots.unload(bottle.request.json["adapter"])
        if use_count > 0:
            self.record.evicted_in_use_count += 1
        self._update_report()
        return self._respond_to_order()

    def complete(self, api_format):
        """Run a completion request."""
        if not is_authorized(bottle.request, self._options.secret):
            return error_response(401, "unauthenticated", "wrong or no secret")
        if self.faults.not_run.fires():
            return error_response(503, "not_run", "the engine takes no work now")
        body = bottle.request.body.read()
        try:
            prompt = parse_prompt(api_format, body)
            resume_from = int(bottle.request.get_header("X-Resume-From") or 0)
            priority = int(bottle.request.get_header("X-Priority") or PRIORITY_DEFAULT)
        except (ValueError, KeyError, TypeError) as error:
            return error_response(400, "bad_request", repr(error))
        if not self._state.adapter_slots.try_use(prompt.engine_name):
            detail = f"{prompt.engine_name} is not resident"
            return error_response(409, "not_resident", detail)
        run = self._begin_run(bottle.request, prompt.engine_name, body)
        if self.faults.backend_error.fires():
            self._state.adapter_slots.end_use(prompt.engine_name)
            run.end(Outcome.FAILED)
            return error_response(500, "backend_error", "the engine failed")
        chunks = skip_bytes(answer_chunks(prompt), resume_from)
        return self._respond(prompt, run, priority, chunks)

    def _refuse_order(self):
        if not is_authorized(bottle.request, self._options.secret):
            return error_response(401, "unauthenticated", "wrong or no secret")
        fence = int(bottle.request.json["fence"])
        is_checked = self._options.fencing is Fencing.CHECKED
        if self._state.adapter_slots.accept_fence(fence, is_checked):
            return None
        return error_response(409, OrderResult.OLD_FENCE.value, f"fence {fence} is old")

    def _respond_to_order(self):
        if self.faults.lose_order_answer.fires():
            return abort_request(bottle.request)
        return json_response({})

    def _run_load(self, state, engine_name):
        loaded = state.load_events[engine_name] = Event()
        self._update_report()
        try:
            gevent.sleep(self.faults.load_slow_ms / 1000)
            was_fetched = self._fetch_weights(engine_name)
            succeeded = was_fetched and not self._load_fails(engine_name)
        except BaseException:
            succeeded = False
            raise
        finally:
            state.adapter_slots.end_load(engine_name, succeeded)
            state.load_events.pop(engine_name)
            loaded.set()
            self._update_report()

    def _load_fails(self, engine_name):
        return bool({"*", engine_name} & set(self.faults.load_fails))

    def _update_report(self):
        report = self._state.report(self._options.batch_size)
        self._report.replace(report, self._clock.monotonic_ms())

    def _begin_run(self, request, engine_name, body):
        return self.record.begin(
            attempt_id=request.get_header("X-Attempt-Id", ""),
            idempotency_key=request.get_header("Idempotency-Key", ""),
            adapter=engine_name,
            method=request.method,
            path=request.path,
            body_digest=body_digest(body),
            started_ms=self._clock.unix_ms(),
        )

    def _respond(self, prompt, run, priority, chunks):
        names_wrong_adapter = self.faults.wrong_echo.fires()
        headers = {
            "Content-Type": "text/event-stream"
            if prompt.stream
            else "application/json",
            "X-Adapter": WRONG_ADAPTER if names_wrong_adapter else prompt.engine_name,
            "X-Engine-Incarnation": self._state.incarnation,
        }
        if not prompt.stream:
            headers["Content-Length"] = str(sum(map(len, chunks)))
        connection = connection_of(bottle.request)
        body = self._generate(self._state, connection, run, priority, chunks)
        byte_count = self.faults.take_cut_bytes()
        if byte_count:
            body = abort_after(body, byte_count, connection)
        return bottle.HTTPResponse(body, 200, headers)

    def _generate(self, state, connection, run, priority, chunks):
        """Wait for a batch slot, then yield `chunks` at one token time each."""
        watch = state.disconnect_watches[run] = DisconnectWatch(connection)
        batch_slot = state.batch_slots.request(priority)
        try:
            gevent.wait([batch_slot, watch.disconnected], count=1)
            self._update_report()
            for position, chunk in enumerate(chunks, start=1):
                token_ms = self._options.token_ms + self.faults.slow_ms
                if watch.disconnected.wait(token_ms / 1000):
                    return
                if position == len(chunks):
                    run.end(Outcome.COMPLETED)
                if chunk:
                    yield chunk
            run.end(Outcome.COMPLETED)
        finally:
            run.end(Outcome.CANCELLED)
            watch.close()
            state.disconnect_watches.pop(run)
            state.batch_slots.release(batch_slot)
            state.adapter_slots.end_use(run.adapter)
            self._update_report()
