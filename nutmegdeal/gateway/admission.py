"""Whether a request can still be of use to its caller.

Answers the load of a cold start or a burst, when more adapters are wanted than can be
loaded: a caller that could not be served before it leaves is told at once when to come
back, instead of waiting in vain.
"""

# Adapters that an engine loads at once, and the time of one load, from the sheets.
LOADS_AT_ONCE = 4
LOAD_MS = 250.0
# Time that the engine needs for the first event once the adapter is there.
FIRST_EVENT_MS = 120.0


def expected_load_wait_ms(member):
    """Return how long an adapter that is wanted now waits for its load (float)."""
    rounds = member.queued_count // LOADS_AT_ONCE + 1
    return rounds * LOAD_MS


def first_event_deadline_ms(request):
    """Return until when a request must be sent to be of use (float).

    Callers give a stream up that has no first event in time; other requests are of use
    until their deadline.
    """
    if not request.is_stream:
        return request.deadline_ms
    patient_until_ms = request.incoming.arrived_ms + request.route.patience_ms
    return min(request.deadline_ms, patient_until_ms - FIRST_EVENT_MS)


def is_hopeless(request, member, now_ms):
    """Return whether an adapter cannot arrive at a member in time."""
    if not member.is_linked:
        return False
    return now_ms + expected_load_wait_ms(member) > first_event_deadline_ms(request)
