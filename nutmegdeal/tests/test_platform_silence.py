"""A gateway, placers and an engine that falls silent in the middle of a stream."""

import gevent
import pytest

from nutmegdeal.fakes.platform_configuration import encode_configuration
from nutmegdeal.tests.platform_site import HOST, PlatformSite, wait_until

TIMEOUT_MS = 20_000
TARGET_MS = 400
GAP_TARGET_MS = 250
# A gateway takes an engine for silent after 1 s, and its placer finds it unreachable
# before the gateway has to choose one of two runs.
SILENCE_MS = 1_800.0
EVENT_INTERVAL_MS = 200.0
SLOW_INTERVAL_MS = 5_000.0


@pytest.fixture
def site(monkeypatch, bridge):
    site = PlatformSite(monkeypatch, bridge)
    site.store.put(
        "op",
        "config",
        encode_configuration(2, HOST, TIMEOUT_MS, TARGET_MS, GAP_TARGET_MS),
    )
    wait_until(lambda: site.gateway._board.configuration.version == 2)
    yield site
    site.close()


def load_everywhere(site, adapter):
    """Let both engines hold an adapter."""
    for engine in site.engines:
        engine.adapters[adapter] = 1
    members = site.gateway._board.membership.members
    wait_until(
        lambda: all(
            members[engine.backend_id].holds(adapter, None) for engine in site.engines
        )
    )


def test_stream_of_a_sound_engine_goes_on_while_its_placer_cannot_reach_it(site):
    load_everywhere(site, "a1")
    for engine in site.engines:
        engine.event_interval_ms = EVENT_INTERVAL_MS
    caller = gevent.spawn(site.call, "/chat/x", "q-1")
    first = wait_until(
        lambda: next((item for item in site.engines if item.runs["q-1"]), None)
    )
    (other,) = [item for item in site.engines if item is not first]
    other.event_interval_ms = SLOW_INTERVAL_MS
    # Until it has sent events.
    gevent.sleep(1.5 * EVENT_INTERVAL_MS / 1000)
    first.faults.fall_silent(SILENCE_MS)
    member = site.gateway._board.membership.members[first.backend_id]
    wait_until(lambda: not member.is_reachable)
    status_code, _, body = caller.get()
    assert status_code == 200
    assert body is not None
    assert other.runs["q-1"]
    assert first.completed["q-1"] == 1
    assert not first.cancelled["q-1"]
