"""The program nutmegdeal-entry."""

import json
import signal
import sys

import gevent
from cyclopts import App

from nutmegdeal import __version__, log, telemetry
from nutmegdeal import settings as settings_module
from nutmegdeal.entry.process import EntryProcess, connect_platform

EXIT_INVALID_SETTINGS = 2
EXIT_CUT_OFF = 1
REQUIRED = (
    "channel.shared_secret",
    "platform.table_url",
    "platform.objects_url",
    "platform.hosts_url",
)

app = App(
    name="nutmegdeal-entry",
    help="Take requests from callers and route each to a backend server.",
    version=__version__,
)


@app.default
def run(*, settings: str):
    """Serve until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : str
        INI file with the settings of this process.
    """
    loaded = settings_module.load(settings, REQUIRED)
    if isinstance(loaded, settings_module.InvalidFile):
        print(loaded, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    name = loaded.process.name or f"entry-{loaded.listen.port}"
    log.configure(loaded.process.log_level, name)
    telemetry.configure(loaded.telemetry, name)
    process = EntryProcess(loaded, connect_platform(loaded.platform))
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, process.ask_to_stop)
    address = process.start()
    listening = {"kind": "entry", "host": address.host, "port": address.port}
    print(json.dumps(listening), flush=True)
    is_whole = process.run()
    telemetry.shutdown()
    sys.exit(0 if is_whole else EXIT_CUT_OFF)


def main():
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
