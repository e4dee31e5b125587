"""Calls to servers whose answers have no end, in a process whose memory is limited.

`main` is for a program of its own. Its arguments are the name of a client, the URL of a
sound server and those of the servers to call. It prints a JSON list with a `CallResult`
of each call.
"""

import json
import resource
import sys
import time

import attrs
import gevent

from nutmegdeal.backends import engine, plain
from nutmegdeal.errors import Failure
from nutmegdeal.fleet import FleetReader
from nutmegdeal.services.client import HttpClient
from nutmegdeal.tests import builders as build

# Memory that a call may add to that of the process with its libraries. It is more than
# any answer may hold.
MEMORY_MAX_BYTES = 192 * 1_048_576
TIMEOUT_MS = 1_500
CALL_TIMEOUT_S = 20.0
SOUND_COUNT = 20


@attrs.frozen
class CallResult:
    """What became of one call, and of the calls to a sound server beside it.

    Parameters
    ----------
    outcome : str
        ``failure``, ``answer``, ``unending`` or the name of an exception.
    sound_count : int
        Calls to the sound server that got their answers before the call ended or within
        `CALL_TIMEOUT_S`.
    """

    outcome: str
    sound_count: int


def call_report(url):
    """Ask an engine for its report."""
    return engine.HttpModelEngine(url).report()


def call_load(url):
    """Order an engine to load an adapter."""
    engine.LOAD_TIMEOUT_MS = TIMEOUT_MS
    return engine.HttpModelEngine(url).load("a1@1", 1)


def call_engine(url):
    """Send a request to an engine, and read its answer."""
    return _read(engine.HttpModelEngine(url).call(build.build_submit()))


def call_plain(url):
    """Send a request to a plain service, and read its answer."""
    return _read(plain.HttpPlainService(url).call(build.build_submit()))


def _read(answer):
    """Return the Failure of an answer, or None if it ends without one."""
    if isinstance(answer, Failure):
        return answer
    for chunk in answer.chunks():
        if isinstance(chunk, Failure):
            return chunk
    return None


def call_service(url):
    """Call a service of the platform."""
    return HttpClient(url, TIMEOUT_MS).call("GET", "/")


def call_process(url):
    """Read the state of a process."""
    return FleetReader(None, None, TIMEOUT_MS)._read_process(url).failure


CLIENTS = {
    "report": call_report,
    "load": call_load,
    "engine": call_engine,
    "plain": call_plain,
    "service": call_service,
    "process": call_process,
}


def _limit_memory():
    with open("/proc/self/statm") as statm:
        used_bytes = int(statm.read().split()[0]) * resource.getpagesize()
    limit_bytes = used_bytes + MEMORY_MAX_BYTES
    resource.setrlimit(resource.RLIMIT_AS, (limit_bytes, limit_bytes))


def _call_sound(url, answered):
    client = HttpClient(url, CALL_TIMEOUT_S * 1000)
    for _ in range(SOUND_COUNT):
        if not isinstance(client.call("GET", "/"), Failure):
            answered.append(time.monotonic())


def _find_outcome(call, url):
    try:
        with gevent.Timeout(CALL_TIMEOUT_S):
            return "failure" if isinstance(call(url), Failure) else "answer"
    except gevent.Timeout:
        return "unending"
    except Exception as error:
        return type(error).__name__


def _play(call, url, sound_url):
    answered = []
    beside = gevent.spawn(_call_sound, sound_url, answered)
    outcome = _find_outcome(call, url)
    beside.join(CALL_TIMEOUT_S)
    return CallResult(outcome, len(answered))


def main():
    """Play the calls one after another."""
    client, sound_url, *urls = sys.argv[1:]
    _limit_memory()
    results = [_play(CLIENTS[client], url, sound_url) for url in urls]
    print(json.dumps([attrs.asdict(result) for result in results]))
