"""Ways to close a TCP socket."""

import socket
import struct

# SO_LINGER with a timeout of 0 s: close sends a reset instead of an end of stream.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset_on_close(sock):
    """Make the next close of a socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
