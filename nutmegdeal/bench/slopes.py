"""Measures how memory, CPU time and message sizes grow with the size of a fleet.

Each cost is measured for two numbers of adapters, hosts or streams; the slope is the
cost of one more item. Memory is what Python allocates, as tracemalloc reports it.
"""

import gc
import json
import time
import tracemalloc

import attrs
import gevent

from nutmegdeal.addresses import Address
from nutmegdeal.bridges import GreenletBridge
from nutmegdeal.channel import ChannelClient, ChannelServer
from nutmegdeal.configuration import AdapterPolicy
from nutmegdeal.entry.ranking_cache import RankingCache
from nutmegdeal.messages import (
    AgentReport,
    GenerationNotice,
    LoadHint,
    encode_message,
    join_batch,
)
from nutmegdeal.services.hosts import Host, decode_hosts
from nutmegdeal.settings import ChannelSettings

ADAPTER_COUNTS = (3_000, 37_000)
HOST_COUNTS = (10, 10_000)
STREAM_COUNTS = (10, 200)
RANKED_KEY_COUNT = 200
RESIDENT_COUNT = 8
CONNECT_COUNT = 200
TIMEOUT_MS = 60_000
NS_PER_US = 1_000


@attrs.frozen
class Slope:
    """Cost for two numbers of items, and the cost of one more item.

    Parameters
    ----------
    name, unit : str
    small_count, large_count : int
    small_cost, large_cost : float
    """

    name: str
    unit: str
    small_count: int
    large_count: int
    small_cost: float
    large_cost: float

    @property
    def per_item(self):
        """Cost of one more item (float)."""
        count = self.large_count - self.small_count
        return (self.large_cost - self.small_cost) / count


@attrs.frozen
class MessageSize:
    """Encoded size of a control message, one that is not part of a request."""

    name: str
    size_bytes: int


def measure_allocated_bytes(build):
    """Return the memory in bytes that the result of ``build()`` takes."""
    gc.collect()
    tracemalloc.start()
    result = build()
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return size_bytes


def measure_slope(name, unit, counts, measure):
    """Return the Slope of ``measure(count)`` between two counts."""
    small, large = counts
    return Slope(name, unit, small, large, measure(small), measure(large))


def build_adapters(count):
    """Return the `adapters` of a Configuration (dict of AdapterPolicy by name)."""
    names = (f"quote-{number:05}" for number in range(count))
    return {name: AdapterPolicy(name, "assist-llm", ("1", "2"), "2") for name in names}


def build_hosts(count):
    """Return a dict of Host by host id, and a RankingCache of these hosts."""
    hosts = {
        f"assist-llm-{number}": Host(
            f"assist-llm-{number}", "assist-llm", "dk-west-1", "127.0.0.1", number
        )
        for number in range(count)
    }
    ranking_cache = RankingCache()
    ranking_cache.replace_members(hosts)
    return hosts, ranking_cache


def encode_hosts(count):
    """Return the JSON answer of the host list service (bytes)."""
    hosts, _ = build_hosts(count)
    entries = [
        {**attrs.asdict(host), "state": host.state.value} for host in hosts.values()
    ]
    return json.dumps({"hosts": entries}).encode()


def measure_host_list_bytes(count):
    """Return the size in bytes of the answer of the host list service."""
    return len(encode_hosts(count))


def measure_host_list_decoding_us(count):
    """Return the CPU time in us to decode the answer of the host list service."""
    body = encode_hosts(count)
    started_ns = time.process_time_ns()
    decode_hosts(json.loads(body))
    return (time.process_time_ns() - started_ns) / NS_PER_US


def measure_first_ranking_us(host_count):
    """Return the time in us to rank the hosts for an adapter that is not cached."""
    _, ranking_cache = build_hosts(host_count)
    started_ns = time.perf_counter_ns()
    for number in range(RANKED_KEY_COUNT):
        ranking_cache.rank(f"quote-{number:05}@2")
    return (time.perf_counter_ns() - started_ns) / RANKED_KEY_COUNT / NS_PER_US


def measure_repeated_ranking_us(host_count):
    """Return the time in us to rank the hosts for an adapter that is cached."""
    _, ranking_cache = build_hosts(host_count)
    ranking_cache.rank("quote-00000@2")
    started_ns = time.perf_counter_ns()
    for _ in range(RANKED_KEY_COUNT):
        ranking_cache.rank("quote-00000@2")
    return (time.perf_counter_ns() - started_ns) / RANKED_KEY_COUNT / NS_PER_US


def measure_ranking_bytes(key_count):
    """Return the memory in bytes of the cached rankings of adapters at 10,000 hosts."""
    _, ranking_cache = build_hosts(HOST_COUNTS[1])

    def rank():
        for number in range(key_count):
            ranking_cache.rank(f"quote-{number:05}@2")

    return measure_allocated_bytes(rank)


def measure_stream_bytes(bridge, count):
    """Return the memory in bytes of open streams, client and server together."""
    settings = ChannelSettings(shared_secret="bench")

    def discard_messages(session):
        for _ in session.messages():
            pass

    server = ChannelServer(bridge, settings, discard_messages)
    address = server.start(Address("127.0.0.1", 0), TIMEOUT_MS)
    client = ChannelClient(bridge, settings)
    sessions = []

    def connect():
        sessions.extend(client.connect(address, TIMEOUT_MS) for _ in range(count))
        gevent.sleep(0)
        return sessions

    size_bytes = measure_allocated_bytes(connect)
    for session in sessions:
        session.close()
    server.stop(TIMEOUT_MS)
    return size_bytes


def measure_connect_cpu_us(bridge):
    """Return the CPU time in us to open a stream, client and server together."""
    settings = ChannelSettings(shared_secret="bench")
    server = ChannelServer(bridge, settings, lambda session: None)
    address = server.start(Address("127.0.0.1", 0), TIMEOUT_MS)
    client = ChannelClient(bridge, settings)
    started_ns = time.process_time_ns()
    for _ in range(CONNECT_COUNT):
        client.connect(address, TIMEOUT_MS)
    cpu_ns = time.process_time_ns() - started_ns
    server.stop(TIMEOUT_MS)
    return cpu_ns / CONNECT_COUNT / NS_PER_US


def measure_slopes():
    """Return the Slopes of all measured costs (tuple)."""
    bridge = GreenletBridge()
    connect_us = measure_connect_cpu_us(bridge)
    return (
        Slope("opening streams, both ends", "us", 0, 1, 0.0, connect_us),
        measure_slope(
            "configuration",
            "bytes",
            ADAPTER_COUNTS,
            lambda count: measure_allocated_bytes(lambda: build_adapters(count)),
        ),
        measure_slope(
            "host list",
            "bytes",
            HOST_COUNTS,
            lambda count: measure_allocated_bytes(lambda: build_hosts(count)),
        ),
        measure_slope("homes kept", "bytes", (10, 110), measure_ranking_bytes),
        measure_slope("first ranking", "us", HOST_COUNTS, measure_first_ranking_us),
        measure_slope("ranking again", "us", HOST_COUNTS, measure_repeated_ranking_us),
        measure_slope(
            "host list as JSON", "bytes", HOST_COUNTS, measure_host_list_bytes
        ),
        measure_slope(
            "reading the host list", "us", HOST_COUNTS, measure_host_list_decoding_us
        ),
        measure_slope(
            "streams, both ends",
            "bytes",
            STREAM_COUNTS,
            lambda count: measure_stream_bytes(bridge, count),
        ),
    )


def measure_messages():
    """Return the MessageSize of each control message (tuple)."""
    resident = tuple(f"quote-{number:04}@2" for number in range(RESIDENT_COUNT))
    report = AgentReport(
        "assist-llm-0",
        "a1b2c3d4e5f6",
        "assist-llm",
        "dk-west-1",
        3,
        resident=resident,
        valid_until_unix_ms=1_796_336_413_265,
    )
    messages = (report, LoadHint(3, 8, 12, 250), GenerationNotice(3))
    return tuple(
        MessageSize(type(each).__name__, len(join_batch([encode_message(each)])))
        for each in messages
    )
