"""Engines that restart, cut streams and answer for others, on real processes."""

import pytest

from nutmegdeal.messages import Fate
from nutmegdeal.tests.loads import LoadRun, assert_truthful, collect_runs, hosts_of

pytestmark = pytest.mark.processes

ENGINES = "assist-llm"
TOKEN_COUNT = 100
EARNING_COUNT = 60


@pytest.fixture(autouse=True)
def mended(site):
    """Turn all faults of the engines off after each test."""
    yield
    for host in hosts_of(site, ENGINES):
        host.stand_in.set_faults()


def set_faults(site, **faults):
    for host in hosts_of(site, ENGINES):
        host.stand_in.set_faults(**faults)


@pytest.mark.promise(1)
@pytest.mark.promise(3)
def test_answers_stay_right_when_an_engine_restarts_cold(site):
    load = LoadRun(site)
    load.complete(16, TOKEN_COUNT, adapter_count=2)
    load.wait_until_running(4, ENGINES)
    for host in hosts_of(site, ENGINES):
        answer = host.stand_in.call("POST", "/restart")
        assert answer.status == 200
    assert_truthful(site, load.finish())


def earn_retries(site):
    """Fill the entries' retry budgets, which other tests may have spent."""
    load = LoadRun(site)
    load.look_up(EARNING_COUNT)
    load.finish()


@pytest.mark.promise(3)
def test_a_cut_stream_is_resumed_whole(site):
    earn_retries(site)
    before_count = len(collect_runs(site, ENGINES))
    for host in hosts_of(site, ENGINES):
        host.stand_in.set_faults(cut_after_bytes=2_000, cut_count=1)
        load = LoadRun(site)
        load.complete(4, TOKEN_COUNT, adapter_count=1)
        fates = assert_truthful(site, load.finish())
        assert set(fates) == {Fate.COMPLETED}
        host.stand_in.set_faults()
    assert len(collect_runs(site, ENGINES)) > before_count + 8


@pytest.mark.promise(3)
def test_streams_that_are_always_cut_are_marked_as_incomplete(site):
    set_faults(site, cut_after_bytes=500)
    load = LoadRun(site)
    load.complete(4, TOKEN_COUNT, adapter_count=1)
    load.complete(4, TOKEN_COUNT, adapter_count=1, stream=False)
    fates = assert_truthful(site, load.finish())
    assert Fate.COMPLETED not in fates


@pytest.mark.promise(1)
def test_an_answer_of_another_adapter_is_no_answer(site):
    set_faults(site, wrong_echo=1.0)
    load = LoadRun(site)
    load.complete(4, token_count=4, adapter_count=1)
    fates = assert_truthful(site, load.finish())
    assert Fate.COMPLETED not in fates


@pytest.mark.promise(1)
def test_loads_whose_answers_are_lost_leave_no_wrong_adapter(site):
    set_faults(site, lose_order_answer=4)
    load = LoadRun(site)
    load.complete(12, token_count=4, adapter_count=6)
    assert_truthful(site, load.finish())


@pytest.mark.promise(4)
def test_what_the_engine_says_it_did_not_run_runs_elsewhere_or_is_refused(site):
    set_faults(site, not_run=6)
    load = LoadRun(site)
    load.complete(12, token_count=4, adapter_count=1)
    assert_truthful(site, load.finish())
