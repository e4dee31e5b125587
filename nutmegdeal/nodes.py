"""What the programs of the users' platform have in common.

They use gevent's own sockets and events throughout and are not in `nutmegdeal.tools`,
whose import patches the standard library: that takes a third of a start's processor
time, and restarts have to be short.
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
    """Run a process with the platform's settings file until SIGTERM or SIGINT.

    Parameters
    ----------
    process_type : type
        Takes NodeSettings; has ``start``, ``ask_to_stop`` and ``run``.
    """
    settings = load_node_settings()
    if isinstance(settings, Failure):
        print(settings, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    output = log.configure_bounded("info", settings.node_name)
    process = process_type(settings)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, process.ask_to_stop)
    gevent.signal_handler(signal.SIGHUP, _note_reload)
    process.start()
    is_whole = process.run()
    output.flush()
    sys.exit(0 if is_whole else EXIT_CUT_OFF)


def _note_reload():
    """Nothing in the settings file changes while a process lives but its address."""
    settings = load_node_settings()
    logger.info("reload", is_valid=not isinstance(settings, Failure))
