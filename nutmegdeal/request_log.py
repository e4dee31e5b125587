"""Summary of one request, read from the log lines of gateways and placers."""

import datetime
import json

import attrs

# Events of processes and backend servers. Lines of these events that were written
# between the first and the last line of a request are added to its summary.
CONTEXT_EVENTS = frozenset(
    (
        "backend_joined",
        "backend_left",
        "placer_connected",
        "placer_lost",
        "store_lost",
        "store_regained",
        "configuration_in_force",
        "keys_confirmed",
        "keys_not_confirmed",
        "engine_restarted",
        "engine_reachable",
        "draining",
        "stopped",
        "started",
        "log_lines_left_out",
        "quota_exceeded",
    )
)
# Earlier lines are added as well, because a cause comes before its effect.
CONTEXT_BEFORE_S = 5.0

END_TEXTS = {
    "completed": "The caller received the complete answer of the backend server.",
    "failed": "The caller received a failure that the backend server reported.",
    "not_run": "The caller was told that the request was not run.",
    "in_doubt": "The caller was told that the outcome is not known (502).",
    "timed_out": "The deadline passed while a backend server ran the request (504).",
    "cut": "The answer was broken off after the caller had received a part of it.",
    "crashed": "An unexpected error of the gateway ended the request.",
    "shed": "The gateway closed the connection, as it held too many bytes.",
    "caller_left": "The caller disconnected before the answer was complete.",
}
FATE_TEXTS = {
    "not_sent": "the request was not sent",
    "not_run": "the server reported that it did not run the request",
    "failed": "the server answered with a failure",
    "maybe_ran": "the answer is missing or incomplete, so it may have run the request",
    "cut": "the answer broke off",
    "timed_out": "the deadline passed",
    "silent": "the server sent nothing for a while, and another one took over",
    "expired": "it had not begun when its adapter version was out of date",
    "superseded": "the server that was to be replaced delivered its answer first",
    "completed": "the server answered completely",
}

REFUSAL_TEXTS = {
    "key_missing": "the request has no API key, and its route needs one",
    "key_unknown": "no tenant of the configuration has the API key of the request",
    "keys_not_confirmed": (
        "the gateway has had no recent answer of the store about its configuration, so "
        "the API key may have been revoked, or a new one may be unknown; the request "
        "has not run and may be sent again"
    ),
    "quota_exceeded": (
        "its tenant had used its quota at all gateways together. Retry-After names "
        "the time at which the bucket will have tokens for it. Lines `quota_exceeded` "
        "hold the tenant, its limit and its demand"
    ),
    "quota_unconfirmed": (
        "the store did not answer this gateway, and the part of its tenant's quota "
        "that a gateway may use without the store was used up"
    ),
    "stopping": (
        "the gateway was told to stop, and the answer could not be expected before "
        "its grace time ends; the request has not run and may be sent again"
    ),
}

VERDICT_TEXTS = {
    "retry": "retried",
    "keep": "the run that it was to replace goes on",
}


@attrs.frozen
class LogLine:
    """One line of a log.

    Parameters
    ----------
    timestamp : str
        ISO 8601, UTC, from the clock of the process.
    process, event : str
    fields : dict
        All other fields of the line.
    """

    timestamp: str
    process: str
    event: str
    fields: dict


@attrs.frozen
class RequestLogSummary:
    """The log lines that concern one request.

    Parameters
    ----------
    request_id : str
    lines : tuple of LogLine
        Lines of the request itself, ordered by time.
    context : tuple of LogLine
        Lines about the processes and backend servers that took part in the request,
        written during the request or shortly before it.
    unknown : tuple of str
        Information that is missing from the logs, and why.
    """

    request_id: str
    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    unknown: tuple[str, ...]

    @property
    def is_empty(self):
        """Return whether there are no lines of the request."""
        return not self.lines


def parse_line(text):
    """Return the LogLine in a line of text, or None if the text contains none.

    Text before the JSON object, such as the prefix of a log collector, is ignored.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        data = json.loads(text[start:])
        timestamp, event = data.pop("timestamp"), data.pop("event")
    except (ValueError, KeyError, AttributeError):
        return None
    return LogLine(str(timestamp), str(data.pop("process", "")), str(event), data)


def summarize_request_log(request_id, texts):
    """Return the RequestLogSummary of a request from lines of text in any order."""
    lines = [line for line in map(parse_line, texts) if line is not None]
    lines.sort(key=lambda line: line.timestamp)
    request_lines = [line for line in lines if line.fields.get("request") == request_id]
    return RequestLogSummary(
        request_id,
        tuple(request_lines),
        tuple(_find_context(request_lines, lines)),
        tuple(_find_unknowns(request_lines, lines)),
    )


def _find_context(request_lines, lines):
    if not request_lines:
        return
    processes = {line.process for line in request_lines}
    backends = {line.fields.get("backend") for line in request_lines} - {None}
    first_s, last_s = (
        _unix_seconds(request_lines[0]) - CONTEXT_BEFORE_S,
        _unix_seconds(request_lines[-1]),
    )
    for line in lines:
        if (
            line.event not in CONTEXT_EVENTS
            or not first_s <= _unix_seconds(line) <= last_s
        ):
            continue
        if line.process in processes and (
            line.fields.get("backend") in backends or "backend" not in line.fields
        ):
            yield line


def _unix_seconds(line):
    """Return the timestamp of a line in s since 1970."""
    return datetime.datetime.fromisoformat(line.timestamp).timestamp()


def _find_unknowns(request_lines, lines):
    if not request_lines:
        yield "No log line has this request: it reached no gateway whose log was read."
        return
    processes = {line.process for line in request_lines}
    if not any(
        line.event in ("request_ended", "request_refused") for line in request_lines
    ):
        yield (
            "No log line tells its end: the process was killed or the line was dropped."
        )
    for line in lines:
        if line.event == "log_lines_left_out" and line.process in processes:
            yield f"{line.process} dropped log lines: {line.fields.get('counts')}"


def describe(summary):
    """Return a RequestLogSummary as lines of text, a tuple of str."""
    return (
        f"Request {summary.request_id}.",
        *(
            f"{line.timestamp} {line.process}: {_describe_line(line)}"
            for line in summary.lines
        ),
        *(
            f"meanwhile {line.timestamp} {line.process}: {line.event} {line.fields}"
            for line in summary.context
        ),
        *(f"Not known: {text}" for text in summary.unknown),
    )


def _describe_line(line):
    fields = line.fields
    if line.event == "backend_chosen":
        return (
            f"sent to {fields.get('backend')}, which had an expected load of "
            f"{fields.get('load')} (report {fields.get('report_age_ms')} ms old), "
            f"failure rate {fields.get('failure_rate')}, after "
            f"{fields.get('waited_ms')} ms of waiting for the adapter and "
            f"{fields.get('paced_ms')} ms of waiting to send the prompt; "
            f"{fields.get('remaining_ms')} ms were left until the deadline."
        )
    if line.event == "run_failed":
        fate = FATE_TEXTS.get(fields.get("fate"), fields.get("fate"))
        verdict = VERDICT_TEXTS.get(fields.get("verdict"), "given up")
        if fields.get("silent_ms"):
            verdict += f", after {fields['silent_ms']} ms without data"
        return (
            f"at {fields.get('backend')}: {fate} ({fields.get('detail')}): {verdict}."
        )
    if line.event == "run_silent":
        return (
            f"{fields.get('backend')} has sent nothing for {fields.get('silent_ms')} "
            f"ms; another server that can take over: {fields.get('replacement')}."
        )
    if line.event == "request_refused":
        reason = fields.get("reason")
        text = f"refused with {fields.get('status')}: {reason}"
        if fields.get("tenant"):
            text += f", tenant {fields['tenant']}"
        if reason in REFUSAL_TEXTS:
            text += f" ({REFUSAL_TEXTS[reason]})"
        return f"{text}."
    if line.event == "request_ended":
        text = END_TEXTS.get(fields.get("end"), str(fields.get("end")))
        if fields.get("reason"):
            text = f"{text[:-1]}: {fields['reason']}."
        return (
            f"{text} It took {fields.get('whole_ms')} ms, the first part "
            f"{fields.get('first_ms')} ms, the longest pause {fields.get('gap_ms')} ms."
        )
    return f"{line.event} {fields}"
