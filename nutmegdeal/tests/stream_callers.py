"""Callers that take streams up at the gateways of a PlatformSite."""

from nutmegdeal.fakes import stream_caller
from nutmegdeal.tests.platform_site import WAIT_S, build_headers, loopback_address


class StreamCaller(stream_caller.StreamCaller):
    """One caller's tries at one stream of a PlatformSite.

    Parameters
    ----------
    request_id : str
    adapter : str
        ``""`` for the base model.
    """

    def __init__(self, request_id, adapter=""):
        super().__init__(
            request_id, lambda try_id: build_headers(try_id, adapter), WAIT_S * 1000
        )

    def call(self, gateway, break_after=None, **changes):
        """Begin the stream or take it up; return the StreamTry.

        Parameters
        ----------
        gateway : GatewayProcess
        break_after, **changes
            As for the base class.
        """
        address = loopback_address(1), gateway._listener.port
        return super().call(address, break_after, **changes)
