"""Clients that do not behave: what they send, and crowds of them."""

import gevent
import gevent.event
import gevent.pool
import gevent.socket
import h2.config
import h2.connection

from nutmegdeal.channel import SECRET_HEADER, STREAM_PATH

# Of all requests of a crowd.
CROWD_REQUEST_ID = "crowd"
# The greatest body that the configuration of the sites allows.
BODY_BYTES = 4_194_304
CHUNK_BYTES = 65_536
SMALL_CHUNK_BYTES = 16
# A head of legal size; the sites allow 16,384 bytes.
HEAD_BYTES = 16_000
PIPELINED_BYTES = 1_000_000
RECEIVE_BUFFER_BYTES = 4_096
# For so long a crowd stays after that, at least.
STAY_S = 1.0
# A crowd has arrived once each client has sent what it sends, or has been refused, and
# at the latest after this time.
ARRIVAL_TIMEOUT_S = 20.0
# Length of a message as gRPC writes it, of which only the beginning follows.
LONG_MESSAGE_PREFIX = b"\0" + (1 << 30).to_bytes(4, "big")
FRAME_BYTES = 16_384
# Acknowledges one SETTINGS frame. A server sends two, the second one for its window.
SETTINGS_ACK_FRAME = b"\0\0\0\4\1\0\0\0\0"


def build_head(target, host, fields=()):
    """Return the head of a POST request of its own id.

    Parameters
    ----------
    target, host : str
    fields : iterable of str
        Further header lines.
    """
    lines = [
        f"POST {target} HTTP/1.1",
        f"Host: {host}",
        f"X-Request-Id: {CROWD_REQUEST_ID}",
        "X-Deadline-Ms: 15000",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def build_whole_body(target, host):
    """Return the pieces of a request with a body of the greatest size."""
    head = build_head(target, host, [f"Content-Length: {BODY_BYTES}"])
    return [head, bytes(BODY_BYTES)]


def build_nearly_whole_body(target, host):
    """Return the same without its last byte."""
    head, body = build_whole_body(target, host)
    return [head, body[:-1]]


def build_chunked_body(target, host, chunk_bytes=CHUNK_BYTES):
    """Return the pieces of a request with a chunked body of the greatest size."""
    head = build_head(target, host, ["Transfer-Encoding: chunked"])
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, bytes(chunk_bytes))
    return [head, chunk * (BODY_BYTES // chunk_bytes), b"0\r\n\r\n"]


def build_nearly_whole_chunked_body(target, host):
    """Return the same without the end of its last chunk."""
    head, body, _end = build_chunked_body(target, host)
    return [head, body[:-1]]


def build_small_chunks(target, host):
    """Return a whole request whose body comes in chunks of a few bytes."""
    return build_chunked_body(target, host, SMALL_CHUNK_BYTES)


def build_nothing(_target, _host):
    """Return no piece."""
    return []


def build_nearly_whole_head(target, host):
    """Return a head without its end."""
    head = build_head(target, host, [f"X-More: {'x' * HEAD_BYTES}"])
    return [head[:HEAD_BYTES]]


def build_pipelined_requests(target, host):
    """Return requests of which no answer is awaited."""
    head = build_head(target, host, ["Content-Length: 0"])
    return [head * (PIPELINED_BYTES // len(head))]


def build_long_head_lines(target, host):
    """Return a head of many long lines, without its end."""
    line = f"X-More: {'x' * 60_000}"
    return [build_head(target, host, [line] * 90)[:-2]]


def build_long_message(_target, _host):
    """Return the beginning of a gRPC message that does not end."""
    config = h2.config.H2Configuration(client_side=True)
    connection = h2.connection.H2Connection(config)
    connection.initiate_connection()
    headers = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", STREAM_PATH),
        (":authority", "placer"),
        ("te", "trailers"),
        ("content-type", "application/grpc+msgpack"),
        (SECRET_HEADER, "Bearer "),
    ]
    connection.send_headers(1, headers)
    data = connection.data_to_send() + 2 * SETTINGS_ACK_FRAME
    # Frames beyond the window that h2 assumes; the server states a larger one.
    payload = LONG_MESSAGE_PREFIX + bytes(BODY_BYTES - len(LONG_MESSAGE_PREFIX))
    frames = [
        _encode_data_frame(payload[start : start + FRAME_BYTES])
        for start in range(0, len(payload), FRAME_BYTES)
    ]
    return [data, b"".join(frames)]


def _encode_data_frame(payload):
    """Return an HTTP/2 DATA frame of stream 1."""
    header = len(payload).to_bytes(3, "big") + b"\0\0" + (1).to_bytes(4, "big")
    return header + payload


class Crowd:
    """Clients that connect at once, send the same and stay.

    Parameters
    ----------
    address : tuple of str and int
    pieces : list of bytes
    count : int
    """

    def __init__(self, address, pieces, count):
        self._address = address
        self._pieces = pieces
        self._leaving = gevent.event.Event()
        self._begun = [gevent.event.Event() for _ in range(count)]
        self._arrived = [gevent.event.Event() for _ in range(count)]
        self._clients = gevent.pool.Group()
        for begun, arrived in zip(self._begun, self._arrived, strict=True):
            self._clients.spawn(self._run_client, begun, arrived)

    def _run_client(self, begun, arrived):
        sock = gevent.socket.socket()
        try:
            sock.setsockopt(
                gevent.socket.SOL_SOCKET,
                gevent.socket.SO_RCVBUF,
                RECEIVE_BUFFER_BYTES,
            )
            sock.connect(self._address)
            for piece in self._pieces:
                sock.sendall(piece)
                begun.set()
            arrived.set()
            self._leaving.wait()
        except OSError:
            # Refused, which is allowed.
            begun.set()
            arrived.set()
        finally:
            sock.close()

    def wait_until_begun(self):
        """Wait until each client has sent its first piece, or cannot."""
        gevent.wait(self._begun, timeout=ARRIVAL_TIMEOUT_S)

    def wait_until_arrived(self):
        """Wait until each client has sent what it sends, or cannot, and a while."""
        gevent.wait(self._arrived, timeout=ARRIVAL_TIMEOUT_S)
        gevent.sleep(STAY_S)

    def leave(self):
        """Close all connections."""
        self._leaving.set()
        self._clients.kill()
