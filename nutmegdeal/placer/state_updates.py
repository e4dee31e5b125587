"""What a placer tells each gateway about its engine, and when.

Answers the load of many gateways beside many engines: each message costs processor time
at both ends and bytes between availability zones, and most changes matter to one
gateway only, the one with requests that wait for the adapter.
"""

import attrs

from nutmegdeal.engine_messages import EngineChange, EngineState
from nutmegdeal.site import split_adapter

# Pause between messages that nothing waits for, in ms; just below the 500 ms after
# which a gateway sends a heartbeat on a silent stream.
UPDATE_EVERY_MS = 450.0
# Loads that begin or end of a queue before gateways hear of it at once: two rounds of
# four, as they refuse requests by the length of the queue.
QUEUE_CHANGE_COUNT = 8


@attrs.define
class _LastSent:
    """What a session was told last, and when."""

    state: EngineState
    sent_ms: float


class StateUpdates:
    """Decides what each session has to be told."""

    def __init__(self):
        self._last_sent = {}

    def forget(self, session):
        """Note the end of a session."""
        self._last_sent.pop(session, None)

    def add_session(self, session, state, now_ms):
        """Return the EngineState for a session that has just begun."""
        self._last_sent[session] = _LastSent(state, now_ms)
        return state

    def plan(self, state, fulfilled, now_ms):
        """Return what is due.

        Parameters
        ----------
        state : EngineState
            As of now.
        fulfilled : dict of session to set of str
            Adapters that sessions have waited for and that the engine holds.
        now_ms : float

        Returns
        -------
        list of tuple of (session, EngineState or EngineChange)
        """
        due = []
        for session, last_sent in self._last_sent.items():
            message = self._pick_message(
                last_sent, state, fulfilled.get(session), now_ms
            )
            if message is not None:
                due.append((session, message))
                last_sent.state, last_sent.sent_ms = state, now_ms
        return due

    def _pick_message(self, last_sent, state, awaited, now_ms):
        known = last_sent.state
        if _whole_state_key(known) != _whole_state_key(state):
            return state
        queue_change = abs(state.load.queued_count - known.load.queued_count)
        is_due = (
            now_ms - last_sent.sent_ms >= UPDATE_EVERY_MS
            or queue_change >= QUEUE_CHANGE_COUNT
        )
        if not (is_due or awaited):
            return None
        change = _compare(known, state)
        arrived = {split_adapter(name)[0] for name in change.arrived}
        if awaited and not awaited <= arrived:
            # The session was told of it before: it believes otherwise.
            return state
        return change


def _whole_state_key(state):
    """Return what is only told with a whole state."""
    return state.backend_started_unix_ms, state.is_reachable, state.has_model


def _compare(known, state):
    before, now = set(known.resident), set(state.resident)
    return EngineChange(
        arrived=tuple(sorted(now - before)),
        left=tuple(sorted(before - now)),
        loading=state.loading,
        load=state.load,
    )
