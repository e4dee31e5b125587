"""The log lines of gateways and placers: their names and the types of their fields.

One table, from which docs/log-events.md is written. A line also has ``event``,
``timestamp`` (ISO 8601, UTC), ``process``, ``level`` and ``module``. No line has a
body, a header other than the request's id, or a query.
"""

import enum

import attrs


class Process(enum.Enum):
    """Which program writes a line."""

    GATEWAY = "gateway"
    PLACER = "placer"
    BOTH = "both"


@attrs.frozen
class Field:
    """One field of a line.

    Parameters
    ----------
    types : tuple of type
        ``type(None)`` among them if it may be unknown.
    text : str
    """

    types: tuple
    text: str


@attrs.frozen
class LogEvent:
    """One kind of line.

    Parameters
    ----------
    name : str
    process : Process
    text : str
        What there is one line for.
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


def _version(text="version of the adapter, if one was demanded"):
    return Field((int, type(None)), text)


def _ms(text):
    return Field((float, int), f"{text}, in ms")


def _optional_ms(text):
    return Field((float, int, type(None)), f"{text}, in ms")


def _ratio(text):
    return Field((float, int), f"{text}, from 0 to 1")


def _flag(text):
    return Field((bool,), text)


_REQUEST = _text("id of the request")
_BACKEND = _text("id of the backend server")
_ADAPTER = _text("adapter, empty for none")
_TABLE = _text("table of the store")
_PEER = _text("address")
_ERROR = _text("what failed")

_EVENTS = (
    LogEvent(
        "backend_chosen",
        Process.GATEWAY,
        "choice of a backend server for a request",
        {
            "request": _REQUEST,
            "backend": _BACKEND,
            "service": _text("service that it belongs to"),
            "adapter": _ADAPTER,
            "version": _version(),
            "load": Field((float, int), "requests expected to be there"),
            "report_age_ms": _optional_ms("age of its load report"),
            "failure_rate": _ratio("share of its answers that failed lately"),
            "is_linked": _flag("the placer beside it tells its state"),
            "waited_ms": _ms("wait for the adapter so far"),
            "paced_ms": _ms("wait for its turn so far"),
            "remaining_ms": _ms("time left"),
            "configuration": _count("version of the configuration"),
        },
    ),
    LogEvent(
        "run_failed",
        Process.GATEWAY,
        "run that did not complete, and what is done about it",
        {
            "request": _REQUEST,
            "backend": _BACKEND,
            "fate": _text("how the run ended"),
            "detail": _ERROR,
            "verdict": _text("`retry` or `give_up`"),
            "sent": _count("servers that the request was sent to"),
            "runs": _count("servers that may have run it"),
            "failure_rate": _ratio("share of the server's answers that failed"),
        },
    ),
    LogEvent(
        "request_refused",
        Process.GATEWAY,
        "request refused on arrival",
        {
            "request": _REQUEST,
            "path": _text("path, without its query"),
            "status": _count("status of the answer"),
            "reason": _text("why"),
        },
    ),
    LogEvent(
        "request_refused_unread",
        Process.GATEWAY,
        "request that could not be read",
        {"status": _count("status of the answer"), "detail": _ERROR},
    ),
    LogEvent(
        "request_ended",
        Process.GATEWAY,
        "end of a request",
        {
            "request": _REQUEST,
            "route": _text("name of the route"),
            "kind": _text("`safe`, `unsafe` or `stream`"),
            "end": _text("how it ended"),
            "reason": _text("why, if it was not served"),
            "adapter": _ADAPTER,
            "backends": Field((list,), "ids of the backend servers tried"),
            "sent": _count("servers that it was sent to"),
            "runs": _count("servers that may have run it"),
            "first_ms": _optional_ms("arrival to first part of the answer"),
            "target_ms": _ms("target of that"),
            "gap_ms": _ms("longest pause between parts"),
            "gap_target_ms": _ms("target of that, 0 for none"),
            "whole_ms": _ms("arrival to end"),
            "waited_ms": _ms("wait for the adapter"),
            "paced_ms": _ms("wait for its turn"),
            "tokens": _count("tokens of the prompt"),
        },
    ),
    LogEvent(
        "configuration_in_force",
        Process.GATEWAY,
        "newer configuration",
        {"version": _count("its version"), "routes": _count("its routes")},
    ),
    LogEvent(
        "adapter_version",
        Process.GATEWAY,
        "newer version of an adapter",
        {"adapter": _ADAPTER, "version": _count("the version")},
    ),
    LogEvent(
        "backend_joined",
        Process.GATEWAY,
        "backend server that is believed in from now on",
        {
            "backend": _BACKEND,
            "service": _text("its service"),
            "state": _text("`ready` or `draining`"),
        },
    ),
    LogEvent(
        "backend_left",
        Process.GATEWAY,
        "backend server that is no longer believed in",
        {"backend": _BACKEND},
    ),
    LogEvent(
        "registration_believed",
        Process.GATEWAY,
        "engine whose registration is taken for what it holds, as no placer tells",
        {"backend": _BACKEND},
    ),
    LogEvent(
        "placer_connected",
        Process.GATEWAY,
        "stream to a placer that was opened",
        {"backend": _BACKEND},
    ),
    LogEvent(
        "placer_lost",
        Process.GATEWAY,
        "stream to a placer that ended",
        {"backend": _BACKEND, "reason": _ERROR},
    ),
    LogEvent(
        "store_lost",
        Process.GATEWAY,
        "first failed call for a table of the store",
        {"table": _TABLE, "failure": _ERROR},
    ),
    LogEvent(
        "store_regained",
        Process.GATEWAY,
        "first answer after failed calls",
        {"table": _TABLE, "failed_calls": _count("how many failed")},
    ),
    LogEvent(
        "store_history_gone",
        Process.GATEWAY,
        "table that is read whole, as its changes are not known any more",
        {"table": _TABLE},
    ),
    LogEvent(
        "store_answer_stale",
        Process.GATEWAY,
        "answer of the store that is older than what is known",
        {"table": _TABLE},
    ),
    LogEvent(
        "row_malformed",
        Process.GATEWAY,
        "row of the store that cannot be read",
        {"key": _text("key of the row"), "error": _ERROR},
    ),
    LogEvent(
        "order_given",
        Process.PLACER,
        "order to the engine, with its answer",
        {
            "operation": _text("`load` or `unload`"),
            "adapter": _text("adapter, empty for the base model"),
            "version": _version("version, none for the newest"),
            "expected": _count("orders that the engine had accepted before"),
            "result": _text("what the engine said"),
        },
    ),
    LogEvent(
        "order_rejected",
        Process.PLACER,
        "order that the engine rejected",
        {
            "status": _count("status of the answer"),
            "operation": _text("`load` or `unload`"),
            "adapter": _text("adapter, empty for the base model"),
            "expected": _count("orders that the engine had accepted before"),
            "detail": _text("the engine's words"),
        },
    ),
    LogEvent(
        "order_unanswered",
        Process.PLACER,
        "order without an answer, which may be carried out late",
        {"peer": _PEER, "error": _ERROR},
    ),
    LogEvent(
        "report_failed",
        Process.PLACER,
        "report of the engine that did not come (level debug)",
        {"peer": _PEER, "error": _ERROR},
    ),
    LogEvent(
        "report_malformed",
        Process.PLACER,
        "report of the engine that cannot be read",
        {"peer": _PEER},
    ),
    LogEvent(
        "engine_reachable",
        Process.PLACER,
        "engine that answers again, or no longer",
        {"is_reachable": _flag("whether it answers")},
    ),
    LogEvent(
        "engine_restarted",
        Process.PLACER,
        "restart of the engine, which holds nothing then",
        {"started": _count("its start, ms since 1970 by its own clock")},
    ),
    LogEvent(
        "unexpected_message",
        Process.PLACER,
        "message of a gateway of another release",
        {"type": _text("name of the message")},
    ),
    LogEvent("started", Process.BOTH, "start", {"node": _text("name of the host")}),
    LogEvent(
        "draining",
        Process.GATEWAY,
        "SIGTERM",
        {"open_count": _count("requests under way")},
    ),
    LogEvent(
        "stopped",
        Process.BOTH,
        "end",
        {"cut_off_count": _count("requests cut off")},
    ),
    LogEvent(
        "reload",
        Process.BOTH,
        "SIGHUP",
        {"is_valid": _flag("the settings file can be read")},
    ),
    LogEvent(
        "log_lines_left_out",
        Process.BOTH,
        "pause in which lines were left out",
        {"counts": Field((dict,), "lines left out, by event or `buffer_full`")},
    ),
    LogEvent(
        "caller_left", Process.GATEWAY, "caller that closed early (level debug)", {}
    ),
    LogEvent(
        "channel_stop_timeout", Process.BOTH, "streams that did not end in time", {}
    ),
    LogEvent(
        "request_crashed",
        Process.GATEWAY,
        "fault of ours in a request",
        {"exception": _text("its trace")},
    ),
    LogEvent(
        "controller_crashed",
        Process.GATEWAY,
        "fault of ours beside the requests",
        {
            "controller": _text("which function"),
            "exception": _text("its trace"),
        },
    ),
    LogEvent(
        "ordering_crashed",
        Process.PLACER,
        "fault of ours in the orders to the engine",
        {"exception": _text("its trace")},
    ),
)

EVENTS = {event.name: event for event in _EVENTS}
# Fields of every line.
COMMON_FIELDS = frozenset(("event", "timestamp", "process", "level", "module"))
# Fields that some processes leave out.
OPTIONAL_FIELDS = frozenset(("cut_off_count",))


def find_mistakes(line):
    """Return what is wrong with a decoded log line, as a list of str."""
    event = EVENTS.get(line.get("event"))
    if event is None:
        return [f"unknown event {line.get('event')!r}"]
    given = line.keys() - COMMON_FIELDS
    mistakes = [f"unknown field {name}" for name in given - event.fields.keys()]
    for name, field in event.fields.items():
        if name not in line:
            if name not in OPTIONAL_FIELDS:
                mistakes.append(f"no field {name}")
        elif type(line[name]) not in field.types:
            mistakes.append(f"{name} is {line[name]!r}")
    return mistakes
