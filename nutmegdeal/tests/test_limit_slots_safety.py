"""Gateways together keep the limit of a server, whatever fails.

Gateways learn of the limit by an answer, share a row of the store that loses calls and
answers, is away and returns from a copy, and restart. Their requests come at any time,
also all at once after a pause. No gateway is excused, though the platform excuses those
that were cut off or have restarted.
"""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from nutmegdeal.fakes.named_limit import allowed_count, most_in_window
from nutmegdeal.tests.limit_load import (
    BucketGateway,
    EraBlindGateway,
    LimitedSite,
    SlotGateway,
)
from nutmegdeal.tests.state_machine_settings import (
    STATE_MACHINE_SETTINGS,
    faulty_version_settings,
)

GATEWAY_COUNT = 12
# Steps of an example; each plays up to 6 s.
STEP_COUNT = 25
LAGS_MS = (0.0, 4.0, 400.0)
INDEXES = st.integers(0, GATEWAY_COUNT - 1)
DURATIONS_MS = st.sampled_from([100.0, 1_000.0, 2_500.0, 6_000.0])


class LimitMachine(RuleBasedStateMachine):
    """Gateways that share the limit of one server."""

    gateway_class = SlotGateway

    def __init__(self):
        super().__init__()
        self.start(1.0)

    @initialize(limit_per_s=st.sampled_from([0.5, 1.0, 1.9, 8.0, 40.0]))
    def start(self, limit_per_s):
        """Begin with a server that names its limit."""
        self.site = LimitedSite(limit_per_s, GATEWAY_COUNT, self.gateway_class, LAGS_MS)

    @rule(duration_ms=DURATIONS_MS)
    def pause(self, duration_ms):
        """Let time pass without requests."""
        self.site.advance(duration_ms)

    @rule(duration_ms=DURATIONS_MS)
    def load(self, duration_ms):
        """Let requests come everywhere."""
        self.site.advance(duration_ms, arrivals_per_tick=1)

    @rule(count=st.integers(1, 3))
    def burst(self, count):
        """Let requests come at all gateways at once."""
        for gateway in self.site.gateways:
            for _ in range(count):
                self.site.arrive(gateway)

    @rule(index=INDEXES, count=st.integers(1, 5))
    def arrive(self, index, count):
        """Let requests come at one gateway."""
        for _ in range(count):
            self.site.arrive(self.site.gateways[index])

    @rule(index=INDEXES)
    def restart(self, index):
        """Restart a gateway."""
        self.site.gateways[index].restart()

    @rule(index=INDEXES, is_cut=st.booleans())
    def cut(self, index, is_cut):
        """Cut a gateway off from the store, or end the cut."""
        self.site.gateways[index].is_cut = is_cut

    @rule(index=INDEXES, loses_answers=st.booleans())
    def lose_answers(self, index, loses_answers):
        """Lose the store's answers to a gateway, or no longer."""
        self.site.gateways[index].loses_answers = loses_answers

    @rule(is_away=st.booleans())
    def change_store(self, is_away):
        """Let the store be away, or return."""
        self.site.row.is_away = is_away

    @rule(age=st.integers(1, 6))
    def restore(self, age):
        """Return the store to a copy."""
        self.site.row.restore(age)

    @invariant()
    def limit_is_kept(self):
        """Check that the server never gets more than the platform allows."""
        most = most_in_window(self.site.counted_ms)
        assert most <= allowed_count(self.site.limit_per_s)


class BucketMachine(LimitMachine):
    """With token buckets of one token for each gateway."""

    gateway_class = BucketGateway


TestLimit = LimitMachine.TestCase
TestLimit.settings = settings(STATE_MACHINE_SETTINGS, stateful_step_count=STEP_COUNT)


def test_a_bucket_in_each_gateway_is_detected():
    with pytest.raises(AssertionError):
        run_state_machine_as_test(BucketMachine, settings=faulty_version_settings(200))


def play_copies(gateway_class):
    """Return the most arrivals in a window around two returns to an empty copy."""
    site = LimitedSite(40.0, 30, gateway_class)
    site.row.copies.append(None)
    site.advance(1_200.0, arrivals_per_tick=1)
    for _ in range(2):
        site.row.record = None
        site.row.era += 1
    site.advance(3_500.0, arrivals_per_tick=1)
    return most_in_window(site.counted_ms)


def test_slots_that_a_copy_lacks_are_not_reserved_again():
    assert play_copies(SlotGateway) <= allowed_count(40.0)
    assert play_copies(EraBlindGateway) > allowed_count(40.0)


def play_newcomer(gateway_class, limit_per_s, has_restarted):
    """Return the most arrivals in a window after a gateway begins a missing row."""
    site = LimitedSite(limit_per_s, 30, gateway_class)
    newcomer, *others = site.gateways
    site.gateways = others
    site.advance(3_000.0, arrivals_per_tick=1)
    site.gateways = [newcomer, *others]
    if not has_restarted:
        newcomer.observe(site.row, site.now_ms - 3_000.0)
    site.row.record = None
    site.row.era += 1
    site.arrive(newcomer)
    for _ in range(10):
        site.advance(100.0)
        site.arrive(newcomer)
    site.advance(6_000.0, arrivals_per_tick=1)
    return most_in_window(site.counted_ms)


@pytest.mark.parametrize("has_restarted", [False, True])
@pytest.mark.parametrize("limit_per_s", [8.0, 40.0])
def test_row_begun_by_a_gateway_new_to_the_limit_is_no_second_one(
    limit_per_s, has_restarted
):
    most = play_newcomer(SlotGateway, limit_per_s, has_restarted)
    assert most <= allowed_count(limit_per_s)


@pytest.mark.parametrize("gateway_count", [4, 100])
@pytest.mark.parametrize("limit_per_s", [1.0, 1.9, 8.0])
def test_what_the_limit_allows_is_used(gateway_count, limit_per_s):
    site = LimitedSite(limit_per_s, gateway_count, SlotGateway)
    site.advance(5_000.0, arrivals_per_tick=1)
    before_count = site.sent_count
    site.advance(10_000.0, arrivals_per_tick=1)
    assert site.sent_count - before_count >= 0.9 * limit_per_s * 10


@pytest.mark.parametrize("gateway_count", [4, 100])
def test_some_requests_are_sent_while_the_store_is_away(gateway_count):
    site = LimitedSite(2.0, gateway_count, SlotGateway)
    site.advance(10_000.0, arrivals_per_tick=1)
    site.row.is_away = True
    before_count = site.sent_count
    site.advance(60_000.0, arrivals_per_tick=1)
    assert site.sent_count - before_count >= 0.2 * 2.0 * 60
    assert most_in_window(site.counted_ms) <= allowed_count(2.0)
