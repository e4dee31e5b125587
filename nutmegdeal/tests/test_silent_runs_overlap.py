"""Tests of a silent run and its replacement, of which only one can go on."""

import errno

import gevent
import pytest

from nutmegdeal import http_connections
from nutmegdeal.gateway import exchange
from nutmegdeal.gateway.engine_check import (
    CHECK_TIMEOUT_MS,
    ConnectCheck,
    Reachability,
)
from nutmegdeal.gateway.exchange import OVERLAP_MAX_MS
from nutmegdeal.gateway.silence import OverlapEnd
from nutmegdeal.gateway.takeover import SOUND_SILENCE_MAX_MS, decide_overlap
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.scripted_server import ScriptedServer
from nutmegdeal.tests.silent_answers import (
    break_off,
    break_off_later,
    build_stream_route,
    check_whole_stream,
    never_answer,
    never_answer_after_events,
    pause_in_stream,
    refuse,
    resume_late,
    resume_stream,
)

LATE_S = (OVERLAP_MAX_MS + 50.0) / 1000


def unlink(member):
    """Lose the connection to the placer of a member."""
    member.is_linked = False


def report_unreachable(member):
    """Apply a report of the placer that its engine does not answer."""
    member.is_reachable = False


def let_report_expire(member):
    """Hear nothing of the placer for a while."""
    member.load_valid_until_ms = 0.0


def refuse_late(sock, request):
    """Refuse after the time for which two runs may overlap."""
    gevent.sleep(LATE_S)
    refuse(sock, request)


def break_off_late(sock, request):
    """Close the connection after the time for which two runs may overlap."""
    gevent.sleep(LATE_S)
    return break_off(sock, request)


@pytest.mark.parametrize("retry_count", [1.0, 10.0])
@pytest.mark.parametrize("second", [refuse_late, break_off_late, never_answer])
@pytest.mark.parametrize("lose", [unlink, report_unreachable, let_report_expire])
def test_silent_stream_is_not_given_up_while_its_placer_is_not_heard(
    start_dispatcher, lose, second, retry_count
):
    def pause_unheard(sock, request):
        lose(harness.members[0])
        pause_in_stream(sock, request)

    harness = start_dispatcher(
        [pause_unheard, second], retry_count=retry_count, route=build_stream_route()
    )
    harness.call()
    check_whole_stream(harness)


def test_engine_whose_host_is_gone_is_left_at_once(start_dispatcher):
    def vanish(sock, request):
        harness.members[0].is_linked = False
        harness.servers[0].stop_listening()
        never_answer_after_events(sock, request)

    harness = start_dispatcher([vanish, resume_late], route=build_stream_route())
    harness.call()
    check_whole_stream(harness)
    assert len(harness.servers[1].requests) == 1


def test_stream_goes_on_at_its_superseded_server_when_the_silent_one_ends(
    start_dispatcher,
):
    harness = start_dispatcher(
        [break_off_later, resume_late, resume_stream], route=build_stream_route()
    )
    harness.call()
    check_whole_stream(harness)
    assert len(harness.servers[1].requests) == 2
    assert not harness.servers[2].requests


@pytest.mark.parametrize(
    ("undelivered_ms", "is_heard", "is_leaving", "reachability", "decision"),
    [
        (1_999.0, False, False, Reachability.ANSWERS, OverlapEnd.FIRST),
        (1_999.0, False, False, Reachability.UNKNOWN, OverlapEnd.FIRST),
        (1_999.0, False, False, Reachability.UNANSWERED, OverlapEnd.BOTH),
        (1_000.0, False, False, Reachability.REFUSES, OverlapEnd.SECOND),
        (1_999.0, False, True, Reachability.REFUSES, OverlapEnd.FIRST),
        (SOUND_SILENCE_MAX_MS, False, False, Reachability.ANSWERS, OverlapEnd.SECOND),
        (SOUND_SILENCE_MAX_MS, False, True, Reachability.REFUSES, OverlapEnd.SECOND),
        (SOUND_SILENCE_MAX_MS, True, False, Reachability.ANSWERS, OverlapEnd.FIRST),
        (SOUND_SILENCE_MAX_MS, True, False, Reachability.REFUSES, OverlapEnd.FIRST),
    ],
)
def test_silent_run_is_kept_without_evidence_against_it(
    undelivered_ms, is_heard, is_leaving, reachability, decision
):
    assert (
        decide_overlap(undelivered_ms, is_heard, is_leaving, reachability) is decision
    )


class TestReachability:
    """Tests of `ConnectCheck.find_reachability`."""

    @pytest.fixture
    def server(self):
        server = ScriptedServer(never_answer)
        yield server
        server.close()

    def check(self, server):
        host, port = server.address
        member = build.build_member(host=host, port=port)
        return ConnectCheck().find_reachability(member)

    def test_silent_server_answers(self, server):
        assert self.check(server) is Reachability.ANSWERS

    def test_ended_server_refuses(self, server):
        server.stop_listening()
        assert self.check(server) is Reachability.REFUSES

    @pytest.mark.parametrize(
        ("error", "taken_ms", "reachability"),
        [
            (TimeoutError("timed out"), CHECK_TIMEOUT_MS, Reachability.UNANSWERED),
            (TimeoutError("timed out"), 3 * CHECK_TIMEOUT_MS, Reachability.UNKNOWN),
            (OSError(errno.EHOSTUNREACH, ""), 0.0, Reachability.UNANSWERED),
            (OSError(errno.EMFILE, ""), 0.0, Reachability.UNKNOWN),
            (OSError(errno.EADDRNOTAVAIL, ""), 0.0, Reachability.UNKNOWN),
        ],
    )
    def test_trouble_of_this_process_is_no_evidence(
        self, server, monkeypatch, error, taken_ms, reachability
    ):
        def fail(*_args):
            gevent.sleep(taken_ms / 1000)
            raise error

        monkeypatch.setattr(http_connections.gevent.socket, "create_connection", fail)
        assert self.check(server) is reachability


def test_both_runs_go_on_while_the_silent_host_does_not_answer(
    start_dispatcher, monkeypatch
):
    def vanish(sock, request):
        harness.members[0].is_linked = False
        never_answer_after_events(sock, request)

    def find_unanswered(_self, _member):
        return Reachability.UNANSWERED

    monkeypatch.setattr(ConnectCheck, "find_reachability", find_unanswered)
    harness = start_dispatcher([vanish, resume_late], route=build_stream_route())
    harness.call()
    check_whole_stream(harness)
    assert len(harness.servers[1].requests) == 1


def test_run_that_has_not_begun_has_no_check(start_dispatcher, monkeypatch):
    """Its overlap has no limit but the deadline, before which the wait may end."""
    monkeypatch.setattr(exchange, "wait_until_readable", end_wait_early)

    def begin_unheard(sock, request):
        harness.members[0].is_linked = False
        never_answer(sock, request)

    harness = start_dispatcher(
        [begin_unheard, never_answer], route=build_stream_route()
    )
    harness.call(deadline_in_ms=1_500.0)
    sample = harness.telemetry.registry.get_sample_value
    runs = "nutmegdeal_failed_runs_total"
    assert sample(runs, {"fate": "timed_out", "verdict": "keep"}) == 1


def end_wait_early(_connections, _deadline_ms):
    gevent.sleep(0.05)
    raise TimeoutError("the deadline passed")
