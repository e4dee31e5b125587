"""Tests of the admission of a request, without a network."""

import random

import attrs
import pytest

from nutmegdeal.clock import ManualClock
from nutmegdeal.gateway.blackboard import Blackboard
from nutmegdeal.gateway.dispatch import Dispatcher
from nutmegdeal.gateway.members import Membership
from nutmegdeal.gateway.requests import Refusal
from nutmegdeal.site_configuration import WeightedService
from nutmegdeal.tests import platform_builders as build

SEED = 7
REQUEST_COUNT = 200
INVALID_WEIGHTS = [0.0, -1.0, float("nan"), float("inf")]


def build_dispatcher(configuration):
    """Return a Dispatcher that only admits requests."""
    clock = ManualClock()
    board = Blackboard(build.build_node_settings(), clock, Membership(), None)
    board.configuration = configuration
    board.initialized.set()
    unused = dict.fromkeys(
        (
            "transport",
            "selector",
            "search",
            "links",
            "retries",
            "budgets",
            "telemetry",
            "guard",
            "streams",
        )
    )
    return Dispatcher(board, random_state=random.Random(SEED), **unused)


def admit_with_split(*targets):
    """Return the outcomes of requests on a route with a split of its traffic."""
    targets = tuple(WeightedService(name, weight) for name, weight in targets)
    route = build.build_booking_route(targets=targets)
    dispatcher = build_dispatcher(build.build_configuration(routes=[route]))
    incoming = build.build_incoming(path=b"/book/1")
    return [dispatcher._admit(incoming) for _ in range(REQUEST_COUNT)]


@pytest.mark.parametrize("weight", INVALID_WEIGHTS)
@pytest.mark.parametrize("target_count", [0, 1, 2])
def test_route_without_a_positive_weight_is_refused_with_503(weight, target_count):
    targets = [(build.PLAIN_SERVICE, weight)] * target_count
    for refusal in admit_with_split(*targets):
        assert isinstance(refusal, Refusal)
        assert (refusal.status_code, refusal.reason) == (503, "no_service")
        assert refusal.retry_after_ms


@pytest.mark.parametrize("weight", INVALID_WEIGHTS)
@pytest.mark.parametrize("position", [0, 1, 2])
def test_target_without_a_positive_weight_is_never_chosen(weight, position):
    targets = [(build.PLAIN_SERVICE, 1.0), (build.PLAIN_SERVICE, 2.0)]
    targets.insert(position, (build.ENGINE_SERVICE, weight))
    outcomes = admit_with_split(*targets)
    assert {request.service.name for request in outcomes} == {build.PLAIN_SERVICE}


def test_split_uses_all_targets_with_a_positive_weight():
    outcomes = admit_with_split((build.PLAIN_SERVICE, 1.0), (build.ENGINE_SERVICE, 1.0))
    assert {request.service.name for request in outcomes} == {
        build.PLAIN_SERVICE,
        build.ENGINE_SERVICE,
    }


def test_route_to_a_service_that_is_gone_is_refused_with_503():
    configuration = build.build_configuration()
    dispatcher = build_dispatcher(attrs.evolve(configuration, services={}))
    refusal = dispatcher._admit(build.build_incoming())
    assert (refusal.status_code, refusal.reason) == (503, "no_service")


@pytest.mark.parametrize(
    "value", [b"nan", b"inf", b"-inf", b"-1", b"1e400", b"9" * 5_000, b"", b"\xff"]
)
def test_unusual_deadline_is_at_most_that_of_the_route_or_refused(value):
    headers = [(b"host", b"chat.example"), (b"x-request-id", b"q-1")]
    headers.append((b"x-deadline-ms", value))
    dispatcher = build_dispatcher(build.build_configuration())
    admitted = dispatcher._admit(build.build_incoming(headers=headers))
    if isinstance(admitted, Refusal):
        assert (admitted.status_code, admitted.reason) == (400, "bad_header")
    else:
        assert admitted.deadline_ms <= build.build_route().timeout_ms
