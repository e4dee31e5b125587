"""Tests of the check of calls: it detects each kind of wrong result."""

import json

import attrs
import pytest

from nutmegdeal.fakes.answers import expected_answer
from nutmegdeal.fakes.call_checker import Call, check_calls
from nutmegdeal.messages import Fate

TEXT = expected_answer("quote-0001@2", "jaw", 4)
CALL = Call(
    method="POST",
    path="/v1/completions",
    body=b"{}",
    request_id="e1-1",
    fate=Fate.COMPLETED,
    answer=json.dumps({"choices": [{"text": TEXT}]}).encode(),
    engine_name="quote-0001@2",
    prompt="jaw",
    max_tokens=4,
)
RUN = {"attempt_id": "e1-1.1", "idempotency_key": "", "adapter": "quote-0001@2"}


def test_correct_answer_passes():
    check_report = check_calls([CALL], [RUN])
    assert check_report.has_passed
    assert check_report.counts()["completed"] == 1


@pytest.mark.parametrize(
    ("changes", "runs", "count"),
    [
        ({}, [RUN | {"adapter": "quote-0001@1"}], "wrong_adapter"),
        ({"answer": CALL.answer[:-9]}, [RUN], "incomplete_unmarked"),
        ({"prompt": "plate"}, [RUN], "incomplete_unmarked"),
        ({"fate": Fate.NOT_RUN}, [RUN], "not_run"),
        ({}, [], "completed"),
        (
            {"idempotency_key": "k"},
            [RUN | {"idempotency_key": "k"}, RUN | {"idempotency_key": "k"}],
            "ran_twice",
        ),
        ({"idempotency_key": "k"}, [], "completed"),
    ],
)
def test_wrong_result_is_detected(changes, runs, count):
    check_report = check_calls([attrs.evolve(CALL, **changes)], runs)
    assert not check_report.has_passed
    assert check_report.counts()[count] == 1


def test_booking_that_ran_once_for_two_calls_passes():
    in_doubt_changes = {
        "fate": Fate.IN_DOUBT,
        "idempotency_key": "k",
        "request_id": "e1-2",
    }
    calls = [
        attrs.evolve(CALL, idempotency_key="k"),
        attrs.evolve(CALL, **in_doubt_changes),
    ]
    assert check_calls(calls, [RUN | {"idempotency_key": "k"}]).has_passed
