"""Answers of scripted servers that send nothing for a while."""

import gevent
import gevent.event

from nutmegdeal.gateway.exchange import GAP_TIMEOUT_MIN_MS
from nutmegdeal.tests import platform_builders as build

SILENCE_S = 1.5 * GAP_TIMEOUT_MIN_MS / 1000
TARGET_MS = 300.0
EVENTS = range(6)
WHOLE_STREAM = b"".join(map(build.build_event, EVENTS))
HEAD, *_ = build.build_stream_answer("q-1", []).partition(b"0\r\n\r\n")


def encode_events(numbers):
    return b"".join(build.encode_chunk(build.build_event(n)) for n in numbers)


def pause_in_stream(sock, _request):
    """Send three events, fall silent, and send the rest."""
    sock.sendall(HEAD + encode_events(range(3)))
    gevent.sleep(SILENCE_S)
    sock.sendall(encode_events(range(3, 6)) + b"0\r\n\r\n")


def pause_before_stream(sock, _request):
    """Fall silent before a whole stream."""
    gevent.sleep(SILENCE_S)
    sock.sendall(build.build_stream_answer("q-1", EVENTS))


def pause_before_answer(sock, _request):
    """Fall silent before a plain answer."""
    gevent.sleep(SILENCE_S)
    sock.sendall(build.build_plain_answer("q-1"))


def resume_stream(sock, request):
    """Send the events after those that the caller has."""
    first = int(request.get(b"last-event-id", b"-1")) + 1
    sock.sendall(build.build_stream_answer("q-1", range(first, len(EVENTS))))


def refuse(sock, _request):
    """Say that the request was not run."""
    sock.sendall(
        build.build_plain_answer(
            "q-1", b"", "503 Service Unavailable", "X-Not-Executed: 1\r\n"
        )
    )


def break_off(_sock, _request):
    """Close the connection without an answer."""
    return False


def never_answer(_sock, _request):
    """Read the request and send nothing."""
    gevent.event.Event().wait()


def resume_late(sock, request):
    """Send the events after those that the caller has, a second later."""
    gevent.sleep(1.0)
    resume_stream(sock, request)


def never_answer_after_events(sock, _request):
    """Send three events, and nothing more."""
    sock.sendall(HEAD + encode_events(range(3)))
    gevent.event.Event().wait()


def break_off_later(sock, _request):
    """Send three events, fall silent, and break off."""
    sock.sendall(HEAD + encode_events(range(3)))
    gevent.sleep(SILENCE_S)
    return False


def build_stream_route(**changes):
    return build.build_route(target_ms=TARGET_MS, gap_target_ms=100.0, **changes)


def check_whole_stream(harness):
    assert harness.responder.status_code == 200
    assert harness.responder.body == WHOLE_STREAM
    assert harness.responder.is_finished
