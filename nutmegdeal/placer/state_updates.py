"""Updates on the engine's state that a placer sends to the gateways.

There are many gateways and many engines. Each message costs processor time at both ends
and traffic between availability zones, and most changes concern only one gateway, the
one whose requests wait for the adapter. Other gateways get the change with their next
periodic update.
"""

import attrs

from nutmegdeal.engine_messages import EngineChange, EngineState
from nutmegdeal.site_configuration import split_adapter

# Pause between periodic updates: just below the 500 ms after which a gateway sends a
# heartbeat on an idle stream.
UPDATE_EVERY_MS = 450.0
# A change of the load queue by this many adapters is sent at once, as gateways refuse
# requests by the length of the queue: two rounds of four concurrent loads.
QUEUE_CHANGE_COUNT = 8


@attrs.define
class _LastSent:
    """The last state sent to a session, and when it was sent."""

    state: EngineState
    sent_ms: float


class StateUpdates:
    """Selects the messages that are due for each session."""

    def __init__(self):
        self._last_sent = {}

    def remove_session(self, session):
        """Remove a session that has ended."""
        self._last_sent.pop(session, None)

    def add_session(self, session, state, now_ms):
        """Add a new session; return the EngineState to send to it."""
        self._last_sent[session] = _LastSent(state, now_ms)
        return state

    def take_due(self, state, fulfilled, now_ms, started=frozenset()):
        """Return the messages that are due, and count them as sent.

        Parameters
        ----------
        state : EngineState
            Current state.
        fulfilled : dict of session to set of str
            Adapters for which sessions have waited and that the engine holds.
        now_ms : float
        started : set of session
            Sessions that wait for an adapter whose load has just begun. They would
            otherwise refuse requests that are about to be served.

        Returns
        -------
        list of tuple of (session, EngineState or EngineChange)
        """
        due = []
        for session, last_sent in self._last_sent.items():
            awaited = fulfilled.get(session)
            has_news = bool(awaited) or session in started
            message = self._next_message(last_sent, state, awaited, has_news, now_ms)
            if message is not None:
                due.append((session, message))
                last_sent.state, last_sent.sent_ms = state, now_ms
        return due

    def _next_message(self, last_sent, state, awaited, has_news, now_ms):
        previous = last_sent.state
        if _whole_state_key(previous) != _whole_state_key(state):
            return state
        queue_change = abs(state.load.queued_count - previous.load.queued_count)
        is_due = (
            now_ms - last_sent.sent_ms >= UPDATE_EVERY_MS
            or queue_change >= QUEUE_CHANGE_COUNT
        )
        if not (is_due or has_news):
            return None
        change = _build_change(previous, state)
        added_adapters = {split_adapter(name)[0] for name in change.added_adapters}
        if awaited and not awaited <= added_adapters:
            # The session already knew that the engine holds the adapter, but waited for
            # it: its view differs from the state sent, so send the whole state again.
            return state
        return change


def _whole_state_key(state):
    """Return the fields that only an EngineState carries, not an EngineChange."""
    return (
        state.backend_started_unix_ms,
        state.is_reachable,
        state.has_model,
        state.is_leaving,
    )


def _build_change(previous, state):
    before, now = set(previous.resident), set(state.resident)
    return EngineChange(
        added_adapters=tuple(sorted(now - before)),
        removed_adapters=tuple(sorted(before - now)),
        loading=state.loading,
        load=state.load,
    )
