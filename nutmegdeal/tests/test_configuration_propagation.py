"""An accepted configuration is in force everywhere within 4 s."""

import pytest

from nutmegdeal.agent.configuring import IDLE_POLL_FACTOR
from nutmegdeal.entry.pollers import POLL_JITTER
from nutmegdeal.settings import PlatformSettings

IN_FORCE_WITHIN_MS = 4_000
# A fetch reads the head, the manifest and one part: three calls to the platform.
FETCH_MS = 500


@pytest.mark.promise(8)
def test_default_polls_leave_time_for_the_fetch():
    poll_ms = PlatformSettings().head_poll_every_ms
    assert poll_ms * IDLE_POLL_FACTOR + FETCH_MS <= IN_FORCE_WITHIN_MS
    assert poll_ms * (1 + POLL_JITTER) + FETCH_MS <= IN_FORCE_WITHIN_MS
