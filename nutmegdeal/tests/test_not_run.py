"""What callers are told to have not run, beside servers that run requests late."""

import contextlib
import functools

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from nutmegdeal.gateway.requests import RunFate
from nutmegdeal.gateway.retries import RetryDecider, RetryDecision
from nutmegdeal.incoming_requests import CallerLeftError, CallerShedError
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.dispatch_harness import DispatchHarness
from nutmegdeal.tests.late_servers import MANNERS, LateServers
from nutmegdeal.tests.platform_site import wait_until

DEADLINE_MS = 150.0
# Statuses that promise callers that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
ENDS = ("deadline", "grace", "shed", "caller_left")


def build_once_route(is_stream):
    """Return a Route of requests that may run only once."""
    if is_stream:
        return build.build_route(attempts_max=1, is_resumable=False)
    return build.build_booking_route()


def throw(error, _harness, caller):
    """Raise an error in the greenlet of a request, if it has not ended."""
    gevent.get_hub().loop.run_callback(caller.throw, error)


def end_grace(harness, _caller):
    harness.board.shutdown.end_requests()


END_REQUEST = {
    "deadline": lambda _harness, _caller: None,
    "grace": end_grace,
    "shed": functools.partial(throw, CallerShedError(0, None, 0)),
    "caller_left": functools.partial(throw, CallerLeftError()),
}


def call(harness):
    with contextlib.suppress(CallerLeftError):
        harness.call(DEADLINE_MS)


def play(manners, is_stream, end, decider=None):
    """Return how often a request ran, and the status that its caller got."""
    servers = LateServers(manners, is_stream)
    route = build_once_route(is_stream)
    harness = DispatchHarness([servers.answer, servers.answer], route=route)
    if decider is not None:
        harness.dispatcher._retries = decider
    try:
        caller = gevent.spawn(call, harness)
        # Beside load, the deadline may pass before the request is sent.
        gevent.wait([servers.received, caller], count=1)
        END_REQUEST[end](harness, caller)
        caller.get()
        wait_until(lambda: not servers.open_count)
        return servers.runs["q-1"], harness.responder.status_code
    finally:
        harness.close()


def keeps_promise(run_count, status_code):
    return run_count <= (0 if status_code in PROMISES else 1)


@pytest.mark.promise(4)
@settings(max_examples=150)
@given(
    st.lists(st.sampled_from(MANNERS), min_size=3, max_size=3),
    st.booleans(),
    st.sampled_from(ENDS),
)
def test_request_that_may_run_once_is_not_repeated_or_refused_once_it_may_run(
    manners, is_stream, end
):
    run_count, status_code = play(manners, is_stream, end)
    assert keeps_promise(run_count, status_code), (run_count, status_code)


class CloseEndsRuns(RetryDecider):
    """Takes a run whose connection has been closed for one that did not run."""

    def decide(self, request, outcome, now_ms):
        if outcome.fate in (RunFate.MAYBE_RAN, RunFate.TIMED_OUT):
            request.run_count = 0
            return RetryDecision.RETRY
        return super().decide(request, outcome, now_ms)


@pytest.mark.parametrize("manner", ["run_late", "close_after_run", "break_head"])
def test_gateway_that_takes_a_close_for_an_end_is_detected(manner):
    decider = CloseEndsRuns(None)
    run_count, status_code = play((manner, "complete"), False, "deadline", decider)
    assert not keeps_promise(run_count, status_code)
