"""Encoding of the response to one request of a caller, based on h11."""

import h11

from nutmegdeal.http_connections import join_small_parts

# Sent as it is, since h11 encodes nothing more after an exception within a response.
INTERNAL_ERROR_RESPONSE = (
    b"HTTP/1.1 500 Internal Server Error\r\n"
    b"Content-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)

# Responses with these status codes have no body, and the length in their head would be
# that of another response.
STATUS_CODES_WITHOUT_BODY = (204, 304)


class Responder:
    """Sends the response to one request.

    Parameters
    ----------
    connection : CallerConnection
    method : bytes
        Of the request.

    Attributes
    ----------
    status_code : int
        0 before `start`.
    is_head_sent : bool
        True once the caller may have received a part of the response.
    is_finished : bool
        True once the whole response was sent.
    """

    def __init__(self, connection, method):
        self._connection = connection
        self._method = method
        self._unsent_head = b""
        self._ends_with_connection = False
        self.status_code = 0
        self.is_head_sent = False
        self.is_finished = False

    @property
    def has_started(self):
        """Return whether `start` was called, even if nothing was sent yet."""
        return self.status_code != 0

    def start(self, status_code, headers):
        """Begin the response; the head is sent with the first bytes of the body."""
        if self._connection.is_closing:
            headers = [*headers, (b"connection", b"close")]
        event = h11.Response(status_code=status_code, headers=headers)
        has_length = any(name == b"content-length" for name, _ in event.headers)
        self._ends_with_connection = not (has_length or self._connection.accepts_chunks)
        self._unsent_head = self._connection.encode(event)
        self.status_code = status_code

    def send(self, data):
        """Send a part of the body."""
        parts = [self._unsent_head, *self._connection.encode_parts(h11.Data(data=data))]
        self._unsent_head = b""
        for part in join_small_parts(parts):
            self._write(part)

    def finish(self):
        """Send what is left and end the response."""
        end = self._connection.encode(h11.EndOfMessage())
        unsent_head, self._unsent_head = self._unsent_head, b""
        if unsent_head or end:
            self._write(unsent_head + end)
        if self._ends_with_connection:
            self._connection.set_reset_on_close(False)
        self.is_finished = True

    def _write(self, data):
        if self._ends_with_connection and not self.is_head_sent:
            # An end of stream would complete a part of the response.
            self._connection.set_reset_on_close(True)
        self.is_head_sent = True
        self._connection.write(data)

    def reply(self, status_code, headers, body):
        """Send a whole response, without the body where the protocol allows none."""
        has_body = status_code not in STATUS_CODES_WITHOUT_BODY
        if has_body:
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        self._connection.allow_slow_reading()
        self.start(status_code, headers)
        if body and has_body and self._method != b"HEAD":
            self.send(body)
        self.finish()

    def reply_internal_error(self):
        """Send a 500 in place of a response of which nothing was sent.

        The connection has to be closed afterwards.
        """
        self._ends_with_connection = False
        self._write(INTERNAL_ERROR_RESPONSE)
