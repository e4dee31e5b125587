"""gevent's WSGI server with Nagle's algorithm disabled, and with limits on clients."""

import io
import socket

from gevent import pywsgi

from nutmegdeal.buffering.connections import ConnectionState
from nutmegdeal.fair_turns import FairTurns
from nutmegdeal.listening import LimitedBuffers

# Key of the WSGI environment with the OpenConnection.
CONNECTION_KEY = "nutmegdeal.connection"
HEADER_BYTES_MAX = 16_384
IDLE_TIMEOUT_MS = 75_000


class HeadersTooLargeError(ValueError):
    """The request headers are larger than the settings allow."""


class BoundedLineReader:
    """Reads lines of a file up to a total size.

    Parameters
    ----------
    file : file object
    bytes_max : int
    """

    def __init__(self, file, bytes_max):
        self._file = file
        self._remaining_bytes = bytes_max

    def readline(self, size=-1):
        """Return a line, or raise HeadersTooLargeError."""
        most = self._remaining_bytes + 1
        line = self._file.readline(most if size < 0 else min(size, most))
        self._remaining_bytes -= len(line)
        if self._remaining_bytes < 0:
            raise HeadersTooLargeError
        return line


class _FairReceiver(io.RawIOBase):
    """Receives from a client, and lets others run in between.

    Parameters
    ----------
    sock : socket
    opened : OpenConnection
    """

    def __init__(self, sock, opened):
        self._socket = sock
        self._opened = opened
        self._turns = FairTurns()

    def readable(self):
        """Return True."""
        return True

    def readinto(self, buffer):
        """Receive into a buffer; return the number of bytes."""
        self._turns.take()
        count = self._socket.recv_into(buffer)
        self._turns.record_bytes(count)
        self._opened.record_received(count)
        return count


class LimitedHandler(pywsgi.WSGIHandler):
    """Serves one connection, limits the headers and says what it waits for.

    Parameters
    ----------
    sock, address, server
        As for `pywsgi.WSGIHandler`.
    opened : OpenConnection
    """

    def __init__(self, sock, address, server, opened):
        receiver = io.BufferedReader(_FairReceiver(sock, opened))
        super().__init__(sock, address, server, rfile=receiver)
        self._opened = opened

    def MessageClass(self, rfile, *arguments):  # noqa: N802
        """Parse the headers; raise HeadersTooLargeError beyond the limit."""
        bounded_reader = BoundedLineReader(rfile, self.server.header_bytes_max)
        return super().MessageClass(bounded_reader, *arguments)

    def read_requestline(self):
        """Return the first line of the next request."""
        self._opened.enter(ConnectionState.IDLE)
        line = super().read_requestline()
        self._opened.enter(ConnectionState.RECEIVING)
        return line

    def get_environ(self):
        """Return the WSGI environment."""
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self._opened
        return environ

    def run_application(self):
        """Have the application respond.

        It enters ConnectionState.SERVING once it has read a body.
        """
        wsgi_input = self.environ["wsgi.input"]
        if not (wsgi_input.content_length or wsgi_input.chunked_input):
            self._opened.enter(ConnectionState.SERVING)
        super().run_application()

    def _sendall(self, data):
        state = self._opened.state
        self._opened.enter(ConnectionState.SENDING)
        super()._sendall(data)
        self._opened.enter(state)


class NoDelayWSGIServer(pywsgi.WSGIServer):
    """A WSGI server that sends each chunk of a response without delay.

    With Nagle's algorithm, the first chunk after the response headers waits until the
    headers are acknowledged, which the peer delays by up to 40 ms.
    """

    def handle(self, client_socket, address):
        """Serve one connection with TCP_NODELAY set."""
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.serve_connection(client_socket, address)

    def serve_connection(self, client_socket, address):
        """Serve one connection."""
        super().handle(client_socket, address)


class LimitedWSGIServer(LimitedBuffers, NoDelayWSGIServer):
    """A WSGI server that limits what its clients may take.

    Parameters
    ----------
    address : tuple of str and int
    application : callable
    connections : ConnectionBound
    header_bytes_max : int
    **options : dict
        As for `pywsgi.WSGIServer`.
    """

    handler_class = LimitedHandler

    def __init__(
        self,
        address,
        application,
        connections,
        header_bytes_max=HEADER_BYTES_MAX,
        **options,
    ):
        super().__init__(address, application, log=None, **options)
        self.header_bytes_max = header_bytes_max
        self._connections = connections

    def serve_connection(self, client_socket, address):
        """Serve one connection, unless there is no room for it."""
        opened = self._connections.open(client_socket)
        if opened is None:
            client_socket.close()
            return
        try:
            client_socket.settimeout(IDLE_TIMEOUT_MS / 1000)
            self.handler_class(client_socket, address, self, opened).handle()
        finally:
            opened.end()
