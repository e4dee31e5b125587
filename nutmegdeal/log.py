"""JSON-line logs, with the ids of the current trace where there are traces."""

import logging
import sys

import structlog

from nutmegdeal.bounded_output import BoundedOutput


def add_trace_ids(_logger, _method, event_dict):
    """Add the trace and span id of the current span, if there is one."""
    from opentelemetry import trace  # Programs without traces do not load it.

    context = trace.get_current_span().get_span_context()
    if not context.is_valid:
        return event_dict
    event_dict["trace_id"] = format(context.trace_id, "032x")
    event_dict["span_id"] = format(context.span_id, "016x")
    return event_dict


def configure(level, process_name):
    """Send the logs of this process to standard error.

    Parameters
    ----------
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    process_name : str
        Added to every line as ``process``.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            add_trace_ids,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
    )
    structlog.contextvars.bind_contextvars(process=process_name)


def configure_bounded(level, process_name):
    """Send the logs of this process to standard output without ever waiting.

    Parameters
    ----------
    level : str
        As for `configure`.
    process_name : str
        Added to every line as ``process``.

    Returns
    -------
    BoundedOutput
    """
    output = BoundedOutput(process_name=process_name)

    def drop_excess(_logger, method, event_dict):
        if output.budget.allows(event_dict.get("event"), method):
            return event_dict
        raise structlog.DropEvent

    def add_process(_logger, _method, event_dict):
        event_dict["process"] = process_name
        return event_dict

    structlog.configure(
        processors=[
            drop_excess,
            add_process,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=output,
        cache_logger_on_first_use=True,
    )
    output.start()
    return output


def get_logger(name):
    """Return the logger of a module."""
    return structlog.get_logger(module=name)
