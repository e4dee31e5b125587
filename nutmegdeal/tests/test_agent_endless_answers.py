"""Answers without end, and answers that are faster than their reader, at agents."""

import pytest

from nutmegdeal.agent import relay
from nutmegdeal.messages import AttemptEnded, Fate
from nutmegdeal.tests.agent_harness import ScriptedService, build_harness
from nutmegdeal.tests.builders import build_booking, build_submit
from nutmegdeal.tests.platform_site import wait_until

CHUNK = bytes(65_536)
CHUNK_COUNT = 100
ANSWER_BYTES_MAX = 20 * len(CHUNK)


class CountedChunks:
    """Chunks of a long answer, and how many of them were read."""

    def __init__(self):
        self.read_count = 0

    def __iter__(self):
        return iter([self._read] * CHUNK_COUNT)

    def _read(self):
        self.read_count += 1
        return CHUNK


@pytest.mark.parametrize("build", [build_submit, build_booking])
def test_answer_without_end_fails_before_it_fills_the_memory(monkeypatch, build):
    monkeypatch.setattr(relay, "ANSWER_BYTES_MAX", ANSWER_BYTES_MAX)
    chunks = CountedChunks()
    harness = build_harness(ScriptedService(chunks=chunks))
    harness.submit(build(adapter="", version=""))
    ended = harness.session.last()
    assert isinstance(ended, AttemptEnded)
    assert ended.fate is Fate.FAILED
    assert chunks.read_count * len(CHUNK) <= ANSWER_BYTES_MAX + len(CHUNK)


def test_answer_waits_for_its_reader_instead_of_ending_the_stream():
    """A full outbox closes the stream, with the answers of all its other requests."""
    chunks = CountedChunks()
    harness = build_harness(ScriptedService(chunks=chunks))
    harness.session.has_room = False
    harness.submit(build_submit(adapter="", version=""))
    assert chunks.read_count == 1
    harness.session.has_room = True
    wait_until(harness.session.ended)
    assert chunks.read_count == CHUNK_COUNT
