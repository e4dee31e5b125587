"""``nutmegdeal-fakes``: in-memory stand-ins for the platform and backend servers."""

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
    help="Run one in-memory stand-in for a platform service or a backend server.",
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
        TCP port; 0 selects a free one.
    """

    host: str = "127.0.0.1"
    port: int = 0


LISTEN_ON_LOOPBACK = Listen()


@app.command
def table(*, listen: Listen = LISTEN_ON_LOOPBACK):
    """Run a stand-in for the table service."""
    serve(TableStandIn(SystemClock()), "table", listen.host, listen.port)


@app.command
def objects(*, listen: Listen = LISTEN_ON_LOOPBACK):
    """Run a stand-in for the object store."""
    serve(ObjectsStandIn(SystemClock()), "objects", listen.host, listen.port)


@app.command
def weights(
    *,
    listen: Listen = LISTEN_ON_LOOPBACK,
    loads_per_s: float = 4.0,
    full_speed_count: int = 2,
    transit_max: int = 16,
    load_ms: float = 250.0,
    over_rate: OverRate = OverRate.QUEUE,
):
    """Run a stand-in for the weight store.

    Parameters
    ----------
    loads_per_s
        Rate limit of adapter loads, per second.
    full_speed_count
        Number of concurrent loads at full speed.
    transit_max
        Number of concurrent loads above which each takes longer in proportion.
    load_ms
        Duration of one load below these limits.
    over_rate
        How a load over the rate limit is handled.
    """
    policy = WeightStorePolicy(loads_per_s, full_speed_count, transit_max, load_ms)
    stand_in = WeightsStandIn(SystemClock(), policy, over_rate)
    serve(stand_in, "weights", listen.host, listen.port)


@app.command
def hosts(*, listen: Listen = LISTEN_ON_LOOPBACK):
    """Run a stand-in for the host list."""
    serve(HostsStandIn(SystemClock()), "hosts", listen.host, listen.port)


@app.command
def engine(
    *,
    listen: Listen = LISTEN_ON_LOOPBACK,
    weights_url: str = "",
    slots: int = 8,
    batch_size: int = 8,
    token_ms: float = 20.0,
    fencing: Fencing = Fencing.IGNORED,
    secret: str = "",
):
    """Run a stand-in for a model engine.

    Parameters
    ----------
    weights_url
        Base URL of the weight store; if empty, loads take no time.
    slots
        Number of adapters that fit into memory at once.
    batch_size
        Number of requests that run concurrently.
    token_ms
        Time to generate one token.
    fencing
        How an order with an outdated fencing number is handled.
    secret
        Secret that requests must carry; if empty, it is not checked.
    """
    options = EngineOptions(slots, batch_size, token_ms, fencing, secret)
    client = WeightsClient(urllib3.PoolManager(maxsize=slots), weights_url)
    stand_in = EngineStandIn(SystemClock(), options, client.fetch)
    serve(stand_in, "engine", listen.host, listen.port)


@app.command
def plain(*, listen: Listen = LISTEN_ON_LOOPBACK, secret: str = ""):
    """Run a stand-in for a plain service.

    Parameters
    ----------
    secret
        Secret that requests must carry; if empty, it is not checked.
    """
    serve(PlainStandIn(SystemClock(), secret), "plain", listen.host, listen.port)


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
