"""The gRPC server and client that open streams between entries and agents.

One bidirectional stream carries all requests of an entry-agent pair.
"""

import asyncio
import hmac
import socket

import gevent
from grpclib.client import Channel
from grpclib.const import Cardinality, Handler, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from nutmegdeal.addresses import Address
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.log import get_logger
from nutmegdeal.sessions import Session

logger = get_logger(__name__)

STREAM_PATH = "/nutmegdeal.Agent/Exchange"
SECRET_HEADER = "authorization"
STOP_POLL_S = 0.01
PROBE_AFTER_S = 60
PROBE_EVERY_S = 10
PROBE_COUNT = 3
UNACKNOWLEDGED_MAX_MS = 90_000


class BytesCodec(CodecBase):
    """Codec that passes encoded batches through unchanged."""

    __content_subtype__ = "msgpack"

    def encode(self, message, message_type):
        """Return `message`, which is bytes already."""
        return message

    def decode(self, data, message_type):
        """Return `data` unchanged."""
        return data


def probe_connections(listener):
    """Have the system close the accepted connections of peers that have vanished.

    Only the end that opens a stream sends heartbeats; a host that fails closes nothing.
    Accepted sockets take these options over from the listening one.
    """
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    listener.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX_MS
    )


class ChannelServer:
    """Accepts streams; each accepted Session goes to a greenlet of its own.

    Parameters
    ----------
    bridge : Bridge
    settings : ChannelSettings
    accept : callable
        Called as ``accept(session)`` in a greenlet; the stream is closed when it
        returns.
    """

    def __init__(self, bridge, settings, accept):
        self._bridge = bridge
        self._settings = settings
        self._accept = accept
        self._server = None
        self._sessions = set()

    def __mapping__(self):
        """Return the one method of the service, as grpclib asks for it."""
        handler = Handler(self._exchange, Cardinality.STREAM_STREAM, bytes, bytes)
        return {STREAM_PATH: handler}

    def start(self, address, within_ms=5_000):
        """Listen at an Address; return the Address with the port in use."""
        return self._bridge.run(self._start(address), within_ms)

    async def _start(self, address):
        self._server = Server([self], codec=BytesCodec())
        await self._server.start(address.host, address.port)
        (listener,) = self._server._server.sockets
        probe_connections(listener)
        return Address(address.host, listener.getsockname()[1])

    def stop(self, within_ms=5_000):
        """Close the listener and all streams."""
        try:
            self._bridge.run(self._stop(), within_ms)
        except gevent.Timeout:
            logger.warning("channel_stop_timeout")

    async def _stop(self):
        for session in tuple(self._sessions):
            session.close()
        while self._sessions:
            await asyncio.sleep(STOP_POLL_S)
        self._server.close()
        await self._server.wait_closed()

    async def _exchange(self, stream):
        given = str(stream.metadata.get(SECRET_HEADER, ""))
        if not hmac.compare_digest(given, f"Bearer {self._settings.shared_secret}"):
            raise GRPCError(Status.UNAUTHENTICATED, "wrong shared secret")
        peer = ":".join(map(str, stream.peer.addr()[:2]))
        session = Session(self._bridge, peer, self._settings, is_initiator=False)
        await stream.send_initial_metadata()
        self._bridge.call_in_gevent(gevent.spawn, self._run_accept, session)
        self._sessions.add(session)
        try:
            await session.serve(stream)
        finally:
            self._sessions.discard(session)

    def _run_accept(self, session):
        try:
            self._accept(session)
        finally:
            session.close()


class ChannelClient:
    """Opens streams to agents.

    Parameters
    ----------
    bridge : Bridge
    settings : ChannelSettings
    """

    def __init__(self, bridge, settings):
        self._bridge = bridge
        self._settings = settings
        self._tasks = set()

    def connect(self, address, within_ms):
        """Open a stream to an Address.

        Returns
        -------
        Session or Failure
        """
        session = Session(self._bridge, str(address), self._settings, is_initiator=True)
        opened = asyncio.Event()
        self._bridge.call_in_loop(self._start_serving, session, address, opened)
        try:
            self._bridge.run(opened.wait(), within_ms)
        except gevent.Timeout:
            session.close()
            return Failure(
                Reason.CONNECTION_LOST, Step.SUBMIT, str(address), "connect timeout"
            )
        return session if session.is_open else session.close_reason

    def _start_serving(self, session, address, opened):
        # asyncio keeps no reference to a task that could be collected early.
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
            session.break_off(reason, str(error.message))
        except Exception as error:
            session.break_off(Reason.CONNECTION_LOST, repr(error))
        finally:
            session.break_off(Reason.CONNECTION_LOST, "the connection ended")
            opened.set()
            channel.close()
