"""Measures two ways to run grpclib with gevent: its loop in a greenlet or on a thread.

Each bridge carries echo round trips over one stream, queued frames over one stream, and
one unary call per message. Client and server run in this process, so the results are
the costs of both together.
"""

import asyncio
import time

import attrs
import gevent
from gevent import monkey
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.server import Server

from nutmegdeal.addresses import Address
from nutmegdeal.bridges import Bridge, GreenletBridge
from nutmegdeal.channel import BytesCodec, ChannelClient, ChannelServer
from nutmegdeal.messages import (
    AnswerFrame,
    decode_batch,
    encode_message,
    join_batch,
)
from nutmegdeal.settings import ChannelSettings

CALL_PATH = "/nutmegdeal.Bench/Call"
PAYLOAD_BYTES = 200
TIMEOUT_MS = 120_000


class ThreadBridge(Bridge):
    """Runs the asyncio loop on a native thread of its own."""

    def __init__(self):
        selector_class = monkey.get_original("selectors", "EpollSelector")
        self.loop = asyncio.SelectorEventLoop(selector_class())
        self._hub_loop = gevent.get_hub().loop
        gevent.get_hub().threadpool.spawn(self.loop.run_forever)

    def call_in_loop(self, function, *arguments):
        """Schedule a function on the thread of the asyncio loop."""
        self.loop.call_soon_threadsafe(function, *arguments)

    def call_in_gevent(self, function, *arguments):
        """Schedule a function on the thread of gevent."""
        self._hub_loop.run_callback_threadsafe(function, *arguments)


@attrs.frozen
class BridgeCost:
    """Cost per message, client and server together.

    Parameters
    ----------
    bridge : str
        ``greenlet`` or ``thread``.
    way : str
        How messages are exchanged.
    message_count : int
    elapsed_us, cpu_us : float
        Elapsed and CPU time per message.
    """

    bridge: str
    way: str
    message_count: int
    elapsed_us: float
    cpu_us: float


class UnaryEcho:
    """gRPC service that answers each call with its request."""

    def __mapping__(self):
        """Return the method handlers, for grpclib."""
        handler = Handler(self._call, Cardinality.UNARY_UNARY, bytes, bytes)
        return {CALL_PATH: handler}

    async def _call(self, stream):
        data = await stream.recv_message()
        await stream.send_message(join_batch(encode_messages(decode_batch(data))))


def encode_messages(messages):
    """Return a list of the encoded messages."""
    return [encode_message(message) for message in messages]


def echo(session):
    """Send every message of a session back."""
    for message in session.messages():
        session.send(message)


def build_frame(sequence):
    """Return an AnswerFrame with `PAYLOAD_BYTES` of payload."""
    return AnswerFrame("a1b2c3d4e5f6-1.1", sequence, b"x" * PAYLOAD_BYTES)


def measure(bridge_name, way, count, exchange_messages):
    """Return the BridgeCost of ``exchange_messages(count)``."""
    started_s, started_cpu_s = time.perf_counter(), time.process_time()
    exchange_messages(count)
    elapsed_s = time.perf_counter() - started_s
    cpu_s = time.process_time() - started_cpu_s
    return BridgeCost(
        bridge_name, way, count, elapsed_s / count * 1e6, cpu_s / count * 1e6
    )


def measure_stream(bridge_name, bridge, count):
    """Return the costs of round trips and of queued frames over one stream."""
    settings = ChannelSettings(shared_secret="bench")
    server = ChannelServer(bridge, settings, echo)
    address = server.start(Address("127.0.0.1", 0), TIMEOUT_MS)
    session = ChannelClient(bridge, settings).connect(address, TIMEOUT_MS)
    received = session.messages()

    def exchange_one_by_one(count):
        for sequence in range(count):
            session.send(build_frame(sequence))
            next(received)

    def exchange_queued(count):
        for sequence in range(count):
            session.send(build_frame(sequence))
        for _ in range(count):
            next(received)

    costs = (
        measure(bridge_name, "stream round trip", count, exchange_one_by_one),
        measure(bridge_name, "stream queued", count * 10, exchange_queued),
    )
    session.close()
    server.stop(TIMEOUT_MS)
    return costs


async def start_unary_server():
    """Start a UnaryEcho server; return it and its port."""
    server = Server([UnaryEcho()], codec=BytesCodec())
    await server.start("127.0.0.1", 0)
    return server, server._server.sockets[0].getsockname()[1]


def measure_calls(bridge_name, bridge, count):
    """Return the cost of sequential unary calls, one per message."""
    server, port = bridge.run(start_unary_server(), TIMEOUT_MS)
    channel = bridge.run(open_channel(port), TIMEOUT_MS)
    method = UnaryUnaryMethod(channel, CALL_PATH, bytes, bytes)

    def exchange_messages(count):
        for sequence in range(count):
            data = join_batch([encode_message(build_frame(sequence))])
            decode_batch(bridge.run(method(data), TIMEOUT_MS))

    cost = measure(bridge_name, "call", count, exchange_messages)
    bridge.call_in_loop(channel.close)
    bridge.call_in_loop(server.close)
    return cost


async def open_channel(port):
    """Return a grpclib Channel; must run in the loop that uses it."""
    return Channel("127.0.0.1", port, codec=BytesCodec())


def measure_bridges(count=2_000):
    """Return the BridgeCosts of both bridges (list)."""
    costs = []
    for name, bridge_class in (("greenlet", GreenletBridge), ("thread", ThreadBridge)):
        bridge = bridge_class()
        costs.extend(measure_stream(name, bridge, count))
        costs.append(measure_calls(name, bridge, count))
        bridge.call_in_loop(bridge.loop.stop)
    return costs
