"""The agent sends a non-idempotent request at most once, and says truly what ran."""

import attrs
import gevent
import pytest
from gevent.event import Event

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.messages import AnswerEnd, Fate
from nutmegdeal.tests.agent_parts import ScriptedService, build_rig
from nutmegdeal.tests.builders import build_booking

pytestmark = pytest.mark.promise(5)

LOST = Failure(Reason.CONNECTION_LOST, Step.DISPATCH, "service", maybe_applied=True)
REFUSED = Failure(Reason.CONNECTION_LOST, Step.DISPATCH, "service")


def repeat_of(booking, number=2):
    return attrs.evolve(booking, request_id=f"r-{number}", attempt_id=f"r-{number}.1")


def build_booking_rig(**service):
    return build_rig(ScriptedService(**service))


def test_repeat_is_answered_from_the_record():
    rig = build_booking_rig()
    rig.submit(build_booking())
    rig.submit(repeat_of(build_booking()))
    assert rig.session.body("r-2.1") == b"done"
    assert isinstance(rig.session.last("r-2.1"), AnswerEnd)
    assert len(rig.backend.ran) == 1


def test_store_down_refuses_without_sending():
    rig = build_booking_rig()
    rig.table.down = True
    rig.submit(build_booking())
    ended = rig.session.last()
    assert (ended.fate, ended.reason) == (Fate.NOT_RUN, Reason.STORE_UNAVAILABLE)
    assert rig.backend.ran == []


@pytest.mark.parametrize("fault", ["lose_answers", "drop_writes"])
def test_claim_whose_answer_was_lost_runs_at_most_once(fault):
    rig = build_booking_rig()
    setattr(rig.table, fault, 1)
    rig.submit(build_booking())
    told_completed = isinstance(rig.session.last(), AnswerEnd)
    assert told_completed == (len(rig.backend.ran) == 1)
    rig.submit(repeat_of(build_booking()))
    assert isinstance(rig.session.last("r-2.1"), AnswerEnd)
    assert len(rig.backend.ran) == 1


def test_lost_connection_is_in_doubt_and_never_sent_again():
    rig = build_booking_rig(failures=[LOST])
    rig.submit(build_booking())
    assert rig.session.last().fate is Fate.IN_DOUBT
    repeat = repeat_of(
        attrs.evolve(build_booking(), deadline_unix_ms=rig.clock.unix_ms() + 100)
    )
    rig.submit(repeat)
    rig.advance(200)
    gevent.sleep(0.2)
    rig.settle()
    assert rig.session.last("r-2.1").fate is Fate.IN_DOUBT
    assert len(rig.backend.ran) == 1


def test_refused_connection_is_not_run_and_frees_the_key():
    rig = build_booking_rig(failures=[REFUSED])
    rig.submit(build_booking())
    assert rig.session.last().fate is Fate.NOT_RUN
    rig.submit(build_booking(attempt_id="r-1.2"))
    assert isinstance(rig.session.last("r-1.2"), AnswerEnd)
    assert len(rig.backend.ran) == 1


def test_cancel_in_the_queue_is_not_run():
    rig = build_booking_rig()
    rig.agent.board.in_charge_until_ms = 0.0
    rig.agent.streams.submit(rig.session, build_booking())
    assert rig.session.last().fate is Fate.NOT_RUN
    rig.agent.board.in_charge_until_ms = float("inf")
    rig.agent.streams.submit(rig.session, build_booking(attempt_id="r-1.2"))
    rig.agent.streams.cancel("r-1.2")
    rig.settle()
    assert rig.session.last("r-1.2").fate is Fate.NOT_RUN
    assert rig.backend.ran == []


def test_answer_after_its_entry_has_gone_is_still_recorded():
    rig = build_booking_rig(gate=Event())
    rig.submit(build_booking())
    rig.agent.streams._abandon(rig.session)
    rig.backend.gate.set()
    rig.settle()
    assert rig.session.of_attempt("r-1.1") == []
    rig.submit(repeat_of(build_booking()))
    assert rig.session.body("r-2.1") == b"done"
    assert len(rig.backend.ran) == 1


def test_without_claims_a_repeat_runs_twice():
    rig = build_booking_rig()
    for number in (1, 2):
        naive = attrs.evolve(repeat_of(build_booking(), number), idempotent=True)
        rig.agent.configuration.observe(2)
        rig.submit(attrs.evolve(naive, generation=2))
    assert len(rig.backend.ran) == 2
