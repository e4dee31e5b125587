"""An agent refuses waiting requests that can no longer be answered in time."""

import gevent.event

from nutmegdeal.agent.scheduling import RUN_FRACTION_MIN
from nutmegdeal.errors import Reason
from nutmegdeal.messages import Fate
from nutmegdeal.tests.agent_harness import ScriptedEngine, build_harness
from nutmegdeal.tests.builders import build_submit

RUN_MS = 1_000.0


def build_waiting_harness():
    """Return an AgentHarness with a request that waits for a load that never ends."""
    engine = ScriptedEngine()
    engine.load_gate = gevent.event.Event()
    harness = build_harness(engine)
    harness.submit(build_submit(deadline_unix_ms=harness.clock.unix_ms() + 30_000))
    assert not harness.session.ended()
    harness.agent.board.mean_run_ms = RUN_MS
    return harness


def test_request_that_cannot_finish_is_refused_before_its_deadline():
    harness = build_waiting_harness()
    harness.advance(30_000 - RUN_MS * RUN_FRACTION_MIN)
    ended = harness.session.last()
    assert ended.fate is Fate.NOT_RUN
    assert ended.reason is Reason.DEADLINE_UNREACHABLE
    assert ended.retry_at_unix_ms >= harness.clock.unix_ms()


def test_request_that_may_still_finish_keeps_waiting():
    harness = build_waiting_harness()
    harness.advance(29_000)
    assert not harness.session.ended()
