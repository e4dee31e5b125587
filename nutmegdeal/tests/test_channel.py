"""Tests of streams between a ChannelClient and a ChannelServer, over loopback."""

import socket

import gevent
import gevent.event
import pytest

from nutmegdeal.addresses import Address
from nutmegdeal.channel import (
    ChannelClient,
    ChannelServer,
    enable_keepalive,
)
from nutmegdeal.errors import Failure, Reason
from nutmegdeal.messages import AnswerFrame
from nutmegdeal.settings import ChannelSettings

CONNECT_TIMEOUT_MS = 20_000
USER_TIMEOUT_MAX_MS = 120_000
SETTINGS = ChannelSettings(shared_secret="right")
FAST_HEARTBEATS = ChannelSettings(shared_secret="right", heartbeat_every_ms=100)


def echo(session):
    for message in session.messages():
        session.send(message)


@pytest.fixture
def server(bridge):
    server = ChannelServer(bridge, SETTINGS, echo)
    yield server
    server.stop(CONNECT_TIMEOUT_MS)


@pytest.fixture
def address(server):
    return server.start(Address("127.0.0.1", 0), CONNECT_TIMEOUT_MS)


def connect(bridge, address, settings=SETTINGS):
    return ChannelClient(bridge, settings).connect(address, CONNECT_TIMEOUT_MS)


def test_messages_arrive_once_and_in_order(bridge, address):
    session = connect(bridge, address)
    sent = [AnswerFrame("r-1.1", sequence, b"x" * 50) for sequence in range(2_000)]
    for message in sent:
        assert session.send(message)
    received = session.messages()
    assert [next(received) for _ in sent] == sent
    session.close()


def test_wrong_secret_is_refused(bridge, address):
    failure = connect(bridge, address, ChannelSettings(shared_secret="wrong"))
    assert isinstance(failure, Failure)
    assert failure.reason is Reason.UNAUTHENTICATED


def test_closed_port_returns_failure_with_peer(bridge, server, address):
    server.stop(CONNECT_TIMEOUT_MS)
    failure = connect(bridge, address)
    assert isinstance(failure, Failure)
    assert failure.reason is Reason.CONNECTION_LOST
    assert failure.peer == str(address)


def test_stopped_server_closes_client_session(bridge, server, address):
    session = connect(bridge, address)
    server.stop(CONNECT_TIMEOUT_MS)
    assert list(session.messages()) == []
    assert not session.is_open
    assert not session.send(AnswerFrame("r-1.1", 0, b""))


def discard_messages(session):
    """Read all messages and reply to nothing, not even to heartbeats."""
    session._send_heartbeat = lambda: None
    for _ in session.messages():
        pass


@pytest.fixture
def silent_address(bridge):
    server = ChannelServer(bridge, SETTINGS, discard_messages)
    yield server.start(Address("127.0.0.1", 0), CONNECT_TIMEOUT_MS)
    server.stop(CONNECT_TIMEOUT_MS)


def test_missed_heartbeats_close_the_session(bridge, silent_address):
    session = connect(bridge, silent_address, FAST_HEARTBEATS)
    session.heartbeats_enabled = True
    assert list(session.messages()) == []
    assert session.close_reason.reason is Reason.CONNECTION_LOST


def test_answered_heartbeats_keep_the_session_open(bridge, address):
    session = connect(bridge, address, FAST_HEARTBEATS)
    session.heartbeats_enabled = True
    while session.sent_bytes < 10:
        gevent.sleep(0.01)
    assert session.is_open
    session.close()


def test_idle_stream_sends_no_heartbeats(bridge, silent_address):
    session = connect(bridge, silent_address, FAST_HEARTBEATS)
    awaiting_session = connect(bridge, silent_address, FAST_HEARTBEATS)
    awaiting_session.heartbeats_enabled = True
    assert list(awaiting_session.messages()) == []
    assert session.is_open
    assert session.sent_bytes == 0
    session.close()


def test_accepted_connections_inherit_keepalive():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        enable_keepalive(listener)
        with socket.create_connection(listener.getsockname()):
            accepted, _ = listener.accept()
    with accepted:
        assert accepted.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        limit_ms = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert 0 < limit_ms <= USER_TIMEOUT_MAX_MS


def test_server_enables_keepalive(server, address):
    (listener,) = server._server._server.sockets
    assert listener.getsockname()[1] == address.port
    assert listener.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)


def test_full_outbox_closes_the_stream(bridge, address):
    small_outbox = ChannelSettings(shared_secret="right", outbox_bytes_max=65_536)
    session = connect(bridge, address, small_outbox)
    payload = b"x" * 32_768
    results = [
        session.send(AnswerFrame("r-1.1", sequence, payload)) for sequence in range(4)
    ]
    gevent.sleep(0)
    assert results[-1] is False
    assert session.close_reason.reason is Reason.OVERLOADED


def test_stream_has_room_until_half_of_the_outbox_is_full(bridge, address):
    small_outbox = ChannelSettings(shared_secret="right", outbox_bytes_max=65_536)
    session = connect(bridge, address, small_outbox)
    assert session.has_room
    for sequence in range(2):
        session.send(AnswerFrame("r-1.1", sequence, b"x" * 20_000))
    assert not session.has_room
    session.close()
    assert session.has_room


@pytest.mark.promise(4)
def test_message_that_overflows_the_outbox_is_never_sent(bridge):
    received = []
    is_closed = gevent.event.Event()

    def collect(session):
        received.extend(session.messages())
        is_closed.set()

    server = ChannelServer(bridge, SETTINGS, collect)
    address = server.start(Address("127.0.0.1", 0), CONNECT_TIMEOUT_MS)
    small_outbox = ChannelSettings(shared_secret="right", outbox_bytes_max=65_536)
    session = connect(bridge, address, small_outbox)
    assert not session.send(AnswerFrame("r-1.1", 0, b"x" * 70_000))
    assert not session.is_open
    assert is_closed.wait(CONNECT_TIMEOUT_MS / 1000)
    server.stop(CONNECT_TIMEOUT_MS)
    assert received == []
