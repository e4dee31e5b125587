"""Checks the platform's rules from what callers and backend servers saw."""

from nutmegdeal.fakes.platform_backend import EVENT_COUNT
from nutmegdeal.soak.callers import OVERTIME_MS
from nutmegdeal.soak.site import TIMEOUT_MS

NOT_RUN_STATUSES = (408, 421, 429, 503)
# A fault may show for so long after its end: probes of silence take 3 s.
AFTERMATH_S = 4.0


def expected_body(record):
    """Return the whole body of the answer to a request."""
    if record.kind in ("chat", "quote"):
        return b"".join(
            f"id: {number}\ndata: {record.request_id}\n\n".encode()
            for number in range(EVENT_COUNT)
        )
    return f"answer to {record.request_id}".encode()


def find_violations(records, faults, site):
    """Return sentences (list of str) on each broken rule."""
    runs = {}
    for backend in site.backends:
        for request_id, count in backend.runs.items():
            runs[request_id] = runs.get(request_id, 0) + count
    violations = []
    for record in records:
        violations += _judge_record(record, runs.get(record.request_id, 0), faults)
    for engine in site.engines:
        if engine.fell_over_count:
            violations.append(f"{engine.backend_id} was ordered over its limit")
        if len(engine.holders) > 1:
            violations.append(f"{engine.backend_id} had orders of {engine.holders}")
    return violations


def _judge_record(record, run_count, faults):
    name = f"{record.kind} {record.request_id} at gateway {record.gateway}"
    is_once = record.kind in ("book", "quote")
    if is_once and run_count > 1:
        yield f"{name} ran {run_count} times"
    if is_once and record.status_code in NOT_RUN_STATUSES and run_count:
        yield f"{name} was answered {record.status_code} but ran"
    if record.status_code == 200 and record.body is not None:
        if record.body != expected_body(record):
            yield f"{name} got a wrong body: {record.body[:200]!r}"
        if not run_count:
            yield f"{name} got an answer but never ran"
    if record.status_code in (400, 404):
        yield f"{name} was answered {record.status_code}"
    is_disturbed = _is_disturbed(record, faults)
    took_ms = (record.ended_s - record.started_s) * 1000
    if took_ms >= TIMEOUT_MS + OVERTIME_MS and not is_disturbed:
        yield f"{name} had no final answer after {took_ms:.0f} ms"
    if record.was_sent and record.body is None and not is_disturbed:
        yield f"{name} was cut with only planned work around it"


def _is_disturbed(record, faults):
    return any(
        fault.started_s <= record.ended_s
        and record.started_s <= fault.ended_s + AFTERMATH_S
        for fault in faults
        if not fault.is_planned
    )
