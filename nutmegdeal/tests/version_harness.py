"""Gateways over loopback whose adapter versions are given by a test."""

from nutmegdeal.gateway.versions import AdapterVersions
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.dispatch_harness import DispatchHarness
from nutmegdeal.tests.version_builders import SuspendableClock, VersionFeed

# Long enough for several searches, none of which finds a server.
CALL_MS = 600.0
# Long enough for a request to be sent before the version may no longer be.
SHORT_VERSION_MS = 2_000.0


def answer_stream(sock, request):
    """Send a whole stream."""
    request_id = request[b"x-request-id"].decode()
    sock.sendall(build.build_stream_answer(request_id, range(3)))


def build_version_gateway(*answers, **changes):
    """Return a DispatchHarness and its VersionFeed."""
    harness = DispatchHarness(answers, clock=SuspendableClock(), **changes)
    return harness, VersionFeed(harness.board, harness.clock, harness.telemetry)


def start_changeover(start_gateway, *answers, **changes):
    """Start a gateway whose first server holds a version that will expire soon.

    Returns
    -------
    DispatchHarness
    """
    harness, feed = start_gateway(*answers, **changes)
    harness.board.versions = AdapterVersions(SHORT_VERSION_MS)
    for member in harness.members[1:]:
        member.set_resident([])
    feed.poll()
    feed.poll(2)
    return harness
