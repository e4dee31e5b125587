"""Tests of requests that cannot be encoded for a backend server."""

import pytest
from h11 import LocalProtocolError

from nutmegdeal.gateway.requests import RunFate
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.transport_harness import TransportHarness


@pytest.fixture
def harness():
    running = TransportHarness(
        lambda sock, _: sock.sendall(build.build_plain_answer("q-1"))
    )
    yield running
    running.server.close()


# Ids are keys of store rows, which may be any text.
@pytest.mark.parametrize("backend_id", ["i\n1", "i-\u2603", "i-1 ", "i\x001"])
def test_id_that_is_no_header_value_counts_as_not_sent(harness, backend_id):
    host, port = harness.server.address
    harness.member = build.build_member(backend_id, host=host, port=port)
    outcome = harness.run(build.build_booking_route())
    assert outcome.fate is RunFate.NOT_SENT
    assert not harness.server.requests
    assert harness.member.in_flight_count == 0


def test_error_of_the_caller_side_is_no_failure_of_the_server(harness):
    """An answer that cannot be sent on must not be lost in the server's record."""

    def refuse(*_arguments):
        raise LocalProtocolError("raised by the test")

    harness.responder.reply = refuse
    with pytest.raises(LocalProtocolError):
        harness.run(build.build_booking_route())
    assert harness.member.in_flight_count == 0
