"""Closing of TCP sockets without the loss of what either side has sent."""

import socket
import struct

# SO_LINGER with a timeout of 0 s: close sends a reset instead of an end of stream.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset_on_close(sock):
    """Make the next close of a socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def has_unread_bytes(sock):
    """Return whether bytes have arrived at a gevent socket that were not read."""
    try:
        return bool(sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        # BlockingIOError if there are none; else the connection is broken.
        return False
