"""The log events of placers; a part of the table in `nutmegdeal.log_events`."""

from nutmegdeal.log_fields import (
    LogEvent,
    Process,
    count_field,
    flag_field,
    text_field,
    version_field,
)

_PEER = text_field("address")
_STARTED = count_field("start time by the engine's clock, in ms since 1970")
_OCCUPIED = count_field("slots of the engine with a loaded or loading adapter")
_ERROR = text_field("description of the failure")

PLACER_EVENTS = (
    LogEvent(
        "order_given",
        Process.PLACER,
        "order to the engine, with its result",
        {
            "operation": text_field("`load` or `unload`"),
            "adapter": text_field("adapter, empty for the base model"),
            "version": version_field("version, null for the newest"),
            "expected": count_field("orders that the engine had accepted before"),
            "started": _STARTED,
            "occupied": _OCCUPIED,
            "result": text_field("result of the order"),
        },
    ),
    LogEvent(
        "order_rejected",
        Process.PLACER,
        "order that the engine rejected",
        {
            "status": count_field("HTTP status of the answer"),
            "operation": text_field("`load` or `unload`"),
            "adapter": text_field("adapter, empty for the base model"),
            "expected": count_field("orders that the engine had accepted before"),
            "detail": text_field("answer of the engine"),
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
        {"is_reachable": flag_field("whether the engine is reachable")},
    ),
    LogEvent(
        "engine_restarted",
        Process.PLACER,
        "restart of the engine, which then has nothing loaded",
        {
            "started": _STARTED,
            "unanswered": count_field("unanswered orders that may still be executed"),
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
            "order_count": count_field("orders that the engine has accepted"),
            "known_count": count_field("orders that this placer knows to be accepted"),
            "occupied": _OCCUPIED,
        },
    ),
    LogEvent(
        "unexpected_message",
        Process.PLACER,
        "message of an unknown type, from a gateway of another release",
        {"type": text_field("type of the message")},
    ),
)
