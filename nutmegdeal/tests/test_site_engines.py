"""Process-level tests of engines that restart, abort streams or respond wrongly."""

import pytest

from nutmegdeal.messages import Fate
from nutmegdeal.tests.request_load import (
    RequestLoad,
    assert_calls_correct,
    collect_runs,
    hosts_of,
)

pytestmark = pytest.mark.processes

ENGINES = "assist-llm"
TOKEN_COUNT = 100
REFILL_LOOKUP_COUNT = 60


@pytest.fixture(autouse=True)
def reset_faults(site):
    """Reset all faults of the engines after each test."""
    yield
    for host in hosts_of(site, ENGINES):
        host.stand_in.set_faults()


def set_engine_faults(site, **faults):
    for host in hosts_of(site, ENGINES):
        host.stand_in.set_faults(**faults)


@pytest.mark.promise(1)
@pytest.mark.promise(3)
def test_answers_stay_correct_when_an_engine_restarts(site):
    load = RequestLoad(site)
    load.start_completions(16, TOKEN_COUNT, adapter_count=2)
    load.wait_until_running(4, ENGINES)
    for host in hosts_of(site, ENGINES):
        answer = host.stand_in.call("POST", "/restart")
        assert answer.status == 200
    assert_calls_correct(site, load.finish())


def refill_retry_budgets(site):
    """Refill the entries' retry budgets, which other tests may have spent."""
    load = RequestLoad(site)
    load.start_lookups(REFILL_LOOKUP_COUNT)
    load.finish()


@pytest.mark.promise(3)
def test_an_aborted_stream_is_resumed_and_completed(site):
    refill_retry_budgets(site)
    before_count = len(collect_runs(site, ENGINES))
    for host in hosts_of(site, ENGINES):
        host.stand_in.set_faults(cut_after_bytes=2_000, cut_count=1)
        load = RequestLoad(site)
        load.start_completions(4, TOKEN_COUNT, adapter_count=1)
        fates = assert_calls_correct(site, load.finish())
        assert set(fates) == {Fate.COMPLETED}
        host.stand_in.set_faults()
    # 4 streams were sent per engine; a resumed stream is one more run.
    assert len(collect_runs(site, ENGINES)) > before_count + 8


@pytest.mark.promise(3)
def test_streams_that_are_always_aborted_are_marked_as_incomplete(site):
    set_engine_faults(site, cut_after_bytes=500)
    load = RequestLoad(site)
    load.start_completions(4, TOKEN_COUNT, adapter_count=1)
    load.start_completions(4, TOKEN_COUNT, adapter_count=1, stream=False)
    fates = assert_calls_correct(site, load.finish())
    assert Fate.COMPLETED not in fates


@pytest.mark.promise(1)
def test_a_response_that_names_another_adapter_is_rejected(site):
    set_engine_faults(site, wrong_echo=1.0)
    load = RequestLoad(site)
    load.start_completions(4, token_count=4, adapter_count=1)
    fates = assert_calls_correct(site, load.finish())
    assert Fate.COMPLETED not in fates


@pytest.mark.promise(1)
def test_lost_responses_to_load_orders_cause_no_wrong_adapter(site):
    set_engine_faults(site, lose_order_answer=4)
    load = RequestLoad(site)
    load.start_completions(12, token_count=4, adapter_count=6)
    assert_calls_correct(site, load.finish())


@pytest.mark.promise(4)
def test_requests_that_an_engine_did_not_run_are_retried_or_refused(site):
    set_engine_faults(site, not_run=6)
    load = RequestLoad(site)
    load.start_completions(12, token_count=4, adapter_count=1)
    assert_calls_correct(site, load.finish())
