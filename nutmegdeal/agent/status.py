"""The agent's HTTP endpoints for status and health checks."""

import json

import attrs
import bottle

from nutmegdeal.agent.slots import SlotState
from nutmegdeal.messages import Urgency
from nutmegdeal.wsgi_server import LimitedWSGIServer

JSON_TYPE = "application/json"
NOT_READY_STATUS = 503


@attrs.frozen
class LeaseStatus:
    """The lease on the backend server, as ``/status`` shows it."""

    fence: int
    may_order: bool
    may_dispatch: bool


@attrs.frozen
class AgentStatus:
    """What ``/status`` shows of an agent.

    Parameters
    ----------
    queue_wait_ms : dict of str to float
        Expected wait by urgency class.
    slots : dict of str to list of str
        Adapters by state of their slot.
    """

    agent_id: str
    incarnation: str
    service: str
    zone: str
    generation: int
    ready: bool
    leaving: bool
    queued_count: int
    running_count: int
    batch_size_max: int
    queue_wait_ms: dict[str, float]
    load_wait_ms: float
    slots: dict[str, list[str]]
    engine_incarnation: str
    lease: LeaseStatus
    stream_count: int


class StatusServer:
    """Serves ``/healthz``, ``/readyz`` and ``/status``.

    Parameters
    ----------
    board : Blackboard
    forecast : Forecast
    clock : Clock
    connections : ConnectionBound
    """

    def __init__(self, board, forecast, clock, connections):
        self._board = board
        self._forecast = forecast
        self._clock = clock
        self._connections = connections
        self._server = None
        self.app = bottle.Bottle()
        self.app.route("/healthz", "GET", lambda: _json_response({"healthy": True}))
        self.app.route("/readyz", "GET", self._show_ready)
        self.app.route("/status", "GET", self._show_status)

    def start(self, host, port):
        """Start listening; return the port."""
        self._server = LimitedWSGIServer((host, port), self.app, self._connections)
        self._server.start()
        return self._server.server_port

    def stop(self):
        """Close the listener."""
        if self._server is not None:
            self._server.stop(timeout=1)

    def _show_status(self):
        return _json_response(attrs.asdict(self.describe()))

    def _show_ready(self):
        is_ready = self._board.is_ready(self._clock.monotonic_ms())
        return _json_response(
            {"ready": is_ready}, 200 if is_ready else NOT_READY_STATUS
        )

    def describe(self):
        """Return the current AgentStatus."""
        board = self._board
        now_ms = self._clock.monotonic_ms()
        return AgentStatus(
            agent_id=board.agent_id,
            incarnation=board.incarnation,
            service=board.service,
            zone=board.zone,
            generation=board.generation,
            ready=board.is_ready(now_ms),
            leaving=board.is_leaving,
            queued_count=len(board.waiting()),
            running_count=sum(board.running_by_adapter().values()),
            batch_size_max=board.batch_size_max,
            queue_wait_ms={
                urgency.value: round(self._forecast.queue_wait_ms(urgency), 1)
                for urgency in Urgency
            },
            load_wait_ms=round(self._forecast.new_load_wait_ms(), 1),
            slots={
                state.value: sorted(board.slots.adapters_in(state))
                for state in SlotState
                if state is not SlotState.ABSENT
            },
            engine_incarnation=board.slots.engine_incarnation,
            lease=LeaseStatus(
                fence=board.lease.fence if board.lease else 0,
                may_order=board.may_order,
                may_dispatch=board.may_dispatch(now_ms),
            ),
            stream_count=len(board.sessions),
        )


def _json_response(content, status_code=200):
    return bottle.HTTPResponse(
        json.dumps(content), status_code, {"Content-Type": JSON_TYPE}
    )
