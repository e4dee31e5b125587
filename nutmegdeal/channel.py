"""Streams of messages between entries and agents: the bridge of gevent and grpclib.

One bidirectional gRPC stream carries all requests of an entry-agent pair. grpclib
needs an asyncio loop; it runs inside one greenlet, so that no lock is needed. Nothing
that may switch greenlets is called from a coroutine.
"""

import abc
import asyncio
import collections
import functools
import hmac

import attrs
import gevent
import gevent.event
import gevent.queue
from gevent.selectors import GeventSelector
from grpclib.client import Channel
from grpclib.const import Cardinality, Handler, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.log import get_logger
from nutmegdeal.messages import decode_batch, encode_message, join_batch

logger = get_logger(__name__)

STREAM_PATH = "/nutmegdeal.Agent/Exchange"
SECRET_HEADER = "authorization"
BATCH_MESSAGES_MAX = 256
MISSED_HEARTBEATS_MAX = 3
STOP_POLL_S = 0.01
EMPTY_BATCH = join_batch([])


class BytesCodec(CodecBase):
    """Codec that passes encoded batches through unchanged."""

    __content_subtype__ = "msgpack"

    def encode(self, message, message_type):
        """Return `message`, which is bytes already."""
        return message

    def decode(self, data, message_type):
        """Return `data` unchanged."""
        return data


class Bridge(abc.ABC):
    """An asyncio loop beside gevent's."""

    loop: asyncio.AbstractEventLoop

    @abc.abstractmethod
    def call_in_loop(self, function, *arguments):
        """Run a function soon inside the asyncio loop."""

    @abc.abstractmethod
    def call_in_gevent(self, function, *arguments):
        """Run a function that never blocks where gevent's primitives may be used."""

    def run(self, coroutine, within_ms):
        """Run a coroutine and return its result.

        Raises
        ------
        gevent.Timeout
            If it takes longer than `within_ms`; the coroutine is cancelled.
        """
        outcome = gevent.event.AsyncResult()
        tasks = []

        def start():
            task = self.loop.create_task(coroutine)
            tasks.append(task)
            task.add_done_callback(finish)

        def finish(task):
            if task.cancelled():
                return
            if task.exception() is None:
                self.call_in_gevent(outcome.set, task.result())
            else:
                self.call_in_gevent(outcome.set_exception, task.exception())

        self.call_in_loop(start)
        try:
            return outcome.get(timeout=within_ms / 1000)
        except gevent.Timeout:
            for task in tasks:
                self.call_in_loop(task.cancel)
            raise


class GreenletBridge(Bridge):
    """An asyncio loop inside one greenlet; its selector waits in gevent's loop."""

    def __init__(self):
        self.loop = asyncio.SelectorEventLoop(GeventSelector())
        self._greenlet = gevent.spawn(self.loop.run_forever)

    def call_in_loop(self, function, *arguments):
        """Run a function soon inside the asyncio loop."""
        self.loop.call_soon_threadsafe(function, *arguments)

    def call_in_gevent(self, function, *arguments):
        """Call the function at once: both loops share one thread."""
        function(*arguments)


class Session:
    """One open stream, seen from either end.

    Parameters
    ----------
    bridge : Bridge
    peer : str
        Address of the other end, for logs and errors.
    settings : ChannelSettings
    is_initiator : bool
        True at the end that opened the stream. Only this end sends heartbeats, and only
        while `is_awaiting` is set and nothing arrives, so that idle streams cost
        nothing; the other end answers each.

    Attributes
    ----------
    is_awaiting : bool
        Set by the initiator while it awaits something from the peer.
    sent_bytes : int
        Bytes of all batches sent.
    """

    def __init__(self, bridge, peer, settings, is_initiator):
        self.peer = peer
        self.close_reason = None
        self.is_awaiting = False
        self.sent_bytes = 0
        self._is_initiator = is_initiator
        self._bridge = bridge
        self._settings = settings
        self._outbox = collections.deque()
        self._outbox_bytes = 0
        self._wake_pending = False
        self._wake = asyncio.Event()
        self._received_since_check = True
        self._heartbeat_due = False

    @functools.cached_property
    def _inbox(self):
        # Made on first use, so that it belongs to gevent's thread.
        return gevent.queue.Queue()

    @property
    def is_open(self):
        """True until either end closed the stream or it broke."""
        return self.close_reason is None

    def send(self, message):
        """Queue a message; return False if the stream is closed.

        True does not mean that the message has arrived; False means that it never
        will.
        """
        if not self.is_open:
            return False
        encoded = encode_message(message)
        if self._outbox_bytes + len(encoded) > self._settings.outbox_bytes_max:
            self._close(Reason.OVERLOADED, "the peer reads too slowly")
            return False
        self._outbox.append(encoded)
        self._outbox_bytes += len(encoded)
        if not self._wake_pending:
            self._wake_pending = True
            self._bridge.call_in_loop(self._wake.set)
        return True

    def messages(self):
        """Yield the messages received, in order, until the stream is closed."""
        while True:
            message = self._inbox.get()
            if message is None:
                return
            yield message

    def _deliver(self, message):
        self._inbox.put(message)

    def close(self):
        """Close the stream from this end."""
        self._close(Reason.CANCELLED, "closed by this process")

    def _close(self, reason, detail):
        if not self.is_open:
            return
        self.close_reason = Failure(reason, Step.RELAY, self.peer, detail)
        self._bridge.call_in_loop(self._wake.set)
        self._bridge.call_in_gevent(self._deliver, None)

    async def serve(self, stream):
        """Move messages between the stream and the queues until either end closes."""
        tasks = [
            asyncio.ensure_future(self._write(stream)),
            asyncio.ensure_future(self._read(stream)),
            asyncio.ensure_future(self._exchange_heartbeats()),
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            errors = [task.exception() for task in done if task.exception()]
            detail = repr(errors[0]) if errors else "the peer closed the stream"
            self._close(Reason.CONNECTION_LOST, detail)
        finally:
            self._close(Reason.CONNECTION_LOST, "the connection ended")
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _write(self, stream):
        while self.is_open:
            await self._wake.wait()
            self._wake.clear()
            self._wake_pending = False
            if self._heartbeat_due:
                self._heartbeat_due = False
                await self._send_batch(stream, EMPTY_BATCH)
            while self._outbox:
                await self._send_batch(stream, self._take_batch())

    async def _send_batch(self, stream, batch):
        self.sent_bytes += len(batch)
        await stream.send_message(batch)

    def _take_batch(self):
        count = min(len(self._outbox), BATCH_MESSAGES_MAX)
        encoded = [self._outbox.popleft() for _ in range(count)]
        self._outbox_bytes -= sum(map(len, encoded))
        return join_batch(encoded)

    async def _read(self, stream):
        while True:
            data = await stream.recv_message()
            if data is None:
                return
            self._received_since_check = True
            if data == EMPTY_BATCH and not self._is_initiator:
                self._send_heartbeat()
            for message in decode_batch(data):
                self._bridge.call_in_gevent(self._deliver, message)

    def _send_heartbeat(self):
        self._heartbeat_due = True
        self._wake.set()

    async def _exchange_heartbeats(self):
        missed_count = 0
        while missed_count <= MISSED_HEARTBEATS_MAX:
            await asyncio.sleep(self._settings.heartbeat_every_ms / 1000)
            is_silent = self.is_awaiting and not self._received_since_check
            missed_count = missed_count + 1 if is_silent else 0
            self._received_since_check = False
            if is_silent:
                self._send_heartbeat()
        raise TimeoutError("no heartbeat from the peer")


@attrs.frozen
class Address:
    """IP address and TCP port."""

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"


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
        port = self._server._server.sockets[0].getsockname()[1]
        return Address(address.host, port)

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
        task = self._bridge.loop.create_task(self._serve(session, address, opened))
        session.task = task

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
            session._close(reason, str(error.message))
        except Exception as error:
            session._close(Reason.CONNECTION_LOST, repr(error))
        finally:
            session._close(Reason.CONNECTION_LOST, "the connection ended")
            opened.set()
            channel.close()
