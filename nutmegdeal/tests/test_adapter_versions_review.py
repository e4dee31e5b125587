"""Tests of adapter versions that follow each other within version_ms."""

from nutmegdeal.gateway.versions import CANCEL_MS, AdapterVersions
from nutmegdeal.site_configuration import AdapterVersion
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.test_gateway_links import LinkedSearch
from nutmegdeal.tests.version_builders import (
    ADAPTER,
    ADAPTER_KEY,
    MODEL,
)
from nutmegdeal.tests.version_harness import (
    CALL_MS,
    SHORT_VERSION_MS,
    answer_stream,
    start_changeover,
)
from nutmegdeal.tests.version_load import VERSION_MS, VersionGateway


def test_further_version_does_not_move_the_end_of_a_run_that_waits():
    versions = AdapterVersions(VERSION_MS)
    for version, changed_after_ms in ((2, 0.0), (3, 1_800.0), (4, 4_850.0)):
        number = AdapterVersion(MODEL, ADAPTER, version)
        versions.record_version(number, changed_after_ms)
    assert versions.begin_until_ms(ADAPTER_KEY, 1) == VERSION_MS - CANCEL_MS


def test_run_in_a_queue_does_not_begin_late_as_a_third_version_follows():
    gateway = VersionGateway()
    gateway.poll()
    gateway.store.acknowledge()
    gateway.poll()
    gateway.advance(1_790.0)
    gateway.poll()
    gateway.store.acknowledge()
    gateway.poll()
    gateway.advance(200.0)
    assert gateway.send(1, 3_500.0)
    gateway.advance(2_830.0)
    gateway.poll()
    gateway.store.acknowledge()
    gateway.poll()
    gateway.advance(2_000.0)
    assert not gateway.begun_late_ms


def answer_misdirected_after_replacement(get_harness):
    """Return an answer of an engine that has just replaced the adapter."""

    def answer(sock, request):
        if request[b"x-expected-version"] == b"2":
            answer_stream(sock, request)
            return
        get_harness().members[0].update_resident(["a7@2"], ["a7@1"])
        request_id = request[b"x-request-id"]
        sock.sendall(
            b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
            b"X-Request-Id: %s\r\n\r\n" % request_id
        )

    return answer


def test_refusal_for_an_older_version_does_not_remove_the_newer_one(start_gateway):
    started = []
    answer = answer_misdirected_after_replacement(lambda: started[0])
    harness, feed = start_gateway(answer)
    started.append(harness)
    feed.poll()
    feed.poll(2)
    harness.members[0].set_resident(["a7@1"])
    harness.call(CALL_MS)
    assert harness.members[0].resident == {"a7": 2}
    assert harness.responder.status_code == 200


def answer_in_pieces(sock, request):
    """Send one event in two pieces, the second one after the version has expired."""
    whole = build.build_stream_answer(request[b"x-request-id"].decode(), [1])
    event = build.build_event(1)
    head, _, _ = whole.partition(b"\r\n\r\n")
    sock.sendall(head + b"\r\n\r\n" + build.encode_chunk(event[:8]))
    sock.settimeout(1.2 * SHORT_VERSION_MS / 1000)
    try:
        sock.recv(1)
    except TimeoutError:
        sock.settimeout(None)
        sock.sendall(build.encode_chunk(event[8:]) + b"0\r\n\r\n")


def test_run_of_which_a_part_of_an_event_has_arrived_is_not_ended(start_gateway):
    route = build.build_route(target_ms=5_000.0, is_resumable=False)
    harness = start_changeover(start_gateway, answer_in_pieces, route=route)
    harness.call()
    assert harness.responder.status_code == 200
    assert harness.responder.is_finished


def test_copy_of_a_newer_version_is_requested_at_once():
    linked = LinkedSearch()
    linked.link.request_copy("a7", 2, 0.0)
    linked.link.request_copy("a7", 3, 100.0)
    linked.link.request_copy("a7", 3, 200.0)
    assert [item.version for item in linked.session.sent] == [2, 3]


def test_suspension_while_an_answer_is_applied_does_not_prolong_a_version():
    gateway = VersionGateway()
    gateway.poll()
    apply = gateway.watcher.apply_changes

    def apply_and_suspend(rows):
        apply(rows)
        gateway.store.acknowledge()
        gateway.suspend(VERSION_MS)

    gateway.watcher.apply_changes = apply_and_suspend
    gateway.poll()
    gateway.watcher.apply_changes = apply
    gateway.poll()
    assert not gateway.send(1, 0.0)
