"""The log events of gateways and placers, with the types of their fields.

docs/log-events.md is generated from this table. Every line also has ``event``,
``timestamp`` (ISO 8601, UTC), ``process``, ``level`` and ``module``. No line contains a
body, a query, or a header other than the request id and the ids of prompt parts.
"""

from nutmegdeal.log_fields import (
    Field,
    LogEvent,
    Process,
    count_field,
    flag_field,
    ms_field,
    names_field,
    optional_ms_field,
    ratio_field,
    text_field,
    version_field,
)
from nutmegdeal.placer_events import PLACER_EVENTS
from nutmegdeal.quotas.events import QUOTA_EVENTS
from nutmegdeal.stream_events import SOFTWARE, STREAM_EVENTS

_REQUEST = text_field("id of the request")
_BACKEND = text_field("id of the backend server")
_ADAPTER = text_field("name of the adapter, empty for none")
_TABLE = text_field("table of the store")
_TENANT = text_field("name of the tenant, empty if there is none or it is not known")
_ERROR = text_field("description of the failure")
_KEY_STATE_FIELDS = {
    "version": count_field("version of the configuration"),
    "age_ms": optional_ms_field("time since the last confirmation, null for none"),
}

_EVENTS = (
    LogEvent(
        "backend_chosen",
        Process.GATEWAY,
        "choice of a backend server for a request",
        {
            "request": _REQUEST,
            "backend": _BACKEND,
            "service": text_field("service of the backend server"),
            "adapter": _ADAPTER,
            "version": version_field(),
            "software": SOFTWARE,
            "load": Field(
                (float, int), "expected number of requests in the backend server"
            ),
            "report_age_ms": optional_ms_field(
                "age of the latest load report of the backend server"
            ),
            "work_time_percent": Field(
                (float, int, type(None)),
                "how long work takes at the backend server, 100 is usual, null if no "
                "server of its service states it",
            ),
            "failure_rate": ratio_field("fraction of its recent answers that failed"),
            "is_linked": flag_field(
                "whether its placer reports its state to this gateway"
            ),
            "waited_ms": ms_field("time spent waiting for the adapter so far"),
            "paced_ms": ms_field("time spent waiting to send the prompt so far"),
            "remaining_ms": ms_field("time left until the deadline"),
            "configuration": count_field("version of the configuration in use"),
        },
    ),
    LogEvent(
        "run_failed",
        Process.GATEWAY,
        "run of a request that did not complete, and whether it is retried",
        {
            "request": _REQUEST,
            "backend": _BACKEND,
            "fate": text_field("how the run ended"),
            "detail": _ERROR,
            "verdict": text_field(
                "`retry`, `give_up`, or `keep` if the run to be replaced goes on"
            ),
            "sent": count_field("backend servers that the request was sent to so far"),
            "runs": count_field("backend servers that may have run the request"),
            "silent_ms": ms_field("for how long the server had sent nothing"),
            "events": count_field("times that whole events of the run were forwarded"),
            "parts": names_field(
                "ids of the prompt parts that other requests may share"
            ),
            "content": text_field(
                "digest of the request, the same in all attempts at all gateways"
            ),
            "broken_off": flag_field(
                "whether the server or its host ended the connection"
            ),
            "local_port": count_field(
                "local port of the connection to the server, 0 for none"
            ),
            "skipped": count_field("answers to other requests that came before"),
            "failure_rate": ratio_field(
                "fraction of the server's recent answers that failed"
            ),
        },
    ),
    LogEvent(
        "answer_skipped",
        Process.GATEWAY,
        "answer to another request that came before the one to this request",
        {
            "request": _REQUEST,
            "backend": _BACKEND,
            "answered": text_field("id of the request that the answer names"),
            "status": count_field("status code of the answer"),
            "local_port": count_field("local port of the connection to the server"),
        },
    ),
    LogEvent(
        "engine_crashed",
        Process.GATEWAY,
        "backend server that ended under runs that had not delivered",
        {
            "engine": text_field("id of the backend server and its start time"),
            "parts": names_field(
                "suspects: shared parts of their prompts, and `request:` with a digest"
            ),
        },
    ),
    LogEvent(
        "prompt_part",
        Process.GATEWAY,
        "change of what is stored of a suspect, a prompt part or a request",
        {
            "change": text_field("`suspected`, `refused`, `probed` or `removed`"),
            "part": text_field("id of the prompt part"),
            "crashes": names_field("engines that ended under it"),
            "refused_until_ms": count_field(
                "end of the refusal on the store's clock, or 0"
            ),
        },
    ),
    LogEvent(
        "prompt_part_change_dropped",
        Process.GATEWAY,
        "oldest change of stored prompt parts that was dropped, as too many wait for "
        "the store",
        {"changes": count_field("changes that wait")},
    ),
    LogEvent(
        "prompt_part_conflict",
        Process.GATEWAY,
        "change of stored prompt parts that was dropped, as others changed them again "
        "and again",
        {"conflicts": count_field("times that the change was decided anew")},
    ),
    LogEvent(
        "request_refused",
        Process.GATEWAY,
        "request refused on arrival",
        {
            "request": _REQUEST,
            "path": text_field("path without the query"),
            "status": count_field("HTTP status of the answer"),
            "reason": text_field("why"),
            "tenant": _TENANT,
        },
    ),
    LogEvent(
        "request_refused_unread",
        Process.GATEWAY,
        "request that could not be read",
        {"status": count_field("HTTP status of the answer"), "detail": _ERROR},
    ),
    LogEvent(
        "body_still_used",
        Process.GATEWAY,
        "large body that was not freed with its request, as something still uses it",
        {"byte_count": count_field("size of its memory")},
    ),
    LogEvent(
        "connection_ended_for_room",
        Process.BOTH,
        "connection of a client that was closed to make room for another one",
        {"state": text_field("what it waited for")},
    ),
    LogEvent(
        "connection_refused",
        Process.BOTH,
        "connection that was closed at once, as all others were in use",
        {"open_count": count_field("open connections")},
    ),
    LogEvent(
        "connection_already_closed",
        Process.BOTH,
        "connection that its client had closed before it was closed to make room",
        {"error": _ERROR},
    ),
    LogEvent(
        "request_shed",
        Process.GATEWAY,
        "end of a request because the process holds too many bytes",
        {
            "request": _REQUEST,
            "held_bytes": count_field("bytes that were held for the request"),
            "waited_ms": optional_ms_field(
                "for how long it had waited for its caller to read or to send"
            ),
            "total_bytes": count_field("bytes that the process held"),
            "may_have_run": flag_field("whether it was sent to a backend server"),
            "has_answer_begun": flag_field("whether an answer to its caller has begun"),
        },
    ),
    LogEvent(
        "request_ended",
        Process.GATEWAY,
        "end of a request",
        {
            "request": _REQUEST,
            "route": text_field("name of the route"),
            "kind": text_field("`safe`, `unsafe` or `stream`"),
            "end": text_field("how the request ended"),
            "reason": text_field("reason, if the request was not served"),
            "suspect": text_field(
                "prompt part or request for which it was refused, empty for none"
            ),
            "adapter": _ADAPTER,
            "backends": Field((list,), "ids of the backend servers tried"),
            "sent": count_field("backend servers that the request was sent to"),
            "runs": count_field("backend servers that may have run the request"),
            "first_ms": optional_ms_field(
                "time from arrival to the first part of the answer"
            ),
            "target_ms": ms_field("target for `first_ms`"),
            "gap_ms": ms_field("longest pause between parts of the answer"),
            "gap_target_ms": ms_field("target for `gap_ms`, 0 for none"),
            "whole_ms": ms_field("time from arrival to the end"),
            "waited_ms": ms_field("time spent waiting for the adapter"),
            "paced_ms": ms_field("time spent waiting to send the prompt"),
            "configuration": count_field("version of the configuration on arrival"),
            "configuration_at_end": count_field(
                "version of the configuration at the end"
            ),
            "tokens": count_field("number of tokens in the prompt"),
            "tenant": _TENANT,
        },
    ),
    LogEvent(
        "configuration_in_force",
        Process.GATEWAY,
        "newer configuration that takes effect",
        {
            "version": count_field("version of the configuration"),
            "routes": count_field("number of its routes"),
        },
    ),
    LogEvent(
        "keys_confirmed",
        Process.GATEWAY,
        "first confirmation of the API keys by the store, or first one after a time "
        "without",
        _KEY_STATE_FIELDS,
    ),
    LogEvent(
        "keys_not_confirmed",
        Process.GATEWAY,
        "the API keys may have been revoked meanwhile, so requests with keys get 503",
        {
            **_KEY_STATE_FIELDS,
            "is_row_malformed": flag_field(
                "whether the newest row of the configuration cannot be parsed"
            ),
        },
    ),
    LogEvent(
        "adapter_version",
        Process.GATEWAY,
        "newer version of an adapter",
        {
            "adapter": _ADAPTER,
            "version": count_field("newer version"),
            "change_age_ms": optional_ms_field(
                "longest time for which the store may have had it, null if it had it "
                "before the gateway started"
            ),
        },
    ),
    LogEvent(
        "older_version_begun",
        Process.GATEWAY,
        "first event of a run on an older version of its adapter than the newest one",
        {
            "request": _REQUEST,
            "backend": _BACKEND,
            "adapter": _ADAPTER,
            "version": count_field("version that the server was asked for"),
            "newest": count_field("newest version"),
            "sent_age_ms": ms_field("time since the request was sent"),
            "superseded_age_ms": optional_ms_field(
                "longest time for which the store may have had a newer version, null "
                "if it had one before the gateway started"
            ),
        },
    ),
    LogEvent(
        "backend_joined",
        Process.GATEWAY,
        "backend server that joined its service, or joined again",
        {
            "backend": _BACKEND,
            "service": text_field("service of the backend server"),
            "state": text_field("`ready` or `draining`"),
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
            "service": text_field("service of the backend server"),
            "source": text_field("`registration`, `answer` or `placer`"),
        },
    ),
    LogEvent(
        "backend_paused",
        Process.GATEWAY,
        "backend server that refused a request and asked for a pause",
        {
            "backend": _BACKEND,
            "service": text_field("service of the backend server"),
            "pause_ms": ms_field("duration of the pause"),
        },
    ),
    LogEvent(
        "backend_limit",
        Process.GATEWAY,
        "limit that a backend server has named or changed, or no longer names",
        {
            "backend": _BACKEND,
            "service": text_field("service of the backend server"),
            "limit_per_s": Field(
                (float, int, type(None)),
                "requests a second that it takes from all gateways, null for no limit",
            ),
            "source": text_field("`answer` of the server, or `store`"),
            "age_ms": ms_field("time since the server said so"),
        },
    ),
    LogEvent(
        "limit_slot_conflict",
        Process.GATEWAY,
        "reservation of a limited server's slots that other gateways kept preceding",
        {"backend": _BACKEND},
    ),
    LogEvent(
        "backend_limit_unusable",
        Process.GATEWAY,
        "backend server that has named a limit which is no positive number, once",
        {
            "backend": _BACKEND,
            "service": text_field("service of the backend server"),
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
        {"table": _TABLE, "failed_calls": count_field("number of failed reads")},
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
            "era": count_field("era of the store"),
            "version": count_field("version of the store in that era"),
            "previous_era": count_field("era of the last read before"),
            "previous_version": count_field("version of the last read before"),
        },
    ),
    LogEvent(
        "store_read_repeated",
        Process.GATEWAY,
        "read of a table that began again, because the store returned from a copy",
        {"table": _TABLE, "era": count_field("newest era of the store")},
    ),
    LogEvent(
        "row_malformed",
        Process.GATEWAY,
        "row of the store that cannot be parsed",
        {"key": text_field("key of the row"), "error": _ERROR},
    ),
    *STREAM_EVENTS,
    *QUOTA_EVENTS,
    *PLACER_EVENTS,
    LogEvent(
        "started",
        Process.BOTH,
        "start",
        {"node": text_field("name of the host")},
    ),
    LogEvent(
        "draining",
        Process.GATEWAY,
        "SIGTERM",
        {"open_count": count_field("requests in progress")},
    ),
    LogEvent(
        "stopped",
        Process.BOTH,
        "end",
        {
            "cut_off_count": count_field(
                "requests that were cut off, among them streams that had begun"
            ),
            "ended_count": count_field(
                "requests whose servers had not answered by the end of the grace time"
            ),
        },
    ),
    LogEvent(
        "reload",
        Process.BOTH,
        "SIGHUP",
        {"is_valid": flag_field("whether the settings file is valid")},
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
            "path": text_field("path of the request, without the query"),
            "has_started": flag_field(
                "a part of the response was sent; else the caller got 500"
            ),
            "exception": text_field("traceback"),
        },
    ),
    LogEvent(
        "connection_crashed",
        Process.GATEWAY,
        "unexpected exception on a caller's connection outside of a request",
        {"exception": text_field("traceback")},
    ),
    LogEvent(
        "controller_crashed",
        Process.BOTH,
        "unexpected exception in a background task",
        {
            "controller": text_field("name of the function"),
            "exception": text_field("traceback"),
        },
    ),
    LogEvent(
        "placer_link_crashed",
        Process.GATEWAY,
        "message of a placer that could not be applied; its stream is opened again",
        {"backend": _BACKEND, "exception": text_field("traceback")},
    ),
)

EVENTS = {event.name: event for event in _EVENTS}
# Fields that every line has.
COMMON_FIELDS = frozenset(("event", "timestamp", "process", "level", "module"))
# Fields that some processes omit.
OPTIONAL_FIELDS = frozenset(("cut_off_count", "ended_count"))


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
