"""A server writes an earlier answer once more, before the answer that is due."""

import time

import pytest

from nutmegdeal.clock import SystemClock
from nutmegdeal.connection_pool import ConnectionPool
from nutmegdeal.gateway.requests import RunFate
from nutmegdeal.http_connections import REQUEST_IDS_MAX
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.scripted_server import ScriptedServer, repeat_answers

NOT_EXECUTED = "X-Not-Executed: 1\r\n"
REFUSAL = build.build_plain_answer(
    "q-1", b"full", "503 Service Unavailable", NOT_EXECUTED
)
MISDIRECTED = build.build_plain_answer("q-1", b"", "421 Misdirected Request")
EARLIER_ANSWERS = {
    "503": REFUSAL,
    "429": build.build_plain_answer("q-1", b"", "429 Slow Down", NOT_EXECUTED),
    "421": MISDIRECTED,
    "400": build.build_plain_answer("q-1", b"", "400 Bad Request", NOT_EXECUTED),
    "500": build.build_plain_answer("q-1", b"failed", "500 Internal Server Error"),
    "200": build.build_plain_answer("q-1", b"to an earlier attempt"),
}
ROUTES = {
    "unsafe": build.build_booking_route(),
    "safe": build.build_lookup_route(),
    "stream": build.build_route(),
}
BOOKED = build.build_plain_answer("q-1", b"seat 4")
STREAM = build.build_stream_answer("q-1", range(3))
ANSWERS_DUE = {"unsafe": BOOKED, "safe": BOOKED, "stream": STREAM}


@pytest.mark.parametrize("kind", ROUTES)
@pytest.mark.parametrize("earlier", EARLIER_ANSWERS.values(), ids=EARLIER_ANSWERS)
def test_copy_of_an_earlier_answer_is_not_that_of_the_next_attempt(
    start_harness, earlier, kind
):
    """A caller that used its id again got the answer to its earlier attempt."""
    harness = start_harness(repeat_answers([earlier, ANSWERS_DUE[kind]]))
    harness.run(ROUTES[kind])
    harness.responder.__init__()
    assert harness.run(ROUTES[kind]).fate is RunFate.COMPLETED
    assert b"earlier" not in harness.responder.body


@pytest.mark.parametrize("kind", ROUTES)
def test_request_that_ran_is_not_taken_for_refused(start_dispatcher, kind):
    """A request ran twice, or was refused although it had run.

    The gateway sent it to the server that had refused it again, on the same connection,
    where a second copy of the refusal came before the answer.
    """
    answer = repeat_answers([REFUSAL, ANSWERS_DUE[kind], REFUSAL])
    harness = start_dispatcher([answer], route=ROUTES[kind])
    harness.call()
    assert harness.responder.status_code == 200
    assert len(harness.servers[0].requests) == 2


def test_request_that_ran_is_not_taken_for_misdirected(start_dispatcher):
    """The same after a 421, which lets the same engine load the adapter again."""
    harness = start_dispatcher([repeat_answers([MISDIRECTED, STREAM, MISDIRECTED])])

    def load_again():
        harness.members[0].set_resident(["a7@1"])

    harness.board.waiters.wait = lambda adapter, within_ms: load_again()
    harness.call()
    assert harness.responder.body == build.build_events(range(3))
    assert len(harness.servers[0].requests) == 2


class TestConnectionPool:
    """Connections that carry each request id once."""

    @pytest.fixture
    def server(self):
        server = ScriptedServer(lambda sock, request: sock.sendall(BOOKED))
        yield server
        server.close()

    @pytest.fixture
    def pool(self):
        return ConnectionPool(SystemClock())

    def exchange(self, connection):
        """Send a request; return the head of its answer."""
        deadline_ms = (time.monotonic() + 20.0) * 1000
        connection.send(b"GET", b"/", [(b"host", b"x")])
        head = connection.read_head(deadline_ms)
        connection.read_body(deadline_ms, bytes_max=100)
        return head

    def use(self, pool, server, *request_ids):
        """Use connections at the same time; return them."""
        connections = [
            pool.acquire(server.address, request_id=item) for item in request_ids
        ]
        for connection in connections:
            pool.release(connection, self.exchange(connection))
        return connections

    def test_other_requests_use_a_connection_again(self, pool, server):
        first = self.use(pool, server, "q-1")
        assert self.use(pool, server, "q-2") == first

    def test_idle_connection_below_one_with_the_same_id_is_used(self, pool, server):
        first, second = self.use(pool, server, "q-1", "q-2")
        assert self.use(pool, server, "q-2", "q-1") == [first, second]

    def test_connection_carries_no_more_requests_than_it_remembers(self, pool, server):
        for number in range(REQUEST_IDS_MAX):
            self.use(pool, server, f"q-{number}")
        assert server.connection_count == 1
        self.use(pool, server, "q-last")
        assert server.connection_count == 2
