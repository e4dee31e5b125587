"""``nutmegdeal-fakes``: stand-ins of the platform and of backend servers."""

import attrs
import cyclopts
import urllib3

from nutmegdeal import __version__
from nutmegdeal.clock import SystemClock
from nutmegdeal.configuration import Fencing, WeightStorePolicy
from nutmegdeal.fakes.engine import EngineStandIn
from nutmegdeal.fakes.engine_faults import EngineOptions
from nutmegdeal.fakes.hosts import HostsStandIn
from nutmegdeal.fakes.objects import ObjectsStandIn
from nutmegdeal.fakes.plain import PlainStandIn
from nutmegdeal.fakes.server import serve
from nutmegdeal.fakes.table import TableStandIn
from nutmegdeal.fakes.weights import OverRate, WeightsStandIn
from nutmegdeal.fakes.weights_client import WeightsClient

app = cyclopts.App(
    name="nutmegdeal-fakes",
    help="Run one stand-in of the platform or of a backend server, all in memory.",
    version=__version__,
)


@cyclopts.Parameter(name="*")
@attrs.frozen
class Listen:
    """Options of every stand-in.

    Parameters
    ----------
    host
        IP address to listen on.
    port
        TCP port; 0 takes a free one.
    """

    host: str = "127.0.0.1"
    port: int = 0


LOOPBACK = Listen()


@app.command
def table(*, listen: Listen = LOOPBACK):
    """Run the table service."""
    serve(TableStandIn(SystemClock()), "table", listen.host, listen.port)


@app.command
def objects(*, listen: Listen = LOOPBACK):
    """Run the object store."""
    serve(ObjectsStandIn(SystemClock()), "objects", listen.host, listen.port)


@app.command
def weights(
    *,
    listen: Listen = LOOPBACK,
    loads_per_s: float = 4.0,
    full_speed_count: int = 2,
    transit_max: int = 16,
    load_ms: float = 250.0,
    over_rate: OverRate = OverRate.QUEUE,
):
    """Run the weight store.

    Parameters
    ----------
    loads_per_s
        Adapters handed over a second.
    full_speed_count
        Loads at once at full speed.
    transit_max
        Loads at once before each takes longer in proportion.
    load_ms
        Time of one load below these limits.
    over_rate
        What becomes of a load over the rate.
    """
    policy = WeightStorePolicy(loads_per_s, full_speed_count, transit_max, load_ms)
    stand_in = WeightsStandIn(SystemClock(), policy, over_rate)
    serve(stand_in, "weights", listen.host, listen.port)


@app.command
def hosts(*, listen: Listen = LOOPBACK):
    """Run the host list."""
    serve(HostsStandIn(SystemClock()), "hosts", listen.host, listen.port)


@app.command
def engine(
    *,
    listen: Listen = LOOPBACK,
    weights_url: str = "",
    slots: int = 8,
    batch_size: int = 8,
    token_ms: float = 20.0,
    fencing: Fencing = Fencing.IGNORED,
    secret: str = "",
):
    """Run a model engine.

    Parameters
    ----------
    weights_url
        Base URL of the weight store; without one, loads take no time.
    slots
        Adapters held at once.
    batch_size
        Requests run at once.
    token_ms
        Time of one token.
    fencing
        What becomes of an order of an old fencing number.
    secret
        Secret that calls must carry; empty to check none.
    """
    options = EngineOptions(slots, batch_size, token_ms, fencing, secret)
    client = WeightsClient(urllib3.PoolManager(maxsize=slots), weights_url)
    stand_in = EngineStandIn(SystemClock(), options, client.fetch)
    serve(stand_in, "engine", listen.host, listen.port)


@app.command
def plain(*, listen: Listen = LOOPBACK, secret: str = ""):
    """Run a plain service.

    Parameters
    ----------
    secret
        Secret that calls must carry; empty to check none.
    """
    serve(PlainStandIn(SystemClock(), secret), "plain", listen.host, listen.port)


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
