"""A bidirectional message stream with batching and heartbeats, used on both sides."""

import asyncio
import collections
import functools

import gevent.queue

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.messages import decode_batch, encode_message, join_batch

BATCH_MESSAGES_MAX = 256
MISSED_HEARTBEATS_MAX = 3
EMPTY_BATCH = join_batch([])


class Session:
    """One side of an open stream.

    Parameters
    ----------
    bridge : Bridge
    peer : str
        Address of the other side, for logs and errors.
    settings : ChannelSettings
    is_initiator : bool
        True on the side that opened the stream. Only this side sends heartbeats, and
        only while `heartbeats_enabled` is set and nothing arrives, so that idle streams
        cost nothing. The other side replies to each heartbeat.
    receiver : BatchReceiver or None
        Bounds what is received; None on the side that opened the stream.

    Attributes
    ----------
    close_reason : Failure or None
        Why the stream was closed, None while it is open.
    heartbeats_enabled : bool
        Set by the initiator while it expects messages from the peer.
    sent_bytes : int
        Total size of all batches sent.
    """

    def __init__(self, bridge, peer, settings, is_initiator, receiver=None):
        self.peer = peer
        self.close_reason = None
        self.heartbeats_enabled = False
        self.sent_bytes = 0
        self._is_initiator = is_initiator
        self._receiver = receiver
        self._bridge = bridge
        self._settings = settings
        self._outbox = collections.deque()
        self._outbox_bytes = 0
        self._is_write_scheduled = False
        self._write_requested = asyncio.Event()
        self._has_received_since_check = True
        self._is_heartbeat_due = False

    @functools.cached_property
    def _inbox(self):
        # Created on first use, so that it belongs to the thread that runs gevent.
        return gevent.queue.Queue()

    @property
    def is_open(self):
        """True until either side closes the stream or the connection fails."""
        return self.close_reason is None

    @property
    def has_room(self):
        """Return whether half of the outbox is free, or the stream is closed."""
        if not self.is_open:
            return True
        return self._outbox_bytes <= self._settings.outbox_bytes_max / 2

    def send(self, message):
        """Queue a message; return whether it was queued.

        True does not mean that the message will arrive. False means that the stream is
        closed, possibly because the message overflowed the outbox, and that the message
        is never sent.
        """
        if not self.is_open:
            return False
        encoded = encode_message(message)
        if self._outbox_bytes + len(encoded) > self._settings.outbox_bytes_max:
            self.abort(Reason.OVERLOADED, "the peer reads too slowly")
            return False
        self._outbox.append(encoded)
        self._outbox_bytes += len(encoded)
        if not self._is_write_scheduled:
            self._is_write_scheduled = True
            self._bridge.call_in_loop(self._write_requested.set)
        return True

    def messages(self):
        """Yield the received messages in order, until the stream is closed."""
        while True:
            message = self._inbox.get()
            if message is None:
                return
            yield message

    def _deliver(self, message):
        self._inbox.put(message)

    def close(self):
        """Close the stream from this side."""
        self.abort(Reason.CANCELLED, "closed by this process")

    def abort(self, reason, detail):
        """Close the stream with a Failure of this Reason, unless it is closed."""
        if not self.is_open:
            return
        self.close_reason = Failure(reason, Step.RELAY, self.peer, detail)
        self._bridge.call_in_loop(self._write_requested.set)
        self._bridge.call_in_gevent(self._deliver, None)

    async def serve(self, stream):
        """Transfer messages between the stream and the queues until it is closed.

        Parameters
        ----------
        stream : grpclib.server.Stream or grpclib.client.Stream
        """
        tasks = [
            asyncio.ensure_future(self._write(stream)),
            asyncio.ensure_future(self._read(stream)),
            asyncio.ensure_future(self._exchange_heartbeats()),
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            errors = [task.exception() for task in done if task.exception()]
            detail = repr(errors[0]) if errors else "the peer closed the stream"
            self.abort(Reason.CONNECTION_LOST, detail)
        finally:
            self.abort(Reason.CONNECTION_LOST, "the connection ended")
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _write(self, stream):
        while self.is_open:
            await self._write_requested.wait()
            self._write_requested.clear()
            self._is_write_scheduled = False
            if self._is_heartbeat_due:
                self._is_heartbeat_due = False
                await self._send_batch(stream, EMPTY_BATCH)
            while self._outbox:
                await self._send_batch(stream, self._pop_batch())

    async def _send_batch(self, stream, batch):
        self.sent_bytes += len(batch)
        await stream.send_message(batch)

    def _pop_batch(self):
        count = min(len(self._outbox), BATCH_MESSAGES_MAX)
        encoded = [self._outbox.popleft() for _ in range(count)]
        self._outbox_bytes -= sum(map(len, encoded))
        return join_batch(encoded)

    async def _read(self, stream):
        while True:
            data = await self._receive_batch(stream)
            if data is None:
                return
            self._has_received_since_check = True
            if data == EMPTY_BATCH and not self._is_initiator:
                self._send_heartbeat()
            for message in decode_batch(data):
                self._bridge.call_in_gevent(self._deliver, message)

    async def _receive_batch(self, stream):
        if self._receiver is None:
            return await stream.recv_message()
        return await self._receiver.receive(stream)

    def _send_heartbeat(self):
        self._is_heartbeat_due = True
        self._write_requested.set()

    async def _exchange_heartbeats(self):
        missed_count = 0
        while missed_count <= MISSED_HEARTBEATS_MAX:
            await asyncio.sleep(self._settings.heartbeat_every_ms / 1000)
            is_silent = self.heartbeats_enabled and not self._has_received_since_check
            missed_count = missed_count + 1 if is_silent else 0
            self._has_received_since_check = False
            if is_silent:
                self._send_heartbeat()
        raise TimeoutError("no heartbeat from the peer")
