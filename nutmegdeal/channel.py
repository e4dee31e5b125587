"""gRPC server and client for the streams between processes.

One bidirectional stream carries all messages between an entry and an agent, or between
a gateway and a placer.
"""

import asyncio
import hmac
import math
import socket

import gevent
from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.const import Cardinality, Handler, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from nutmegdeal.addresses import Address
from nutmegdeal.batch_receiving import BatchReceiver
from nutmegdeal.buffering.connections import ConnectionBound, ConnectionState
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.http_connections import set_buffer_sizes
from nutmegdeal.log import get_logger
from nutmegdeal.sessions import Session

logger = get_logger(__name__)

STREAM_PATH = "/nutmegdeal.Agent/Exchange"
SECRET_HEADER = "authorization"
STOP_POLL_INTERVAL_S = 0.01
KEEPALIVE_IDLE_S = 60
KEEPALIVE_INTERVAL_S = 10
KEEPALIVE_PROBE_COUNT = 3
USER_TIMEOUT_MS = 90_000
# Buffers of the system for an accepted connection, which count as memory of the
# process.
RECEIVE_BUFFER_BYTES = 32_768
SEND_BUFFER_BYTES = 65_536
# What a client may send before it is read: the least that HTTP/2 allows.
WINDOW_BYTES = 65_535


class BytesCodec(CodecBase):
    """grpclib codec that leaves batches as they are, since they are encoded already."""

    __content_subtype__ = "msgpack"

    def encode(self, message, message_type):
        """Return `message`, which is bytes."""
        return message

    def decode(self, data, message_type):
        """Return `data` unchanged."""
        return data


def enable_keepalive(listener):
    """Have the kernel close accepted connections whose peer has vanished.

    Only the side that opens a stream sends heartbeats, and a host that fails does not
    close its connections. Accepted sockets inherit these options from the listener.
    """
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def open_listener(address):
    """Return a socket that is bound to an Address, for connections from clients."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        set_buffer_sizes(listener, RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES)
        enable_keepalive(listener)
        listener.bind((address.host, address.port))
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener


class _CountedProtocol(H2Protocol):
    """One accepted connection, which counts toward a ConnectionBound."""

    def __init__(self, bound, *arguments):
        super().__init__(*arguments)
        self._bound = bound
        self._opened = None

    def connection_made(self, transport):
        """Keep the connection if there is room for it."""
        self._opened = self._bound.open(transport.get_extra_info("socket"))
        super().connection_made(transport)
        if self._opened is None:
            transport.abort()
            return
        self.connection.opened = self._opened

    def connection_lost(self, exc):
        """Count the connection no longer."""
        if self._opened is not None:
            self._opened.end()
        super().connection_lost(exc)


class _CountingServer(Server):
    """A server of grpclib that bounds its connections and what clients may send ahead.

    Parameters
    ----------
    handlers : list
    connections : ConnectionBound
    """

    def __init__(self, handlers, connections):
        config = Configuration(
            http2_connection_window_size=WINDOW_BYTES,
            http2_stream_window_size=WINDOW_BYTES,
        )
        super().__init__(handlers, codec=BytesCodec(), config=config)
        self._connections = connections

    def _protocol_factory(self):
        protocol = super()._protocol_factory()
        return _CountedProtocol(
            self._connections, protocol.handler, protocol.config, protocol.h2_config
        )


class ChannelServer:
    """Accepts streams and handles each Session in a greenlet of its own.

    Parameters
    ----------
    bridge : Bridge
    settings : ChannelSettings
    handle_session : callable
        Called as ``handle_session(session)`` in a greenlet; the stream is closed when
        it returns.
    connections : ConnectionBound, optional
        Bounds the open connections; by default nothing does.
    """

    def __init__(self, bridge, settings, handle_session, connections=None):
        self._connections = connections or ConnectionBound(math.inf)
        self._receiver = BatchReceiver()
        self._bridge = bridge
        self._settings = settings
        self._handle_session = handle_session
        self._server = None
        self._sessions = set()

    def __mapping__(self):
        """Return the only method of the service; called by grpclib."""
        handler = Handler(self._exchange, Cardinality.STREAM_STREAM, bytes, bytes)
        return {STREAM_PATH: handler}

    def start(self, address, timeout_ms=5_000):
        """Listen at an Address; return it with the actual port.

        Raises
        ------
        OSError
            If the address cannot be bound.
        gevent.Timeout
        """
        return self._bridge.run(self._start(address), timeout_ms)

    async def _start(self, address):
        listener = open_listener(address)
        self._server = _CountingServer([self], self._connections)
        await self._server.start(sock=listener)
        return Address(address.host, listener.getsockname()[1])

    def stop(self, timeout_ms=5_000):
        """Close the listener and all streams."""
        try:
            self._bridge.run(self._stop(), timeout_ms)
        except gevent.Timeout:
            logger.warning("channel_stop_timeout")

    async def _stop(self):
        for session in tuple(self._sessions):
            session.close()
        while self._sessions:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        self._server.close()
        await self._server.wait_closed()

    async def _exchange(self, stream):
        credentials = str(stream.metadata.get(SECRET_HEADER, ""))
        if not hmac.compare_digest(
            credentials, f"Bearer {self._settings.shared_secret}"
        ):
            raise GRPCError(Status.UNAUTHENTICATED, "wrong shared secret")
        peer = ":".join(map(str, stream.peer.addr()[:2]))
        # Those without a session are closed first if there is no room.
        stream._stream.connection.opened.enter(ConnectionState.SERVING)
        session = Session(
            self._bridge,
            peer,
            self._settings,
            is_initiator=False,
            receiver=self._receiver,
        )
        await stream.send_initial_metadata()
        self._bridge.call_in_gevent(gevent.spawn, self._run_handler, session)
        self._sessions.add(session)
        try:
            await session.serve(stream)
        finally:
            self._sessions.discard(session)

    def _run_handler(self, session):
        try:
            self._handle_session(session)
        finally:
            session.close()


class ChannelClient:
    """Opens streams to agents and placers.

    Parameters
    ----------
    bridge : Bridge
    settings : ChannelSettings
    """

    def __init__(self, bridge, settings):
        self._bridge = bridge
        self._settings = settings
        self._tasks = set()

    def connect(self, address, timeout_ms):
        """Open a stream to an Address.

        Parameters
        ----------
        address : Address
        timeout_ms : float

        Returns
        -------
        Session or Failure
        """
        session = Session(self._bridge, str(address), self._settings, is_initiator=True)
        opened = asyncio.Event()
        self._bridge.call_in_loop(self._start_serving, session, address, opened)
        try:
            self._bridge.run(opened.wait(), timeout_ms)
        except gevent.Timeout:
            session.close()
            return Failure(
                Reason.CONNECTION_LOST, Step.SUBMIT, str(address), "connect timeout"
            )
        return session if session.is_open else session.close_reason

    def _start_serving(self, session, address, opened):
        # asyncio holds only weak references to tasks, so the task is kept here to
        # protect it from garbage collection.
        task = self._bridge.loop.create_task(self._serve(session, address, opened))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, session, address, opened):
        channel = Channel(address.host, address.port, codec=BytesCodec())
        metadata = {SECRET_HEADER: f"Bearer {self._settings.shared_secret}"}
        try:
            stream = channel.request(
                STREAM_PATH,
                Cardinality.STREAM_STREAM,
                bytes,
                bytes,
                metadata=metadata,
            )
            async with stream:
                await stream.send_request()
                await stream.recv_initial_metadata()
                opened.set()
                await session.serve(stream)
                await stream.cancel()
        except GRPCError as error:
            reason = (
                Reason.UNAUTHENTICATED
                if error.status is Status.UNAUTHENTICATED
                else Reason.CONNECTION_LOST
            )
            session.abort(reason, str(error.message))
        except Exception as error:
            session.abort(Reason.CONNECTION_LOST, repr(error))
        finally:
            session.abort(Reason.CONNECTION_LOST, "the connection ended")
            opened.set()
            channel.close()
