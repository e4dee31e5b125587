"""Tests of the start of the gateway and placer processes."""

import subprocess
import sys

import pytest

# Without a patched standard library, their calls would block the whole process.
BLOCKING_LIBRARIES = ("urllib3", "requests")
SCRIPT = """
import sys
import gevent.monkey
import nutmegdeal.{role}.__main__
assert not gevent.monkey.saved, "the standard library is patched"
assert "nutmegdeal.tools" not in sys.modules
print(*sorted(sys.modules))
"""


@pytest.mark.parametrize("role", ["gateway", "placer"])
def test_start_does_not_patch_the_standard_library(role):
    script = SCRIPT.format(role=role)
    loaded = subprocess.check_output([sys.executable, "-c", script], text=True).split()
    assert f"nutmegdeal.{role}.process" in loaded
    assert "opentelemetry.trace" not in loaded
    assert not set(BLOCKING_LIBRARIES) & set(loaded)
