"""The agent's status pages."""

import json

import bottle
from gevent.pywsgi import WSGIServer

from nutmegdeal.agent.slots import SlotState
from nutmegdeal.messages import Urgency

JSON_TYPE = "application/json"
NOT_READY_STATUS = 503


class StatusServer:
    """Serves ``/healthz``, ``/readyz`` and ``/status``.

    Parameters
    ----------
    board : Blackboard
    forecast : Forecast
    clock : Clock
    """

    def __init__(self, board, forecast, clock):
        self._board = board
        self._forecast = forecast
        self._clock = clock
        self._server = None
        self.app = bottle.Bottle()
        self.app.route("/healthz", "GET", lambda: _answer({"healthy": True}))
        self.app.route("/readyz", "GET", self._show_ready)
        self.app.route("/status", "GET", lambda: _answer(self.describe()))

    def start(self, host, port):
        """Listen; return the port in use."""
        self._server = WSGIServer((host, port), self.app, log=None)
        self._server.start()
        return self._server.server_port

    def stop(self):
        """Close the listener."""
        if self._server is not None:
            self._server.stop(timeout=1)

    def _show_ready(self):
        is_ready = self._board.is_ready(self._clock.monotonic_ms())
        return _answer({"ready": is_ready}, 200 if is_ready else NOT_READY_STATUS)

    def describe(self):
        """Return the content of ``/status`` (dict, for JSON)."""
        board = self._board
        now_ms = self._clock.monotonic_ms()
        slots = {
            state.value: sorted(board.slots.adapters_in(state))
            for state in SlotState
            if state is not SlotState.ABSENT
        }
        return {
            "agent_id": board.agent_id,
            "incarnation": board.incarnation,
            "service": board.service,
            "zone": board.zone,
            "generation": board.generation,
            "ready": board.is_ready(now_ms),
            "leaving": board.is_leaving,
            "queued_count": len(board.waiting()),
            "running_count": sum(board.running_by_adapter().values()),
            "batch_size_max": board.batch_size_max,
            "queue_wait_ms": {
                urgency.value: round(self._forecast.queue_wait_ms(urgency), 1)
                for urgency in Urgency
            },
            "load_wait_ms": round(self._forecast.new_load_wait_ms(), 1),
            "slots": slots,
            "engine_incarnation": board.slots.engine_incarnation,
            "lease": {
                "fence": board.lease.fence if board.lease else 0,
                "may_order": board.may_order,
                "may_dispatch": board.may_dispatch(now_ms),
            },
            "stream_count": len(board.sessions),
        }


def _answer(content, status_code=200):
    return bottle.HTTPResponse(
        json.dumps(content), status_code, {"Content-Type": JSON_TYPE}
    )
