"""Answers of the store and of engines that break off or do not end."""

import json

import pytest

from nutmegdeal.addresses import Address
from nutmegdeal.clock import SystemClock
from nutmegdeal.connection_pool import ConnectionPool
from nutmegdeal.errors import Failure, Reason
from nutmegdeal.http_connections import ResponseHead
from nutmegdeal.order_kinds import OrderKind
from nutmegdeal.placer import engine
from nutmegdeal.placer.engine import EngineClient, OrderResult
from nutmegdeal.placer.orders import Order
from nutmegdeal.platform import store
from nutmegdeal.platform.store import StoreClient
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.scripted_server import ScriptedServer, reset, send_without_end

PAGE = json.dumps({"rows": [], "more_pages": False, "ver": 7, "now_ms": 0}).encode()
ORDER = Order(OrderKind.LOAD, "model", "a1")
ENDLESS_BODY = build.build_unframed_answer("-", b"")


@pytest.fixture(autouse=True)
def long_timeouts(monkeypatch):
    """Let calls wait for so long that an endless answer ends before."""
    monkeypatch.setattr(store, "CALL_TIMEOUT_MS", 10_000.0)
    monkeypatch.setattr(engine, "REPORT_TIMEOUT_MS", 10_000.0)
    monkeypatch.setattr(engine, "ORDER_TIMEOUT_MS", 10_000.0)


@pytest.fixture
def start_server():
    servers = []

    def start(answer):
        servers.append(ScriptedServer(answer))
        return Address(*servers[-1].address)

    yield start
    for server in servers:
        server.close()


def build_store_client(address):
    return StoreClient(address, ConnectionPool(SystemClock()))


def build_engine_client(address):
    return EngineClient(address, "node-1", ConnectionPool(SystemClock()))


def answer_once(data, end=lambda sock: False):
    """Return an answer that sends bytes and ends the connection."""

    def answer(sock, _request):
        sock.sendall(data)
        return end(sock)

    return answer


def test_unframed_page_of_rows_is_whole_when_its_connection_ends(start_server):
    address = start_server(answer_once(build.build_unframed_answer("-", PAGE)))
    assert build_store_client(address).read_table("op").position.version == 7


@pytest.mark.parametrize(
    ("data", "end"),
    [
        (build.build_unframed_answer("-", PAGE), reset),
        (build.build_unframed_answer("-", PAGE[:-9]), lambda sock: False),
        (build.build_plain_answer("-", PAGE)[:-9], lambda sock: False),
    ],
    ids=["reset", "unframed", "framed"],
)
def test_page_of_rows_that_breaks_off_is_a_failure(start_server, data, end):
    client = build_store_client(start_server(answer_once(data, end)))
    failure = client.read_table("op")
    assert isinstance(failure, Failure)
    assert failure.reason is Reason.STORE_UNAVAILABLE


def test_endless_page_of_rows_is_a_failure(start_server):
    answer, ended = send_without_end(ENDLESS_BODY, then=bytes(65_536))
    failure = build_store_client(start_server(answer)).read_table("op")
    assert "exceeds" in failure.detail
    assert ended.wait(10)


def test_page_that_is_nested_too_deeply_is_a_failure(start_server):
    answer = build.build_plain_answer("-", b"[" * 100_000)
    client = build_store_client(start_server(answer_once(answer, lambda sock: False)))
    assert isinstance(client.read_table("op"), Failure)


def test_endless_interim_heads_of_the_store_are_a_failure(start_server):
    answer, ended = send_without_end(then=b"HTTP/1.1 100 Continue\r\n\r\n")
    failure = build_store_client(start_server(answer)).read_table("op")
    assert "interim" in failure.detail
    assert ended.wait(10)


def test_endless_report_is_no_report(start_server):
    answer, ended = send_without_end(ENDLESS_BODY, then=bytes(65_536))
    assert build_engine_client(start_server(answer)).read_report() is None
    assert ended.wait(10)


@pytest.mark.parametrize("end", [reset, lambda sock: False])
def test_order_whose_answer_breaks_off_counts_as_unanswered(start_server, end):
    data = build.build_plain_answer("-", b"accepted", "202 Accepted")[:-2]
    client = build_engine_client(start_server(answer_once(data, end)))
    assert client.send_order(ORDER, 1) is OrderResult.UNANSWERED


def test_order_with_an_endless_answer_counts_as_unanswered(start_server):
    head = build.build_unframed_answer("-", b"", "202 Accepted")
    answer, ended = send_without_end(head, then=bytes(65_536))
    client = build_engine_client(start_server(answer))
    assert client.send_order(ORDER, 1) is OrderResult.UNANSWERED
    assert ended.wait(10)


class PagedPool:
    """Answers calls to the store with a table of two pages."""

    def __init__(self):
        self._row = {"key": "config", "value": "", "ver": 5}
        self._pages = [(True, 7, 1_000), (False, 8, 4_000)]

    def call(self, *arguments, **options):
        more_pages, version, now_ms = self._pages.pop(0)
        page = {"more_pages": more_pages, "ver": version, "now_ms": now_ms}
        body = json.dumps({**page, "rows": [self._row]}).encode()
        return ResponseHead(200, []), body


def test_table_of_several_pages_is_as_old_as_its_first_page():
    """Rows of the first page may have changed before the last one was read."""
    answer = StoreClient(Address("127.0.0.1", 1), PagedPool()).read_table("op")
    assert (answer.position.version, answer.as_of_ms) == (7, 1_000.0)
    assert (answer.store_ms, answer.has_more, len(answer.rows)) == (4_000.0, False, 2)
