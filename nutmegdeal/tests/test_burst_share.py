"""Tests that all gateways together stay within the retry budget."""

import random

import pytest

from nutmegdeal.gateway.burst_share import BurstShare
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.budget_load import BudgetSite

# As on the largest installation, which may add further gateways.
LARGE_COUNT = 79
LARGE_BOUNDS = build.build_bounds(retry_burst=176.0)
SMALL_COUNT = 5
SMALL_BOUNDS = build.build_bounds(retry_burst=58.0)
SETTLED_MS = 20_000.0
HERD_MS = 4_000.0
# Within a window of the budget in which the burst is spent.
RESTARTED_MS = 15_000.0


@pytest.mark.parametrize("requests_per_s", [0.0, 10.0, 80.0])
def test_bound_holds_for_many_gateways_that_no_placer_counts(requests_per_s):
    starts_ms = [0.0] * LARGE_COUNT
    site = BudgetSite(LARGE_BOUNDS, starts_ms, False, requests_per_s)
    assert site.run(0.0, SETTLED_MS) <= 0.0


@pytest.mark.parametrize("seed", range(3))
def test_bound_holds_while_all_gateways_start_again(seed):
    draw = random.Random(seed).uniform
    starts_ms = [draw(0.0, HERD_MS) for _ in range(LARGE_COUNT)]
    site = BudgetSite(LARGE_BOUNDS, starts_ms, requests_per_s=10.0)
    assert site.run(0.0, SETTLED_MS) <= 0.0


def test_bound_holds_when_gateways_are_added():
    added_ms = SETTLED_MS + 4_000.0
    starts_ms = [0.0] * SMALL_COUNT + [added_ms] * 3
    site = BudgetSite(SMALL_BOUNDS, starts_ms, requests_per_s=2.0)
    assert site.run(0.0, 3 * SETTLED_MS) <= 0.0


def test_bound_holds_when_gateways_forget_their_retries():
    site = BudgetSite(SMALL_BOUNDS, [0.0] * SMALL_COUNT)
    assert site.run(0.0, RESTARTED_MS) <= 0.0
    for number in range(2):
        site.restart(number, RESTARTED_MS)
    assert site.run(RESTARTED_MS, 2 * SETTLED_MS) <= 0.0


def test_most_of_the_burst_can_be_used_once_the_gateways_are_counted():
    site = BudgetSite(SMALL_BOUNDS, [0.0] * SMALL_COUNT)
    site.run(0.0, SETTLED_MS - 2_000.0)
    assert site.retry_count >= 0.7 * SMALL_BOUNDS.retry_burst


def test_count_of_gateways_never_decreases():
    share = BurstShare(SMALL_BOUNDS, 0.0)
    before = share.compute(SMALL_COUNT, SETTLED_MS)
    assert share.compute(1, SETTLED_MS) == before
    assert share.compute(0, SETTLED_MS) == before
