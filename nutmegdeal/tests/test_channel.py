"""Tests of the stream between an entry and an agent, over loopback."""

import socket

import gevent
import gevent.event
import pytest

from nutmegdeal.addresses import Address
from nutmegdeal.channel import (
    ChannelClient,
    ChannelServer,
    probe_connections,
)
from nutmegdeal.errors import Failure, Reason
from nutmegdeal.messages import AnswerFrame
from nutmegdeal.settings import ChannelSettings

CONNECT_WITHIN_MS = 20_000
UNANSWERED_MAX_MS = 120_000
SETTINGS = ChannelSettings(shared_secret="right")
EAGER = ChannelSettings(shared_secret="right", heartbeat_every_ms=100)


def echo(session):
    for message in session.messages():
        session.send(message)


@pytest.fixture
def server(bridge):
    server = ChannelServer(bridge, SETTINGS, echo)
    yield server
    server.stop(CONNECT_WITHIN_MS)


@pytest.fixture
def address(server):
    return server.start(Address("127.0.0.1", 0), CONNECT_WITHIN_MS)


def connect(bridge, address, settings=SETTINGS):
    return ChannelClient(bridge, settings).connect(address, CONNECT_WITHIN_MS)


def test_messages_arrive_once_and_in_order(bridge, address):
    session = connect(bridge, address)
    sent = [AnswerFrame("r-1.1", number, b"x" * 50) for number in range(2_000)]
    for message in sent:
        assert session.send(message)
    received = session.messages()
    assert [next(received) for _ in sent] == sent
    session.close()


def test_wrong_secret_is_refused(bridge, address):
    failure = connect(bridge, address, ChannelSettings(shared_secret="wrong"))
    assert isinstance(failure, Failure)
    assert failure.reason is Reason.UNAUTHENTICATED


def test_closed_port_is_a_failure_naming_the_peer(bridge, server, address):
    server.stop(CONNECT_WITHIN_MS)
    failure = connect(bridge, address)
    assert isinstance(failure, Failure)
    assert failure.reason is Reason.CONNECTION_LOST
    assert failure.peer == str(address)


def test_stopping_the_server_ends_the_clients_session(bridge, server, address):
    session = connect(bridge, address)
    server.stop(CONNECT_WITHIN_MS)
    assert list(session.messages()) == []
    assert not session.is_open
    assert not session.send(AnswerFrame("r-1.1", 0, b""))


def swallow(session):
    """Read everything and answer nothing, not even heartbeats."""
    session._send_heartbeat = lambda: None
    for _ in session.messages():
        pass


@pytest.fixture
def silent_address(bridge):
    server = ChannelServer(bridge, SETTINGS, swallow)
    yield server.start(Address("127.0.0.1", 0), CONNECT_WITHIN_MS)
    server.stop(CONNECT_WITHIN_MS)


def test_a_peer_that_never_answers_is_noticed(bridge, silent_address):
    session = connect(bridge, silent_address, EAGER)
    session.is_awaiting = True
    assert list(session.messages()) == []
    assert session.close_reason.reason is Reason.CONNECTION_LOST


def test_a_live_peer_answers_heartbeats_while_an_answer_is_awaited(bridge, address):
    session = connect(bridge, address, EAGER)
    session.is_awaiting = True
    while session.sent_bytes < 10:
        gevent.sleep(0.01)
    assert session.is_open
    session.close()


def test_an_idle_stream_sends_nothing(bridge, silent_address):
    session = connect(bridge, silent_address, EAGER)
    busy = connect(bridge, silent_address, EAGER)
    busy.is_awaiting = True
    assert list(busy.messages()) == []
    assert session.is_open
    assert session.sent_bytes == 0
    session.close()


def test_accepted_connections_of_vanished_peers_are_probed():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        probe_connections(listener)
        with socket.create_connection(listener.getsockname()):
            accepted, _ = listener.accept()
    with accepted:
        assert accepted.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        limit_ms = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert 0 < limit_ms <= UNANSWERED_MAX_MS


def test_the_server_has_its_connections_probed(server, address):
    (listener,) = server._server._server.sockets
    assert listener.getsockname()[1] == address.port
    assert listener.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)


def test_a_peer_that_does_not_read_closes_the_stream(bridge, address):
    small = ChannelSettings(shared_secret="right", outbox_bytes_max=65_536)
    session = connect(bridge, address, small)
    payload = b"x" * 32_768
    results = [
        session.send(AnswerFrame("r-1.1", number, payload)) for number in range(4)
    ]
    gevent.sleep(0)
    assert results[-1] is False
    assert session.close_reason.reason is Reason.OVERLOADED


@pytest.mark.promise(4)
def test_message_that_overflows_the_outbox_is_never_sent(bridge):
    received = []
    is_over = gevent.event.Event()

    def collect(session):
        received.extend(session.messages())
        is_over.set()

    server = ChannelServer(bridge, SETTINGS, collect)
    address = server.start(Address("127.0.0.1", 0), CONNECT_WITHIN_MS)
    small = ChannelSettings(shared_secret="right", outbox_bytes_max=65_536)
    session = connect(bridge, address, small)
    assert not session.send(AnswerFrame("r-1.1", 0, b"x" * 70_000))
    assert not session.is_open
    assert is_over.wait(CONNECT_WITHIN_MS / 1000)
    server.stop(CONNECT_WITHIN_MS)
    assert received == []
