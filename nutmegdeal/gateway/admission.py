"""Deadline checks: whether a request can still be served before its caller gives up.

During a cold start or a burst, more adapters are requested than can be loaded. A
request whose adapter would be loaded too late is refused at once with a retry time,
instead of waiting until its caller gives up.
"""

from nutmegdeal.site_configuration import (
    CONCURRENT_LOADS_MAX,
    UNCONTENDED_LOAD_MS,
    split_adapter,
)

# Time that an engine takes to produce the first event once the adapter is loaded.
FIRST_EVENT_MS = 120.0


def useful_until_ms(request, last_event_ms):
    """Return the latest time at which it is still useful to send a request (float).

    Callers abandon a stream whose next event does not arrive in time. Other requests
    are useful until their deadline.

    Parameters
    ----------
    request : Request
    last_event_ms : float
        When the caller received the last part of the answer, 0.0 if it has none.
    """
    if not request.is_stream:
        return request.deadline_ms
    waiting_since_ms = last_event_ms or request.incoming.arrived_ms
    abandoned_ms = waiting_since_ms + request.route.stream_stall_timeout_ms
    return min(request.deadline_ms, abandoned_ms - FIRST_EVENT_MS)


def expected_load_wait_ms(member, adapter):
    """Return the expected time until an adapter requested now is loaded (float)."""
    if any(split_adapter(name)[0] == adapter for name in member.loading):
        return UNCONTENDED_LOAD_MS
    rounds = member.queued_count // CONCURRENT_LOADS_MAX + 1
    return rounds * UNCONTENDED_LOAD_MS


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
    wait_ms = expected_load_wait_ms(member, request.adapter)
    return max(now_ms + wait_ms - until_ms, 0.0)
