"""The log events of gateways and placers, with the types of their fields.

docs/log-events.md is generated from this table. Every line also has ``event``,
``timestamp`` (ISO 8601, UTC), ``process``, ``level`` and ``module``. No line contains a
body, a query, or a header other than the request id and the ids of prompt parts.
"""

import enum

import attrs


class Process(enum.Enum):
    """The process that writes a log line."""

    GATEWAY = "gateway"
    PLACER = "placer"
    BOTH = "both"


@attrs.frozen
class Field:
    """One field of a log line.

    Parameters
    ----------
    types : tuple of type
        Types of the decoded JSON value; contains ``type(None)`` if it may be null.
    text : str
        Meaning of the field, for the generated page.
    """

    types: tuple
    text: str


@attrs.frozen
class LogEvent:
    """One kind of log line.

    Parameters
    ----------
    name : str
    process : Process
    text : str
        What one line stands for, for the generated page.
    fields : dict of str to Field
    """

    name: str
    process: Process
    text: str
    fields: dict[str, Field]


def _text(text):
    return Field((str,), text)


def _count(text):
    return Field((int,), text)


def _version(text="version of the adapter, if the request names one"):
    return Field((int, type(None)), text)


def _ms(text):
    return Field((float, int), f"{text}, in ms")


def _optional_ms(text):
    return Field((float, int, type(None)), f"{text}, in ms")


def _ratio(text):
    return Field((float, int), f"{text}, from 0 to 1")


def _names(text):
    return Field((list,), text)


def _flag(text):
    return Field((bool,), text)


_REQUEST = _text("id of the request")
_BACKEND = _text("id of the backend server")
_ADAPTER = _text("name of the adapter, empty for none")
_TABLE = _text("table of the store")
_PEER = _text("address")
_STARTED = _count("start time by the engine's clock, in ms since 1970")
_OCCUPIED = _count("slots of the engine with a loaded or loading adapter")
_ERROR = _text("description of the failure")

_EVENTS = (
    LogEvent(
        "backend_chosen",
        Process.GATEWAY,
        "choice of a backend server for a request",
        {
            "request": _REQUEST,
            "backend": _BACKEND,
            "service": _text("service of the backend server"),
            "adapter": _ADAPTER,
            "version": _version(),
            "load": Field(
                (float, int), "expected number of requests in the backend server"
            ),
            "report_age_ms": _optional_ms(
                "age of the latest load report of the backend server"
            ),
            "failure_rate": _ratio("fraction of its recent answers that failed"),
            "is_linked": _flag("whether its placer reports its state to this gateway"),
            "waited_ms": _ms("time spent waiting for the adapter so far"),
            "paced_ms": _ms("time spent waiting to send the prompt so far"),
            "remaining_ms": _ms("time left until the deadline"),
            "configuration": _count("version of the configuration in use"),
        },
    ),
    LogEvent(
        "run_failed",
        Process.GATEWAY,
        "run of a request that did not complete, and whether it is retried",
        {
            "request": _REQUEST,
            "backend": _BACKEND,
            "fate": _text("how the run ended"),
            "detail": _ERROR,
            "verdict": _text(
                "`retry`, `give_up`, or `keep` if the run to be replaced goes on"
            ),
            "sent": _count("backend servers that the request was sent to so far"),
            "runs": _count("backend servers that may have run the request"),
            "silent_ms": _ms("for how long the server had sent nothing"),
            "events": _count("times that whole events of the run were forwarded"),
            "parts": _names("ids of the prompt parts that other requests may share"),
            "failure_rate": _ratio(
                "fraction of the server's recent answers that failed"
            ),
        },
    ),
    LogEvent(
        "engine_crashed",
        Process.GATEWAY,
        "engine that ended under runs whose prompts are not known to be sound",
        {
            "engine": _text("id of the backend server and its start time"),
            "parts": _names("ids of the shared parts of these prompts"),
        },
    ),
    LogEvent(
        "prompt_part",
        Process.GATEWAY,
        "change of what is stored of a prompt part",
        {
            "change": _text("`suspected`, `refused`, `probed` or `removed`"),
            "part": _text("id of the prompt part"),
            "crashes": _names("engines that ended under it"),
            "refused_until_ms": _count("end of the refusal on the store's clock, or 0"),
        },
    ),
    LogEvent(
        "prompt_part_change_dropped",
        Process.GATEWAY,
        "oldest change of stored prompt parts that was dropped, as too many wait for "
        "the store",
        {"changes": _count("changes that wait")},
    ),
    LogEvent(
        "prompt_part_conflict",
        Process.GATEWAY,
        "change of stored prompt parts that was dropped, as others changed them again "
        "and again",
        {"conflicts": _count("times that the change was decided anew")},
    ),
    LogEvent(
        "run_silent",
        Process.GATEWAY,
        "run whose server has sent nothing for a while; it goes on until another "
        "server has begun to answer",
        {
            "request": _REQUEST,
            "backend": _BACKEND,
            "silent_ms": _ms("for how long the server had sent nothing"),
            "replacement": _text(
                "`ready` or `must_load` if another server can take over, else `none`"
            ),
        },
    ),
    LogEvent(
        "request_refused",
        Process.GATEWAY,
        "request refused on arrival",
        {
            "request": _REQUEST,
            "path": _text("path without the query"),
            "status": _count("HTTP status of the answer"),
            "reason": _text("why"),
        },
    ),
    LogEvent(
        "request_refused_unread",
        Process.GATEWAY,
        "request that could not be read",
        {"status": _count("HTTP status of the answer"), "detail": _ERROR},
    ),
    LogEvent(
        "request_ended",
        Process.GATEWAY,
        "end of a request",
        {
            "request": _REQUEST,
            "route": _text("name of the route"),
            "kind": _text("`safe`, `unsafe` or `stream`"),
            "end": _text("how the request ended"),
            "reason": _text("reason, if the request was not served"),
            "adapter": _ADAPTER,
            "backends": Field((list,), "ids of the backend servers tried"),
            "sent": _count("backend servers that the request was sent to"),
            "runs": _count("backend servers that may have run the request"),
            "first_ms": _optional_ms(
                "time from arrival to the first part of the answer"
            ),
            "target_ms": _ms("target for `first_ms`"),
            "gap_ms": _ms("longest pause between parts of the answer"),
            "gap_target_ms": _ms("target for `gap_ms`, 0 for none"),
            "whole_ms": _ms("time from arrival to the end"),
            "waited_ms": _ms("time spent waiting for the adapter"),
            "paced_ms": _ms("time spent waiting to send the prompt"),
            "tokens": _count("number of tokens in the prompt"),
        },
    ),
    LogEvent(
        "configuration_in_force",
        Process.GATEWAY,
        "newer configuration that takes effect",
        {
            "version": _count("version of the configuration"),
            "routes": _count("number of its routes"),
        },
    ),
    LogEvent(
        "adapter_version",
        Process.GATEWAY,
        "newer version of an adapter",
        {"adapter": _ADAPTER, "version": _count("newer version")},
    ),
    LogEvent(
        "backend_joined",
        Process.GATEWAY,
        "backend server that joined its service, or joined again",
        {
            "backend": _BACKEND,
            "service": _text("service of the backend server"),
            "state": _text("`ready` or `draining`"),
        },
    ),
    LogEvent(
        "backend_left",
        Process.GATEWAY,
        "backend server that left its service or is considered lost",
        {"backend": _BACKEND},
    ),
    LogEvent(
        "backend_leaving",
        Process.GATEWAY,
        "backend server that will exit and gets no more requests from this gateway",
        {
            "backend": _BACKEND,
            "service": _text("service of the backend server"),
            "source": _text("`registration`, `answer` or `placer`"),
        },
    ),
    LogEvent(
        "backend_paused",
        Process.GATEWAY,
        "backend server that refused a request and asked for a pause",
        {
            "backend": _BACKEND,
            "service": _text("service of the backend server"),
            "pause_ms": _ms("duration of the pause"),
        },
    ),
    LogEvent(
        "registration_believed",
        Process.GATEWAY,
        "engine whose resident adapters are taken from its registration, because its "
        "placer cannot be reached",
        {"backend": _BACKEND},
    ),
    LogEvent(
        "placer_connected",
        Process.GATEWAY,
        "opened stream to a placer",
        {"backend": _BACKEND},
    ),
    LogEvent(
        "placer_unused",
        Process.GATEWAY,
        "no stream to a placer is opened, as its service has no engines in the "
        "configuration",
        {"backend": _BACKEND},
    ),
    LogEvent(
        "placer_lost",
        Process.GATEWAY,
        "closed stream to a placer",
        {"backend": _BACKEND, "reason": _ERROR},
    ),
    LogEvent(
        "store_lost",
        Process.GATEWAY,
        "first failed read of a table of the store",
        {"table": _TABLE, "failure": _ERROR},
    ),
    LogEvent(
        "store_regained",
        Process.GATEWAY,
        "first successful read of a table after failures",
        {"table": _TABLE, "failed_calls": _count("number of failed reads")},
    ),
    LogEvent(
        "store_history_gone",
        Process.GATEWAY,
        "table that is read completely, because the store no longer has the changes",
        {"table": _TABLE},
    ),
    LogEvent(
        "store_answer_stale",
        Process.GATEWAY,
        "answer of the store that is older than an earlier one",
        {"table": _TABLE},
    ),
    LogEvent(
        "store_era_changed",
        Process.GATEWAY,
        "first read of a table after the store has returned from a copy",
        {
            "table": _TABLE,
            "era": _count("era of the store"),
            "version": _count("version of the store in that era"),
            "previous_era": _count("era of the last read before"),
            "previous_version": _count("version of the last read before"),
        },
    ),
    LogEvent(
        "store_read_repeated",
        Process.GATEWAY,
        "read of a table that began again, because the store returned from a copy",
        {"table": _TABLE, "era": _count("newest era of the store")},
    ),
    LogEvent(
        "row_malformed",
        Process.GATEWAY,
        "row of the store that cannot be parsed",
        {"key": _text("key of the row"), "error": _ERROR},
    ),
    LogEvent(
        "order_given",
        Process.PLACER,
        "order to the engine, with its result",
        {
            "operation": _text("`load` or `unload`"),
            "adapter": _text("adapter, empty for the base model"),
            "version": _version("version, null for the newest"),
            "expected": _count("orders that the engine had accepted before"),
            "started": _STARTED,
            "occupied": _OCCUPIED,
            "result": _text("result of the order"),
        },
    ),
    LogEvent(
        "order_rejected",
        Process.PLACER,
        "order that the engine rejected",
        {
            "status": _count("HTTP status of the answer"),
            "operation": _text("`load` or `unload`"),
            "adapter": _text("adapter, empty for the base model"),
            "expected": _count("orders that the engine had accepted before"),
            "detail": _text("answer of the engine"),
        },
    ),
    LogEvent(
        "order_unanswered",
        Process.PLACER,
        "order without an answer, which may still be carried out later",
        {"peer": _PEER, "error": _ERROR},
    ),
    LogEvent(
        "unused_body_incomplete",
        Process.BOTH,
        "answer used by its head alone, whose body broke off or was late (level debug)",
        {"peer": _PEER, "error": _ERROR},
    ),
    LogEvent(
        "report_failed",
        Process.PLACER,
        "report of the engine that could not be read (level debug)",
        {"peer": _PEER, "error": _ERROR},
    ),
    LogEvent(
        "report_malformed",
        Process.PLACER,
        "report of the engine that cannot be parsed",
        {"peer": _PEER},
    ),
    LogEvent(
        "engine_reachable",
        Process.PLACER,
        "engine that became reachable or unreachable",
        {"is_reachable": _flag("whether the engine is reachable")},
    ),
    LogEvent(
        "engine_restarted",
        Process.PLACER,
        "restart of the engine, which then has nothing loaded",
        {
            "started": _STARTED,
            "unanswered": _count("unanswered orders that may still be executed"),
        },
    ),
    LogEvent(
        "engine_leaving",
        Process.PLACER,
        "engine that will exit and gets no more orders",
        {"started": _STARTED},
    ),
    LogEvent(
        "orders_executed_late",
        Process.PLACER,
        "unanswered orders that the engine has now executed",
        {
            "started": _STARTED,
            "order_count": _count("orders that the engine has accepted"),
            "known_count": _count("orders that this placer knows to be accepted"),
            "occupied": _OCCUPIED,
        },
    ),
    LogEvent(
        "unexpected_message",
        Process.PLACER,
        "message of an unknown type, from a gateway of another release",
        {"type": _text("type of the message")},
    ),
    LogEvent(
        "started",
        Process.BOTH,
        "start",
        {"node": _text("name of the host")},
    ),
    LogEvent(
        "draining",
        Process.GATEWAY,
        "SIGTERM",
        {"open_count": _count("requests in progress")},
    ),
    LogEvent(
        "stopped",
        Process.BOTH,
        "end",
        {"cut_off_count": _count("requests that were cut off")},
    ),
    LogEvent(
        "reload",
        Process.BOTH,
        "SIGHUP",
        {"is_valid": _flag("whether the settings file is valid")},
    ),
    LogEvent(
        "log_lines_left_out",
        Process.BOTH,
        "log lines dropped by the rate limit or a full buffer, and failed writes",
        {
            "counts": Field(
                (dict,), "numbers, by event, `buffer_full` or `failed_writes`"
            )
        },
    ),
    LogEvent(
        "caller_left",
        Process.GATEWAY,
        "caller that disconnected early (level debug)",
        {},
    ),
    LogEvent(
        "channel_stop_timeout",
        Process.BOTH,
        "streams that were not closed in time at shutdown",
        {},
    ),
    LogEvent(
        "request_crashed",
        Process.GATEWAY,
        "unexpected exception while a request was served",
        {
            "path": _text("path of the request, without the query"),
            "has_started": _flag(
                "a part of the response was sent; else the caller got 500"
            ),
            "exception": _text("traceback"),
        },
    ),
    LogEvent(
        "connection_crashed",
        Process.GATEWAY,
        "unexpected exception on a caller's connection outside of a request",
        {"exception": _text("traceback")},
    ),
    LogEvent(
        "controller_crashed",
        Process.BOTH,
        "unexpected exception in a background task",
        {
            "controller": _text("name of the function"),
            "exception": _text("traceback"),
        },
    ),
    LogEvent(
        "placer_link_crashed",
        Process.GATEWAY,
        "message of a placer that could not be applied; its stream is opened again",
        {"backend": _BACKEND, "exception": _text("traceback")},
    ),
)

EVENTS = {event.name: event for event in _EVENTS}
# Fields that every line has.
COMMON_FIELDS = frozenset(("event", "timestamp", "process", "level", "module"))
# Fields that some processes omit.
OPTIONAL_FIELDS = frozenset(("cut_off_count",))


def find_mistakes(line):
    """Return how a decoded log line differs from the table, as a list of str."""
    event = EVENTS.get(line.get("event"))
    if event is None:
        return [f"unknown event {line.get('event')!r}"]
    given = line.keys() - COMMON_FIELDS
    mistakes = [f"unknown field {name}" for name in given - event.fields.keys()]
    for name, field in event.fields.items():
        if name not in line:
            if name not in OPTIONAL_FIELDS:
                mistakes.append(f"missing field {name}")
        elif type(line[name]) not in field.types:
            mistakes.append(f"{name} is {line[name]!r}")
    return mistakes
