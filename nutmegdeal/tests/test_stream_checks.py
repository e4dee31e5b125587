"""Tests that the soak finds mixed, disordered and lost streams, and excuses others."""

import itertools

import pytest

from nutmegdeal.fakes.stream_caller import (
    StreamCaller,
    StreamTry,
    decode_events,
    find_versions,
    remove_versions,
)
from nutmegdeal.soak.callers import CallRecord
from nutmegdeal.soak.fault_records import SOFTWARE_VERSIONS_KIND, FaultRecord
from nutmegdeal.soak.stream_checks import (
    FAULT_EFFECT_S,
    TAKEN_UP_MIN,
    find_stream_violations,
)
from nutmegdeal.soak.stream_takers import TakenStream

ENDED_S = 10.0
KILL = FaultRecord("kill", "gateway-0", 0.0, ENDED_S, False)
CHANGE = FaultRecord(SOFTWARE_VERSIONS_KIND, "up to v3", 0.0, ENDED_S, True)


def build_body(numbers, version="v1"):
    """Return events as an engine of a software version writes them."""
    return b"".join(
        b"id: %d\ndata: q-1 %s\n\n" % (n, version.encode()) for n in numbers
    )


def build_try(body, status_code=200, started_s=ENDED_S):
    return StreamTry("q-1", started_s, started_s + 1.0, status_code, {}, body, True)


def build_stream(*tries, peer_count=2):
    caller = StreamCaller("q-1", list, 1_000.0)
    caller.tries = list(tries)
    for number, item in enumerate(tries):
        item.request_id = f"q-1.{number}"
    return TakenStream(caller, [(peer_count, peer_count)] * len(tries))


def build_refused(**changes):
    return build_stream(build_try(build_body([0])), build_try(b"", 503), **changes)


def find(streams, faults=(), records=()):
    return find_stream_violations(records, streams, faults)


def build_record(body):
    return CallRecord("c-1", "chat", 0, 0.0, 1.0, 200, body, True)


def test_stream_of_two_versions_over_two_tries_is_found():
    tries = [build_try(build_body([0])), build_try(build_body([1], "v2"))]
    assert len(find([build_stream(*tries)])) == 1


def test_stream_of_two_versions_in_one_answer_is_found():
    body = build_body([0]) + build_body([1], "v2")
    assert len(find([build_stream(build_try(body))])) == 1
    assert len(find([], records=[build_record(body)])) == 1


def test_mixed_stream_is_found_beside_a_fault():
    tries = [build_try(build_body([0])), build_try(build_body([1], "v2"))]
    assert len(find([build_stream(*tries)], [KILL])) == 1


def test_stream_of_one_version_is_sound():
    tries = [build_try(build_body([0, 1])), build_try(build_body([2]))]
    assert not find([build_stream(*tries)], records=[build_record(build_body([0]))])


@pytest.mark.parametrize("numbers", [[1, 1], [1, 3], [2]])
def test_missing_and_repeated_events_are_found(numbers):
    tries = [build_try(build_body([0])), build_try(build_body(numbers))]
    assert len(find([build_stream(*tries)])) == 1


def test_events_of_an_endless_answer_are_not_counted():
    endless = b"id: 7\ndata: endless\n\n"
    assert not find([build_stream(build_try(endless), build_try(b""))])


def test_streams_that_do_not_go_on_are_found():
    streams = [build_refused() for _ in range(TAKEN_UP_MIN)]
    assert len(find(streams)) == 1
    assert len(find(streams, [CHANGE])) == 1


@pytest.mark.parametrize(
    ("streams", "faults"),
    [
        ([build_refused() for _ in range(TAKEN_UP_MIN - 1)], []),
        ([build_refused(peer_count=1) for _ in range(TAKEN_UP_MIN)], []),
        ([build_refused() for _ in range(TAKEN_UP_MIN)], [KILL]),
        (
            [
                build_refused()
                if is_refused
                else build_stream(build_try(build_body([0])), build_try(b""))
                for is_refused in itertools.islice(
                    itertools.cycle([True, False]), 2 * TAKEN_UP_MIN
                )
            ],
            [],
        ),
    ],
    ids=["few", "one_peer", "beside_a_fault", "half"],
)
def test_other_streams_that_do_not_go_on_are_excused(streams, faults):
    assert not find(streams, faults)


def test_fault_excuses_streams_for_a_time_only():
    old = FaultRecord("kill", "gateway-0", 0.0, ENDED_S - FAULT_EFFECT_S - 1.0, False)
    assert len(find([build_refused() for _ in range(TAKEN_UP_MIN)], [old])) == 1


def test_tries_before_the_first_event_do_not_take_the_stream_up():
    refused, begun, again = (
        build_try(b"", 503),
        build_try(build_body([0])),
        build_try(build_body([1])),
    )
    stream = build_stream(refused, begun, again)
    assert stream.taken_up == stream.gone_on == [again]
    assert not stream.refused and not stream.has_begun


def test_version_of_an_event_can_be_removed():
    body = build_body([0, 1])
    assert find_versions(decode_events(body)) == {"v1"}
    assert remove_versions(body) == b"id: 0\ndata: q-1\n\nid: 1\ndata: q-1\n\n"
    assert remove_versions(remove_versions(body)) == remove_versions(body)
    assert not find_versions(decode_events(remove_versions(body)))
