"""Listens for callers' connections."""

from gevent.server import StreamServer
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from nutmegdeal.caller_connections import CallerConnection

# Connections that may wait to be accepted; a burst of callers comes at once.
LISTEN_BACKLOG = 1_024


class MetricsApplication:
    """Answers with the metrics of a registry, in Prometheus' text format.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
    """

    def __init__(self, registry):
        self._registry = registry

    def __call__(self, _request, responder):
        """Answer any request."""
        content_type = (b"content-type", CONTENT_TYPE_LATEST.encode())
        responder.reply(200, [content_type], generate_latest(self._registry))


class CallerListener:
    """Accepts callers' connections.

    Parameters
    ----------
    address : tuple of str and int
    application : callable
        Called as ``application(request, responder)`` in the connection's greenlet.
    limits : callable
        Returns the CallerLimits in force.
    """

    def __init__(self, address, application, limits):
        self.application = application
        self.limits = limits
        self.is_draining = False
        self._connections = set()
        self._server = StreamServer(address, self._handle, backlog=LISTEN_BACKLOG)

    @property
    def open_count(self):
        """Return the number of connections with a request under way."""
        return sum(not item.is_idle for item in self._connections)

    @property
    def port(self):
        """Return the TCP port in use."""
        return self._server.server_port

    def start(self):
        """Listen."""
        self._server.start()

    def stop_accepting(self):
        """Close the listening socket; open connections stay."""
        self._server.close()

    def close_idle(self):
        """Close the connections without a request under way."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def _handle(self, sock, _address):
        connection = CallerConnection(sock, self)
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)
