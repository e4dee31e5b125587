"""Checks of keys, tenants and quotas against the records of callers and servers."""

import bisect

import attrs

from nutmegdeal.soak.tenants import PLAIN_TOKENS, TENANT_BOUNDS

REVOKE_S = TENANT_BOUNDS["revoke_ms"] / 1000
WINDOW_S = TENANT_BOUNDS["quota_window_s"]
# Kind of the requests that need no key.
OPEN_KIND = "open"


@attrs.frozen
class QuotaUse:
    """Tokens that a tenant used in the window from a time on, and the bound on them."""

    from_s: float
    used: float
    allowed: float


def find_run_ids(backends):
    """Return the ids of the requests that any server ran (set of str)."""
    return {name for item in backends for name, count in item.runs.items() if count}


def find_highest_use(tenant, records, backends, history):
    """Return the highest share of its bound that a tenant used in a window (float)."""
    run_ids = find_run_ids(backends)
    ran_records = [record for record in records if record.request_id in run_ids]
    windows = find_windows(tenant, ran_records, history)
    return max((window.used / window.allowed for window in windows), default=0.0)


def find_tenant_violations(records, backends, history):
    """Return a description of each violated rule on keys and quotas (list of str).

    Parameters
    ----------
    records : list of CallRecord
    backends : list of PlatformBackend
    history : list of HeldTenants
        All that the store held, in order.
    """
    violations = [
        f"{backend.backend_id} got {backend.key_count} requests with a key"
        for backend in backends
        if backend.key_count
    ]
    ran = find_run_ids(backends)
    for record in records:
        named = [
            backend.tenants[record.request_id]
            for backend in backends
            if record.request_id in backend.tenants
        ]
        violations += _check_record(record, record.request_id in ran, named, history)
    ran_records = [record for record in records if record.request_id in ran]
    for tenant in sorted({name for held in history for name in held.quotas}):
        violations += find_exceeded_quotas(tenant, ran_records, history)
    return violations


def _check_record(record, has_run, named, history):
    name = f"{record.kind} {record.request_id} at gateway {record.gateway}"
    is_open = record.kind == OPEN_KIND
    holder = find_holder(record.key, history)
    if has_run and not is_open and holder is None:
        yield f"{name} ran with the key {record.key!r}, which no tenant ever held"
    is_used = any(named) if is_open else has_run
    if is_used and holder is not None and _is_revoked(record, history):
        yield f"{name} used the key {record.key!r}, which was revoked before"
    allowed = [[holder.encode()]] if holder is not None else []
    if is_open:
        allowed.append([])
    for values in named:
        if values not in allowed:
            yield f"{name} with the key {record.key!r} arrived as of {values}"
    if record.status_code == 401 and (is_open or _is_always_held(record.key, history)):
        yield f"{name} was answered 401 with the key {record.key!r}"
    if record.status_code == 429 and has_run:
        yield f"{name} was answered 429 but ran"


def find_holder(key, history):
    """Return the name of the tenant that ever held a key (str), or None."""
    return next((held.holders[key] for held in history if key in held.holders), None)


def _is_always_held(key, history):
    return all(key in held.holders for held in history)


def _is_revoked(record, history):
    """Return whether a key was in no configuration for too long as it was sent.

    The store holds each configuration until the next one. A copy of the store may
    bring an earlier one back.
    """
    ends_s = [held.from_s for held in history[1:]] + [float("inf")]
    return not any(
        record.key in held.holders
        and held.from_s <= record.ended_s
        and record.sent_s <= end_s + REVOKE_S
        for held, end_s in zip(history, ends_s, strict=True)
    )


def allowed_tokens(tenant, from_s, until_s, history):
    """Return the tokens that a tenant may use in a window, infinity without a limit.

    A lowered limit binds once all gateways know of it: those that are cut off serve no
    key for longer than `REVOKE_S` after the store acknowledged the limit.

    Parameters
    ----------
    tenant : str
    from_s, until_s : float
    history : list of HeldTenants
    """
    ends_s = [held.from_s for held in history[1:]] + [float("inf")]
    most = 0.0
    for held, end_s in zip(history, ends_s, strict=True):
        if held.from_s >= until_s or end_s + REVOKE_S <= from_s:
            continue
        if tenant not in held.quotas:
            return float("inf")
        rate_per_s, burst = held.quotas[tenant]
        most = max(most, rate_per_s * WINDOW_S + burst)
    return most * (1 + TENANT_BOUNDS["quota_overage"]) + TENANT_BOUNDS["quota_slack"]


def find_windows(tenant, ran_records, history):
    """Return the windows in which a quota is nearest to its bound (list of QuotaUse).

    Parameters
    ----------
    tenant : str
    ran_records : list of CallRecord
        Requests that ran; each of them counts the same, when its caller sent it.
    history : list of HeldTenants
    """
    sent_s = sorted(
        record.sent_s
        for record in ran_records
        if find_holder(record.key, history) == tenant and record.kind != OPEN_KIND
    )
    # A window that begins later holds as many requests until the next request leaves
    # it, or until a new limit comes into it.
    starts_s = sorted([*sent_s, *(held.from_s - WINDOW_S for held in history)])
    windows = []
    for from_s in starts_s:
        until_s = from_s + WINDOW_S
        count = bisect.bisect_left(sent_s, until_s) - bisect.bisect_left(sent_s, from_s)
        allowed = allowed_tokens(tenant, from_s, until_s, history)
        windows.append(QuotaUse(from_s, count * PLAIN_TOKENS, allowed))
    return windows


def find_exceeded_quotas(tenant, ran_records, history):
    """Yield a description of each window in which a quota was exceeded (str).

    Windows overlap, so only one of those with common requests is described. The
    parameters are those of `find_windows`.
    """
    found_s = float("-inf")
    for window in find_windows(tenant, ran_records, history):
        until_s = window.from_s + WINDOW_S
        if window.used > window.allowed and window.from_s >= found_s:
            found_s = until_s
            yield (
                f"{tenant} used {window.used} tokens in the {WINDOW_S} s to "
                f"{until_s:.3f}, {window.allowed:.0f} are allowed"
            )
