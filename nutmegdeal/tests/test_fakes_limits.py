"""Tests of the stand-ins' rate limits, transfers, delays, batch slots and faults."""

from hypothesis import given
from hypothesis import strategies as st

from nutmegdeal.configuration import WeightStorePolicy
from nutmegdeal.fakes.batch_slots import BatchSlots
from nutmegdeal.fakes.lag import LAG_MAX_MS, LaggingValue
from nutmegdeal.fakes.rate_limit import RateLimit
from nutmegdeal.fakes.server import FaultTrigger
from nutmegdeal.fakes.transfers import TransferSchedule


@given(st.lists(st.floats(0, 5_000), max_size=60), st.integers(1, 10))
def test_rate_limit_grants_no_more_than_its_rate(steps_ms, rate_per_s):
    limit = RateLimit(burst_count=2)
    now_ms, granted_count = 0.0, 0
    for step_ms in steps_ms:
        now_ms += step_ms
        granted_count += limit.try_take(now_ms, rate_per_s)
    assert granted_count <= 2 + now_ms * rate_per_s / 1000 + 1e-6


def test_concurrent_transfers_run_at_full_speed_and_others_wait():
    schedule = TransferSchedule(WeightStorePolicy(loads_per_s=4.0))
    transfers = [schedule.begin(0.0) for _ in range(4)]
    assert [transfer.ends_at_ms for transfer in transfers] == [250, 250, 500, 750]


def test_transfers_slow_down_in_proportion_beyond_the_transit_limit():
    schedule = TransferSchedule(WeightStorePolicy(loads_per_s=1000.0))
    transfers = [schedule.begin(0.0) for _ in range(32)]
    durations_ms = [
        transfer.ends_at_ms - transfer.starts_at_ms for transfer in transfers
    ]
    assert durations_ms[:16] == [250] * 16
    assert durations_ms[31] == 500


def test_half_rate_takes_twice_as_long():
    schedule = TransferSchedule(WeightStorePolicy(loads_per_s=4.0))
    schedule.rate_factor = 0.5
    starts = [schedule.begin(0.0).starts_at_ms for _ in range(4)]
    assert starts == [0, 0, 500, 1000]


def test_batch_slots_are_granted_by_priority_then_waiting_time():
    slots = BatchSlots(1)
    running = slots.request(1)
    bulk, first, second = slots.request(2), slots.request(0), slots.request(0)
    assert running.is_set()
    order = []
    for _ in range(3):
        slots.release(running)
        (running,) = [
            slot
            for slot in (bulk, first, second)
            if slot.is_set() and slot not in order
        ]
        order.append(running)
    assert order == [first, second, bulk]


def test_withdrawn_request_for_a_slot_is_not_granted():
    slots = BatchSlots(1)
    running, withdrawn, waiting = slots.request(1), slots.request(0), slots.request(1)
    slots.release(withdrawn)
    slots.release(running)
    assert (withdrawn.is_set(), waiting.is_set()) == (False, True)


def test_lagging_value_is_read_with_delay_and_drops_old_changes():
    value = LaggingValue("a")
    value.replace("b", 1_000)
    assert value.read(1_500, 600) == "a"
    assert value.read(1_600, 600) == "b"
    for step in range(10):
        value.replace(step, 2_000 + step * LAG_MAX_MS)
    assert value.read(2_000 + 9 * LAG_MAX_MS) == 9
    assert value.read(2_000 + 9 * LAG_MAX_MS, LAG_MAX_MS) == 8


def test_fault_trigger_fires_count_times_and_is_deterministic_by_seed():
    trigger = FaultTrigger(count=2)
    assert [trigger.fires() for _ in range(3)] == [True, True, False]
    draws = [[FaultTrigger(probability=0.5, seed=s).fires() for s in range(20)]] * 2
    assert draws[0] == draws[1]
    assert 0 < sum(draws[0]) < 20
