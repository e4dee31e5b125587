"""Stand-in of a model engine."""

import bottle
import gevent
from gevent.event import Event

from nutmegdeal.configuration import Fencing
from nutmegdeal.fakes.adapters import AdapterSlots, OrderResult
from nutmegdeal.fakes.answers import (
    AnswerShape,
    answer_chunks,
    parse_prompt,
    skip_bytes,
)
from nutmegdeal.fakes.batch import BatchPlaces
from nutmegdeal.fakes.disconnects import DisconnectWatch
from nutmegdeal.fakes.engine_faults import EngineFaults
from nutmegdeal.fakes.lag import LaggingValue
from nutmegdeal.fakes.record import Outcome, Record
from nutmegdeal.fakes.server import (
    StandIn,
    connection_of,
    cut,
    cut_after,
    cut_answer,
    error_answer,
    is_authorized,
    json_answer,
)
from nutmegdeal.identifiers import body_digest, new_incarnation

PRIORITY_DEFAULT = 1
WRONG_ADAPTER = "wrong-adapter@0"


class EngineState:
    """What an engine loses when it restarts.

    Parameters
    ----------
    options : EngineOptions
    """

    def __init__(self, options):
        self.incarnation = new_incarnation()
        self.slots = AdapterSlots(options.slot_count)
        self.places = BatchPlaces(options.batch_size)
        self.loads = {}
        self.watches = {}

    def report(self, batch_size):
        """Return the report of this moment as the interface shows it."""
        return {
            "incarnation": self.incarnation,
            "resident": sorted(self.slots.resident),
            "loading": sorted(self.slots.loading),
            "running_count": self.places.running_count,
            "batch_size_max": batch_size,
        }


class EngineStandIn(StandIn):
    """Model engine whose tokens are computed from adapter, version and prompt.

    Parameters
    ----------
    clock : Clock
    options : EngineOptions
    fetch_weights : callable
        Takes an engine name; returns whether its weights arrived (bool).
    """

    def __init__(self, clock, options, fetch_weights):
        super().__init__(EngineFaults)
        self.record = Record()
        self._clock = clock
        self._options = options
        self._fetch_weights = fetch_weights
        self._state = EngineState(options)
        self._report = LaggingValue(self._state.report(options.batch_size))
        for shape in AnswerShape:
            route = f"/v1/{shape.value}"
            self.app.route(route, "POST", lambda shape=shape: self.complete(shape))
        self.app.route("/admin/load", "POST", self.load)
        self.app.route("/admin/unload", "POST", self.unload)
        self.app.route("/admin/report", "GET", self.report)
        self.app.route("/record", "GET", lambda: json_answer(self.record.to_json()))
        self.app.route("/restart", "POST", self.restart)

    def report(self):
        """Answer the engine's state as it was a lag ago."""
        if self.faults.report_down:
            return error_answer(503, "unavailable", "no report")
        now_ms = self._clock.monotonic_ms()
        return json_answer(self._report.read(now_ms, self.faults.report_lag_ms))

    def restart(self):
        """Lose all state and cut every answer in progress."""
        old, self._state = self._state, EngineState(self._options)
        for run, watch in list(old.watches.items()):
            run.end(Outcome.FAILED)
            watch.leave()
            cut(watch.connection)
        for loaded in old.loads.values():
            loaded.set()
        self._note_change()
        return json_answer({"incarnation": self._state.incarnation})

    def load(self):
        """Follow an order to load an adapter."""
        engine_name = bottle.request.json["adapter"]
        refusal = self._refuse_order()
        if refusal:
            return refusal
        state = self._state
        result = state.slots.begin_load(engine_name)
        if result is OrderResult.NO_FREE_SLOT:
            return error_answer(507, result.value, "every slot is taken")
        if result is OrderResult.START:
            self._run_load(state, engine_name)
        if result is OrderResult.WAIT:
            state.loads[engine_name].wait()
        if state is not self._state:
            return cut_answer(bottle.request)
        if engine_name not in state.slots.resident:
            return error_answer(502, "load_failed", f"no weights of {engine_name}")
        return self._answer_order()

    def unload(self):
        """Follow an order to drop an adapter."""
        refusal = self._refuse_order()
        if refusal:
            return refusal
        use_count = self._state.slots.unload(bottle.request.json["adapter"])
        if use_count > 0:
            self.record.evicted_in_use_count += 1
        self._note_change()
        return self._answer_order()

    def complete(self, shape):
        """Run a request for a completion."""
        if not is_authorized(bottle.request, self._options.secret):
            return error_answer(401, "unauthenticated", "wrong or no secret")
        if self.faults.not_run.fires():
            return error_answer(503, "not_run", "the engine takes no work now")
        body = bottle.request.body.read()
        try:
            prompt = parse_prompt(shape, body)
            resume_from = int(bottle.request.get_header("X-Resume-From") or 0)
            priority = int(bottle.request.get_header("X-Priority") or PRIORITY_DEFAULT)
        except (ValueError, KeyError, TypeError) as error:
            return error_answer(400, "bad_request", repr(error))
        if not self._state.slots.try_use(prompt.engine_name):
            detail = f"{prompt.engine_name} is not resident"
            return error_answer(409, "not_resident", detail)
        run = self._begin_run(bottle.request, prompt.engine_name, body)
        if self.faults.backend_error.fires():
            self._state.slots.end_use(prompt.engine_name)
            run.end(Outcome.FAILED)
            return error_answer(500, "backend_error", "the engine failed")
        chunks = skip_bytes(answer_chunks(prompt), resume_from)
        return self._answer(prompt, run, priority, chunks)

    def _refuse_order(self):
        if not is_authorized(bottle.request, self._options.secret):
            return error_answer(401, "unauthenticated", "wrong or no secret")
        fence = int(bottle.request.json["fence"])
        is_checked = self._options.fencing is Fencing.CHECKED
        if self._state.slots.accept_fence(fence, is_checked):
            return None
        return error_answer(409, OrderResult.OLD_FENCE.value, f"fence {fence} is old")

    def _answer_order(self):
        if self.faults.lose_order_answer.fires():
            return cut_answer(bottle.request)
        return json_answer({})

    def _run_load(self, state, engine_name):
        loaded = state.loads[engine_name] = Event()
        self._note_change()
        try:
            gevent.sleep(self.faults.load_slow_ms / 1000)
            has_arrived = self._fetch_weights(engine_name)
            succeeded = has_arrived and not self._load_fails(engine_name)
        except BaseException:
            succeeded = False
            raise
        finally:
            state.slots.end_load(engine_name, succeeded)
            state.loads.pop(engine_name)
            loaded.set()
            self._note_change()

    def _load_fails(self, engine_name):
        return bool({"*", engine_name} & set(self.faults.load_fails))

    def _note_change(self):
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

    def _answer(self, prompt, run, priority, chunks):
        is_wrong = self.faults.wrong_echo.fires()
        headers = {
            "Content-Type": "text/event-stream"
            if prompt.stream
            else "application/json",
            "X-Adapter": WRONG_ADAPTER if is_wrong else prompt.engine_name,
            "X-Engine-Incarnation": self._state.incarnation,
        }
        if not prompt.stream:
            headers["Content-Length"] = str(sum(map(len, chunks)))
        connection = connection_of(bottle.request)
        body = self._generate(self._state, connection, run, priority, chunks)
        byte_count = self.faults.take_cut()
        if byte_count:
            body = cut_after(body, byte_count, connection)
        return bottle.HTTPResponse(body, 200, headers)

    def _generate(self, state, connection, run, priority, chunks):
        """Yield `chunks` one token time after the other, in a place of the batch."""
        watch = state.watches[run] = DisconnectWatch(connection)
        place = state.places.ask(priority)
        try:
            gevent.wait([place, watch.gone], count=1)
            self._note_change()
            for position, chunk in enumerate(chunks, start=1):
                token_ms = self._options.token_ms + self.faults.slow_ms
                if watch.gone.wait(token_ms / 1000):
                    return
                if position == len(chunks):
                    run.end(Outcome.COMPLETED)
                if chunk:
                    yield chunk
            run.end(Outcome.COMPLETED)
        finally:
            run.end(Outcome.CANCELLED)
            watch.close()
            state.watches.pop(run)
            state.places.give_back(place)
            state.slots.end_use(run.adapter)
            self._note_change()
