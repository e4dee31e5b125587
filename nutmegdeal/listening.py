"""Servers whose connections have small buffers in the system.

What has arrived and was not read, or was written and not sent, counts as memory of the
process, and the system lets these buffers grow to some MB for each connection.
"""

from gevent.server import StreamServer

from nutmegdeal.http_connections import set_buffer_sizes

# Connections that may wait to be accepted; large enough for a burst of callers.
LISTEN_BACKLOG = 1_024
# The system takes twice as much for its own records.
RECEIVE_BUFFER_BYTES = 16_384
SEND_BUFFER_BYTES = 65_536


class LimitedBuffers:
    """Mixin for gevent's servers; accepted connections inherit the buffer sizes."""

    # Accepted in a row, before the process decides which of them may stay.
    max_accept = 32

    @classmethod
    def get_listener(cls, address, backlog=None, family=None):
        """Return a listening socket."""
        listener = super().get_listener(address, LISTEN_BACKLOG, family)
        set_buffer_sizes(listener, RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES)
        return listener


class LimitedStreamServer(LimitedBuffers, StreamServer):
    """A StreamServer whose connections have small buffers."""
