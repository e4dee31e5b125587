"""What an agent does with requests that can't be answered in time any more."""

import gevent.event

from nutmegdeal.agent.scheduling import LEAST_RUN_FRACTION
from nutmegdeal.errors import Reason
from nutmegdeal.messages import Fate
from nutmegdeal.tests.agent_parts import ScriptedEngine, build_rig
from nutmegdeal.tests.builders import build_submit

RUN_MS = 1_000.0


def build_waiting_rig():
    """Return a Rig in which one request waits for an adapter that never arrives."""
    engine = ScriptedEngine()
    engine.load_gate = gevent.event.Event()
    rig = build_rig(engine)
    rig.submit(build_submit(deadline_unix_ms=rig.clock.unix_ms() + 30_000))
    assert not rig.session.ended()
    rig.agent.board.run_ms = RUN_MS
    return rig


def test_a_request_that_could_not_finish_is_handed_back_before_its_deadline():
    rig = build_waiting_rig()
    rig.advance(30_000 - RUN_MS * LEAST_RUN_FRACTION)
    ended = rig.session.last()
    assert ended.fate is Fate.NOT_RUN
    assert ended.reason is Reason.DEADLINE_UNREACHABLE
    assert ended.retry_at_unix_ms >= rig.clock.unix_ms()


def test_a_request_that_may_still_finish_waits_on():
    rig = build_waiting_rig()
    rig.advance(29_000)
    assert not rig.session.ended()
