"""Tests that the checks of the soak test find violations and excuse what is allowed."""

import random
import types

import attrs
import pytest

from nutmegdeal.fakes.endless_answers import ENDLESS_EVENT_TEXT
from nutmegdeal.fakes.named_limit import NamedLimit, NamedPeriod
from nutmegdeal.fakes.platform_configuration import ADAPTER_SLOTS, ENGINE_SERVICE
from nutmegdeal.fakes.prompt_crashes import CauseRecord
from nutmegdeal.platform.rows import decode_configuration
from nutmegdeal.soak.callers import CallRecord
from nutmegdeal.soak.configurations import TIMEOUT_MS, draw_values
from nutmegdeal.soak.fault_records import (
    CONFIGURATION_KIND,
    CRASHING_PROMPTS_KIND,
    ENDLESS_ANSWERS_KIND,
    SILENCE_KIND,
    FaultRecord,
)
from nutmegdeal.soak.rule_checks import (
    ANSWER_MARGIN_MS,
    CONFIGURATION_EFFECT_S,
    CONTACT_S,
    CRASHES_MAX,
    FAULT_EFFECT_S,
    LATE_ARRIVALS_MAX,
    CutCounts,
    count_cuts,
    find_exceeded_limits,
    find_late_arrivals,
    find_violations,
)
from nutmegdeal.soak.site import HOST

CHANGE = FaultRecord(CONFIGURATION_KIND, "configuration", 0.0, 0.5, True)
EMPTY_SITE = types.SimpleNamespace(backends=[], engines=[])
SILENCE = FaultRecord(SILENCE_KIND, "e-0", 0.0, 1.0, True)
ENDLESS = FaultRecord(ENDLESS_ANSWERS_KIND, "e-0", 0.0, 1.0, False)
KILL = FaultRecord("kill", "gateway-0", 0.0, 1.0, False)
DEADLINE_S = TIMEOUT_MS / 1000
LATE_S = (TIMEOUT_MS + ANSWER_MARGIN_MS) / 1000
CRASHING = FaultRecord(CRASHING_PROMPTS_KIND, "bad", 0.0, 60.0, False)
# When the fifth crash has happened, one a second.
CRASHED_S = float(CRASHES_MAX - 1)


def build_cut(kind="chat", ended_s=1.0, status_code=200):
    """Return the CallRecord of an answer that was cut off."""
    return CallRecord("c-1", kind, 0, 0.0, ended_s, status_code, None, True)


@pytest.mark.parametrize(
    ("record", "faults"),
    [
        (build_cut(), [SILENCE]),
        (build_cut("book", status_code=0), [SILENCE]),
        (build_cut("book", ended_s=DEADLINE_S, status_code=0), [SILENCE]),
        (build_cut(ended_s=DEADLINE_S), []),
        (build_cut(ended_s=LATE_S), [ENDLESS]),
    ],
)
def test_an_answer_that_nothing_excuses_is_a_violation(record, faults):
    assert find_violations([record], faults, EMPTY_SITE)


@pytest.mark.parametrize(
    ("record", "faults"),
    [
        (build_cut(), [SILENCE, KILL]),
        (build_cut(ended_s=DEADLINE_S), [SILENCE]),
        (build_cut(), [ENDLESS]),
        (build_cut(ended_s=LATE_S), [KILL]),
    ],
)
def test_faults_and_deadlines_excuse_a_cut_answer(record, faults):
    assert not find_violations([record], faults, EMPTY_SITE)


@pytest.mark.parametrize("status_code", [413, 431])
def test_a_refusal_that_no_configuration_allows_is_a_violation(status_code):
    record = attrs.evolve(build_cut(status_code=status_code), body=b"")
    assert find_violations([record], [CHANGE], EMPTY_SITE)


def test_cuts_are_counted_beside_changes_and_otherwise():
    late_s = CHANGE.ended_s + CONFIGURATION_EFFECT_S + 0.1
    late = attrs.evolve(build_cut(), started_s=late_s, ended_s=late_s + 1)
    served = attrs.evolve(late, body=b"", status_code=503)
    unsent = attrs.evolve(late, was_sent=False)
    records = [build_cut(), late, late, served, unsent]
    assert count_cuts(records, [CHANGE]) == (CutCounts(1, 1), CutCounts(4, 2))


def test_a_stream_that_its_deadline_ended_is_not_counted_as_cut():
    record = build_cut(ended_s=DEADLINE_S)
    assert count_cuts([record], [SILENCE]) == (CutCounts(0, 0), CutCounts(1, 0))


def test_drawn_configurations_leave_callers_what_they_need():
    random_state = random.Random(1)
    for version in range(200):
        row = draw_values(random_state).encode(version, HOST)
        configuration = decode_configuration(row)
        for route in configuration.routes:
            assert route.timeout_ms >= TIMEOUT_MS
            assert any(target.weight > 0 for target in route.targets)
        engine = configuration.services[ENGINE_SERVICE].engine
        assert 0 < engine.adapter_slots_max <= ADAPTER_SLOTS


def build_stream(kind, body):
    """Return the CallRecord of a complete stream."""
    return CallRecord("c-1", kind, 0, 0.0, 1.0, 200, body, True)


@pytest.mark.parametrize(
    ("kind", "body", "is_wrong"),
    [
        ("chat", b"id: 0\n" + ENDLESS_EVENT_TEXT + b"\n\n", False),
        ("quote", b"id: 0\n" + ENDLESS_EVENT_TEXT + b"\n\n", True),
        ("chat", b"id: 0\ndata: c-2\n\n", True),
    ],
)
def test_only_resumed_streams_may_hold_events_of_an_endless_answer(
    kind, body, is_wrong
):
    found = find_violations([build_stream(kind, body)], [ENDLESS], EMPTY_SITE)
    assert any("wrong body" in text for text in found) is is_wrong


def find_late(crash_count=CRASHES_MAX, late_s=CONTACT_S + 0.1, faults=(CRASHING,)):
    """Return what is found if one request too many is sent with a part."""
    crashes = [CauseRecord("bad", "c-0", second * 1e3) for second in range(crash_count)]
    late_ms = (CRASHED_S + late_s) * 1e3
    arrivals = [
        CauseRecord("bad", f"c-{number}", late_ms)
        for number in range(LATE_ARRIVALS_MAX + 1)
    ]
    gateways = {arrival.request_id: 0 for arrival in arrivals}
    return list(find_late_arrivals(crashes, arrivals, gateways, faults, CRASHES_MAX))


def build_restart(gateway):
    """Return the FaultRecord of a gateway's planned restart after the last crash."""
    target = f"gateway-{gateway}"
    return FaultRecord("terminate", target, CRASHED_S, CRASHED_S + 1, True)


def test_one_arrival_too_many_after_the_crashes_is_a_violation():
    assert len(find_late()) == 1
    assert len(find_late(faults=(CRASHING, build_restart(gateway=1)))) == 1


def test_arrivals_are_allowed_before_the_gateways_know_of_the_crashes():
    assert not find_late(crash_count=CRASHES_MAX - 1)
    assert not find_late(late_s=CONTACT_S - 0.1)


def test_a_gateway_that_was_just_restarted_is_excused_for_a_time():
    assert not find_late(faults=(CRASHING, build_restart(gateway=0)))
    long_after_s = 1 + FAULT_EFFECT_S + 0.1
    assert find_late(late_s=long_after_s, faults=(CRASHING, build_restart(gateway=0)))


def build_limited_backend(arrived_ms):
    """Return a server that named 1 request a second from 0 to 20 s."""
    limit = NamedLimit(
        arrivals=[(at_ms, f"c-{number}") for number, at_ms in enumerate(arrived_ms)],
        periods=[NamedPeriod(1.0, 0.0, 20_000.0)],
    )
    return types.SimpleNamespace(backend_id="p-0#2", limit=limit)


# One more than 11, the number that is allowed in 4 s.
TOO_MANY = range(12)


def find_limits(arrived_ms, faults=()):
    gateways = {f"c-{number}": 0 for number in TOO_MANY}
    backend = build_limited_backend(arrived_ms)
    return list(find_exceeded_limits(backend, gateways, faults))


def test_too_many_arrivals_are_found_once_the_limit_is_known():
    assert find_limits([10_000.0 + number for number in TOO_MANY])


def test_allowed_arrivals_are_no_violation():
    assert not find_limits([10_000.0 + number for number in range(11)])


def test_arrivals_before_the_limit_is_known_are_no_violation():
    assert not find_limits([2_900.0 + number for number in TOO_MANY])


@pytest.mark.parametrize(
    ("kind", "target", "is_excused"),
    [
        ("kill", "gateway-0", True),
        ("kill", "gateway-1", False),
        ("backend_link", "p-0", True),
        ("backend_link", "p-1", False),
        ("store", "store", False),
    ],
)
def test_only_restarts_and_held_up_requests_excuse_an_exceeded_limit(
    kind, target, is_excused
):
    fault = FaultRecord(kind, target, 9.0, 11.0, False)
    found = find_limits([10_000.0 + number for number in TOO_MANY], [fault])
    assert bool(found) is not is_excused
