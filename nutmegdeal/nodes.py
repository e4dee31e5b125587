"""Start and shutdown of the gateway and placer processes.

These processes use gevent's own sockets and events. They are kept out of
`nutmegdeal.tools`, whose import patches the standard library: patching takes a third
of the processor time of a start, and restarts have to be short.
"""

import signal
import sys

import gevent

from nutmegdeal import log
from nutmegdeal.errors import Failure
from nutmegdeal.platform.settings import load_node_settings

logger = log.get_logger(__name__)

EXIT_CUT_OFF = 1
EXIT_INVALID_SETTINGS = 2


def run_node(process_type):
    """Run a process from the platform's settings file until SIGTERM or SIGINT.

    Exits with 0, with `EXIT_CUT_OFF` if requests were cut off, or with
    `EXIT_INVALID_SETTINGS`.

    Parameters
    ----------
    process_type : type
        Constructed with NodeSettings; has the methods ``start``,
        ``request_shutdown`` and ``run``. ``run`` returns whether all requests were
        completed.
    """
    settings = load_node_settings()
    if isinstance(settings, Failure):
        print(settings, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    log_writer = log.configure_non_blocking("info", settings.node_name)
    process = process_type(settings)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, process.request_shutdown)
    gevent.signal_handler(signal.SIGHUP, _log_reload)
    process.start()
    is_complete = process.run()
    log_writer.flush()
    sys.exit(0 if is_complete else EXIT_CUT_OFF)


def _log_reload():
    """Log whether the settings file is valid.

    Nothing has to be applied: of the settings only the address of the process changes
    while it runs.
    """
    settings = load_node_settings()
    logger.info("reload", is_valid=not isinstance(settings, Failure))
