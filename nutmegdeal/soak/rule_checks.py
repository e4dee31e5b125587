"""Checks the rules of the platform against the records of callers and backends."""

import attrs

from nutmegdeal.fakes.endless_answers import ENDLESS_EVENT_TEXT
from nutmegdeal.fakes.named_limit import allowed_count, most_in_window
from nutmegdeal.fakes.platform_backend import EVENT_COUNT
from nutmegdeal.fakes.stream_caller import remove_versions
from nutmegdeal.soak.callers import ANSWER_MARGIN_MS
from nutmegdeal.soak.configurations import TIMEOUT_MS
from nutmegdeal.soak.fault_records import (
    CONFIGURATION_KIND,
    CRASHING_PROMPTS_KIND,
    CRASHING_REQUESTS_KIND,
    ENDLESS_ANSWERS_KIND,
    SILENCE_KIND,
)
from nutmegdeal.soak.site import BOUNDS

NOT_RUN_STATUSES = (408, 421, 429, 503)
# All configurations allow all requests of the callers.
NEVER_ANSWERED_STATUSES = (400, 404, 413, 431)
# A fault may still affect requests for this long after its end: it takes probes 3 s
# to detect a silent connection.
FAULT_EFFECT_S = 4.0
# Time within which gateways act on a configuration, and 1 s for requests in progress.
CONFIGURATION_EFFECT_S = 2.0
# From this long after so many crashes by a part of prompts, or by a request, gateways
# may send no more than so many further requests of that kind to servers.
CONTACT_S = BOUNDS["contact_ms"] / 1000
CRASHES_MAX = 5
REQUEST_CRASHES_MAX = 3
LATE_ARRIVALS_MAX = 3
# Faults that excuse a gateway from a server's limit, and one that holds requests up.
RESTART_KINDS = ("kill", "pause", "terminate")
LINK_KIND = "backend_link"


@attrs.frozen
class CutCounts:
    """Requests, and those that got neither a whole answer nor a refusal."""

    request_count: int
    cut_count: int


def expected_body(record):
    """Return the complete body of the correct answer to a request."""
    if record.kind in ("chat", "quote"):
        return b"".join(
            f"id: {number}\ndata: {record.request_id}\n\n".encode()
            for number in range(EVENT_COUNT)
        )
    return f"answer to {record.request_id}".encode()


def find_violations(records, faults, site):
    """Return a description of each violated rule (list of str)."""
    runs = {}
    for backend in site.backends:
        for request_id, count in backend.runs.items():
            runs[request_id] = runs.get(request_id, 0) + count
    violations = []
    for record in records:
        violations += _check_record(record, runs.get(record.request_id, 0), faults)
    for engine in site.engines:
        if engine.slot_overflow_count:
            violations.append(f"{engine.backend_id} was ordered to exceed its limit")
        if len(engine.order_senders) > 1:
            violations.append(
                f"{engine.backend_id} received orders from {engine.order_senders}"
            )
    crashes = [item for engine in site.engines for item in engine.prompts.crashes]
    arrivals = [item for engine in site.engines for item in engine.prompts.arrivals]
    gateways = {record.request_id: record.gateway for record in records}
    violations += find_late_arrivals(crashes, arrivals, gateways, faults, CRASHES_MAX)
    crashes = [item for backend in site.backends for item in backend.request_crashes]
    arrivals = [item for backend in site.backends for item in backend.request_arrivals]
    violations += find_late_arrivals(
        crashes, arrivals, gateways, faults, REQUEST_CRASHES_MAX
    )
    for backend in site.backends:
        violations += find_exceeded_limits(backend, gateways, faults)
    return violations


def find_exceeded_limits(backend, gateways, faults):
    """Yield a description of each period in which a limit was exceeded (str).

    Parameters
    ----------
    backend : PlatformBackend
    gateways : dict of str to int
        Numbers of the gateways that got the requests, by request id.
    faults : list of FaultRecord
    """
    for period in backend.limit.periods:
        counted_ms = [
            at_ms
            for at_ms, request_id in backend.limit.arrivals
            if period.from_ms + BOUNDS["contact_ms"] <= at_ms <= period.until_ms
            and not _is_limit_excused(at_ms, backend, gateways.get(request_id), faults)
        ]
        most = most_in_window(counted_ms)
        allowed = allowed_count(period.limit_per_s)
        if most > allowed:
            yield (
                f"{backend.backend_id} with a limit of {period.limit_per_s} a second "
                f"got {most} requests in 4 s, {allowed:.0f} are allowed"
            )


def _is_limit_excused(at_ms, backend, gateway, faults):
    """Return whether a gateway did not know the limit, or a link held requests up."""
    number = backend.backend_id.partition("#")[0]
    return any(
        fault.started_s <= at_ms / 1000 <= fault.ended_s + FAULT_EFFECT_S
        for fault in faults
        if (
            fault.kind in RESTART_KINDS
            and fault.target == f"gateway-{gateway}"
            or fault.kind == LINK_KIND
            and fault.target.partition("#")[0] == number
        )
    )


def find_late_arrivals(crashes, arrivals, gateways, faults, crashes_max):
    """Yield a description of each cause of crashes that came too often (str).

    Parameters
    ----------
    crashes, arrivals : list of CauseRecord
        Of all servers.
    gateways : dict of str to int
        Numbers of the gateways that got the requests, by request id.
    faults : list of FaultRecord
    crashes_max : int
        Crashes after which a cause has to be known.
    """
    for cause in sorted({crash.cause for crash in crashes}):
        crashed_s = sorted(
            crash.at_ms / 1000 for crash in crashes if crash.cause == cause
        )
        if len(crashed_s) < crashes_max:
            continue
        known_from_s = crashed_s[crashes_max - 1] + CONTACT_S
        late_ids = [
            arrival.request_id
            for arrival in arrivals
            if arrival.cause == cause
            and arrival.at_ms / 1000 > known_from_s
            and not _is_excused(arrival, gateways.get(arrival.request_id), faults)
        ]
        if len(late_ids) > LATE_ARRIVALS_MAX:
            yield (
                f"{cause} reached servers {len(late_ids)} times after its "
                f"crashes were known, {len(crashed_s)} crashes in all: {late_ids}"
            )


def _is_excused(arrival, gateway, faults):
    """Return whether a gateway could not know of the crashes."""
    return any(
        fault.started_s <= arrival.at_ms / 1000 <= fault.ended_s + FAULT_EFFECT_S
        for fault in faults
        if fault.kind not in (CRASHING_PROMPTS_KIND, CRASHING_REQUESTS_KIND)
        and (not fault.is_planned or fault.target == f"gateway-{gateway}")
    )


def _check_record(record, run_count, faults):
    name = f"{record.kind} {record.request_id} at gateway {record.gateway}"
    runs_at_most_once = record.kind in ("book", "quote")
    if runs_at_most_once and run_count > 1:
        yield f"{name} ran {run_count} times"
    if runs_at_most_once and record.status_code in NOT_RUN_STATUSES and run_count:
        yield f"{name} was answered {record.status_code} but ran"
    if record.status_code == 200 and record.body is not None:
        body = remove_versions(record.body)
        if body != expected_body(record) and not _has_endless_events(record):
            yield f"{name} was answered with a wrong body: {record.body[:200]!r}"
        if not run_count:
            yield f"{name} was answered but did not run"
    if record.status_code in NEVER_ANSWERED_STATUSES:
        yield f"{name} was answered {record.status_code}"
    overlaps_fault = _overlaps(
        record, [fault for fault in faults if not fault.is_planned]
    )
    # An endless answer of a server does not excuse a late one of the gateway.
    overlaps_delaying_fault = _overlaps(
        record,
        [
            fault
            for fault in faults
            if not fault.is_planned and fault.kind != ENDLESS_ANSWERS_KIND
        ],
    )
    took_ms = (record.ended_s - record.started_s) * 1000
    if took_ms >= TIMEOUT_MS + ANSWER_MARGIN_MS and not overlaps_delaying_fault:
        yield f"{name} had no final answer after {took_ms:.0f} ms"
    if _is_cut(record, faults) and not overlaps_fault:
        yield f"{name} was cut off, with only planned work at the time"


def _is_cut(record, faults):
    """Return whether a request got neither a whole answer nor a refusal."""
    if not record.was_sent or record.body is not None:
        return False
    # A stream is cut if its server is silent until the caller's deadline.
    took_ms = (record.ended_s - record.started_s) * 1000
    is_ended_by_deadline = (
        record.status_code == 200
        and took_ms >= TIMEOUT_MS
        and _overlaps(record, [fault for fault in faults if fault.kind == SILENCE_KIND])
    )
    return not is_ended_by_deadline


def count_cuts(records, faults):
    """Count the requests, and those that were cut, beside changes and otherwise.

    Parameters
    ----------
    records : list of CallRecord
    faults : list of FaultRecord

    Returns
    -------
    tuple of CutCounts
        Beside a change of the configuration, and otherwise.
    """
    changes = [fault for fault in faults if fault.kind == CONFIGURATION_KIND]
    beside, otherwise = [], []
    for record in records:
        is_beside = _overlaps(record, changes, CONFIGURATION_EFFECT_S)
        (beside if is_beside else otherwise).append(_is_cut(record, faults))
    return (
        CutCounts(len(beside), sum(beside)),
        CutCounts(len(otherwise), sum(otherwise)),
    )


def _has_endless_events(record):
    """Return whether a stream that may be resumed has events of an endless answer.

    They are signed and numbered like all events, so another server resumes the stream
    after them.
    """
    return record.kind == "chat" and ENDLESS_EVENT_TEXT in record.body


def _overlaps(record, faults, effect_s=FAULT_EFFECT_S):
    return any(
        fault.started_s <= record.ended_s
        and record.started_s <= fault.ended_s + effect_s
        for fault in faults
    )
