"""Tests of the decisions about prompt parts that crash engines."""

import pytest

from nutmegdeal.gateway import crash_blame, suspect_book
from nutmegdeal.gateway.suspect_book import Crash, SuspectBook, SuspectRecord
from nutmegdeal.tests.prompt_part_load import store

SHARED, CRASHING, OTHER = "5c1e07a2", "91bd3f06", "07f3aa10"


def store_crashes(book, *prompts, now_ms=0.0):
    """Store one crash for each prompt."""
    for number, prompt in enumerate(prompts):
        store(book, book.plan_crash(Crash(f"i-{number}@1", (prompt,)), now_ms), now_ms)


def refused_part(book, *parts, now_ms=0.0):
    """Return the refused part of a prompt, None if it may be sent."""
    record = book.find_refused(parts, now_ms)
    return record and record.suspect_id


@pytest.fixture
def book():
    return SuspectBook()


def test_one_crash_refuses_nothing(book):
    store_crashes(book, (SHARED, CRASHING))
    assert refused_part(book, SHARED, CRASHING) is None


def test_second_crash_refuses_the_last_part(book):
    store_crashes(book, (SHARED, CRASHING), (SHARED, CRASHING))
    assert refused_part(book, SHARED, CRASHING) == CRASHING
    assert refused_part(book, SHARED, OTHER) is None


def test_the_part_with_most_crashes_is_refused(book):
    """A crashing first part must be found though other parts follow it."""
    store_crashes(book, (CRASHING, SHARED), (CRASHING, OTHER))
    assert refused_part(book, CRASHING) == CRASHING
    assert refused_part(book, SHARED) is None


def test_the_same_crash_counts_once(book):
    crash = Crash("i-1@1", ((SHARED, CRASHING),))
    store(book, book.plan_crash(crash, 0.0))
    assert book.plan_crash(crash, 1.0) == ()


def test_sound_part_is_no_suspect(book):
    book.record_sound([SHARED, CRASHING])
    store_crashes(book, (SHARED, CRASHING), (SHARED, CRASHING))
    assert book.stored_parts() == ()


def test_crash_under_a_refused_part_counts_for_no_other(book):
    store_crashes(book, (OTHER, CRASHING), (OTHER, CRASHING), (SHARED, CRASHING))
    book.plan_crash(Crash("i-9@1", ((SHARED,),)), 0.0)
    assert refused_part(book, SHARED) is None
    assert len(book.find_refused([CRASHING], 0.0).crashes) == 3


def test_crash_that_a_refused_part_explains_is_no_evidence_at_other_gateways(book):
    store_crashes(book, (CRASHING,), (CRASHING,))
    (record,) = book.plan_crash(Crash("i-1@1", ((SHARED,),)), 0.0)
    assert (record.crashes, record.explained) == ((), ("i-1@1",))


def test_part_that_is_always_beside_a_refused_one_is_found(book):
    """The narrower part is refused first, and explains the crashes that follow."""
    store_crashes(book, *[(CRASHING, OTHER)] * 3)
    assert refused_part(book, CRASHING) is None
    store_crashes(book, *[(CRASHING, OTHER)] * 4)
    assert refused_part(book, CRASHING) == CRASHING


def test_crash_with_several_prompts_refuses_one_part(book):
    prompts = ((SHARED, CRASHING), (SHARED, OTHER))
    for crash_id in ("i-1@1", "i-2@1"):
        store(book, book.plan_crash(Crash(crash_id, prompts), 0.0))
    refused = [p for p in (SHARED, CRASHING, OTHER) if refused_part(book, p)]
    assert len(refused) == 1


def test_only_a_probe_that_crashed_leads_to_the_long_refusal(book):
    """Runs that are on their way when the refusal begins may all crash."""
    store_crashes(book, *[(CRASHING,)] * 5)
    assert book.find_refused([CRASHING], 0.0).refused_until_ms == (
        crash_blame.FIRST_REFUSAL_MS
    )
    book.record_sound([SHARED])
    crash = Crash("i-9@1", ((SHARED, CRASHING),), probed_parts=(CRASHING,))
    store(book, book.plan_crash(crash, 6_000.0))
    assert book.find_refused([CRASHING], 6_000.0).refused_until_ms == (
        6_000.0 + crash_blame.REFUSAL_MS
    )


def test_probe_is_claimed_after_the_refusal(book):
    store_crashes(book, (CRASHING,), (CRASHING,))
    record = book.find_refused([CRASHING], 0.0)
    end_ms = crash_blame.FIRST_REFUSAL_MS
    assert not book.may_probe(record, end_ms - 1)
    assert book.may_probe(record, end_ms)
    (claim,) = book.plan_probe([CRASHING], end_ms)
    assert claim.refused_until_ms == end_ms + crash_blame.PROBE_MS
    store(book, [claim], end_ms)
    store(book, book.plan_unused_probe([CRASHING], end_ms + 1), end_ms + 1)
    assert book.plan_probe([CRASHING], end_ms + 1)[0].probe_count == 1


def test_claims_without_a_result_become_long(book):
    store_crashes(book, (CRASHING,), (CRASHING,))
    for _ in range(crash_blame.UNANSWERED_PROBES_MAX):
        store(book, book.plan_probe([CRASHING], 0.0))
    (claim,) = book.plan_probe([CRASHING], 0.0)
    assert claim.refused_until_ms == crash_blame.REFUSAL_MS


def test_delivery_removes_the_row_and_ends_the_refusal(book):
    store_crashes(book, (CRASHING,), (CRASHING,))
    assert book.record_sound([SHARED, CRASHING]) == (CRASHING,)
    assert refused_part(book, CRASHING) is None
    assert book.apply(CRASHING, SuspectRecord(CRASHING, ("i-3@1",)), 9, 0.0)


def test_own_crashes_act_before_they_are_stored(book):
    crashes = [Crash(f"i-{number}@1", ((SHARED, CRASHING),)) for number in range(2)]
    for crash in crashes:
        book.record_own_crash(crash, 0.0)
    assert refused_part(book, CRASHING) == CRASHING
    for crash in crashes:
        store(book, book.plan_crash(crash, 1.0), 1.0)
    assert refused_part(book, CRASHING) == CRASHING
    book.apply(CRASHING, None, 0, 2.0)
    assert refused_part(book, CRASHING) is None


def test_late_evidence_of_a_removed_row_does_not_count_again(book):
    crash = Crash("i-0@1", ((CRASHING,),))
    store_crashes(book, (CRASHING,), (CRASHING,))
    book.apply(CRASHING, None, 0, 2.0)
    assert book.plan_crash(crash, 3.0) == ()


def test_records_that_a_copy_lacks_are_written_again(book):
    store_crashes(book, (SHARED, CRASHING), (SHARED, CRASHING))
    older = SuspectRecord(SHARED, ("i-0@1",))
    missing = {r.suspect_id: r for r in book.missing_records({SHARED: older})}
    assert missing.keys() == {SHARED, CRASHING}
    assert book.version(CRASHING) == 0
    assert refused_part(book, CRASHING) == CRASHING
    store(book, missing.values())
    assert book.missing_records(missing) == ()


def test_suspects_expire_and_refused_parts_do_not(book):
    store_crashes(book, (SHARED, CRASHING), (OTHER, CRASHING))
    assert book.expired_parts(suspect_book.SUSPECT_KEPT_MS - 1) == ()
    expired = book.expired_parts(suspect_book.SUSPECT_KEPT_MS)
    assert set(expired) == {SHARED, OTHER}


def test_memory_is_bounded(book):
    book.record_sound(f"s{n}" for n in range(suspect_book.SOUND_PARTS_MAX + 1))
    assert book.unknown_parts(["s0", "s1"]) == ("s0",)
    store_crashes(book, (CRASHING,), (CRASHING,))
    for number in range(2 * suspect_book.ROWS_KEPT_MAX):
        store(book, [SuspectRecord(f"p{number}", ("i-9@1",), 0.0, number)])
        book.record_own_crash(Crash(f"i-{number}@2", ((f"q{number}",),)), number)
    assert len(book.stored_parts()) == suspect_book.ROWS_KEPT_MAX
    assert refused_part(book, CRASHING) == CRASHING
    excess_count = suspect_book.ROWS_KEPT_MAX - suspect_book.SUSPECTS_MAX
    assert len(book.expired_parts(0.0)) == excess_count


def test_crashes_that_wait_to_be_stored_are_bounded(book):
    for number in range(suspect_book.OWN_CRASHES_MAX + 1):
        book.record_own_crash(Crash(f"i-{number}@1", ((CRASHING,),)), 0.0)
    assert len(book.unstored_crashes()) <= suspect_book.OWN_CRASHES_MAX
    assert refused_part(book, CRASHING) == CRASHING


def test_full_record_keeps_its_refusal_and_takes_failed_probes(book):
    store_crashes(book, *[(CRASHING,)] * (2 * crash_blame.CRASHES_KEPT_MAX))
    record = book.find_refused([CRASHING], 0.0)
    assert len(record.crashes) == crash_blame.CRASHES_KEPT_MAX
    assert book.plan_crash(Crash("i-0@2", ((CRASHING,),)), 0.0) == ()
    probe = Crash("i-0@2", ((CRASHING,),), probed_parts=(CRASHING,))
    (record,) = book.plan_crash(probe, 0.0)
    assert record.refused_until_ms == crash_blame.REFUSAL_MS
    assert "i-0@2" in record.crashes


def test_long_refusal_ends_by_a_probe_that_delivers(book):
    store_crashes(book, (CRASHING,), (CRASHING,))
    crash = Crash("i-9@1", ((CRASHING,),), probed_parts=(CRASHING,))
    store(book, book.plan_crash(crash, 6_000.0))
    record = book.find_refused([CRASHING], 7_000.0)
    assert not book.may_probe(record, 7_000.0)
    assert book.may_probe(record, 6_000.0 + crash_blame.REFUSAL_MS)
    assert book.record_sound([CRASHING]) == (CRASHING,)
    assert refused_part(book, CRASHING) is None


def test_probe_beside_another_suspect_has_no_result(book):
    """A sound part must not be refused for long as the other one crashed its probe."""
    store_crashes(book, (CRASHING,), (CRASHING,))
    (claim,) = book.plan_probe([SHARED, CRASHING], 6_000.0)
    store(book, [claim], 6_000.0)
    crash = Crash("i-9@1", ((SHARED, CRASHING),), probed_parts=(CRASHING,))
    store(book, book.plan_crash(crash, 6_001.0), 6_001.0)
    until_ms = book.find_refused([CRASHING], 6_001.0).refused_until_ms
    assert until_ms == 6_000.0 + crash_blame.PROBE_MS


def test_probe_claims_all_refused_parts_of_its_request(book):
    store_crashes(book, (CRASHING,), (CRASHING,))
    for crash_id in ("i-8@1", "i-9@1"):
        store(book, book.plan_crash(Crash(crash_id, ((OTHER,),)), 100.0), 100.0)
    record = book.find_refused([CRASHING, OTHER], 5_050.0)
    assert record.suspect_id == OTHER and not book.may_probe(record, 5_050.0)
    claims = book.plan_probe([SHARED, CRASHING, OTHER], 5_200.0)
    assert {claim.suspect_id for claim in claims} == {CRASHING, OTHER}


def test_two_crashing_parts_are_both_refused(book):
    store_crashes(book, (SHARED, CRASHING), (SHARED, CRASHING))
    for crash_id in ("i-8@1", "i-9@1"):
        store(book, book.plan_crash(Crash(crash_id, ((SHARED, OTHER),)), 0.0))
    # Of the parts that are left, the first one stood in all four crashes.
    assert refused_part(book, SHARED) == SHARED
    book.record_sound([SHARED])
    for crash_id in ("i-8@2", "i-9@2"):
        store(book, book.plan_crash(Crash(crash_id, ((SHARED, OTHER),)), 0.0))
    assert refused_part(book, OTHER) == OTHER
    assert refused_part(book, SHARED) is None


def test_loser_of_two_writes_adds_its_crash_to_the_rows():
    """Two gateways see one crash each, and both refer to rows that do not exist."""
    winner, loser = SuspectBook(), SuspectBook()
    (record,) = winner.plan_crash(Crash("i-1@1", ((CRASHING,),)), 0.0)
    own = Crash("i-2@1", ((CRASHING,),))
    loser.record_own_crash(own, 0.0)
    loser.apply(CRASHING, record, 1, 1.0)
    (merged,) = loser.plan_crash(own, 1.0)
    assert merged.crashes == ("i-1@1", "i-2@1")
    assert merged.is_refused and loser.version(CRASHING) == 1
    # It acts on both before its write has succeeded.
    assert refused_part(loser, CRASHING) == CRASHING


def test_older_version_of_a_row_is_ignored(book):
    """The feed may return what the gateway has replaced by a write of its own."""
    store_crashes(book, (CRASHING,), (CRASHING,))
    book.apply(CRASHING, SuspectRecord(CRASHING, ("i-0@1",)), 1, 0.0)
    assert refused_part(book, CRASHING) == CRASHING


def test_gateway_that_has_just_started_is_corrected(book):
    """It knows no part as sound when engines end, but another gateway does."""
    other = SuspectBook()
    other.record_sound([SHARED])
    store_crashes(book, (SHARED,), (SHARED,))
    (part,) = book.stored_parts()
    assert other.apply(part, book.find_refused([SHARED], 0.0), 2, 0.0)
    assert refused_part(other, SHARED) is None
    book.apply(part, None, 3, 0.0)
    assert refused_part(book, SHARED) is None
