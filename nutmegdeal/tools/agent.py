"""``nutmegdeal-agent``: runs next to one backend server and dispatches to it."""

import json
import signal
import sys

import attrs
import cyclopts
import gevent

from nutmegdeal import __version__, log, telemetry
from nutmegdeal import settings as settings_module
from nutmegdeal.agent.platform import connect_platform
from nutmegdeal.agent.process import AgentProcess
from nutmegdeal.bridges import GreenletBridge
from nutmegdeal.clock import SystemClock
from nutmegdeal.identifiers import new_incarnation

REQUIRED_KEYS = (
    "channel.shared_secret",
    "platform.table_url",
    "platform.objects_url",
    "platform.hosts_url",
    "agent.service",
    "agent.backend_url",
)
EXIT_INVALID_SETTINGS = 2
EXIT_REQUESTS_INTERRUPTED = 1

app = cyclopts.App(
    name="nutmegdeal-agent",
    help="Run the agent of one backend server.",
    version=__version__,
)


@app.default
def run(*, settings: str):
    """Run until SIGTERM or SIGINT, or until the host list marks the host as leaving.

    Parameters
    ----------
    settings
        INI file with the settings of this process.
    """
    loaded_settings = settings_module.load(settings, REQUIRED_KEYS)
    if isinstance(loaded_settings, settings_module.InvalidFile):
        print(loaded_settings, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    loaded_settings = set_default_process_name(loaded_settings)
    log.configure(loaded_settings.process.log_level, loaded_settings.process.name)
    telemetry.configure(loaded_settings.telemetry, loaded_settings.process.name)
    all_requests_finished = run_process(loaded_settings)
    telemetry.shutdown()
    sys.exit(0 if all_requests_finished else EXIT_REQUESTS_INTERRUPTED)


def set_default_process_name(loaded_settings):
    """Return Settings with a process name, by default made from the address."""
    name = (
        loaded_settings.process.name
        or f"agent-{loaded_settings.listen.host}:{loaded_settings.listen.port}"
    )
    return attrs.evolve(
        loaded_settings, process=attrs.evolve(loaded_settings.process, name=name)
    )


def run_process(loaded_settings):
    """Run an agent; return whether it ended without interrupting a request (bool)."""
    clock = SystemClock()
    incarnation = new_incarnation()
    platform = connect_platform(loaded_settings, incarnation, clock)
    process = AgentProcess(
        loaded_settings, incarnation, clock, GreenletBridge(), platform
    )
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, process.request_shutdown)
    address = process.start()
    listening = {
        "kind": "agent",
        "host": address.host,
        "port": address.port,
        "status_port": process.status_port,
    }
    print(json.dumps(listening), flush=True)
    return process.run()


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
