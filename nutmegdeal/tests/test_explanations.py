"""Tests that an explanation says nothing false and reports what is unknown."""

import attrs
import pytest
from hypothesis import given, settings

from nutmegdeal import explanation_text, explanations
from nutmegdeal.account_reader import AccountReader
from nutmegdeal.accounts import Outcome
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.evidence import (
    FATES_BY_VALUE,
    NO_END_UNIX_MS,
    Coverage,
    Evidence,
    Hole,
    HoleCause,
)
from nutmegdeal.explanations import Ran
from nutmegdeal.ledger import LedgerRow, LedgerState
from nutmegdeal.messages import Fate
from nutmegdeal.tests.builders import FaultyObjects, build_event
from nutmegdeal.tests.simulated_requests import ENTRY, REQUEST_ID, simulated_requests

NOW_UNIX_MS = 1_700_000_100_000


def find_no_row(entry_events):
    return None


def read_explanation(simulated, explain):
    row = simulated.truth.row
    evidence = AccountReader(simulated.objects, lambda events: row).read(REQUEST_ID)
    explanation = explain(
        REQUEST_ID, evidence.events, evidence.coverages, row, NOW_UNIX_MS
    )
    return evidence, explanation


def explain_naively(request_id, events, coverages, ledger_row, now_unix_ms):
    """Trust the last event, and assume that nothing happened without an event."""
    explanation = explanations.explain(
        request_id, events, coverages, ledger_row, now_unix_ms
    )
    if not events:
        return explanation
    last = max(events, key=lambda event: event.at_unix_ms)
    fate = FATES_BY_VALUE.get(last.outcome)
    ran = Ran.YES if fate is Fate.COMPLETED else Ran.NO
    return attrs.evolve(explanation, fate=fate, ran=ran, unknowns=())


def check_explanation(simulated, explain):
    truth = simulated.truth
    evidence, explanation = read_explanation(simulated, explain)
    if explanation.fate is not None:
        assert explanation.fate is truth.reported_fate
    if explanation.ran is not Ran.UNKNOWN:
        assert (explanation.ran is Ran.YES) == bool(truth.runs)
    for attempt in explanation.attempts:
        runs = [run for run in truth.runs if run[0] == attempt.attempt_id]
        if attempt.ran is not Ran.UNKNOWN:
            assert (attempt.ran is Ran.YES) == bool(runs)
        if attempt.ran is Ran.YES and attempt.engine_name:
            explained_run = (
                attempt.attempt_id,
                attempt.engine_name,
                attempt.incarnation,
            )
            assert explained_run in truth.runs
    for event in set(truth.events) - set(evidence.events):
        assert is_reported_missing(event, explanation), event


def is_reported_missing(event, explanation):
    """Return whether the explanation says that this event may be missing.

    An agent that no record mentions needs no unknown span of its own if the entry has
    one, since the entry's events that mention it may be missing.
    """
    unknown_incarnations = {unknown.incarnation for unknown in explanation.unknowns}
    if event.incarnation in unknown_incarnations:
        return any(
            unknown.incarnation == event.incarnation
            and unknown.hole.overlaps(event.at_unix_ms, event.at_unix_ms)
            for unknown in explanation.unknowns
        )
    is_mentioned = any(
        attempt.incarnation == event.incarnation for attempt in explanation.attempts
    )
    return not is_mentioned and ENTRY in unknown_incarnations


@pytest.mark.promise(9)
@given(simulated_requests())
@settings(max_examples=400)
def test_explanation_is_true_and_reports_all_missing_events(simulated):
    check_explanation(simulated, explanations.explain)


@pytest.mark.promise(9)
def test_naive_explanation_is_found_false():
    @given(simulated_requests())
    @settings(max_examples=400, report_multiple_bugs=False)
    def run(simulated):
        check_explanation(simulated, explain_naively)

    with pytest.raises(AssertionError):
        run()


@pytest.mark.promise(9)
@given(simulated_requests(with_faults=False))
def test_explanation_without_faults_is_complete(simulated):
    truth = simulated.truth
    evidence, explanation = read_explanation(simulated, explanations.explain)
    assert set(evidence.events) == set(truth.events)
    assert explanation.fate is truth.reported_fate
    assert not explanation.unknowns
    if truth.reported_fate in (Fate.COMPLETED, Fate.NOT_RUN):
        assert explanation.ran is (Ran.YES if truth.runs else Ran.NO)
    order = [item.event for item in explanation.timeline]
    assert order.index(truth.events[0]) == 0
    for event in truth.events:
        if event.step is Step.SUBMIT:
            attempt_events = [e for e in order if e.attempt_id == event.attempt_id]
            assert attempt_events[0] == event


@pytest.mark.promise(9)
def test_events_after_the_last_flush_of_a_killed_agent_are_unknown():
    sent = build_event(
        step=Step.SUBMIT,
        outcome=Outcome.SENT,
        attempt_id="e1-1.1",
        peer="agent-1",
        peer_incarnation="a1",
    )
    events = (build_event(), sent, build_event(step=Step.ANSWER, outcome="in_doubt"))
    covers_to = sent.at_unix_ms + 40
    coverages = (Coverage("e1", "entry-1", covers_to), Coverage("a1", "agent-1"))
    explanation = explanations.explain("e1-1", events, coverages, None, NOW_UNIX_MS)
    assert explanation.fate is Fate.IN_DOUBT
    assert explanation.ran is Ran.UNKNOWN
    (unknown,) = explanation.unknowns
    assert unknown.incarnation == "a1"
    text = "\n".join(explanation_text.describe(explanation))
    assert "What agent-1 (incarnation a1) did after 2023-11-14" in text
    assert "It is not known whether a backend server ran it." in text


def test_ledger_row_of_another_request_shows_that_this_one_did_not_run():
    row = LedgerRow("k", "d", "e9-4", "e9-4.1", "a9", LedgerState.COMPLETED, 0)
    events = (build_event(), build_event(step=Step.ANSWER, outcome="completed"))
    coverages = (Coverage("e1", "entry-1", NOW_UNIX_MS),)
    explanation = explanations.explain("e1-1", events, coverages, row, NOW_UNIX_MS)
    assert explanation.ran is Ran.NO
    assert any(
        "e9-4" in sentence for sentence in explanation_text.describe(explanation)
    )


def test_contradicting_records_are_reported_and_leave_the_result_unknown():
    attempt = {"attempt_id": "e1-1.1"}
    events = (
        build_event(),
        build_event(step=Step.ANSWER, outcome="completed"),
        build_event(incarnation="a1", outcome="sent", step=Step.DISPATCH, **attempt),
        build_event(incarnation="a1", outcome="completed", step=Step.ANSWER, **attempt),
    )
    row = LedgerRow("k", "d", "e1-1", "e1-1.1", "", LedgerState.NOT_RUN, 0)
    coverages = (Coverage("e1", "entry-1", NOW_UNIX_MS),)
    explanation = explanations.explain("e1-1", events, coverages, row, NOW_UNIX_MS)
    assert explanation.ran is Ran.UNKNOWN
    assert explanation.attempts[0].is_contradicted


def test_request_without_records_is_wholly_unknown():
    evidence = AccountReader(FaultyObjects(), find_no_row).read("e1-1")
    assert evidence == Evidence((), (Coverage("e1"),))
    explanation = explanations.explain(
        "e1-1", (), evidence.coverages, None, NOW_UNIX_MS
    )
    assert explanation.is_empty
    assert explanation.fate is None
    assert explanation.ran is Ran.UNKNOWN
    (unknown,) = explanation.unknowns
    assert unknown.hole == Hole(0, NO_END_UNIX_MS, HoleCause.NOT_STORED)


def test_unreadable_store_gives_a_hole_over_all_time():
    objects = FaultyObjects()
    objects.fault = "down"
    (coverage,) = AccountReader(objects, find_no_row).read("e1-1").coverages
    assert coverage.holes == (Hole(0, NO_END_UNIX_MS, HoleCause.UNREADABLE),)


def test_agent_is_unknown_while_the_entry_may_send_it_another_attempt():
    sent = build_event(
        step=Step.SUBMIT,
        outcome=Outcome.SENT,
        attempt_id="e1-1.1",
        peer="agent-1",
        peer_incarnation="a1",
    )
    refused = build_event(
        process="agent-1",
        incarnation="a1",
        step=Step.ANSWER,
        outcome="not_run",
        attempt_id="e1-1.1",
    )
    covers_to = sent.at_unix_ms + 40
    coverages = (Coverage("e1", "entry-1", covers_to), Coverage("a1", "a", covers_to))
    events = (build_event(), sent, refused)
    explanation = explanations.explain("e1-1", events, coverages, None, NOW_UNIX_MS)
    assert {unknown.incarnation for unknown in explanation.unknowns} == {"e1", "a1"}
    assert explanation.ran is Ran.UNKNOWN


def test_unreadable_ledger_leaves_an_attempt_without_a_known_agent_unknown():
    event = build_event(
        incarnation=ENTRY, attempt_id=f"{REQUEST_ID}.1", request_id=REQUEST_ID
    )
    failure = Failure(Reason.STORE_UNAVAILABLE, Step.LEDGER, "table", "no answer")
    explanation = explanations.explain(REQUEST_ID, [event], [], failure, NOW_UNIX_MS)
    (attempt,) = explanation.attempts
    assert (attempt.incarnation, attempt.ran) == ("", Ran.UNKNOWN)
    assert explanation.ledger_failure == failure
