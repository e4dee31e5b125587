"""Stand-in for the host list."""

import attrs
import bottle
import cattrs
import gevent

from nutmegdeal.fakes.lag import LaggingValue
from nutmegdeal.fakes.server import StandIn, error_response, json_response
from nutmegdeal.services.hosts import Host

_converter = cattrs.Converter()


@attrs.define
class HostsFaults:
    """Fault switches of the host list.

    Parameters
    ----------
    down : bool
        Every read gets 503.
    slow_ms : float
        Time added to every read.
    lag_ms : float
        Delay until a change becomes visible to readers.
    """

    down: bool = False
    slow_ms: float = 0.0
    lag_ms: float = 0.0


class HostsStandIn(StandIn):
    """Host list whose whole content tests and scripts replace by PUT.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock):
        super().__init__(HostsFaults)
        self._clock = clock
        self._hosts = LaggingValue(())
        self.app.route("/hosts", "GET", self.read)
        self.app.route("/hosts", "PUT", self.replace)

    def read(self):
        """Send the list as it was `lag_ms` ago."""
        gevent.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            return error_response(503, "unavailable", "the service is down")
        hosts = self._hosts.read(self._clock.monotonic_ms(), self.faults.lag_ms)
        return json_response({"hosts": _converter.unstructure(hosts)})

    def replace(self):
        """Replace the list."""
        try:
            fields = bottle.request.json["hosts"]
            hosts = _converter.structure(fields, tuple[Host, ...])
        except Exception as error:
            return error_response(400, "bad_request", repr(error))
        self._hosts.replace(hosts, self._clock.monotonic_ms())
        return json_response({})
