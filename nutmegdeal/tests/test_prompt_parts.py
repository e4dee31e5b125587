"""Tests of prompt parts that crash the engines on which they run."""

import pytest

from nutmegdeal.platform import headers as platform_headers
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.dispatch_harness import DispatchHarness

ENGINE_COUNT = 12
SHARED, CRASHING = b"5c1e07a2", b"91bd3f06"
# The gateway has to act on the fifth crash, and three more requests are tolerated.
CRASHES_MAX = 5 + 3


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        (b"5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (b"5C1E:8, 91bd:4 ,5c1e:9,e4:2", ("5c1e", "91bd")),
        (b"e4402b7d:250", ()),
        (b"", ()),
        (b",,:7,x", ()),
    ],
)
def test_last_prompt_part_is_not_shared(value, parts):
    terms = platform_headers.decode_request_terms([(b"x-prompt-prefix", value)])
    assert terms.shared_parts == parts


def test_number_of_prompt_parts_is_bounded():
    value = b",".join(b"%x:1" % number for number in range(1_000))
    terms = platform_headers.decode_request_terms([(b"x-prompt-prefix", value)])
    assert len(terms.shared_parts) == platform_headers.SHARED_PARTS_MAX


class CrashingEngine:
    """Answer of a `ScriptedServer` that ends its server on one prompt part."""

    def __init__(self, crashed):
        self._crashed = crashed
        self.server = None

    def __call__(self, sock, request):
        if CRASHING in request[b"x-prompt-prefix"]:
            self._crashed.append(request[b"x-prompt-prefix"])
            self.server.stop_listening()
            return False
        sock.sendall(build.build_stream_answer("q-1", range(6)))
        return True


@pytest.fixture
def engines():
    """Yield a DispatchHarness and the list of prompts that crashed an engine."""
    crashed = []
    answers = [CrashingEngine(crashed) for _ in range(ENGINE_COUNT)]
    harness = DispatchHarness(answers, retry_count=1_000.0)
    for answer, server in zip(answers, harness.servers, strict=True):
        answer.server = server
    yield harness, crashed
    harness.close()


def encode_prompt(number, *parts):
    """Return a prompt with parts, and a last part by number."""
    return b",".join(b"%s:9" % part for part in (*parts, b"e%x" % number))


def test_prompt_part_that_crashes_engines_does_not_crash_all_of_them(engines):
    harness, crashed = engines
    harness.call(prompt_parts=encode_prompt(0, SHARED))
    assert harness.responder.status_code == 200
    for number in range(1, 3 * ENGINE_COUNT):
        harness.call(prompt_parts=encode_prompt(number, SHARED, CRASHING))
    assert len(crashed) <= CRASHES_MAX
    harness.call(prompt_parts=encode_prompt(0, SHARED))
    assert harness.responder.status_code == 200
