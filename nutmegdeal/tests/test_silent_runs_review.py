"""Tests of sound silent runs that are given up, and of runs beside them."""

import socket

import gevent
import pytest

from nutmegdeal.gateway.availability import LeavingSource
from nutmegdeal.gateway.engine_check import ConnectCheck
from nutmegdeal.gateway.exchange import (
    FIRST_EVENT_TIMEOUT_TARGETS,
    GAP_TIMEOUT_MIN_MS,
    OVERLAP_MAX_MS,
)
from nutmegdeal.gateway.takeover import SOUND_SILENCE_MAX_MS
from nutmegdeal.http_connections import ConnectError
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.silent_answers import (
    HEAD,
    TARGET_MS,
    break_off_later,
    build_stream_route,
    check_whole_stream,
    encode_events,
    never_answer,
    never_answer_after_events,
    pause_before_answer,
    pause_in_stream,
    refuse,
    resume_late,
    resume_stream,
)

LATE_S = (OVERLAP_MAX_MS + 50.0) / 1000
# Times at which a second run has been begun and has not ended: after the start of a
# plain request, and after the last event of a stream.
BESIDE_PLAIN_S = (FIRST_EVENT_TIMEOUT_TARGETS + 1.0) * TARGET_MS / 1000
BESIDE_STREAM_S = (GAP_TIMEOUT_MIN_MS + OVERLAP_MAX_MS / 2) / 1000
# More than a ScriptedServer queues.
CONNECTION_COUNT = 24
ERRORS = (RuntimeError("a fault"), OSError("no port is left"))


def refuse_late(sock, request):
    """Refuse after the time for which two runs may overlap."""
    gevent.sleep(LATE_S)
    refuse(sock, request)


def answer_plain(sock, _request):
    sock.sendall(build.build_plain_answer("q-1"))


def break_off_beside(_sock, _request):
    """Break off without an answer while a second run is awaited."""
    gevent.sleep(BESIDE_PLAIN_S)
    return False


def break_off_in_overlap(sock, _request):
    """Send three events, and break off while a second run is awaited."""
    sock.sendall(HEAD + encode_events(range(3)))
    gevent.sleep(BESIDE_STREAM_S)
    return False


def take_turns(*answers):
    """Return an answer that gives `answers` in the order of the requests."""
    remaining = list(answers)

    def answer(sock, request):
        return remaining.pop(0)(sock, request)

    return answer


def count_responses(harness):
    """Return a list that gets the status of each response that is begun."""
    begun = []

    def start(status_code, headers):
        begun.append(status_code)
        harness.responder.status_code = status_code
        harness.responder.headers = headers

    harness.responder_start = start
    return begun


def count_requests(harness):
    return sum(len(server.requests) for server in harness.servers)


@pytest.fixture
def fill_queue():
    """Return a function after which a ScriptedServer accepts no connections.

    So does one that is stopped for a second while many callers arrive.
    """
    opened = []

    def fill(server):
        server._greenlets[0].kill()
        for _ in range(CONNECTION_COUNT):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(server.address)
            opened.append(sock)

    yield fill
    for sock in opened:
        sock.close()


class TestChainOfReplacements:
    """A run fails while the run beside it is replaced, too."""

    def test_plain_request_is_answered_once(self, start_dispatcher):
        answer = take_turns(break_off_beside, never_answer, answer_plain, answer_plain)
        route = build.build_lookup_route(
            target_ms=TARGET_MS, timeout_ms=12_000.0, attempts_max=4
        )
        harness = start_dispatcher([answer] * 4, route=route)
        begun = count_responses(harness)
        harness.call()
        assert begun == [200]
        assert count_requests(harness) == 3

    def test_stream_is_not_run_again(self, start_dispatcher):
        answer = take_turns(
            break_off_in_overlap, never_answer, resume_stream, resume_stream
        )
        harness = start_dispatcher(
            [answer] * 4, route=build_stream_route(attempts_max=4)
        )
        harness.call()
        check_whole_stream(harness)
        assert count_requests(harness) == 3


class TestEvidence:
    """What is taken for the end of a silent server."""

    def test_server_that_leaves_refuses_connections_and_goes_on(self, start_dispatcher):
        """It no longer listens, and finishes its runs."""

        def leave(sock, request):
            member = harness.members[0]
            member.is_linked = False
            harness.board.membership.record_leaving(member, LeavingSource.REGISTRATION)
            harness.servers[0].stop_listening()
            pause_in_stream(sock, request)

        harness = start_dispatcher([leave, refuse_late], route=build_stream_route())
        harness.call()
        check_whole_stream(harness)

    def test_host_that_does_not_answer_a_connection_goes_on(
        self, start_dispatcher, fill_queue
    ):
        def stop_accepting(sock, request):
            harness.members[0].is_linked = False
            fill_queue(harness.servers[0])
            pause_in_stream(sock, request)

        harness = start_dispatcher(
            [stop_accepting, refuse_late], route=build_stream_route()
        )
        harness.call()
        check_whole_stream(harness)


class TestSupersededServer:
    """It may run the request again without being a further server."""

    def test_is_tried_again_where_no_further_one_is_left(self, start_dispatcher):
        def fall_silent(sock, request):
            harness.members[0].is_linked = False
            never_answer_after_events(sock, request)

        harness = start_dispatcher(
            [fall_silent, take_turns(resume_late, resume_stream)],
            route=build_stream_route(attempts_max=3),
        )
        harness.call(deadline_in_ms=3 * SOUND_SILENCE_MAX_MS)
        check_whole_stream(harness)

    def test_is_tried_again_after_a_failed_connect(self, start_dispatcher, monkeypatch):
        harness = start_dispatcher(
            [break_off_later, take_turns(resume_late, resume_stream)],
            route=build_stream_route(),
        )
        pool = harness.dispatcher._transport._pool
        acquire = pool.acquire
        has_failed = iter([False, False, True, False])

        def fail_third(*args):
            if next(has_failed):
                raise ConnectError("connect: timed out")
            return acquire(*args)

        monkeypatch.setattr(pool, "acquire", fail_third)
        harness.call()
        check_whole_stream(harness)

    def test_is_tried_again_after_it_was_busy(self, start_dispatcher):
        """It refuses beside the silent run, which breaks off later."""

        def break_off_unheard(sock, _request):
            harness.members[0].is_linked = False
            sock.sendall(HEAD + encode_events(range(3)))
            gevent.sleep((SOUND_SILENCE_MAX_MS + OVERLAP_MAX_MS) / 1000)
            return False

        harness = start_dispatcher(
            [break_off_unheard, take_turns(resume_late, refuse, resume_stream)],
            route=build_stream_route(),
        )
        harness.call()
        check_whole_stream(harness)


class TestError:
    """An error of the search, the check or the other run is not of the silent run."""

    def check_first_goes_on(self, harness):
        harness.call()
        check_whole_stream(harness)
        assert len(harness.servers[0].requests) == 1
        assert not harness.servers[1].requests

    @pytest.mark.parametrize("error", ERRORS)
    def test_of_the_search(self, start_dispatcher, monkeypatch, error):
        harness = start_dispatcher(
            [pause_in_stream, resume_stream], route=build_stream_route()
        )

        def fail(*_args):
            raise error

        monkeypatch.setattr(harness.dispatcher._search, "find_replacement", fail)
        self.check_first_goes_on(harness)

    @pytest.mark.parametrize("error", ERRORS)
    def test_of_the_start(self, start_dispatcher, monkeypatch, error):
        harness = start_dispatcher(
            [pause_in_stream, resume_stream], route=build_stream_route()
        )
        pool = harness.dispatcher._transport._pool
        acquire = pool.acquire

        def fail_at_second(address, *args):
            if address == harness.servers[1].address:
                raise error
            return acquire(address, *args)

        monkeypatch.setattr(pool, "acquire", fail_at_second)
        self.check_first_goes_on(harness)

    @pytest.mark.parametrize("error", ERRORS)
    def test_of_the_start_beside_a_plain_request(
        self, start_dispatcher, monkeypatch, error
    ):
        route = build.build_lookup_route(target_ms=TARGET_MS, timeout_ms=12_000.0)
        harness = start_dispatcher([pause_before_answer, answer_plain], route=route)
        pool = harness.dispatcher._transport._pool
        acquire = pool.acquire

        def fail_at_second(address, *args):
            if address == harness.servers[1].address:
                raise error
            return acquire(address, *args)

        monkeypatch.setattr(pool, "acquire", fail_at_second)
        harness.call()
        assert harness.responder.status_code == 200
        assert len(harness.servers[0].requests) == 1

    def test_of_the_check(self, start_dispatcher, monkeypatch):
        def pause_unheard(sock, request):
            harness.members[0].is_linked = False
            pause_in_stream(sock, request)

        def fail(_self, _member):
            raise RuntimeError("a fault")

        monkeypatch.setattr(ConnectCheck, "find_reachability", fail)
        harness = start_dispatcher(
            [pause_unheard, refuse_late], route=build_stream_route()
        )
        harness.call()
        check_whole_stream(harness)
