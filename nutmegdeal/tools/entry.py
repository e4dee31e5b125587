"""``nutmegdeal-entry``: takes requests from callers and routes them to agents."""

import json
import signal
import sys

import gevent
from cyclopts import App

from nutmegdeal import __version__, log, telemetry
from nutmegdeal import settings as settings_module
from nutmegdeal.entry.process import EntryProcess, connect_platform

EXIT_INVALID_SETTINGS = 2
EXIT_REQUESTS_INTERRUPTED = 1
REQUIRED_KEYS = (
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
    loaded_settings = settings_module.load(settings, REQUIRED_KEYS)
    if isinstance(loaded_settings, settings_module.InvalidFile):
        print(loaded_settings, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    name = loaded_settings.process.name or f"entry-{loaded_settings.listen.port}"
    log.configure(loaded_settings.process.log_level, name)
    telemetry.configure(loaded_settings.telemetry, name)
    process = EntryProcess(loaded_settings, connect_platform(loaded_settings.platform))
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, process.request_shutdown)
    address = process.start()
    listening = {"kind": "entry", "host": address.host, "port": address.port}
    print(json.dumps(listening), flush=True)
    all_requests_finished = process.run()
    telemetry.shutdown()
    sys.exit(0 if all_requests_finished else EXIT_REQUESTS_INTERRUPTED)


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
