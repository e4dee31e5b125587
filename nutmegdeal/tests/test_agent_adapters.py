"""Each request runs on the adapter and version that it was addressed to."""

import pytest
from attrs import evolve
from gevent.event import Event

from nutmegdeal.agent import dispatch
from nutmegdeal.agent.slots import SlotState
from nutmegdeal.backends.base import EngineReport
from nutmegdeal.errors import Reason
from nutmegdeal.messages import AnswerEnd, AnswerHead, AttemptEnded, Fate
from nutmegdeal.tests.agent_parts import ScriptedEngine, build_rig
from nutmegdeal.tests.builders import build_configuration, build_submit

pytestmark = pytest.mark.promise(1)

ADAPTER = "quote-0001@2"
LAG_MAX_MS = 2_000


def submit_each(rig, count, **changes):
    for number in range(count):
        rig.submit(build_submit(attempt_id=f"r-{number}.1", **changes))


def test_wrong_echo_fails_and_none_of_it_is_relayed():
    rig = build_rig()
    rig.backend.echo = "quote-0001@1"
    rig.submit(build_submit())
    (ended,) = rig.session.of_attempt("r-1.1")
    assert (ended.fate, ended.reason) == (Fate.FAILED, Reason.WRONG_ADAPTER)


def test_without_the_echo_check_a_wrong_answer_is_relayed(monkeypatch):
    monkeypatch.setattr(dispatch, "check_echo", lambda adapter, head, peer: None)
    rig = build_rig()
    rig.backend.echo = "quote-0001@1"
    rig.submit(build_submit())
    assert isinstance(rig.session.last(), AnswerEnd)


def test_cold_restart_in_mid_queue_runs_all_on_their_adapter():
    rig = build_rig()
    rig.submit(build_submit(attempt_id="r-0.1"))
    rig.backend.restart()
    submit_each(rig, 3)
    rig.advance(10_000)
    rig.report()
    assert {adapter for _, adapter in rig.backend.ran} == {ADAPTER}
    for number in range(3):
        assert isinstance(rig.session.last(f"r-{number}.1"), AnswerEnd)


def test_restarted_engine_is_not_taken_for_loaded():
    rig = build_rig()
    rig.submit(build_submit(attempt_id="r-0.1"))
    rig.backend.restart()
    rig.report()
    assert rig.agent.board.slots.state(ADAPTER) is SlotState.ABSENT


def test_lost_load_answer_is_settled_only_by_a_later_report():
    rig = build_rig()
    rig.backend.lost_answers = 1
    rig.submit(build_submit())
    rig.report()
    assert rig.agent.board.slots.state(ADAPTER) is SlotState.UNKNOWN
    assert rig.backend.ran == []
    rig.advance(LAG_MAX_MS + 1)
    rig.report()
    assert isinstance(rig.session.last(), AnswerEnd)
    assert rig.backend.loads == [ADAPTER]


class EagerSlots:
    """Naive: believes every report, however old it may be."""

    @staticmethod
    def believe(rig, report):
        rig.agent.board.slots.observe_report(report, 1e18, 0.0)


def test_report_from_before_an_eviction_is_not_believed():
    rig = build_rig()
    rig.submit(build_submit())
    slots = rig.agent.board.slots
    rig.clock.advance(100)
    order = slots.begin_evict(ADAPTER, 100.0)
    slots.finish(order, None, 100.0)
    stale = EngineReport("e1", (ADAPTER,))
    slots.observe_report(stale, taken_after_ms=50.0, now_ms=200.0)
    assert slots.state(ADAPTER) is SlotState.ABSENT
    EagerSlots.believe(rig, stale)
    assert slots.state(ADAPTER) is SlotState.RESIDENT


def moved_configuration():
    """Return a generation in which version 1 has given way to version 3."""
    configuration = build_configuration(generation=2)
    adapters = {
        name: evolve(adapter, versions=("2", "3"), current="3")
        for name, adapter in configuration.adapters.items()
    }
    return evolve(configuration, adapters=adapters)


def move_version(rig):
    rig.agent.platform.keeper.current = moved_configuration()
    rig.agent.configuration.refresh()


def test_version_moved_while_a_request_waits_leaves_it_on_its_own():
    engine = ScriptedEngine()
    engine.load_gate = Event()
    rig = build_rig(engine)
    rig.submit(build_submit(version="1"))
    move_version(rig)
    engine.load_gate.set()
    rig.settle()
    assert isinstance(rig.session.last(), AnswerEnd)
    assert engine.ran == [("r-1.1", "quote-0001@1")]


def test_version_that_is_gone_is_refused_as_not_run():
    rig = build_rig()
    move_version(rig)
    rig.submit(build_submit(version="1"))
    ended = rig.session.last()
    assert isinstance(ended, AttemptEnded)
    assert (ended.fate, ended.reason) == (Fate.NOT_RUN, Reason.STALE_GENERATION)
    assert rig.backend.ran == []


def test_newer_entry_is_believed_about_a_version_unknown_here():
    rig = build_rig()
    rig.submit(build_submit(version="3", generation=2))
    assert rig.agent.platform.keeper.observed == 2
    assert rig.backend.ran == [("r-1.1", "quote-0001@3")]
    assert isinstance(rig.session.of_attempt("r-1.1")[0], AnswerHead)
