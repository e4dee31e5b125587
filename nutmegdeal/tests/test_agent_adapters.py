"""Each request runs on the adapter and version that it was addressed to."""

import pytest
from attrs import evolve
from gevent.event import Event

from nutmegdeal.agent import dispatch
from nutmegdeal.agent.slots import SlotState
from nutmegdeal.backends.base import EngineReport
from nutmegdeal.errors import Reason
from nutmegdeal.messages import AnswerEnd, AnswerHead, AttemptEnded, Fate
from nutmegdeal.tests.agent_harness import ScriptedEngine, build_harness
from nutmegdeal.tests.builders import build_configuration, build_submit

pytestmark = pytest.mark.promise(1)

ADAPTER = "quote-0001@2"
LAG_MAX_MS = 2_000


def submit_each(harness, count, **changes):
    for number in range(count):
        harness.submit(build_submit(attempt_id=f"r-{number}.1", **changes))


def test_wrong_echo_fails_and_none_of_it_is_relayed():
    harness = build_harness()
    harness.backend.echo = "quote-0001@1"
    harness.submit(build_submit())
    (ended,) = harness.session.of_attempt("r-1.1")
    assert (ended.fate, ended.reason) == (Fate.FAILED, Reason.WRONG_ADAPTER)


def test_without_the_echo_check_a_wrong_answer_is_relayed(monkeypatch):
    monkeypatch.setattr(dispatch, "check_echo", lambda adapter, head, peer: None)
    harness = build_harness()
    harness.backend.echo = "quote-0001@1"
    harness.submit(build_submit())
    assert isinstance(harness.session.last(), AnswerEnd)


def test_engine_restart_with_queued_requests_runs_all_on_their_adapter():
    harness = build_harness()
    harness.submit(build_submit(attempt_id="r-0.1"))
    harness.backend.restart()
    submit_each(harness, 3)
    harness.advance(10_000)
    harness.report()
    assert {adapter for _, adapter in harness.backend.ran} == {ADAPTER}
    for number in range(3):
        assert isinstance(harness.session.last(f"r-{number}.1"), AnswerEnd)


def test_engine_restart_clears_resident_adapters():
    harness = build_harness()
    harness.submit(build_submit(attempt_id="r-0.1"))
    harness.backend.restart()
    harness.report()
    assert harness.agent.board.slots.state(ADAPTER) is SlotState.ABSENT


def test_lost_load_answer_is_resolved_only_by_a_later_report():
    harness = build_harness()
    harness.backend.lost_answer_count = 1
    harness.submit(build_submit())
    harness.report()
    assert harness.agent.board.slots.state(ADAPTER) is SlotState.UNKNOWN
    assert harness.backend.ran == []
    harness.advance(LAG_MAX_MS + 1)
    harness.report()
    assert isinstance(harness.session.last(), AnswerEnd)
    assert harness.backend.loads == [ADAPTER]


class NaiveReportReader:
    """Naive variant: applies every report, no matter how old it is."""

    @staticmethod
    def apply_report(harness, report):
        harness.agent.board.slots.process_report(report, 1e18, 0.0)


def test_report_from_before_an_eviction_is_ignored():
    harness = build_harness()
    harness.submit(build_submit())
    slots = harness.agent.board.slots
    harness.clock.advance(100)
    order = slots.begin_evict(ADAPTER, 100.0)
    slots.finish(order, None, 100.0)
    stale = EngineReport("e1", (ADAPTER,))
    slots.process_report(stale, taken_after_ms=50.0, now_ms=200.0)
    assert slots.state(ADAPTER) is SlotState.ABSENT
    NaiveReportReader.apply_report(harness, stale)
    assert slots.state(ADAPTER) is SlotState.RESIDENT


def build_updated_configuration():
    """Return a newer generation in which version 3 has replaced version 1."""
    configuration = build_configuration(generation=2)
    adapters = {
        name: evolve(adapter, versions=("2", "3"), current="3")
        for name, adapter in configuration.adapters.items()
    }
    return evolve(configuration, adapters=adapters)


def change_versions(harness):
    harness.agent.platform.configuration_tracker.current = build_updated_configuration()
    harness.agent.configuration.refresh()


def test_version_change_does_not_affect_a_waiting_request():
    engine = ScriptedEngine()
    engine.load_gate = Event()
    harness = build_harness(engine)
    harness.submit(build_submit(version="1"))
    change_versions(harness)
    engine.load_gate.set()
    harness.settle()
    assert isinstance(harness.session.last(), AnswerEnd)
    assert engine.ran == [("r-1.1", "quote-0001@1")]


def test_removed_version_is_refused_as_not_run():
    harness = build_harness()
    change_versions(harness)
    harness.submit(build_submit(version="1"))
    ended = harness.session.last()
    assert isinstance(ended, AttemptEnded)
    assert (ended.fate, ended.reason) == (Fate.NOT_RUN, Reason.STALE_GENERATION)
    assert harness.backend.ran == []


def test_version_from_a_newer_generation_is_accepted():
    harness = build_harness()
    harness.submit(build_submit(version="3", generation=2))
    assert harness.agent.platform.configuration_tracker.observed == 2
    assert harness.backend.ran == [("r-1.1", "quote-0001@3")]
    assert isinstance(harness.session.of_attempt("r-1.1")[0], AnswerHead)
