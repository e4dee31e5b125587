"""Whether a request can still be of use to its caller.

Answers the load of a cold start or a burst, when more adapters are wanted than can be
loaded: a caller that could not be served before it leaves is told at once when to come
back, instead of waiting in vain.
"""

from nutmegdeal.site import LOAD_MS, LOADS_AT_ONCE, split_adapter

# Time that the engine needs for the first event once the adapter is there.
FIRST_EVENT_MS = 120.0


def useful_until_ms(request, last_event_ms):
    """Return until when a request must be sent to be of use (float).

    Callers give a stream up that has no next event in time; other requests are of use
    until their deadline.

    Parameters
    ----------
    request : Request
    last_event_ms : float
        When the caller got the last part of the answer, 0.0 for none.
    """
    if not request.is_stream:
        return request.deadline_ms
    waiting_since_ms = last_event_ms or request.incoming.arrived_ms
    patient_until_ms = waiting_since_ms + request.route.patience_ms
    return min(request.deadline_ms, patient_until_ms - FIRST_EVENT_MS)


def expected_load_wait_ms(member, adapter):
    """Return how long an adapter that is wanted now waits for its load (float)."""
    if any(split_adapter(name)[0] == adapter for name in member.loading):
        return LOAD_MS
    rounds = member.queued_count // LOADS_AT_ONCE + 1
    return rounds * LOAD_MS


def excess_wait_ms(request, member, until_ms, now_ms):
    """Return by how much an adapter would arrive too late, 0.0 if in time (float)."""
    if not member.is_linked:
        return 0.0
    wait_ms = expected_load_wait_ms(member, request.adapter)
    return max(now_ms + wait_ms - until_ms, 0.0)
