"""HTTP/1.1 server for callers: limits the headers, detects disconnects."""

import socket

import gevent
from gevent.socket import wait_read

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.log import get_logger
from nutmegdeal.wsgi_server import (
    HeadersTooLargeError,
    LimitedHandler,
    LimitedWSGIServer,
)

logger = get_logger(__name__)

RAW_PATH_KEY = "nutmegdeal.raw_path"
SOCKET_KEY = "nutmegdeal.socket"
REASON_PHRASES = {400: "Bad Request", 431: "Request Header Fields Too Large"}


class CallerHandler(LimitedHandler):
    """Adds raw path and socket to the environment, and logs errors as JSON lines."""

    def get_environ(self):
        """Return the WSGI environment."""
        environ = super().get_environ()
        environ[RAW_PATH_KEY] = self.path.partition("?")[0]
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_error(self, t, v, tb):
        """Log an unexpected error as a JSON line and answer with status 500."""
        logger.error("request_crashed", exc_info=(t, v, tb))
        self._send_error_response_if_possible(500)

    def _handle_client_error(self, ex):
        if isinstance(ex, HeadersTooLargeError):
            detail = f"the headers exceed {self.server.header_bytes_max} bytes"
            failure = Failure(Reason.HEADERS_TOO_LARGE, Step.RECEIVE, "", detail)
        else:
            detail = "the request is not valid HTTP/1.1"
            failure = Failure(Reason.BAD_REQUEST, Step.RECEIVE, "", detail)
        reply = self.server.reply_to_invalid(failure)
        return str(reply.status_code), encode_reply(reply)


def encode_reply(reply):
    """Return a Reply as HTTP bytes, with a header that closes the connection."""
    phrase = REASON_PHRASES[reply.status_code]
    lines = [f"HTTP/1.1 {reply.status_code} {phrase}", "Connection: close"]
    lines += [f"{header.name}: {header.value}" for header in reply.headers]
    lines.append(f"Content-Length: {len(reply.body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + reply.body


class CallerServer(LimitedWSGIServer):
    """HTTP server of an entry.

    Parameters
    ----------
    address : tuple of str and int
    application : callable
        A WSGI application.
    header_bytes_max : int
    reply_to_invalid : callable
        Returns the Reply to a request that could not be parsed, from a Failure.
    connections : ConnectionBound
    """

    handler_class = CallerHandler

    def __init__(
        self, address, application, header_bytes_max, reply_to_invalid, connections
    ):
        super().__init__(
            address,
            application,
            connections,
            header_bytes_max,
            error_log=None,
            environ={"SERVER_NAME": address[0]},
        )
        self.reply_to_invalid = reply_to_invalid


class DisconnectWatch:
    """Calls a function once if the caller closes its connection.

    Watching ends without a call if the caller sends more data.

    Parameters
    ----------
    caller_socket : socket or None
        None disables the watch.
    on_disconnect : callable
    """

    def __init__(self, caller_socket, on_disconnect):
        self._socket = caller_socket
        self._on_disconnect = on_disconnect
        self._greenlet = gevent.spawn(self._watch) if caller_socket else None

    def stop(self):
        """Stop watching."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _watch(self):
        try:
            wait_read(self._socket.fileno())
            if self._socket.recv(1, socket.MSG_PEEK):
                return
        except OSError:
            pass
        self._on_disconnect()
