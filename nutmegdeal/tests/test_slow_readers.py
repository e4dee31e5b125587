"""Callers that read or send slowly, over real sockets, and the bound on held bytes."""

import socket

import gevent
import gevent.event
import gevent.socket
import pytest
from structlog.testing import capture_logs

from nutmegdeal import caller_connections
from nutmegdeal.buffering.accounts import HeldPart
from nutmegdeal.buffering.bound import MemoryBound
from nutmegdeal.buffering.connections import STALLED_AFTER_MS
from nutmegdeal.clock import SystemClock
from nutmegdeal.http_connections import USER_TIMEOUT_MS
from nutmegdeal.incoming_requests import CallerLeftError, CallerShedError
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.caller_sockets import REQUEST, TIMEOUT_S, connect, read_all
from nutmegdeal.tests.platform_site import wait_until

# Larger than what the sockets of both ends buffer.
ANSWER_BYTES = 12_000_000
SMALL_BYTES = 2_000
BODY_BYTES = 60_000
PLAIN_BYTES = 1_000_000


def answer_by_path(request, responder):
    """Respond with a large body to /a, and with a small one to others."""
    is_large = request.target == b"/a"
    responder.reply(200, [], bytes(ANSWER_BYTES if is_large else SMALL_BYTES))


def connect_slowly(listener):
    """Return a socket of a caller that has little room for an answer."""
    sock = gevent.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.settimeout(TIMEOUT_S)
    sock.connect(("127.0.0.1", listener.port))
    return sock


def call(listener, target):
    """Return the whole answer to a request on a connection of its own."""
    sock = connect(listener)
    sock.sendall(REQUEST.replace(b"/a", target).replace(b"\r\n\r\n", b"\r\n"))
    sock.sendall(b"Connection: close\r\n\r\n")
    answer = read_all(sock)
    sock.close()
    return answer


class TestWriting:
    """One caller that does not read its large answer, and others that do."""

    def test_caller_that_does_not_read_is_cut_off_and_others_are_served(
        self, start_listener
    ):
        memory = MemoryBound(ANSWER_BYTES + SMALL_BYTES, SystemClock())
        listener = start_listener(answer_by_path, memory=memory)
        idle = connect_slowly(listener)
        idle.sendall(REQUEST)
        wait_until(lambda: memory.held_bytes > ANSWER_BYTES // 2)
        answers = [call(listener, target) for target in (b"/b", b"/a", b"/b")]
        assert [len(item.partition(b"\r\n\r\n")[2]) for item in answers] == [
            SMALL_BYTES,
            ANSWER_BYTES,
            SMALL_BYTES,
        ]
        # The answer that broke off must not look complete.
        received = read_all(idle)
        assert b"content-length: %d" % ANSWER_BYTES in received.lower()
        assert len(received) < ANSWER_BYTES
        wait_until(lambda: memory.held_bytes == 0)

    @pytest.mark.parametrize("bytes_max", [None, 3 * ANSWER_BYTES])
    def test_below_the_bound_a_caller_may_read_late(self, start_listener, bytes_max):
        memory = MemoryBound(bytes_max, SystemClock())
        listener = start_listener(answer_by_path, memory=memory)
        late = connect_slowly(listener)
        late.sendall(REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        assert len(call(listener, b"/a")) > ANSWER_BYTES
        assert len(read_all(late)) > ANSWER_BYTES
        wait_until(lambda: memory.held_bytes == 0)

    def test_caller_that_stops_reading_for_seconds_gets_its_whole_answer(
        self, start_listener
    ):
        # Guards against a reset by the system, which takes a caller whose window stays
        # closed for one that has vanished.
        memory = MemoryBound(3 * ANSWER_BYTES, SystemClock())
        listener = start_listener(answer_by_path, memory=memory)
        late = connect_slowly(listener)
        late.sendall(REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        gevent.sleep(1.5 * USER_TIMEOUT_MS / 1000)
        assert len(read_all(late)) > ANSWER_BYTES


class TestBodies:
    """Callers that send their bodies slowly."""

    def send_part(self, listener, target=b"/b"):
        sock = connect_slowly(listener)
        sock.sendall(
            b"POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            % (target, BODY_BYTES + 1)
        )
        sock.sendall(bytes(BODY_BYTES))
        return sock

    def test_request_that_was_not_read_is_refused_and_may_be_sent_again(
        self, start_listener
    ):
        memory = MemoryBound(2 * BODY_BYTES + 3 * SMALL_BYTES, SystemClock())
        listener = start_listener(answer_by_path, memory=memory)
        first, second = self.send_part(listener), self.send_part(listener)
        wait_until(lambda: memory.held_bytes >= 2 * BODY_BYTES)
        # Only callers that have sent nothing for a while are refused for others.
        gevent.sleep(1.2 * STALLED_AFTER_MS / 1000)
        third = self.send_part(listener)
        answer = first.recv(65_536)
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"retry-after: 1\r\n" in answer.lower()
        for sock in (second, third):
            sock.sendall(b"x")
            assert sock.recv(65_536).startswith(b"HTTP/1.1 200 ")


class TestExchange:
    """What is held while a server's answer is read."""

    def run(self, start_harness, answer, route, **changes):
        """Run a request; return its account, and the most that was held."""
        memory = MemoryBound(10_000_000, SystemClock())
        account = memory.open_account(None)
        peaks = {}

        class Account:
            """Records the largest amounts."""

            def set(self, part, bytes_count, holder=None):
                peaks[part] = max(peaks.get(part, 0), bytes_count)
                account.set(part, bytes_count, holder)

            release = account.release

        incoming = build.build_incoming(held=Account(), **changes)
        start_harness(answer).run(route, incoming=incoming)
        return account, peaks

    def test_plain_answer_and_its_request_are_counted(self, start_harness):
        def answer(sock, request):
            sock.sendall(build.build_plain_answer("q-1", bytes(5_000)))

        route = build.build_lookup_route()
        account, peaks = self.run(start_harness, answer, route, body=bytes(700))
        assert peaks == {HeldPart.SENDING: 700, HeldPart.ANSWER: 5_000}
        assert account.held_bytes == 0

    def test_events_are_counted_until_they_are_written(self, start_harness):
        def answer(sock, request):
            sock.sendall(build.build_stream_answer("q-1", [1, 2, 3]))

        account, peaks = self.run(start_harness, answer, build.build_route())
        assert peaks[HeldPart.EVENTS] >= len(build.build_event(1))
        assert account.held_bytes == 0

    def test_failure_is_counted_as_long_as_it_may_be_the_final_answer(
        self, start_harness
    ):
        def answer(sock, request):
            failure = build.build_plain_answer("q-1", bytes(300), "500 Error")
            sock.sendall(failure)

        route = build.build_lookup_route()
        account, peaks = self.run(start_harness, answer, route)
        assert peaks[HeldPart.ANSWER] == 300
        assert account.held_bytes == 300


class TestOutcome:
    """What becomes of the requests of a gateway at its bound."""

    @pytest.fixture(autouse=True)
    def limit_send_buffers(self, monkeypatch):
        """Keep the system from buffering whole answers for the gateway."""

        def configure(sock):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)

        monkeypatch.setattr(caller_connections, "configure_socket", configure)

    def start(self, start_dispatcher, start_listener, answer, bytes_max, **options):
        """Return the harness, and a listener that serves its dispatcher."""
        harness = start_dispatcher([answer], **options)
        memory = MemoryBound(bytes_max, SystemClock())
        return harness, memory, start_listener(harness.dispatcher, memory=memory)

    def send(self, listener, prefix, body=b""):
        """Send a request of a caller that has little room for an answer."""
        sock = connect_slowly(listener)
        sock.sendall(
            b"POST %s1 HTTP/1.1\r\nHost: chat.example\r\nX-Request-Id: q-1\r\n"
            b"X-Deadline-Ms: 20000\r\nContent-Length: %d\r\n\r\n%s"
            % (prefix, len(body), body)
        )
        return sock

    def ends(self, harness):
        """Return how many requests ended, by the name of the end."""
        ends = {}
        for metric in harness.telemetry.registry.collect():
            for sample in metric.samples:
                if sample.name == "nutmegdeal_requests_total":
                    ends[sample.labels["end"]] = sample.value
        return ends

    def test_answer_that_is_not_read_ends_as_shed(
        self, start_dispatcher, start_listener
    ):
        # Guards against a request that ran and is said not to have.
        def answer(sock, request):
            sock.sendall(build.build_plain_answer("q-1", bytes(PLAIN_BYTES)))

        route = build.build_booking_route()
        harness, memory, listener = self.start(
            start_dispatcher, start_listener, answer, PLAIN_BYTES * 4, route=route
        )
        idle = self.send(listener, b"/book/")
        wait_until(lambda: memory.held_bytes >= 2 * PLAIN_BYTES)
        account = memory.open_account(None)
        with capture_logs() as lines:
            account.set(HeldPart.BODY, 3 * PLAIN_BYTES)
            wait_until(lambda: self.ends(harness) == {"shed": 1.0})
        (line,) = [item for item in lines if item["event"] == "request_shed"]
        assert line["may_have_run"]
        assert line["has_answer_begun"]
        assert line["held_bytes"] >= 2 * PLAIN_BYTES
        assert not account.is_shed
        received = read_all(idle)
        assert received.startswith(b"HTTP/1.1 200 ")
        assert len(received) < PLAIN_BYTES

    def test_request_that_waits_unsent_is_refused_and_has_not_run(
        self, start_dispatcher, start_listener
    ):
        def answer(sock, request):
            raise AssertionError("the request must not be sent")

        route = build.build_booking_route()
        harness, memory, listener = self.start(
            start_dispatcher, start_listener, answer, 3 * SMALL_BYTES, route=route
        )
        harness.board.initialized.clear()
        search = harness.dispatcher._search
        search.find = lambda request: gevent.sleep(TIMEOUT_S)
        waiting = self.send(listener, b"/book/", bytes(2 * SMALL_BYTES))
        harness.board.initialized.set()
        wait_until(lambda: memory.held_bytes >= 2 * SMALL_BYTES)
        gevent.sleep(0.3)
        with capture_logs() as lines:
            memory.open_account(None).set(HeldPart.BODY, 2 * SMALL_BYTES - 1)
            response = waiting.recv(65_536).lower()
        assert response.startswith(b"http/1.1 503 ")
        assert b"retry-after: " in response
        assert self.ends(harness) == {"not_run": 1.0}
        (line,) = [item for item in lines if item["event"] == "request_shed"]
        assert not line["may_have_run"]

    def test_request_that_a_server_runs_is_answered_as_in_doubt(
        self, start_dispatcher, start_listener
    ):
        """The connection was closed, so that the caller of a booking knew nothing."""
        received = gevent.event.Event()

        def answer(sock, request):
            received.set()
            gevent.sleep(TIMEOUT_S)

        route = build.build_booking_route()
        harness, memory, listener = self.start(
            start_dispatcher, start_listener, answer, 6 * SMALL_BYTES, route=route
        )
        caller = self.send(listener, b"/book/", bytes(2 * SMALL_BYTES))
        assert received.wait(TIMEOUT_S)
        for _ in range(3):
            memory.open_account(None).set(HeldPart.ANSWER, 3 * SMALL_BYTES // 2)
        assert caller.recv(65_536).startswith(b"HTTP/1.1 502 ")
        assert self.ends(harness) == {"in_doubt": 1.0}

    def test_caller_that_leaves_during_the_refusal_is_no_error_of_the_gateway(
        self, start_dispatcher, monkeypatch
    ):
        """Its request ended as "crashed" in the log and the metrics."""
        harness = start_dispatcher([lambda sock, request: None])

        def end(*_args):
            raise CallerShedError(1, None, 1)

        def leave(*_args):
            raise CallerLeftError

        monkeypatch.setattr(harness.dispatcher._search, "find", end)
        harness.responder_start = leave
        with pytest.raises(CallerLeftError):
            harness.call()
        assert self.ends(harness) == {"caller_left": 1.0}
