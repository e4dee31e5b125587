"""Tests of a silent run and its replacement, of which only one can go on."""

import gevent
import pytest

from nutmegdeal.gateway.exchange import OVERLAP_MAX_MS
from nutmegdeal.tests.silent_answers import (
    break_off,
    build_stream_route,
    check_whole_stream,
    never_answer,
    never_answer_after_events,
    pause_in_stream,
    refuse,
    resume_late,
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
