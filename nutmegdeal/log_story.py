"""The story of one request, read from the log lines of gateways and placers."""

import json

import attrs

# Lines of these events name what happened to a process or a backend server; those
# between a request's first and last line are told beside it.
CONTEXT_EVENTS = frozenset(
    (
        "backend_joined",
        "backend_left",
        "placer_connected",
        "placer_lost",
        "store_lost",
        "store_regained",
        "configuration_in_force",
        "engine_restarted",
        "engine_reachable",
        "draining",
        "stopped",
        "started",
        "log_lines_left_out",
    )
)
# Context from so long before the request's first line is told too: causes come first.
CONTEXT_BEFORE_S = 5.0

END_TEXTS = {
    "completed": "The caller got the whole answer of the backend server.",
    "failed": "The caller got the backend server's own failure.",
    "not_run": "The caller was told that the request has not run.",
    "in_doubt": "The caller was told that the outcome is not known (502).",
    "timed_out": "The deadline passed while a backend server was at work (504).",
    "cut": "The answer was broken off after the caller had a part of it.",
    "caller_left": "The caller left before the answer was complete.",
}
FATE_TEXTS = {
    "not_sent": "nothing reached it",
    "not_run": "it said that it did not run the request",
    "failed": "it answered with a failure",
    "maybe_ran": "it gave no whole answer, so it may have run the request",
    "cut": "its answer broke off midway",
    "timed_out": "the deadline passed",
    "completed": "it answered whole",
}


@attrs.frozen
class LogLine:
    """One line of a log.

    Parameters
    ----------
    timestamp : str
        ISO 8601, UTC, by the clock of the process.
    process, event : str
    fields : dict
        All else in the line.
    """

    timestamp: str
    process: str
    event: str
    fields: dict


@attrs.frozen
class LogStory:
    """What the logs say of one request.

    Parameters
    ----------
    request_id : str
    lines : tuple of LogLine
        Those that name the request, in order.
    context : tuple of LogLine
        What happened meanwhile to the processes and servers that it touched.
    unknown : tuple of str
        What the logs do not tell, and why.
    """

    request_id: str
    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    unknown: tuple[str, ...]

    @property
    def is_empty(self):
        """Return whether no line names the request."""
        return not self.lines


def parse_line(text):
    """Return the LogLine in a line of output, or None if it holds none.

    What stands before the line's JSON object, such as a collector's prefix, is passed
    over.
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


def read_story(request_id, texts):
    """Return the LogStory of a request from lines of text, in any order."""
    lines = [line for line in map(parse_line, texts) if line is not None]
    lines.sort(key=lambda line: line.timestamp)
    own = [line for line in lines if line.fields.get("request") == request_id]
    return LogStory(
        request_id,
        tuple(own),
        tuple(_find_context(own, lines)),
        tuple(_find_unknown(own, lines)),
    )


def _find_context(own, lines):
    if not own:
        return
    processes = {line.process for line in own}
    backends = {line.fields.get("backend") for line in own} - {None}
    first, last = _seconds(own[0]) - CONTEXT_BEFORE_S, _seconds(own[-1])
    for line in lines:
        if line.event not in CONTEXT_EVENTS or not first <= _seconds(line) <= last:
            continue
        if line.process in processes and (
            line.fields.get("backend") in backends or "backend" not in line.fields
        ):
            yield line


def _seconds(line):
    """Return the time of a line in s of its day; days do not matter here."""
    hours, minutes, seconds = line.timestamp[11:].rstrip("Z").split(":")
    return int(hours) * 3_600 + int(minutes) * 60 + float(seconds)


def _find_unknown(own, lines):
    if not own:
        yield "No line names this request: it reached no gateway whose log was read."
        return
    processes = {line.process for line in own}
    if not any(line.event in ("request_ended", "request_refused") for line in own):
        yield (
            "No line tells its end: the process was killed, or the line was left out."
        )
    for line in lines:
        if line.event == "log_lines_left_out" and line.process in processes:
            yield f"{line.process} left lines out: {line.fields.get('counts')}"


def describe(story):
    """Return the sentences of a LogStory as a tuple of str."""
    return (
        f"Request {story.request_id}.",
        *(f"{line.timestamp} {line.process}: {_tell(line)}" for line in story.lines),
        *(
            f"meanwhile {line.timestamp} {line.process}: {line.event} {line.fields}"
            for line in story.context
        ),
        *(f"Not known: {text}" for text in story.unknown),
    )


def _tell(line):
    fields = line.fields
    if line.event == "backend_chosen":
        return (
            f"sent to {fields.get('backend')}, which had an expected load of "
            f"{fields.get('load')} (report {fields.get('report_age_ms')} ms old), "
            f"failure rate {fields.get('failure_rate')}, after "
            f"{fields.get('waited_ms')} ms for its adapter and "
            f"{fields.get('paced_ms')} ms for its turn; "
            f"{fields.get('remaining_ms')} ms were left."
        )
    if line.event == "run_failed":
        fate = FATE_TEXTS.get(fields.get("fate"), fields.get("fate"))
        verdict = (
            "it is tried again" if fields.get("verdict") == "retry" else "given up"
        )
        return f"at {fields.get('backend')} {fate} ({fields.get('detail')}): {verdict}."
    if line.event == "request_refused":
        return f"refused with {fields.get('status')}: {fields.get('reason')}."
    if line.event == "request_ended":
        text = END_TEXTS.get(fields.get("end"), str(fields.get("end")))
        if fields.get("reason"):
            text = f"{text[:-1]}: {fields['reason']}."
        return (
            f"{text} It took {fields.get('whole_ms')} ms, the first part "
            f"{fields.get('first_ms')} ms, the longest pause {fields.get('gap_ms')} ms."
        )
    return f"{line.event} {fields}"
