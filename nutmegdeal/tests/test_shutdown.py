"""Tests of the decisions on requests between SIGTERM and the end of a gateway."""

import gevent
import gevent.event
import hypothesis
import hypothesis.strategies as st
import pytest

from nutmegdeal.gateway import shutdown as module
from nutmegdeal.gateway.requests import Ending
from nutmegdeal.gateway.shutdown import AnswerDurations, Shutdown, plan_shutdown
from nutmegdeal.incoming_requests import GraceEndedError
from nutmegdeal.tests import platform_builders as build

TERM_MS = 50_000.0
GRACE_MS = 8_000.0
LATE_ACCEPTED_MS = TERM_MS + 2_600.0
# A sixth of the grace time, in which a server that is still at work is excused.
LAST_PART_MS = TERM_MS + GRACE_MS * 5 / 6
TIMEOUT_S = 20.0
# Routes of which an answer may take longer than the grace time.
LONG = {"timeout_ms": 20_000.0}
SLOW_BOOKING = build.build_booking_route(**LONG)
SLOW_LOOKUP = build.build_lookup_route(**LONG)
SLOW_QUOTE = build.build_route(name="r-quote", is_resumable=False, **LONG)
SLOW_CHAT = build.build_route(**LONG)


def build_request(route, arrived_ms=LATE_ACCEPTED_MS, within_ms=None):
    within_ms = route.timeout_ms if within_ms is None else within_ms
    incoming = build.build_incoming(arrived_ms=arrived_ms)
    return build.build_request(route, arrived_ms + within_ms, incoming=incoming)


def build_shutdown(taken_ms=(), route=None):
    """Return a Shutdown that has begun, after answers of a route."""
    shutdown = Shutdown()
    for duration_ms in taken_ms:
        shutdown.durations.record(route.name, duration_ms)
    shutdown.begin(plan_shutdown(TERM_MS, GRACE_MS))
    return shutdown


def is_taken(route, taken_ms=(), arrived_ms=LATE_ACCEPTED_MS, **changes):
    shutdown = build_shutdown(taken_ms, route)
    return shutdown.admit(build_request(route, arrived_ms, **changes), arrived_ms)


def test_servers_may_work_until_the_last_sixth_of_the_grace():
    times = plan_shutdown(TERM_MS, GRACE_MS)
    assert LAST_PART_MS < times.send_until_ms < times.answer_until_ms < times.exit_ms
    assert times.exit_ms < TERM_MS + GRACE_MS


def test_requests_are_accepted_until_two_readiness_checks_have_failed():
    times = plan_shutdown(TERM_MS, GRACE_MS)
    assert times.accept_until_ms > TERM_MS + 2_000.0
    assert times.take_until_ms <= TERM_MS + 3_000.0


@pytest.mark.parametrize("route", [SLOW_BOOKING, SLOW_QUOTE])
def test_request_that_may_run_once_is_refused_if_answers_lately_took_longer(route):
    assert not is_taken(route, [6_500.0])
    assert is_taken(route, [4_000.0])


@pytest.mark.parametrize("route", [SLOW_BOOKING, SLOW_QUOTE])
def test_request_that_would_usually_be_answered_is_not_refused(route):
    assert is_taken(route, [300.0, 300.0, 6_500.0])
    assert is_taken(route)


def test_route_without_answers_is_judged_by_its_target():
    assert not is_taken(build.build_booking_route(target_ms=15_000.0, **LONG))
    assert is_taken(build.build_booking_route(target_ms=8_000.0, **LONG))


def test_request_that_may_run_again_is_taken_if_some_answers_are_in_time():
    assert is_taken(SLOW_LOOKUP, [300.0, 6_500.0, 6_500.0])
    assert not is_taken(SLOW_LOOKUP, [6_500.0])


def test_stream_that_can_be_resumed_is_taken_however_long_it_lasts():
    assert is_taken(SLOW_CHAT, [60_000.0])


@pytest.mark.parametrize(
    "route", [SLOW_BOOKING, build.build_booking_route(), build.build_lookup_route()]
)
def test_request_whose_caller_waits_less_than_the_grace_is_taken(route):
    assert is_taken(route, [6_500.0], within_ms=1_500.0)


def test_request_that_arrives_on_a_kept_connection_late_in_the_grace_is_refused():
    route = build.build_booking_route()
    assert is_taken(route, arrived_ms=TERM_MS + 2_900.0)
    assert not is_taken(route, arrived_ms=TERM_MS + 3_500.0, within_ms=500.0)


def test_waiting_booking_is_not_sent_once_its_answer_would_come_too_late():
    shutdown = build_shutdown([2_000.0], SLOW_BOOKING)
    request = build_request(SLOW_BOOKING)
    assert shutdown.admit(request, LATE_ACCEPTED_MS)
    assert request.send_until_ms == shutdown.times.answer_until_ms - 2_000.0


def test_deadline_of_each_request_is_the_end_of_the_grace_at_the_latest():
    early = build_request(SLOW_BOOKING, TERM_MS - 100.0)
    short = build_request(SLOW_BOOKING, within_ms=500.0)
    shutdown = Shutdown()
    shutdown.track(early)
    shutdown.begin(plan_shutdown(TERM_MS, GRACE_MS))
    shutdown.admit(short, LATE_ACCEPTED_MS)
    assert early.deadline_ms == shutdown.times.answer_until_ms
    assert early.is_ended_by_shutdown
    assert short.deadline_ms == short.caller_deadline_ms == LATE_ACCEPTED_MS + 500.0
    assert not short.is_ended_by_shutdown


def test_request_admitted_before_sigterm_and_served_after_it_is_bounded():
    request, shutdown = build_request(SLOW_BOOKING, TERM_MS - 1.0), Shutdown()
    assert shutdown.admit(request, TERM_MS - 1.0)
    shutdown.begin(plan_shutdown(TERM_MS, GRACE_MS))
    shutdown.track(request)
    assert request.deadline_ms == shutdown.times.answer_until_ms


def test_second_signal_does_not_move_the_times():
    shutdown = build_shutdown()
    times = shutdown.times
    shutdown.begin(plan_shutdown(TERM_MS + 1_000.0, GRACE_MS))
    assert shutdown.times is times


def test_requests_before_sigterm_are_not_bounded():
    request, shutdown = build_request(SLOW_BOOKING), Shutdown()
    assert shutdown.admit(request, LATE_ACCEPTED_MS)
    assert request.deadline_ms == request.caller_deadline_ms
    assert request.send_until_ms == float("inf")


def test_durations_of_few_routes_and_answers_are_kept():
    durations = AnswerDurations()
    for number in range(2 * module.ROUTES_MAX):
        for _ in range(3):
            durations.record(f"r-{number}", 1.0)
    for taken_ms in range(2 * module.DURATIONS_MAX):
        durations.record("r-last", float(taken_ms))
    kept = durations._by_route
    assert len(kept) == module.ROUTES_MAX
    assert max(map(len, kept.values())) == module.DURATIONS_MAX
    assert durations.least_ms("r-last") == module.DURATIONS_MAX
    assert durations.median_ms("r-0") is None


def test_time_waited_for_an_adapter_is_not_a_servers_time():
    shutdown = Shutdown()
    request = build_request(SLOW_CHAT, 0.0)
    request.waited_ms, request.paced_ms = 3_000.0, 500.0
    shutdown.record_ended(request, Ending("completed"), 4_000.0)
    shutdown.record_ended(request, Ending("not_run", "stopping"), 9_000.0)
    assert shutdown.durations.median_ms(SLOW_CHAT.name) == 500.0


def test_end_reaches_only_the_greenlets_of_requests_in_progress():
    shutdown = build_shutdown()
    ended, first, second = [], build_request(SLOW_CHAT), build_request(SLOW_CHAT)
    may_go_on = gevent.event.Event()

    def serve(request, waits):
        shutdown.track(request)
        try:
            waits.wait(TIMEOUT_S)
        except GraceEndedError:
            ended.append(request)
        shutdown.record_ended(request, Ending("completed"), TERM_MS)
        may_go_on.wait(TIMEOUT_S)

    done = gevent.event.Event()
    greenlets = [
        gevent.spawn(serve, first, done),
        gevent.spawn(serve, second, gevent.event.Event()),
    ]
    gevent.sleep(0)
    done.set()
    gevent.sleep(0)
    assert shutdown.end_requests() == 1
    gevent.sleep(0.01)
    assert ended == [second]
    may_go_on.set()
    gevent.joinall(greenlets, timeout=TIMEOUT_S, raise_error=True)


@hypothesis.given(
    route=st.sampled_from([SLOW_BOOKING, SLOW_LOOKUP, SLOW_QUOTE, SLOW_CHAT]),
    taken_ms=st.lists(st.floats(1.0, 20_000.0), max_size=5),
    after_ms=st.floats(0.0, 9_000.0),
    within_ms=st.floats(100.0, 20_000.0),
)
def test_nothing_is_taken_that_may_not_be_sent(route, taken_ms, after_ms, within_ms):
    shutdown = build_shutdown(taken_ms, route)
    request = build_request(route, TERM_MS + after_ms, within_ms)
    taken = shutdown.admit(request, TERM_MS + after_ms)
    times = shutdown.times
    assert request.send_until_ms <= times.send_until_ms
    assert request.deadline_ms <= times.answer_until_ms
    assert not taken or TERM_MS + after_ms < times.send_until_ms
