"""Tests of the agent's path from a Submit to the last message."""

import hashlib

from nutmegdeal.accounts import Outcome
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.messages import AnswerEnd, AnswerFrame, AnswerHead, AttemptEnded, Fate
from nutmegdeal.tests.agent_parts import ScriptedService, build_rig
from nutmegdeal.tests.builders import build_submit


def build_lookup(**changes):
    values = {
        "service": "hire-core",
        "method": "GET",
        "path": "/availability",
        "adapter": "",
        "version": "",
    }
    return build_submit(**{**values, **changes})


def test_absent_adapter_is_loaded_and_the_answer_is_relayed_whole():
    rig = build_rig()
    rig.submit(build_submit())
    head, first, second, end = rig.session.of_attempt("r-1.1")
    assert head == AnswerHead("r-1.1", 200, "application/json")
    assert first == AnswerFrame("r-1.1", 0, b"one ")
    assert second == AnswerFrame("r-1.1", 1, b"two")
    assert isinstance(end, AnswerEnd)
    assert end.frame_count == 2
    assert end.digest == hashlib.sha256(b"one two").hexdigest()
    assert rig.backend.loads == ["quote-0001@2"]


def test_plain_service_runs_through_the_same_path():
    rig = build_rig(ScriptedService())
    rig.submit(build_lookup())
    assert rig.session.body() == b"done"
    assert isinstance(rig.session.last(), AnswerEnd)


def test_events_tell_the_whole_way():
    rig = build_rig()
    rig.submit(build_submit())
    assert rig.recorder.outcomes() == [
        (Step.SUBMIT, Outcome.RECEIVED.value),
        (Step.QUEUE, Outcome.QUEUED.value),
        (Step.LOAD, Outcome.LOADED.value),
        (Step.DISPATCH, Outcome.SENT.value),
        (Step.ANSWER, Fate.COMPLETED.value),
    ]


def test_incomplete_answer_is_never_ended_as_whole():
    cut = Failure(Reason.INCOMPLETE_ANSWER, Step.RELAY, "engine", maybe_applied=True)
    rig = build_rig(ScriptedService(chunks=[b"half", cut]))
    rig.submit(build_lookup())
    ended = rig.session.last()
    assert isinstance(ended, AttemptEnded)
    assert (ended.fate, ended.reason) == (Fate.FAILED, Reason.INCOMPLETE_ANSWER)


def test_refused_connection_is_not_run_and_lost_connection_is_in_doubt():
    refused = Failure(Reason.CONNECTION_LOST, Step.DISPATCH, "service")
    lost = Failure(Reason.CONNECTION_LOST, Step.DISPATCH, "service", maybe_applied=True)
    rig = build_rig(ScriptedService(failures=[refused, lost]))
    rig.submit(build_lookup())
    rig.submit(build_lookup(attempt_id="r-1.2"))
    assert rig.session.last("r-1.1").fate is Fate.NOT_RUN
    assert rig.session.last("r-1.2").fate is Fate.IN_DOUBT
    assert len(rig.backend.ran) == 1
