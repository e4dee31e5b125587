"""Tests of single calls of the ledger."""

import attrs
import pytest

from nutmegdeal.clock import ManualClock
from nutmegdeal.errors import Failure, Reason
from nutmegdeal.fakes.memory import MemoryTable
from nutmegdeal.ledger import (
    AlreadyRecorded,
    Fenced,
    LedgerAnswer,
    LedgerState,
    MayDispatch,
    TableLedger,
)
from nutmegdeal.ledger_rules import ANSWER_BYTES_MAX, FENCED_ATTEMPTS_MAX
from nutmegdeal.tests.builders import build_booking

FIRST = build_booking(attempt_id="r-1.1")
SECOND = build_booking(attempt_id="r-1.2")
THIRD = build_booking(attempt_id="r-1.3")
ANSWER = LedgerAnswer(200, "application/json", b'{"booked": 7}')


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
def ledger(table, clock):
    return TableLedger(table, clock)


def test_first_attempt_is_claimed_and_recorded(ledger, table):
    claim = ledger.begin(FIRST, "agent-a")
    assert isinstance(claim, MayDispatch)
    assert table.write_count == 1
    assert table.read_count == 0
    row = ledger.finish(claim, LedgerState.COMPLETED, ANSWER)
    assert row.answer == ANSWER
    assert ledger.lookup(SECOND) == row
    assert ledger.begin(SECOND, "agent-b") == AlreadyRecorded(row)


def test_claim_whose_answer_was_lost_is_read_back(ledger, table):
    table.lose_answers = 1
    assert isinstance(ledger.begin(FIRST, "agent-a"), MayDispatch)


def test_claim_that_was_never_applied_is_written_again(ledger, table):
    table.drop_writes = 1
    assert isinstance(ledger.begin(FIRST, "agent-a"), MayDispatch)


def test_second_begin_of_one_attempt_may_not_send(ledger):
    ledger.begin(FIRST, "agent-a")
    assert isinstance(ledger.begin(FIRST, "agent-a"), AlreadyRecorded)


def test_store_that_is_down_forbids_sending(ledger, table):
    table.down = True
    failure = ledger.begin(FIRST, "agent-a")
    assert failure.reason is Reason.STORE_UNAVAILABLE
    assert not failure.maybe_applied


def test_fenced_attempt_never_begins(ledger):
    assert isinstance(ledger.fence(FIRST), Fenced)
    assert isinstance(ledger.begin(FIRST, "agent-a"), AlreadyRecorded)


def test_new_attempt_takes_over_a_fenced_row(ledger):
    ledger.fence(FIRST)
    claim = ledger.begin(SECOND, "agent-b")
    assert isinstance(claim, MayDispatch)
    assert isinstance(ledger.begin(FIRST, "agent-a"), AlreadyRecorded)


def test_attempt_fenced_long_ago_never_begins(ledger):
    ledger.fence(FIRST)
    ledger.fence(SECOND)
    assert isinstance(ledger.begin(FIRST, "agent-a"), AlreadyRecorded)
    assert isinstance(ledger.begin(THIRD, "agent-c"), MayDispatch)


def test_dispatched_attempt_is_not_fenced(ledger):
    claim = ledger.begin(FIRST, "agent-a")
    assert ledger.fence(FIRST) == AlreadyRecorded(claim.row)


def test_withdrawn_claim_is_free_for_the_next_attempt(ledger):
    ledger.begin(FIRST, "agent-a")
    withdrawn = ledger.withdraw(FIRST)
    assert withdrawn.row.state is LedgerState.NOT_RUN
    assert isinstance(ledger.begin(SECOND, "agent-b"), MayDispatch)
    assert isinstance(ledger.begin(FIRST, "agent-a"), AlreadyRecorded)


def test_withdrawal_without_a_row_stops_a_late_claim(ledger):
    assert isinstance(ledger.withdraw(FIRST), Fenced)
    assert isinstance(ledger.begin(FIRST, "agent-a"), AlreadyRecorded)


def test_outcome_cannot_be_withdrawn(ledger):
    claim = ledger.begin(FIRST, "agent-a")
    ledger.finish(claim, LedgerState.COMPLETED, ANSWER)
    assert isinstance(ledger.withdraw(FIRST), AlreadyRecorded)


def test_outcome_whose_answer_was_lost_is_read_back(ledger, table):
    claim = ledger.begin(FIRST, "agent-a")
    table.lose_answers = 1
    row = ledger.finish(claim, LedgerState.FAILED)
    assert row.state is LedgerState.FAILED
    assert ledger.finish(claim, LedgerState.FAILED) == row


def test_outcome_of_a_withdrawn_claim_is_a_conflict(ledger):
    claim = ledger.begin(FIRST, "agent-a")
    ledger.withdraw(FIRST)
    failure = ledger.finish(claim, LedgerState.COMPLETED, ANSWER)
    assert failure.reason is Reason.STORE_CONFLICT


def test_another_body_under_the_key_is_an_error(ledger):
    ledger.begin(FIRST, "agent-a")
    other = attrs.evolve(SECOND, body=b"{}")
    for result in (
        ledger.begin(other, "agent-b"),
        ledger.fence(other),
        ledger.withdraw(other),
        ledger.lookup(other),
    ):
        assert result.reason is Reason.KEY_REUSED


def test_expired_key_is_refused(ledger, clock):
    ledger.begin(FIRST, "agent-a")
    clock.advance(FIRST.expiry_unix_ms - clock.unix_ms())
    for result in (
        ledger.begin(SECOND, "agent-b"),
        ledger.fence(SECOND),
        ledger.lookup(SECOND),
    ):
        assert result.reason is Reason.KEY_EXPIRED


class SlowTable(MemoryTable):
    """Advances the clock during each write."""

    def __init__(self, clock, step_ms):
        super().__init__()
        self._clock = clock
        self._step_ms = step_ms

    def write(self, writes):
        answer = super().write(writes)
        self._clock.advance(self._step_ms)
        return answer


@pytest.mark.parametrize(
    ("step_ms", "reason"),
    [(40_000, Reason.DEADLINE_PASSED), (700_000, Reason.KEY_EXPIRED)],
)
def test_claim_confirmed_too_late_may_not_be_used(clock, step_ms, reason):
    failure = TableLedger(SlowTable(clock, step_ms), clock).begin(FIRST, "agent-a")
    assert failure.reason is reason
    assert failure.maybe_applied


def test_fence_confirmed_after_the_expiry_proves_nothing(clock):
    failure = TableLedger(SlowTable(clock, 700_000), clock).fence(FIRST)
    assert failure.reason is Reason.KEY_EXPIRED


def test_long_answer_is_not_stored(ledger):
    claim = ledger.begin(FIRST, "agent-a")
    answer = attrs.evolve(ANSWER, body=b"x" * (ANSWER_BYTES_MAX + 1))
    row = ledger.finish(claim, LedgerState.COMPLETED, answer)
    assert row.answer is None


def test_row_takes_a_bounded_number_of_attempts(ledger):
    for number in range(FENCED_ATTEMPTS_MAX + 5):
        attempt = build_booking(attempt_id=f"r-1.{number}")
        assert isinstance(ledger.fence(attempt), Fenced)
    last = build_booking(attempt_id="r-9.1")
    assert isinstance(ledger.begin(last, "agent-a"), AlreadyRecorded)


def test_later_expiry_holds_for_the_row(ledger):
    ledger.fence(FIRST)
    sooner = attrs.evolve(SECOND, expiry_unix_ms=FIRST.expiry_unix_ms - 1_000)
    claim = ledger.begin(sooner, "agent-b")
    assert claim.row.expiry_unix_ms == FIRST.expiry_unix_ms


def test_unreadable_row_forbids_sending(ledger, table):
    ledger.begin(FIRST, "agent-a")
    (key,) = table.rows
    table.rows[key] = attrs.evolve(table.rows[key], value=b"?")
    assert isinstance(ledger.begin(SECOND, "agent-b"), Failure)
