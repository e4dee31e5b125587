"""Tests over loopback of gateways that keep crashing prompts away from engines."""

import gevent
import pytest

from nutmegdeal.gateway.crash_blame import FIRST_REFUSAL_MS, PROBE_MS, is_request
from nutmegdeal.gateway.suspect_rows import PARTS_TABLE
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.dispatch_harness import DispatchHarness
from nutmegdeal.tests.local_store import LocalStore
from nutmegdeal.tests.platform_site import wait_until

SHARED, CRASHING, OTHER = b"5c1e07a2", b"91bd3f06", b"77aa0001"
ENGINE_COUNT = 4


class Engine:
    """Answer of a `ScriptedServer`: ends its server on the crashing part.

    Attributes
    ----------
    is_sound : bool
        The part does no harm.
    only_resets : bool
        The connection breaks off, but the server goes on.
    leaving_member : Member or None
        Known to leave before the server ends.
    """

    def __init__(self):
        self.server = None
        self.is_sound = False
        self.only_resets = False
        self.leaving_member = None

    def __call__(self, sock, request):
        if CRASHING in request[b"x-prompt-prefix"] and not self.is_sound:
            if self.leaving_member is not None:
                self.leaving_member.availability.record_leaving()
            if not self.only_resets:
                self.server.stop_listening()
            return False
        sock.sendall(build.build_stream_answer("q-1", range(6)))
        return True


class Gateways:
    """Gateways with engines of their own that share a store."""

    def __init__(self):
        self.store = LocalStore()
        self.harnesses = []
        self._number = 0

    def start(self):
        """Start a gateway; return its DispatchHarness."""
        engines = [Engine() for _ in range(ENGINE_COUNT)]
        prefix = f"g{len(self.harnesses)}"
        harness = DispatchHarness(engines, store=self.store, prefix=prefix)
        harness.engines = engines
        for engine, server in zip(engines, harness.servers, strict=True):
            engine.server = server
        self.harnesses.append(harness)
        wait_until(lambda: harness.is_watching)
        return harness

    def call(self, harness, *parts, request_id=b"q-1"):
        """Send a request through a gateway; return the status of its answer."""
        self._number += 1
        prompt = b",".join(b"%s:9" % part for part in (*parts, b"%x" % self._number))
        harness.call(prompt_parts=prompt, request_id=request_id)
        gevent.sleep(0)
        return harness.responder.status_code

    def find_rows(self):
        """Return the keys of the stored suspects."""
        return self.store.history.find_keys(PARTS_TABLE)

    def find_part_rows(self):
        """Return the keys of the stored suspects that are prompt parts."""
        return [key for key in self.find_rows() if not is_request(key)]

    def refuse_part(self):
        """Let the part crash engines of two gateways until both refuse it."""
        first, second = self.start(), self.start()
        for harness in (first, second):
            self.call(harness, SHARED)
            assert self.call(harness, SHARED, CRASHING) == 502
        part = CRASHING.decode()
        for harness in (first, second):
            wait_until(lambda book=harness.book: book.find_refused((part,), 0.0))
        return first, second


def count_requests(harness):
    return sum(len(server.requests) for server in harness.servers)


@pytest.fixture
def gateways():
    running = Gateways()
    yield running
    for harness in running.harnesses:
        harness.close()


def test_crashes_seen_by_two_gateways_make_both_refuse_the_part(gateways):
    for harness in gateways.refuse_part():
        before_count = count_requests(harness)
        assert gateways.call(harness, SHARED, CRASHING) == 503
        headers = dict(harness.responder.headers)
        assert 0 < float(headers[b"retry-after"]) < 10
        assert count_requests(harness) == before_count


def test_refusals_for_a_part_are_counted(gateways):
    harness, _ = gateways.refuse_part()
    gateways.call(harness, SHARED, CRASHING)
    labels = {"reason": "prompt_refused"}
    registry = harness.telemetry.registry
    assert registry.get_sample_value("nutmegdeal_refusals_total", labels) == 1.0


def test_sound_requests_with_the_same_first_part_are_served(gateways):
    for harness in gateways.refuse_part():
        assert gateways.call(harness, SHARED) == 200
        assert gateways.call(harness, SHARED, OTHER) == 200


def test_run_that_ended_with_its_engine_is_not_repeated(gateways):
    harness = gateways.start()
    assert gateways.call(harness, SHARED, CRASHING) == 502
    assert count_requests(harness) == 1


def test_sound_prompt_is_repeated_when_its_engine_ends(gateways):
    harness = gateways.start()
    assert gateways.call(harness, SHARED, CRASHING) == 502
    harness.book.record_sound((SHARED.decode(), CRASHING.decode()))
    gateways.call(harness, SHARED, CRASHING)
    assert count_requests(harness) == 3


def test_gateway_that_has_just_started_refuses_a_known_part(gateways):
    gateways.refuse_part()
    harness = gateways.start()
    assert gateways.call(harness, SHARED, CRASHING) == 503
    assert count_requests(harness) == 0


def test_reset_connections_blame_no_part(gateways):
    harness = gateways.start()
    for engine in harness.engines:
        engine.only_resets = True
    for _ in range(3):
        assert gateways.call(harness, SHARED, CRASHING) == 502
    assert count_requests(harness) == 6
    assert not gateways.find_rows()


def test_planned_stops_blame_no_part(gateways):
    harness = gateways.start()
    for member, engine in zip(harness.members, harness.engines, strict=True):
        engine.leaving_member = member
    gateways.call(harness, SHARED, CRASHING)
    gevent.sleep(0.05)
    assert count_requests(harness) == 2
    assert not gateways.find_rows()


def test_evidence_acts_at_once_while_the_store_is_silent_and_is_stored_later(gateways):
    harness = gateways.start()
    gateways.call(harness, SHARED)
    gateways.store.is_silent = True
    for _ in range(2):
        assert gateways.call(harness, SHARED, CRASHING) == 502
    assert gateways.call(harness, SHARED, CRASHING) == 503
    assert not gateways.find_rows()
    gateways.store.is_silent = False
    wait_until(lambda: gateways.find_part_rows() == [CRASHING.decode()])


def test_part_that_another_gateway_knows_as_sound_is_no_suspect(gateways):
    harness = gateways.start()
    knowing = gateways.start()
    assert gateways.call(knowing, SHARED) == 200
    gateways.call(harness, SHARED, CRASHING)
    wait_until(lambda: gateways.find_part_rows() == [CRASHING.decode()])


def pass_store_time(gateways, harnesses, step_ms):
    """Let the store's clock advance for the gateways."""
    gateways.store.clock_ahead_ms += step_ms
    for harness in harnesses:
        harness.board.store_clock_offset_ms += step_ms


def test_one_probe_after_the_first_refusal_ends_a_wrong_one(gateways):
    harnesses = gateways.refuse_part()
    for harness in harnesses:
        for engine in harness.engines:
            engine.is_sound = True
    pass_store_time(gateways, harnesses, FIRST_REFUSAL_MS)
    assert gateways.call(harnesses[0], SHARED, CRASHING) == 200
    wait_until(lambda: not gateways.find_part_rows())
    for harness in harnesses:
        wait_until(
            lambda book=harness.book: (
                book.find_refused((CRASHING.decode(),), 0.0) is None
            )
        )
        assert gateways.call(harness, SHARED, CRASHING) == 200


def test_only_one_gateway_probes_and_a_failed_probe_extends_the_refusal(gateways):
    harnesses = gateways.refuse_part()
    pass_store_time(gateways, harnesses, FIRST_REFUSAL_MS)
    counts = [count_requests(harness) for harness in harnesses]
    assert gateways.call(harnesses[0], SHARED, CRASHING) == 502
    assert gateways.call(harnesses[1], SHARED, CRASHING) == 503
    gevent.sleep(0.1)
    pass_store_time(gateways, harnesses, 2 * PROBE_MS)
    assert gateways.call(harnesses[1], SHARED, CRASHING) == 503
    assert [count_requests(harness) for harness in harnesses] == [
        counts[0] + 1,
        counts[1],
    ]


def test_probe_is_released_if_its_request_is_not_run(gateways):
    harnesses = gateways.refuse_part()
    pass_store_time(gateways, harnesses, FIRST_REFUSAL_MS)
    for harness in harnesses:
        for engine in harness.engines:
            engine.is_sound = True
    for member in harnesses[0].members:
        member.availability.record_leaving()
    assert gateways.call(harnesses[0], SHARED, CRASHING) == 503
    first, other = harnesses
    part = CRASHING.decode()
    wait_until(lambda: first.writer.waiting_count == 0)
    wait_until(lambda: other.book.version(part) == first.book.version(part), 3.0)
    assert gateways.call(other, SHARED, CRASHING) == 200


def test_run_on_its_way_is_ended_when_its_part_is_refused(gateways):
    harness = gateways.start()
    waiting = gevent.event.Event()

    def wait_for_end(sock, request):
        if CRASHING not in request[b"x-prompt-prefix"]:
            sock.sendall(build.build_stream_answer("q-1", range(6)))
            return True
        waiting.set()
        sock.recv(1)
        return False

    for server in harness.servers:
        server._answer = wait_for_end
    caller = gevent.spawn(gateways.call, harness, SHARED, CRASHING)
    waiting.wait()
    gateways.refuse_part()
    assert caller.get(timeout=20) == 502
    assert count_requests(harness) == 1


def test_store_that_returns_from_a_copy_gets_the_suspects_again(gateways):
    copy = gateways.store.history.take_copy()
    gateways.refuse_part()
    assert gateways.find_rows()
    gateways.store.history.restore(copy)
    wait_until(lambda: gateways.find_part_rows() == [CRASHING.decode()])
    assert gateways.call(gateways.start(), SHARED, CRASHING) == 503


def test_sound_requests_do_not_displace_evidence_while_the_store_is_silent(gateways):
    harness = gateways.start()
    gateways.call(harness, SHARED, CRASHING)
    wait_until(lambda: len(gateways.find_part_rows()) == 2)
    gateways.store.is_silent = True
    for _ in range(3):
        assert gateways.call(harness, SHARED) == 200
    gateways.call(harness, SHARED, CRASHING)
    assert harness.writer.waiting_count == 2
    gateways.store.is_silent = False
    wait_until(lambda: gateways.find_part_rows() == [CRASHING.decode()])
    wait_until(lambda: harness.writer.waiting_count == 0)
    assert gateways.call(harness, SHARED, CRASHING) == 503


def test_refused_part_ends_no_run_on_a_connection_used_before(gateways):
    harness = gateways.start()
    released = gevent.event.Event()
    sockets = []

    def answer(sock, request):
        sockets.append(sock)
        if CRASHING in request[b"x-prompt-prefix"]:
            refusal = "503 Service Unavailable", "X-Not-Executed: 1\r\n"
            sock.sendall(build.build_plain_answer("q-0", b"", *refusal))
            return True
        released.wait()
        sock.sendall(build.build_stream_answer("q-1", range(6)))
        return True

    for server in harness.servers:
        server._answer = answer
    ended = []
    original = harness.guard.end
    # The refused request stays open while the other one uses its last connection.
    harness.guard.end = ended.append
    assert gateways.call(harness, SHARED, CRASHING, request_id=b"q-0") == 503
    last_tried = max(i for i, server in enumerate(harness.servers) if server.requests)
    for number, member in enumerate(harness.members):
        if number != last_tried:
            member.availability.record_leaving()
    caller = gevent.spawn(gateways.call, harness, SHARED)
    wait_until(lambda: any(member.in_flight_count for member in harness.members))
    gateways.refuse_part()
    part = CRASHING.decode()
    wait_until(lambda: harness.book.find_refused((part,), 0.0))
    released.set()
    assert caller.get(timeout=20) == 200
    assert sockets[-1] is sockets[-2]
    # The run was not ended and repeated.
    assert len(harness.servers[last_tried].requests) == 2
    original(ended[0])


def test_failed_check_of_an_engine_does_not_hold_its_requests(gateways):
    harness = gateways.start()

    def fail(_member):
        raise RuntimeError("raised by the test")

    harness.guard._end_check.has_ended = fail
    assert gateways.call(harness, SHARED, CRASHING) == 502
    assert count_requests(harness) == 2
