"""Which connections are closed to make room for new ones."""

import math

import pytest

from nutmegdeal.buffering import connections
from nutmegdeal.buffering.connections import ConnectionBound, ConnectionState
from nutmegdeal.buffering.process_limits import (
    STREAM_BYTES,
    compute_connections_max,
    compute_idle_servers_max,
)


class RecordingSocket:
    """Records whether it was shut down."""

    def __init__(self):
        self.is_shut_down = False

    def shutdown(self, _how):
        self.is_shut_down = True


def open_all(bound, states):
    """Return the sockets of connections that enter states one after another."""
    socks = []
    for state in states:
        socks.append(RecordingSocket())
        bound.open(socks[-1]).enter(state)
    return socks


def find_closed(socks):
    return [index for index, sock in enumerate(socks) if sock.is_shut_down]


@pytest.fixture
def now_s(monkeypatch):
    """Return a list with the time, which tests may change."""
    now = [100.0]
    monkeypatch.setattr(connections.time, "monotonic", lambda: now[0])
    return now


@pytest.mark.parametrize(
    ("states", "closed"),
    [
        ("idle idle idle", 0),
        ("receiving idle idle", 1),
        ("idle closing receiving", 1),
        ("serving receiving receiving", 1),
        ("serving serving idle", 2),
    ],
)
def test_connection_that_is_most_at_fault_makes_room(now_s, states, closed):
    bound = ConnectionBound(3)
    socks = open_all(bound, map(ConnectionState, states.split()))
    assert bound.open(RecordingSocket()) is not None
    assert find_closed(socks) == [closed]


def test_connections_that_are_served_stay(now_s):
    bound = ConnectionBound(2)
    socks = open_all(bound, [ConnectionState.SERVING] * 2)
    assert bound.open(RecordingSocket()) is None
    assert find_closed(socks) == []


def test_client_that_does_not_read_makes_room_only_after_a_while(now_s):
    bound = ConnectionBound(1)
    socks = open_all(bound, [ConnectionState.SENDING])
    assert bound.open(RecordingSocket()) is None
    now_s[0] += 1.0
    assert bound.open(RecordingSocket()) is not None
    assert find_closed(socks) == [0]


def test_progress_protects_a_client_and_single_bytes_do_not(now_s):
    bound = ConnectionBound(2)
    socks = [RecordingSocket(), RecordingSocket()]
    sending, dripping = map(bound.open, socks)
    for opened in (sending, dripping):
        opened.enter(ConnectionState.RECEIVING)
    dripping.record_received(1)
    sending.record_received(connections.PROGRESS_BYTES)
    assert bound.open(RecordingSocket()) is not None
    assert find_closed(socks) == [1]


def test_burst_opens_no_more_until_closed_connections_have_ended(now_s):
    bound = ConnectionBound(2 * connections.ENDING_MAX)
    opened = [bound.open(RecordingSocket()) for _ in range(3 * connections.ENDING_MAX)]
    assert None not in opened
    assert bound.open(RecordingSocket()) is None
    opened[0].end()
    assert bound.open(RecordingSocket()) is not None


def test_ended_connections_do_not_count(now_s):
    bound = ConnectionBound(1)
    for _ in range(10):
        opened = bound.open(RecordingSocket())
        opened.enter(ConnectionState.SERVING)
        opened.end()
        opened.enter(ConnectionState.IDLE)
    assert bound.open_count == 0


@pytest.mark.parametrize("memory_mb", [None, 160.0, 300.0, 552.0])
@pytest.mark.parametrize("descriptors_max", [1_638, 4_100, 10_250, math.inf])
def test_bounds_leave_descriptors_and_more_connections_than_an_installation_has(
    memory_mb, descriptors_max
):
    """The users' pages name no more than 115 clients in a zone."""
    connections_max = compute_connections_max(memory_mb, descriptors_max)
    assert connections_max > 115
    idle_servers_max = compute_idle_servers_max(descriptors_max)
    if descriptors_max < math.inf:
        assert connections_max * 2 + idle_servers_max <= descriptors_max - 200


def test_placers_have_room_for_the_gateways_of_the_size_to_design_for():
    """720 nodes in front, and the smallest hosts of engines on the users' pages."""
    assert compute_connections_max(232.0, 4_096, STREAM_BYTES) >= 720
