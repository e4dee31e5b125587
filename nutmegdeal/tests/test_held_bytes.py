"""Decisions on the bytes that a process holds for callers and servers."""

import contextlib
import gc
import weakref

import hypothesis.strategies as st
import pytest
from hypothesis import given

from nutmegdeal.buffering.accounts import UNCOUNTED, HeldPart
from nutmegdeal.buffering.bound import (
    BYTES_PER_MB,
    HELD_BYTES_MIN,
    MemoryBound,
    compute_held_bytes_max,
)
from nutmegdeal.clock import ManualClock
from nutmegdeal.incoming_requests import CallerShedError

BYTES_MAX = 1_000
STEPS = st.lists(
    st.tuples(
        st.integers(0, 5),
        st.sampled_from(HeldPart),
        st.integers(0, 700),
        st.booleans(),
        st.integers(0, 400),
    ),
    max_size=60,
)


class HeldLoad:
    """Requests of which some wait for their callers, with a manual clock.

    Parameters
    ----------
    bytes_max : int or None

    Attributes
    ----------
    shed : list of HeldAccount
        Those that were interrupted, in their order.
    """

    def __init__(self, bytes_max=BYTES_MAX):
        self.clock = ManualClock()
        self.bound = MemoryBound(bytes_max, self.clock)
        self.shed = []

    def open(self, held_bytes=0, is_waiting=False):
        account = self.bound.open_account(lambda held, _error: self.shed.append(held))
        account.set(HeldPart.BODY, held_bytes)
        if is_waiting:
            account.waiting_since_ms = self.clock.monotonic_ms()
        return account


class TestMemory:
    """The bound for processes of several sizes."""

    def test_process_without_a_limit_counts_nothing(self):
        assert compute_held_bytes_max(None) is None
        load = HeldLoad(bytes_max=None)
        assert load.open(10 * BYTES_MAX) is UNCOUNTED
        assert load.bound.held_bytes == 0

    @pytest.mark.parametrize("memory_mb", [160.0, 200.0, 552.0])
    def test_bound_leaves_memory_for_copies_and_parsers(self, memory_mb):
        held_mb = compute_held_bytes_max(memory_mb) / BYTES_PER_MB
        assert 40.0 < held_mb < (memory_mb - 40.0) / 2

    def test_small_process_serves_usual_requests(self):
        assert compute_held_bytes_max(30.0) == HELD_BYTES_MIN


class TestShedding:
    """One process at its bound, with callers that read slowly and others."""

    def test_nothing_is_shed_up_to_the_bound(self):
        load = HeldLoad()
        slow = load.open(BYTES_MAX - 100, is_waiting=True)
        load.clock.advance(9_000.0)
        load.open(100)
        assert not load.shed
        assert not slow.is_shed

    def test_slow_caller_that_holds_most_is_shed_first(self):
        # Guards against the loss of requests whose callers are not at fault.
        load = HeldLoad()
        small = load.open(100, is_waiting=True)
        large = load.open(500, is_waiting=True)
        load.clock.advance(1_000.0)
        busy = load.open(400)
        load.open(10)
        assert load.shed == [large]
        assert not (small.is_shed or busy.is_shed)

    def test_short_wait_with_much_is_less_at_fault_than_a_long_one(self):
        load = HeldLoad()
        long = load.open(300, is_waiting=True)
        load.clock.advance(5_000.0)
        load.open(600, is_waiting=True)
        load.clock.advance(10.0)
        load.open(200)
        assert load.shed == [long]

    def test_request_that_has_stopped_waiting_is_not_at_fault(self):
        load = HeldLoad()
        was_slow = load.open(600)
        with was_slow.waiting_for_caller():
            load.clock.advance(5_000.0)
        slow = load.open(300, is_waiting=True)
        load.clock.advance(10.0)
        load.open(200)
        assert load.shed == [slow]

    def test_without_slow_callers_the_largest_is_shed(self):
        # Guards against a process that is killed because servers read slowly, and
        # against small requests that pay for it.
        load = HeldLoad()
        large = load.open(700)
        load.open(200)
        load.open(200)
        assert load.shed == [large]

    def test_several_are_shed_if_one_is_not_enough(self):
        load = HeldLoad()
        slow = [load.open(300, is_waiting=True) for _ in range(3)]
        load.clock.advance(1_000.0)
        load.open(500)
        assert len(load.shed) == 2
        assert set(load.shed) < set(slow)

    def test_request_that_is_at_fault_itself_ends_at_once(self):
        load = HeldLoad()
        account = load.open()
        with pytest.raises(CallerShedError) as caught:
            account.set(HeldPart.ANSWER, BYTES_MAX + 1)
        assert caught.value.held_bytes == BYTES_MAX + 1
        assert load.bound.held_bytes == 0
        # What is written to its caller at the end is not refused.
        account.set(HeldPart.WRITING, 2 * BYTES_MAX)
        assert not load.shed

    def test_what_an_ended_request_held_is_free_without_a_collection(self):
        """Tracebacks kept the frames of ended requests, with the bytes read last."""

        def hold():
            data = HeldLoad()
            account = data.open()
            with contextlib.suppress(CallerShedError):
                account.set(HeldPart.ANSWER, BYTES_MAX + 1)
            return weakref.ref(data)

        gc.collect()
        gc.disable()
        try:
            assert hold()() is None
        finally:
            gc.enable()

    def test_runs_of_one_request_are_counted_separately(self):
        load = HeldLoad()
        account = load.open(100)
        account.set(HeldPart.ANSWER, 200, "run-1")
        account.set(HeldPart.ANSWER, 300, "run-2")
        assert load.bound.held_bytes == 600
        account.release("run-1")
        assert load.bound.held_bytes == 400
        account.close()
        assert load.bound.held_bytes == 0

    @given(STEPS)
    def test_bound_holds_after_each_step(self, steps):
        # Guards against a process that is killed, and against counts that drift.
        load = HeldLoad()
        accounts = [load.open() for _ in range(6)]
        for index, part, held_bytes, is_waiting, pause_ms in steps:
            account = accounts[index]
            load.clock.advance(float(pause_ms))
            account.waiting_since_ms = load.bound.now_ms() if is_waiting else None
            try:
                account.set(part, held_bytes)
            except CallerShedError:
                assert account.is_shed
            for item in load.shed:
                item.close()
            assert load.bound.held_bytes <= BYTES_MAX
            counted = [item for item in accounts if not item.is_shed]
            assert load.bound.held_bytes == sum(item.held_bytes for item in counted)
            accounts = [load.open() if item.is_shed else item for item in accounts]
