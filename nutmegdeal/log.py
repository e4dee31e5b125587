"""Structured logs as JSON lines, with trace and span id where a span is active."""

import logging
import sys

import structlog

from nutmegdeal.log_writer import NonBlockingLogWriter


def add_trace_ids(_logger, _method, event_dict):
    """Add the trace and span id of the current span, if there is one."""
    # Imported here so that processes without tracing do not load OpenTelemetry.
    from opentelemetry import trace

    context = trace.get_current_span().get_span_context()
    if not context.is_valid:
        return event_dict
    event_dict["trace_id"] = format(context.trace_id, "032x")
    event_dict["span_id"] = format(context.span_id, "016x")
    return event_dict


def configure(level, process_name):
    """Configure logging to standard error.

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


def configure_non_blocking(level, process_name):
    """Configure logging to standard output that is rate limited and never blocks.

    Parameters
    ----------
    level : str
        As for `configure`.
    process_name : str
        Added to every line as ``process``.

    Returns
    -------
    NonBlockingLogWriter
        Started; call its `flush` before the process exits.
    """
    log_writer = NonBlockingLogWriter(process_name=process_name)

    def drop_rate_limited(_logger, method, event_dict):
        if log_writer.rate_limiter.allows(event_dict.get("event"), method):
            return event_dict
        raise structlog.DropEvent

    def add_process(_logger, _method, event_dict):
        event_dict["process"] = process_name
        return event_dict

    structlog.configure(
        processors=[
            drop_rate_limited,
            add_process,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=log_writer,
        cache_logger_on_first_use=True,
    )
    log_writer.start()
    return log_writer


def get_logger(name):
    """Return a logger that adds the module's name to each line as ``module``."""
    return structlog.get_logger(module=name)
