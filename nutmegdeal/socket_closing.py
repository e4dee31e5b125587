"""Closing of TCP sockets without the loss of what either side has sent."""

import socket
import struct
import time

# Bounds on what is read from a peer that goes on sending after the last response: a
# body of the usual limit, and a few round trips for its end of stream.
DISCARD_BYTES_MAX = 4_194_304
DISCARD_TIMEOUT_S = 1.0
DISCARD_CHUNK_BYTES = 65_536
# SO_LINGER with a timeout of 0 s: close sends a reset instead of an end of stream.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
END_ON_CLOSE = struct.pack("ii", 0, 0)


def reset_on_close(sock):
    """Make the next close of a socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def end_on_close(sock):
    """Make the next close of a socket send an end of stream, as usual."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, END_ON_CLOSE)


def has_unread_bytes(sock):
    """Return whether bytes have arrived at a gevent socket that were not read."""
    try:
        return bool(sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        # BlockingIOError if there are none; else the connection is broken.
        return False


def discard_until_closed(sock):
    """Shut down the sending side of a gevent socket, then read until the peer closes.

    Returns early at `DISCARD_TIMEOUT_S` or `DISCARD_BYTES_MAX`. A close with unread
    bytes sends a reset, which can destroy a response that the peer has not read.

    Raises
    ------
    OSError
        If the connection breaks.
    """
    deadline_s = time.monotonic() + DISCARD_TIMEOUT_S
    remaining_bytes = DISCARD_BYTES_MAX
    sock.shutdown(socket.SHUT_WR)
    while remaining_bytes > 0:
        remaining_s = deadline_s - time.monotonic()
        if remaining_s <= 0:
            return
        sock.settimeout(remaining_s)
        try:
            data = sock.recv(DISCARD_CHUNK_BYTES)
        except TimeoutError:
            return
        if not data:
            return
        remaining_bytes -= len(data)
