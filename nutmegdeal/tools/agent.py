"""``nutmegdeal-agent``: the process beside one backend server."""

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

REQUIRED = (
    "channel.shared_secret",
    "platform.table_url",
    "platform.objects_url",
    "platform.hosts_url",
    "agent.service",
    "agent.backend_url",
)
EXIT_INVALID_SETTINGS = 2
EXIT_CUT_OFF = 1

app = cyclopts.App(
    name="nutmegdeal-agent",
    help="Run the agent of one backend server.",
    version=__version__,
)


@app.default
def run(*, settings: str):
    """Run until SIGTERM, or until the host list says that the host is leaving.

    Parameters
    ----------
    settings
        INI file with the settings of this process.
    """
    loaded = settings_module.load(settings, REQUIRED)
    if isinstance(loaded, settings_module.InvalidFile):
        print(loaded, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    loaded = name_process(loaded)
    log.configure(loaded.process.log_level, loaded.process.name)
    telemetry.configure(loaded.telemetry, loaded.process.name)
    is_whole = run_process(loaded)
    telemetry.shutdown()
    sys.exit(0 if is_whole else EXIT_CUT_OFF)


def name_process(loaded):
    """Return Settings in which the process has a name."""
    name = loaded.process.name or f"agent-{loaded.listen.host}:{loaded.listen.port}"
    return attrs.evolve(loaded, process=attrs.evolve(loaded.process, name=name))


def run_process(loaded):
    """Run an agent with Settings; return whether it cut off no request (bool)."""
    clock = SystemClock()
    incarnation = new_incarnation()
    platform = connect_platform(loaded, incarnation, clock)
    process = AgentProcess(loaded, incarnation, clock, GreenletBridge(), platform)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, process.request_stop)
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
