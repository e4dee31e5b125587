"""Tests of the stand-ins' rate limits, transfers, lag and batch places."""

from hypothesis import given
from hypothesis import strategies as st

from nutmegdeal.configuration import WeightStorePolicy
from nutmegdeal.fakes.batch import BatchPlaces
from nutmegdeal.fakes.lag import LAG_MAX_MS, LaggingValue
from nutmegdeal.fakes.rates import RateLimit
from nutmegdeal.fakes.server import Chance
from nutmegdeal.fakes.transfers import TransferSchedule


@given(st.lists(st.floats(0, 5_000), max_size=60), st.integers(1, 10))
def test_rate_limit_grants_no_more_than_its_rate(steps_ms, rate_per_s):
    limit = RateLimit(burst_count=2)
    now_ms, granted_count = 0.0, 0
    for step_ms in steps_ms:
        now_ms += step_ms
        granted_count += limit.try_take(now_ms, rate_per_s)
    assert granted_count <= 2 + now_ms * rate_per_s / 1000 + 1e-6


def test_transfers_at_once_run_at_full_speed_and_others_wait():
    schedule = TransferSchedule(WeightStorePolicy(loads_per_s=4.0))
    transfers = [schedule.begin(0.0) for _ in range(4)]
    assert [transfer.ends_at_ms for transfer in transfers] == [250, 250, 500, 750]


def test_transfers_slow_down_in_proportion_beyond_the_transit_limit():
    schedule = TransferSchedule(WeightStorePolicy(loads_per_s=1000.0))
    transfers = [schedule.begin(0.0) for _ in range(32)]
    spans = [transfer.ends_at_ms - transfer.starts_at_ms for transfer in transfers]
    assert spans[:16] == [250] * 16
    assert spans[31] == 500


def test_half_rate_takes_twice_as_long():
    schedule = TransferSchedule(WeightStorePolicy(loads_per_s=4.0))
    schedule.rate_factor = 0.5
    starts = [schedule.begin(0.0).starts_at_ms for _ in range(4)]
    assert starts == [0, 0, 500, 1000]


def test_batch_places_go_to_the_most_urgent_then_the_longest_waiting():
    places = BatchPlaces(1)
    running = places.ask(1)
    bulk, first, second = places.ask(2), places.ask(0), places.ask(0)
    assert running.is_set()
    order = []
    for _ in range(3):
        places.give_back(running)
        (running,) = [
            place
            for place in (bulk, first, second)
            if place.is_set() and place not in order
        ]
        order.append(running)
    assert order == [first, second, bulk]


def test_place_given_up_while_waiting_is_not_given():
    places = BatchPlaces(1)
    running, gone, waiting = places.ask(1), places.ask(0), places.ask(1)
    places.give_back(gone)
    places.give_back(running)
    assert (gone.is_set(), waiting.is_set()) == (False, True)


def test_lagging_value_is_seen_late_and_forgets():
    value = LaggingValue("a")
    value.replace("b", 1_000)
    assert value.read(1_500, 600) == "a"
    assert value.read(1_600, 600) == "b"
    for step in range(10):
        value.replace(step, 2_000 + step * LAG_MAX_MS)
    assert value.read(2_000 + 9 * LAG_MAX_MS) == 9
    assert value.read(2_000 + 9 * LAG_MAX_MS, LAG_MAX_MS) == 8


def test_chance_fires_so_many_times_and_repeats_by_seed():
    counted = Chance(count=2)
    assert [counted.fires() for _ in range(3)] == [True, True, False]
    draws = [[Chance(probability=0.5, seed=s).fires() for s in range(20)]] * 2
    assert draws[0] == draws[1]
    assert 0 < sum(draws[0]) < 20
