"""Tests of how the programs of the users' platform start."""

import subprocess
import sys

import pytest

# Blocking libraries, which would hold up every request of a process.
BLOCKING = ("urllib3", "requests")
SCRIPT = """
import sys
import gevent.monkey
import nutmegdeal.{role}.__main__
assert not gevent.monkey.saved, "the standard library is patched"
assert "nutmegdeal.tools" not in sys.modules
print(*sorted(sys.modules))
"""


@pytest.mark.parametrize("role", ["gateway", "placer"])
def test_a_program_starts_without_patching_the_standard_library(role):
    script = SCRIPT.format(role=role)
    loaded = subprocess.check_output([sys.executable, "-c", script], text=True).split()
    assert f"nutmegdeal.{role}.process" in loaded
    assert "opentelemetry.trace" not in loaded
    assert not set(BLOCKING) & set(loaded)
