"""The log events of gateways about silent runs and streams that are taken up."""

from nutmegdeal.log_fields import (
    LogEvent,
    Process,
    count_field,
    flag_field,
    ms_field,
    optional_ms_field,
    text_field,
)

SOFTWARE = text_field("version of the server's software, empty if not reported")
_REQUEST = text_field("id of the request")
_BACKEND = text_field("id of the backend server")
_ERROR = text_field("description of the failure")

STREAM_EVENTS = (
    LogEvent(
        "stream_taken_up",
        Process.GATEWAY,
        "caller that has a part of a stream from an earlier attempt; it goes on at "
        "servers of one version only",
        {
            "request": _REQUEST,
            "resumes": text_field("id of the attempt that began the stream"),
            "software": SOFTWARE,
            "source": text_field(
                "`own` if this gateway began it, `sole` if no other version can have "
                "begun it, `row` if the store names it"
            ),
            "age_ms": optional_ms_field("time since the first event, if known"),
        },
    ),
    LogEvent(
        "stream_version_unknown",
        Process.GATEWAY,
        "stream that was not resumed, as the version that began it is not known",
        {
            "request": _REQUEST,
            "resumes": text_field("id of the attempt that began the stream"),
        },
    ),
    LogEvent(
        "versions_mark_conflict",
        Process.GATEWAY,
        "other gateways changed the row of the software versions each time that it was "
        "to be written; it is tried again",
        {"conflicts": count_field("number of tries")},
    ),
    LogEvent(
        "stream_rows_unwritten",
        Process.GATEWAY,
        "the store did not take the rows that name the versions of streams",
        {"failure": _ERROR},
    ),
    LogEvent(
        "stream_rows_unread",
        Process.GATEWAY,
        "the store did not answer a read of the rows that name versions of streams",
        {"failure": _ERROR},
    ),
    LogEvent(
        "overlap_ended",
        Process.GATEWAY,
        "end of the time for which two servers may run one stream, before the second "
        "one has delivered a part; one of them is given up, or neither for now",
        {
            "request": _REQUEST,
            "backend": _BACKEND,
            "silent_ms": ms_field("for how long the first server had sent nothing"),
            "undelivered_ms": ms_field("for how long the caller had received nothing"),
            "reachability": text_field(
                "`answers`, `refuses`, `unanswered` or `unknown`, by a new connection"
            ),
            "heard": flag_field(
                "whether its placer has just reported that it responds"
            ),
            "reported_reachable": flag_field(
                "whether the last report of its placer said so, however old"
            ),
            "kept": text_field("`first`, `second` or `both`, the runs that go on"),
        },
    ),
    LogEvent(
        "replacement_crashed",
        Process.GATEWAY,
        "unexpected error, with its trace, of a run that was to replace a silent one, "
        "which goes on",
        {"request": _REQUEST, "exception": text_field("traceback")},
    ),
    LogEvent(
        "server_check_crashed",
        Process.GATEWAY,
        "unexpected error, with its trace, of the check of a silent server",
        {"backend": _BACKEND, "exception": text_field("traceback")},
    ),
    LogEvent(
        "run_silent",
        Process.GATEWAY,
        "run whose server has sent nothing for a while; it goes on until another "
        "server has begun to answer",
        {
            "request": _REQUEST,
            "backend": _BACKEND,
            "silent_ms": ms_field("for how long the server had sent nothing"),
            "replacement": text_field(
                "`ready` or `must_load` if another server can take over, else `none`"
            ),
        },
    ),
)
