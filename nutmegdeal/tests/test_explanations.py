"""Proof that an account claims no more than what really happened."""

import attrs
import pytest
from hypothesis import given, settings

from nutmegdeal import explanations, sentences
from nutmegdeal.account_reader import AccountReader
from nutmegdeal.accounts import Outcome
from nutmegdeal.errors import Step
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
from nutmegdeal.tests.histories import ENTRY, REQUEST_ID, histories

NOW_UNIX_MS = 1_700_000_100_000


def find_no_row(entry_events):
    return None


def read_account(history, explain):
    row = history.truth.row
    evidence = AccountReader(history.objects, lambda events: row).read(REQUEST_ID)
    account = explain(REQUEST_ID, evidence.events, evidence.coverages, row, NOW_UNIX_MS)
    return evidence, account


def explain_naively(request_id, events, watermarks, ledger_row, now_unix_ms):
    """Join by the rule that the last event wins, and what is absent did not happen."""
    account = explanations.explain(
        request_id, events, watermarks, ledger_row, now_unix_ms
    )
    if not events:
        return account
    last = max(events, key=lambda event: event.at_unix_ms)
    fate = FATES_BY_VALUE.get(last.outcome)
    ran = Ran.YES if fate is Fate.COMPLETED else Ran.NO
    return attrs.evolve(account, fate=fate, ran=ran, unknowns=())


def check_claims(history, explain):
    truth = history.truth
    evidence, account = read_account(history, explain)
    if account.fate is not None:
        assert account.fate is truth.told
    if account.ran is not Ran.UNKNOWN:
        assert (account.ran is Ran.YES) == bool(truth.ran)
    for attempt in account.attempts:
        runs = [run for run in truth.ran if run[0] == attempt.attempt_id]
        if attempt.ran is not Ran.UNKNOWN:
            assert (attempt.ran is Ran.YES) == bool(runs)
        if attempt.ran is Ran.YES and attempt.engine_name:
            where = (attempt.attempt_id, attempt.engine_name, attempt.incarnation)
            assert where in truth.ran
    for event in set(truth.events) - set(evidence.events):
        assert is_owned_up_to(event, account), event


def is_owned_up_to(event, account):
    """Return whether the account says that it may lack this event.

    An agent that no record names is covered by what the entry's events may lack.
    """
    named = {unknown.incarnation for unknown in account.unknowns}
    if event.incarnation in named:
        return any(
            unknown.incarnation == event.incarnation
            and unknown.hole.overlaps(event.at_unix_ms, event.at_unix_ms)
            for unknown in account.unknowns
        )
    is_named = any(
        attempt.incarnation == event.incarnation for attempt in account.attempts
    )
    return not is_named and ENTRY in named


@pytest.mark.promise(9)
@given(histories())
@settings(max_examples=400)
def test_account_claims_no_more_than_happened_and_owns_up_to_gaps(history):
    check_claims(history, explanations.explain)


@pytest.mark.promise(9)
def test_naive_join_claims_more_than_happened():
    @given(histories())
    @settings(max_examples=400, report_multiple_bugs=False)
    def run(history):
        check_claims(history, explain_naively)

    with pytest.raises(AssertionError):
        run()


@pytest.mark.promise(9)
@given(histories(with_faults=False))
def test_account_without_faults_is_whole(history):
    truth = history.truth
    evidence, account = read_account(history, explanations.explain)
    assert set(evidence.events) == set(truth.events)
    assert account.fate is truth.told
    assert not account.unknowns
    if truth.told in (Fate.COMPLETED, Fate.NOT_RUN):
        assert account.ran is (Ran.YES if truth.ran else Ran.NO)
    order = [placed.event for placed in account.timeline]
    assert order.index(truth.events[0]) == 0
    for event in truth.events:
        if event.step is Step.SUBMIT:
            own = [e for e in order if e.attempt_id == event.attempt_id]
            assert own[0] == event


@pytest.mark.promise(9)
def test_host_killed_before_a_flush_gives_not_known_after():
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
    account = explanations.explain("e1-1", events, coverages, None, NOW_UNIX_MS)
    assert account.fate is Fate.IN_DOUBT
    assert account.ran is Ran.UNKNOWN
    (unknown,) = account.unknowns
    assert unknown.incarnation == "a1"
    text = "\n".join(sentences.describe(account))
    assert "What agent-1 (incarnation a1) did after 2023-11-14" in text
    assert "It is not known whether a backend server ran it." in text


def test_ledger_row_of_another_request_shows_that_this_one_did_not_run():
    row = LedgerRow("k", "d", "e9-4", "e9-4.1", "a9", LedgerState.COMPLETED, 0)
    events = (build_event(), build_event(step=Step.ANSWER, outcome="completed"))
    coverages = (Coverage("e1", "entry-1", NOW_UNIX_MS),)
    account = explanations.explain("e1-1", events, coverages, row, NOW_UNIX_MS)
    assert account.ran is Ran.NO
    assert any("e9-4" in sentence for sentence in sentences.describe(account))


def test_contradicting_records_are_reported_and_settle_nothing():
    attempt = {"attempt_id": "e1-1.1"}
    events = (
        build_event(),
        build_event(step=Step.ANSWER, outcome="completed"),
        build_event(incarnation="a1", outcome="sent", step=Step.DISPATCH, **attempt),
        build_event(incarnation="a1", outcome="completed", step=Step.ANSWER, **attempt),
    )
    row = LedgerRow("k", "d", "e1-1", "e1-1.1", "", LedgerState.NOT_RUN, 0)
    coverages = (Coverage("e1", "entry-1", NOW_UNIX_MS),)
    account = explanations.explain("e1-1", events, coverages, row, NOW_UNIX_MS)
    assert account.ran is Ran.UNKNOWN
    assert account.attempts[0].is_contradicted


def test_nothing_is_known_of_a_request_without_evidence():
    evidence = AccountReader(FaultyObjects(), find_no_row).read("e1-1")
    assert evidence == Evidence((), (Coverage("e1"),))
    account = explanations.explain("e1-1", (), evidence.coverages, None, NOW_UNIX_MS)
    assert account.is_empty
    assert account.fate is None
    assert account.ran is Ran.UNKNOWN
    (unknown,) = account.unknowns
    assert unknown.hole == Hole(0, NO_END_UNIX_MS, HoleCause.NOT_STORED)


def test_unreadable_store_is_a_hole_without_end():
    objects = FaultyObjects()
    objects.fault = "down"
    (coverage,) = AccountReader(objects, find_no_row).read("e1-1").coverages
    assert coverage.holes == (Hole(0, NO_END_UNIX_MS, HoleCause.UNREADABLE),)


def test_agent_may_have_been_sent_more_while_the_entry_has_not_ended():
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
    account = explanations.explain("e1-1", events, coverages, None, NOW_UNIX_MS)
    assert {unknown.incarnation for unknown in account.unknowns} == {"e1", "a1"}
    assert account.ran is Ran.UNKNOWN
