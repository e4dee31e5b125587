"""HTTP server for callers' connections, and an application that serves metrics."""

import math

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from nutmegdeal.buffering.accounts import UNCOUNTED
from nutmegdeal.buffering.connections import ConnectionBound
from nutmegdeal.caller_connections import CallerConnection
from nutmegdeal.listening import LimitedStreamServer


class MetricsApplication:
    """Responds with the metrics of a registry in the Prometheus text format.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
    """

    def __init__(self, registry):
        self._registry = registry

    def __call__(self, _request, responder):
        """Respond to a request of any method and path."""
        content_type = (b"content-type", CONTENT_TYPE_LATEST.encode())
        responder.reply(200, [content_type], generate_latest(self._registry))


class CallerListener:
    """Accepts callers' connections and serves each in a greenlet of its own.

    Parameters
    ----------
    address : tuple of str and int
    application : callable
        Called as ``application(request, responder)`` in the connection's greenlet.
    limits : callable
        Returns the current CallerLimits.
    memory : MemoryBound, optional
        Bounds the bytes that are held for the requests; by default nothing does.
    connections : ConnectionBound, optional
        Bounds the open connections; by default nothing does.
    uses_bodies : bool
        Whether the application reads the bodies of requests; others are not held.

    Attributes
    ----------
    is_draining : bool
        Set to True to close each connection after its next response that has not
        begun.
    has_closed_idle : bool
        True once connections without a request are no longer kept open.
    """

    def __init__(
        self,
        address,
        application,
        limits,
        memory=None,
        connections=None,
        uses_bodies=True,
    ):
        self.application = application
        self.limits = limits
        self.uses_bodies = uses_bodies
        self._memory = memory
        self._bound = connections or ConnectionBound(math.inf)
        self.is_draining = False
        self.has_closed_idle = False
        self._connections = set()
        self._server = LimitedStreamServer(address, self._handle)

    def open_account(self, interrupt):
        """Return the account of a new request, as `MemoryBound.open_account` does."""
        if self._memory is None:
            return UNCOUNTED
        return self._memory.open_account(interrupt)

    @property
    def open_count(self):
        """Return the number of connections with a request in progress."""
        return sum(not connection.is_idle for connection in self._connections)

    @property
    def unanswered_count(self):
        """Return the number of connections with a request that has no answer yet."""
        return sum(connection.is_unanswered for connection in self._connections)

    @property
    def port(self):
        """Return the TCP port that the server listens on."""
        return self._server.server_port

    def start(self):
        """Start listening."""
        self._server.start()

    def stop_accepting(self):
        """Close the listening socket; open connections stay open."""
        self._server.close()

    def close_idle(self):
        """Close the connections without a request in progress, now and later."""
        self.has_closed_idle = True
        for connection in list(self._connections):
            connection.close_if_idle()

    def refuse_unread(self):
        """Refuse the requests that are not read to their end."""
        for connection in list(self._connections):
            connection.refuse_unread()

    def _handle(self, sock, _address):
        opened = self._bound.open(sock)
        if opened is None:
            sock.close()
            return
        connection = CallerConnection(sock, self, opened)
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)
            opened.end()
