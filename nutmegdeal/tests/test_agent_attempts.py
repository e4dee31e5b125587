"""Tests of an attempt at the agent, from its Submit to its last message."""

import hashlib

from nutmegdeal.accounts import Outcome
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.messages import AnswerEnd, AnswerFrame, AnswerHead, AttemptEnded, Fate
from nutmegdeal.tests.agent_harness import ScriptedService, build_harness
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


def test_absent_adapter_is_loaded_and_the_complete_answer_is_relayed():
    harness = build_harness()
    harness.submit(build_submit())
    head, first, second, end = harness.session.of_attempt("r-1.1")
    assert head == AnswerHead("r-1.1", 200, "application/json")
    assert first == AnswerFrame("r-1.1", 0, b"one ")
    assert second == AnswerFrame("r-1.1", 1, b"two")
    assert isinstance(end, AnswerEnd)
    assert end.frame_count == 2
    assert end.digest == hashlib.sha256(b"one two").hexdigest()
    assert harness.backend.loads == ["quote-0001@2"]


def test_plain_service_runs_through_the_same_path():
    harness = build_harness(ScriptedService())
    harness.submit(build_lookup())
    assert harness.session.body() == b"done"
    assert isinstance(harness.session.last(), AnswerEnd)


def test_events_cover_the_whole_request():
    harness = build_harness()
    harness.submit(build_submit())
    assert harness.recorder.outcomes() == [
        (Step.SUBMIT, Outcome.RECEIVED.value),
        (Step.QUEUE, Outcome.QUEUED.value),
        (Step.LOAD, Outcome.LOADED.value),
        (Step.DISPATCH, Outcome.SENT.value),
        (Step.ANSWER, Fate.COMPLETED.value),
    ]


def test_incomplete_answer_is_never_ended_as_complete():
    cut = Failure(Reason.INCOMPLETE_ANSWER, Step.RELAY, "engine", maybe_applied=True)
    harness = build_harness(ScriptedService(chunks=[b"half", cut]))
    harness.submit(build_lookup())
    ended = harness.session.last()
    assert isinstance(ended, AttemptEnded)
    assert (ended.fate, ended.reason) == (Fate.FAILED, Reason.INCOMPLETE_ANSWER)


def test_refused_connection_is_not_run_and_lost_connection_is_in_doubt():
    refused = Failure(Reason.CONNECTION_LOST, Step.DISPATCH, "service")
    lost = Failure(Reason.CONNECTION_LOST, Step.DISPATCH, "service", maybe_applied=True)
    harness = build_harness(ScriptedService(failures=[refused, lost]))
    harness.submit(build_lookup())
    harness.submit(build_lookup(attempt_id="r-1.2"))
    assert harness.session.last("r-1.1").fate is Fate.NOT_RUN
    assert harness.session.last("r-1.2").fate is Fate.IN_DOUBT
    assert len(harness.backend.ran) == 1
