"""Deadline checks: whether a request can still be served before its caller gives up.

During a cold start or a burst, more adapters are requested than can be loaded. A
request whose adapter would be loaded too late is refused at once with a retry time,
instead of waiting until its caller gives up.
"""

from nutmegdeal.gateway.urgency import request_rank
from nutmegdeal.site_configuration import (
    CONCURRENT_LOADS_MAX,
    UNCONTENDED_LOAD_MS,
    split_adapter,
)

# Callers' time budgets are up to this share shorter than the timeout of the route. What
# is missing beyond it was spent before: the caller has been refused and has come back.
BUDGET_VARIATION_SHARE = 0.15
# Share of the expected wait for a place that an adapter which can be in time waits at
# least. Only if even that is too long is its request taken for late.
IN_TIME_WAIT_SHARE = 0.6
# Time that an engine takes to produce the first event once the adapter is loaded.
FIRST_EVENT_MS = 120.0
# Time from the load of an adapter to the first event, if neither has to wait.
LOAD_AND_RUN_MS = UNCONTENDED_LOAD_MS + FIRST_EVENT_MS


def useful_until_ms(request):
    """Return the latest time at which it is still useful to send a request (float).

    Callers abandon a stream whose next event does not arrive in time. Other requests
    are useful until their deadline, or until the process stops to send requests.

    Parameters
    ----------
    request : Request
    """
    until_ms = min(request.deadline_ms, request.send_until_ms)
    if not request.is_stream:
        return until_ms
    waiting_since_ms = request.last_event_ms or request.incoming.arrived_ms
    abandoned_ms = waiting_since_ms + request.route.stream_stall_timeout_ms
    return min(until_ms, abandoned_ms - FIRST_EVENT_MS)


def target_end_ms(request):
    """Return until when the first event is in time, on the monotonic clock (float).

    The latency target counts from the caller's first attempt. A caller that has come
    back after a refusal has less time left than others on the same route. A stream that
    broke off is in time until its caller abandons it, also if the caller has resumed it
    with a new attempt.

    Parameters
    ----------
    request : Request
    """
    if request.last_event_ms:
        return request.last_event_ms + request.route.stream_stall_timeout_ms
    arrived_ms = request.incoming.arrived_ms
    if request.has_events:
        return arrived_ms + request.route.stream_stall_timeout_ms
    given_ms = request.caller_deadline_ms - arrived_ms
    usual_ms = request.route.timeout_ms * (1 - BUDGET_VARIATION_SHARE)
    spent_ms = max(usual_ms - given_ms, 0.0)
    return arrived_ms + request.route.target_ms - spent_ms


def load_due_ms(request, member):
    """Return when the adapter must be loaded for the first event to be in time (float).

    Parameters
    ----------
    request : Request
    member : Member
    """
    return target_end_ms(request) - member.first_event_ms


def place_patience_ms(request, now_ms):
    """Return how long an adapter may wait for a place in the best engine (float).

    A resumed stream takes the engine that can serve it first, as a new one does, though
    its caller would wait longer.

    Parameters
    ----------
    request : Request
    now_ms : float
    """
    remaining_ms = target_end_ms(request) - now_ms
    if request.has_events:
        remaining_ms = min(remaining_ms, request.route.target_ms)
    return remaining_ms - LOAD_AND_RUN_MS


def expected_load_wait_ms(request, member, now_ms):
    """Return the expected time until the adapter requested now is loaded (float).

    An engine whose places are all in use loads first what can still be in time.

    Parameters
    ----------
    request : Request
    member : Member
    now_ms : float
    """
    adapter, places = request.adapter, member.places
    if any(split_adapter(name)[0] == adapter for name in member.loading):
        return UNCONTENDED_LOAD_MS
    is_queued = request.queued_at_id == member.backend_id
    if _gets_next_place(request, places):
        return _expected_resumed_wait_ms(member, is_queued)
    rounds = member.queued_count // CONCURRENT_LOADS_MAX + 1
    load_ms = rounds * UNCONTENDED_LOAD_MS
    if not member.has_full_places:
        return load_ms
    wait_ms = IN_TIME_WAIT_SHARE * places.in_time_wait_ms(is_queued)
    if now_ms + wait_ms + UNCONTENDED_LOAD_MS > load_due_ms(request, member):
        wait_ms = places.late_wait_ms(is_queued)
    return max(load_ms, wait_ms + UNCONTENDED_LOAD_MS)


def _gets_next_place(request, places):
    """Return whether a placer loads the adapter of a request before those of others."""
    if places is None or not request.has_events:
        return False
    return request_rank(request) <= places.urgent_rank


def _expected_resumed_wait_ms(member, is_queued):
    ahead_count = member.places.resumed_ahead_count(is_queued)
    rounds = ahead_count // CONCURRENT_LOADS_MAX + 1
    load_ms = rounds * UNCONTENDED_LOAD_MS
    if not member.has_full_places:
        return load_ms
    wait_ms = IN_TIME_WAIT_SHARE * (ahead_count + 1) * member.places.interval_ms
    return max(load_ms, wait_ms + UNCONTENDED_LOAD_MS)


def excess_wait_ms(request, member, until_ms, now_ms):
    """Return by how much an adapter would be loaded too late, 0.0 if in time (float).

    Parameters
    ----------
    request : Request
    member : Member
    until_ms : float
        Latest time at which the request may be sent, on the monotonic clock.
    now_ms : float
    """
    if not member.is_linked:
        return 0.0
    wait_ms = expected_load_wait_ms(request, member, now_ms)
    return max(now_ms + wait_ms - until_ms, 0.0)
