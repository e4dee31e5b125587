"""The agent sends a non-idempotent request at most once and reports its true fate.

Faults: a lost answer of the store, a store outage, a lost connection to the service.
"""

import attrs
import gevent
import pytest
from gevent.event import Event

from nutmegdeal.accounts import Outcome
from nutmegdeal.agent.claims import OUTCOME_POLL_FIRST_MS
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.messages import AnswerEnd, Fate
from nutmegdeal.tests.agent_harness import ScriptedService, build_harness
from nutmegdeal.tests.builders import build_booking

pytestmark = pytest.mark.promise(5)

LOST = Failure(Reason.CONNECTION_LOST, Step.DISPATCH, "service", maybe_applied=True)
REFUSED = Failure(Reason.CONNECTION_LOST, Step.DISPATCH, "service")


def repeat_of(booking, number=2):
    return attrs.evolve(booking, request_id=f"r-{number}", attempt_id=f"r-{number}.1")


def build_booking_harness(**service):
    return build_harness(ScriptedService(**service))


def test_repeat_is_answered_from_the_record():
    harness = build_booking_harness()
    harness.submit(build_booking())
    harness.submit(repeat_of(build_booking()))
    assert harness.session.body("r-2.1") == b"done"
    assert isinstance(harness.session.last("r-2.1"), AnswerEnd)
    assert len(harness.backend.ran) == 1


def test_store_down_refuses_without_sending():
    harness = build_booking_harness()
    harness.table.down = True
    harness.submit(build_booking())
    ended = harness.session.last()
    assert (ended.fate, ended.reason) == (Fate.NOT_RUN, Reason.STORE_UNAVAILABLE)
    assert harness.backend.ran == []


@pytest.mark.parametrize("fault", ["lose_answers", "drop_writes"])
def test_claim_whose_answer_was_lost_runs_at_most_once(fault):
    harness = build_booking_harness()
    setattr(harness.table, fault, 1)
    harness.submit(build_booking())
    is_completed = isinstance(harness.session.last(), AnswerEnd)
    assert is_completed == (len(harness.backend.ran) == 1)
    harness.submit(repeat_of(build_booking()))
    assert isinstance(harness.session.last("r-2.1"), AnswerEnd)
    assert len(harness.backend.ran) == 1


def test_lost_connection_is_in_doubt_and_never_sent_again():
    harness = build_booking_harness(failures=[LOST])
    harness.submit(build_booking())
    assert harness.session.last().fate is Fate.IN_DOUBT
    repeat = repeat_of(
        attrs.evolve(build_booking(), deadline_unix_ms=harness.clock.unix_ms() + 100)
    )
    harness.submit(repeat)
    harness.advance(200)
    gevent.sleep(0.2)
    harness.settle()
    assert harness.session.last("r-2.1").fate is Fate.IN_DOUBT
    assert len(harness.backend.ran) == 1


def test_refused_connection_is_not_run_and_frees_the_key():
    harness = build_booking_harness(failures=[REFUSED])
    harness.submit(build_booking())
    assert harness.session.last().fate is Fate.NOT_RUN
    harness.submit(build_booking(attempt_id="r-1.2"))
    assert isinstance(harness.session.last("r-1.2"), AnswerEnd)
    assert len(harness.backend.ran) == 1


def test_cancel_in_the_queue_is_not_run():
    harness = build_booking_harness()
    harness.agent.board.in_charge_until_ms = 0.0
    harness.agent.streams.submit(harness.session, build_booking())
    assert harness.session.last().fate is Fate.NOT_RUN
    harness.agent.board.in_charge_until_ms = float("inf")
    harness.agent.streams.submit(harness.session, build_booking(attempt_id="r-1.2"))
    harness.agent.streams.cancel("r-1.2")
    harness.settle()
    assert harness.session.last("r-1.2").fate is Fate.NOT_RUN
    assert harness.backend.ran == []


def test_deadline_that_passes_after_the_claim_is_refused_as_late(monkeypatch):
    harness = build_booking_harness()
    record = harness.recorder.record

    def record_late(event):
        record(event)
        if event.outcome == Outcome.CLAIMED.value:
            deadline_unix_ms = build_booking().deadline_unix_ms
            harness.clock.advance(deadline_unix_ms - harness.clock.unix_ms())

    monkeypatch.setattr(harness.recorder, "record", record_late)
    harness.submit(build_booking())
    ended = harness.session.last()
    assert (ended.fate, ended.reason) == (Fate.NOT_RUN, Reason.DEADLINE_PASSED)
    assert harness.backend.ran == []


def test_repeat_that_is_cancelled_while_it_waits_ends_as_cancelled():
    harness = build_booking_harness(gate=Event())
    harness.submit(build_booking())
    harness.submit(repeat_of(build_booking()))
    harness.agent.streams.cancel("r-2.1")
    gevent.sleep(2 * OUTCOME_POLL_FIRST_MS / 1000)
    harness.settle()
    ended = harness.session.last("r-2.1")
    assert (ended.fate, ended.reason) == (Fate.IN_DOUBT, Reason.CANCELLED)


def test_answer_after_its_entry_has_gone_is_still_recorded():
    harness = build_booking_harness(gate=Event())
    harness.submit(build_booking())
    harness.agent.streams._cancel_attempts_of(harness.session)
    harness.backend.gate.set()
    harness.settle()
    assert harness.session.of_attempt("r-1.1") == []
    harness.submit(repeat_of(build_booking()))
    assert harness.session.body("r-2.1") == b"done"
    assert len(harness.backend.ran) == 1


def test_without_claims_a_repeat_runs_twice():
    harness = build_booking_harness()
    for number in (1, 2):
        naive = attrs.evolve(repeat_of(build_booking(), number), idempotent=True)
        harness.agent.configuration.record_peer_generation(2)
        harness.submit(attrs.evolve(naive, generation=2))
    assert len(harness.backend.ran) == 2
