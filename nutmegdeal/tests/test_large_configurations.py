"""Tests of the work that a configuration with many routes makes."""

import json

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st

from nutmegdeal.clock import ManualClock
from nutmegdeal.gateway.blackboard import Blackboard
from nutmegdeal.gateway.watching import OperatorWatcher
from nutmegdeal.platform.rows import StoredRow
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.configuration_builders import build_operator_configuration

ROUTE_COUNT = 5_000
HOST = "chat.example"
# Decoding so many takes about 6 ms on the smallest hosts of the installations.
ROUTES_PER_TURN_MAX = 200


class CountingPath(str):
    """A path that counts how often it is compared or cut."""

    def __init__(self, text):
        self.count = 0

    def startswith(self, prefix):
        self.count += 1
        return super().startswith(prefix)

    def __getitem__(self, key):
        self.count += 1
        return super().__getitem__(key)


def build_large_configuration():
    """Return a SiteConfiguration with many routes of one host."""
    routes = [
        build.build_lookup_route(name=f"r-{number}", prefix=f"/look-{number:05d}/")
        for number in range(ROUTE_COUNT)
    ]
    return build.build_configuration(routes=[*routes, build.build_lookup_route()])


@pytest.mark.parametrize(
    ("text", "name"),
    [("/look-04999/x", "r-4999"), ("/look/x", "r-look"), ("/none/x", None)],
)
def test_the_search_for_a_route_does_not_compare_all_prefixes(text, name):
    path = CountingPath(text)
    route = build_large_configuration().find_route(HOST, path)
    assert (route.name if route else None) == name
    # One for each length of a prefix.
    assert 0 < path.count <= 2


TEXTS = st.text(alphabet="/ab", max_size=5)


@given(st.lists(TEXTS, max_size=8), TEXTS)
def test_the_first_route_with_the_longest_prefix_is_found(prefixes, path):
    routes = [
        build.build_lookup_route(name=f"r-{number}", prefix=prefix)
        for number, prefix in enumerate(prefixes)
    ]
    matching = [route for route in routes if path.startswith(route.prefix)]
    # max() returns the first of several.
    expected = max(matching, key=lambda route: len(route.prefix), default=None)
    assert build.build_configuration(routes=routes).find_route(HOST, path) is expected


def encode_large_configuration():
    """Return the operator's row (bytes) of a configuration with many routes."""
    data = build_operator_configuration()
    route = data["routes"][-1]
    data["routes"] += [
        {**route, "name": f"r-{number}", "prefix": f"/r-{number}/"}
        for number in range(ROUTE_COUNT)
    ]
    return json.dumps(data).encode()


def test_requests_are_served_while_a_large_configuration_is_decoded():
    board = Blackboard(build.build_node_settings(), ManualClock(), None, None)
    watcher = OperatorWatcher(None, board, None)
    row = StoredRow("config", encode_large_configuration(), 1)
    applying = gevent.spawn(watcher.apply_changes, [row])
    turn_count = 0
    while not applying.dead:
        # Only a whole configuration is in force.
        assert board.configuration is None
        turn_count += 1
        gevent.sleep(0)
    applying.get()
    assert len(board.configuration.routes) > ROUTE_COUNT
    assert turn_count >= ROUTE_COUNT / ROUTES_PER_TURN_MAX
