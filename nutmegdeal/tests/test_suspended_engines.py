"""Requests for older adapter versions at engines that are suspended."""

import pytest

from nutmegdeal.tests.dispatch_harness import VERSION_MS
from nutmegdeal.tests.version_harness import CALL_MS, answer_stream

# As long as the engines of incident 0020.
SUSPENDED_MS = 2_700.0
SINCE_ACK_MS = (600.0, 1_200.0, 1_800.0, 2_250.0, 2_400.0, 2_900.0)


@pytest.mark.parametrize("since_ack_ms", SINCE_ACK_MS)
def test_suspended_engine_does_not_begin_a_superseded_version_too_late(
    start_gateway, since_ack_ms
):
    """It reads the request when it goes on, whether or not the gateway has closed."""
    harness, feed = start_gateway(answer_stream)
    feed.poll()
    feed.poll(2)
    harness.clock.suspend(since_ack_ms)
    harness.call(CALL_MS)
    is_sent = bool(harness.servers[0].requests)
    assert not is_sent or since_ack_ms + SUSPENDED_MS <= VERSION_MS
