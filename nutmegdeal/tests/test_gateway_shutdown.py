"""Tests over loopback of the end of a gateway's grace time."""

import gevent
import pytest

from nutmegdeal.tests.platform_site import PlatformSite


@pytest.fixture
def site(monkeypatch, bridge):
    running = PlatformSite(monkeypatch, bridge)
    yield running
    running.close()


def test_request_that_waits_for_its_adapter_is_refused_before_the_grace_ends(site):
    for engine in site.engines:
        engine.unanswered_pending = 1_000
    caller = gevent.spawn(site.call, "/chat/1", "q-1", "a9")
    gevent.sleep(0.2)
    site.gateway.request_shutdown()
    assert site.gateway.run()
    status, headers, body = caller.get(timeout=1.0)
    assert (status, body) == (503, b"stopping")
    assert float(headers[b"retry-after"]) > 0
