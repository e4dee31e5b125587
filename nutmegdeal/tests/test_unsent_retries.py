"""Tests that a repeat which is not sent leaves its place in the retry budget."""

import gevent
import pytest

from nutmegdeal.gateway.requests import RunFate, RunOutcome
from nutmegdeal.gateway.retries import RetryDecider, RetryDecision
from nutmegdeal.retry_budget import WindowedRetryBudget
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.platform_site import wait_until
from nutmegdeal.tests.silent_answers import (
    break_off,
    build_stream_route,
    check_whole_stream,
    never_answer,
    never_answer_after_events,
    resume_stream,
)

WINDOW_MS = 10_000.0


def refuse_connections(harness, number):
    """Let a server end; its next connect fails."""
    harness.servers[number].stop_listening()


def try_spend(harness):
    """Return whether the budget of the harness allows a retry."""
    service = harness.route.targets[0].service
    budget = harness.dispatcher._budgets.budget_for(service)
    return budget.try_spend(harness.clock.monotonic_ms())


def test_replacement_that_could_not_connect_leaves_the_budget_to_the_next(
    start_dispatcher,
):
    answers = [never_answer_after_events, resume_stream, resume_stream]
    harness = start_dispatcher(answers, retry_count=1.0, route=build_stream_route())
    harness.members[0].is_linked = False
    refuse_connections(harness, 1)
    harness.call(deadline_in_ms=5_000.0)
    check_whole_stream(harness)
    assert len(harness.servers[2].requests) == 1


@pytest.mark.parametrize("ended_count", [0, 1])
def test_request_without_another_server_leaves_the_budget(
    start_dispatcher, ended_count
):
    def end(_sock, _request):
        refuse_connections(harness, 0)
        return False

    answers = [end] + [resume_stream] * ended_count
    harness = start_dispatcher(answers, retry_count=1.0, route=build_stream_route())
    for number in range(1, 1 + ended_count):
        refuse_connections(harness, number)
    harness.call(deadline_in_ms=2_000.0)
    assert harness.responder.status_code == 502
    assert sum(len(server.requests) for server in harness.servers) == 1
    assert try_spend(harness)


def test_repeat_of_a_caller_that_left_after_it_was_sent_stays_counted(
    start_dispatcher,
):
    answers = [break_off, never_answer]
    harness = start_dispatcher(answers, retry_count=1.0, route=build_stream_route())
    caller = gevent.spawn(harness.call)
    wait_until(lambda: harness.servers[1].requests)
    caller.kill()
    assert not try_spend(harness)


def test_repeat_that_was_made_stays_counted(start_dispatcher):
    answers = [break_off, resume_stream]
    harness = start_dispatcher(answers, retry_count=1.0, route=build_stream_route())
    harness.call()
    check_whole_stream(harness)
    assert not try_spend(harness)


def test_retry_given_back_can_be_spent_once_more():
    budget = WindowedRetryBudget(0.0, 1.0, WINDOW_MS)
    decider = RetryDecider(lambda service: budget)
    request = build.build_request(sent_count=1, run_count=1)
    outcome = RunOutcome(RunFate.CUT)
    assert decider.decide(request, outcome, 5.0) is RetryDecision.RETRY
    assert decider.decide(request, outcome, 6.0) is RetryDecision.GIVE_UP
    decider.give_back(request)
    decider.give_back(request)
    assert decider.decide(request, outcome, 7.0) is RetryDecision.RETRY
    assert decider.decide(request, outcome, 8.0) is RetryDecision.GIVE_UP
