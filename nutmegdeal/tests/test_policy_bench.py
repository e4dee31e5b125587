"""Small seeded runs of the policy benchmark, and tests of its components."""

import itertools
import json
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from nutmegdeal.bench.load_bound import EngineDispatch, count_fewest_loads
from nutmegdeal.bench.policies import PolicyName
from nutmegdeal.bench.policy_comparison import compare_policies, run_policy
from nutmegdeal.bench.policy_metrics import summarize_waits
from nutmegdeal.bench.simulation_loop import SimulationLoop
from nutmegdeal.bench.teams import TEAMS
from nutmegdeal.bench.traffic import RunOptions, Scenario, generate_arrivals
from nutmegdeal.messages import Fate


def build_options(**changes):
    values = {
        "team": TEAMS["knusepool"],
        "scenario": Scenario.STEADY,
        "seed": 7,
        "warm_ms": 20_000.0,
        "measured_ms": 30_000.0,
        "intake_count": 300,
    }
    return RunOptions(**{**values, **changes})


def test_loop_wakes_greenlets_in_time_order():
    loop, seen = SimulationLoop(), []

    def sleep_in_loop(name, wait_ms):
        loop.sleep(wait_ms)
        seen.append((name, loop.now_ms))

    loop.spawn(sleep_in_loop, "late", 20.0)
    loop.spawn(sleep_in_loop, "early", 10.0)
    loop.run(100.0)
    assert seen == [("early", 10.0), ("late", 20.0)]


def test_sleeper_wakes_only_once():
    loop, results = SimulationLoop(), []

    def sleep_in_loop():
        sleeper = loop.begin_sleep()
        loop.call_later(5.0, sleeper.wake, "cut")
        results.append((loop.sleep(20.0, sleeper), loop.now_ms))

    loop.spawn(sleep_in_loop)
    loop.run(100.0)
    assert results == [("cut", 5.0)]


def search_min_loads(adapters, slot_count):
    """Return the smallest number of loads, by trying every possible eviction."""
    states = {frozenset(): 0}
    for adapter in adapters:
        following = {}
        for held, count in states.items():
            for kept, cost in _possible_evictions(held, adapter, slot_count):
                best = following.get(kept, count + cost)
                following[kept] = min(best, count + cost)
        states = following
    return min(states.values())


def _possible_evictions(held, adapter, slot_count):
    if adapter in held:
        return [(held, 0)]
    if len(held) < slot_count:
        return [(held | {adapter}, 1)]
    kept = itertools.combinations(sorted(held), slot_count - 1)
    return [(frozenset(choice) | {adapter}, 1) for choice in kept]


@given(st.lists(st.sampled_from("abcde"), max_size=14), st.integers(1, 3))
def test_bound_equals_the_minimum_over_all_evictions(adapters, slot_count):
    dispatches = [
        EngineDispatch(float(at_ms), adapter) for at_ms, adapter in enumerate(adapters)
    ]
    expected = search_min_loads(adapters, slot_count)
    assert count_fewest_loads(dispatches, slot_count, 0.0) == expected


def test_percentiles_use_sorted_waits():
    waits = summarize_waits(float(value) for value in range(100, 0, -1))
    assert (waits.p50_ms, waits.p95_ms, waits.p99_ms) == (50, 95, 99)


def test_traffic_is_reproducible_and_shift_changes_popularity():
    options = build_options(scenario=Scenario.SHIFT)
    arrivals = generate_arrivals(options)
    assert arrivals == generate_arrivals(options)

    def most_popular(is_late):
        names = [a.adapter for a in arrivals if (a.at_ms > 35_000) == is_late]
        return max(sorted(set(names)), key=names.count)

    assert most_popular(False) != most_popular(True)


@pytest.mark.parametrize("scenario", list(Scenario))
def test_every_request_ends_and_transit_limit_is_respected(scenario):
    fleet = run_policy(PolicyName.OURS, build_options(scenario=scenario))
    fates = {record.fate for record in fleet.records}
    # Bulk requests may still wait when the run ends.
    if scenario not in (Scenario.OVERNIGHT, Scenario.OVERLOAD3X):
        assert fates <= {Fate.COMPLETED, Fate.NOT_RUN}
    result = fleet.measure()
    assert result.transit_max_count <= 16
    assert result.all_classes.good_count > 0


def test_runs_are_reproducible_by_seed():
    options = build_options(scenario=Scenario.COLD_RESTART)
    assert compare_policies(options) == compare_policies(options)


@pytest.mark.parametrize("team", sorted(TEAMS))
def test_production_policies_load_no_more_than_naive_ones_in_steady_traffic(team):
    comparison = compare_policies(build_options(team=TEAMS[team]))
    assert comparison.ours.load_count <= comparison.naive.load_count
    assert comparison.ours.load_count >= comparison.bound.load_count


@pytest.mark.parametrize("scenario", ["zone_loss", "overload3x"])
def test_standard_output_is_exactly_one_json_line(scenario):
    command = [sys.executable, "-m", "nutmegdeal.tools.bench", "policy", "--json"]
    options = ["--scenario", scenario, "--seed", "201", "--seconds", "5"]
    output = subprocess.run(command + options, capture_output=True, check=True).stdout
    (line,) = output.splitlines()
    assert json.loads(line)["scenario"] == scenario
