"""Estimates of a member's load between its reports, and how far off they were."""


def settled_load(member, now_ms):
    """Return the estimated number of requests at a server of short runs (float).

    Most of those in the last report have ended since, and others have begun.

    Parameters
    ----------
    member : Member
    now_ms : float
    """
    if now_ms > member.load_valid_until_ms:
        return float(member.in_flight_count)
    speed = member.speed
    run_ms = speed.service.run_ms.value * speed.factor(now_ms)
    settled = member.trend.settled_load(run_ms, now_ms) + member.unseen_count
    return max(settled, float(member.in_flight_count))


def estimate_load(member, now_ms):
    """Return the load by which a member is compared with others (float)."""
    if member.speed.service.is_stated and not member.is_linked:
        return settled_load(member, now_ms)
    return member.expected_load(now_ms)


def record_estimate_error(member, reported_count, now_ms):
    """Compare the estimate with a report that has just arrived."""
    if member.speed.service.is_stated and now_ms <= member.load_valid_until_ms:
        member.trend.record_error(estimate_load(member, now_ms) - reported_count)
