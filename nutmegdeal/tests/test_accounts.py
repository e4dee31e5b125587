"""Tests of recording events and storing them as segments."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from nutmegdeal import accounts
from nutmegdeal.clock import ManualClock
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.settings import AccountSettings
from nutmegdeal.tests.builders import FaultyObjects, build_event

BUFFER_EVENTS_MAX = 100


def build_recorder(objects, clock, buffer_events_max=BUFFER_EVENTS_MAX):
    settings = AccountSettings(buffer_events_max=buffer_events_max)
    return accounts.SegmentRecorder(objects, "entry-1", "e1", clock, settings)


def read_segments(objects):
    names = [name for name in sorted(objects.stored) if "watermark" not in name]
    return [accounts.decode(objects.stored[name], accounts.Segment) for name in names]


class RecorderMachine(RuleBasedStateMachine):
    """Records, flushes and watermarks in any order, with faults of the store."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.objects = FaultyObjects()
        self.recorder = build_recorder(self.objects, self.clock)
        self.recorded = []
        self.segment_events_max = accounts.SEGMENT_EVENTS_MAX
        accounts.SEGMENT_EVENTS_MAX = 16

    def teardown(self):
        accounts.SEGMENT_EVENTS_MAX = self.segment_events_max

    @rule(count=st.sampled_from((1, 3, 70)))
    def record(self, count):
        for _ in range(count):
            event = build_event(
                request_id=f"e1-{len(self.recorded):x}", at_unix_ms=self.clock.unix_ms()
            )
            self.recorder.record(event)
            self.recorded.append(event)
            self.clock.advance(1)

    @rule(step_ms=st.sampled_from((1, 40, 2_000)))
    def wait(self, step_ms):
        self.clock.advance(step_ms)

    @rule(fault=st.sampled_from(("", "down", "answer lost")))
    def set_store_fault(self, fault):
        self.objects.fault = fault

    @rule()
    def flush(self):
        failure = self.recorder.flush()
        if not self.objects.fault:
            assert failure is None
        if failure is None:
            assert self.count_stored_or_dropped() == len(self.recorded)

    @rule()
    def write_watermark(self):
        failure = self.recorder.write_watermark()
        assert (failure is None) == (self.objects.fault == "")

    def count_stored_or_dropped(self):
        segments = read_segments(self.objects)
        dropped = sum(
            dropped_span.event_count
            for s in segments
            for dropped_span in s.dropped_spans
        )
        return dropped + sum(len(s.events) for s in segments)

    @invariant()
    def nothing_is_stored_twice(self):
        stored = [e.request_id for s in read_segments(self.objects) for e in s.events]
        assert len(stored) == len(set(stored))

    @invariant()
    def each_recorded_event_before_the_watermark_is_stored_or_dropped(self):
        segments = sorted(read_segments(self.objects), key=lambda s: s.sequence)
        assert [s.sequence for s in segments] == list(range(len(segments)))
        covers_to_unix_ms = max((s.covers_to_unix_ms for s in segments), default=0)
        body = self.objects.stored.get(accounts.watermark_name("e1"))
        if body is not None:
            watermark = accounts.decode(body, accounts.Watermark)
            assert watermark.segment_count <= len(segments)
            covers_to_unix_ms = max(covers_to_unix_ms, watermark.covers_to_unix_ms)
        stored = {event for segment in segments for event in segment.events}
        dropped_spans = [
            dropped_span
            for segment in segments
            for dropped_span in segment.dropped_spans
        ]
        missing = [
            event
            for event in self.recorded
            if event.at_unix_ms < covers_to_unix_ms and event not in stored
        ]
        assert len(missing) <= sum(
            dropped_span.event_count for dropped_span in dropped_spans
        )
        for event in missing:
            assert any(
                dropped_span.first_unix_ms
                <= event.at_unix_ms
                <= dropped_span.last_unix_ms
                for dropped_span in dropped_spans
            )


TestRecorder = RecorderMachine.TestCase


def test_decoding_restores_an_encoded_segment():
    dropped_span = accounts.DroppedSpan(1, 2, 3)
    segment = accounts.Segment("entry-1", "e1", 4, 9, (build_event(),), (dropped_span,))
    assert accounts.decode(accounts.encode(segment), accounts.Segment) == segment


def test_undecodable_bytes_raise_value_error():
    with pytest.raises(ValueError, match="not a Watermark"):
        accounts.decode(b"\xc1", accounts.Watermark)


def test_segment_is_named_after_its_first_and_last_event():
    events = (build_event(at_unix_ms=7), build_event(at_unix_ms=5))
    segment = accounts.Segment("entry-1", "e1", 4, 9, events)
    assert segment.name == "accounts/e1/0000000000005-0000000000007-00000004"


def test_failed_write_is_repeated_with_the_same_content():
    objects, clock = FaultyObjects(), ManualClock()
    recorder = build_recorder(objects, clock)
    recorder.record(build_event())
    objects.fault = "answer lost"
    failure = recorder.flush()
    assert failure == Failure(
        Reason.STORE_UNAVAILABLE, Step.FLUSH, "objects", maybe_applied=True
    )
    before = dict(objects.stored)
    recorder.record(build_event())
    clock.advance(500)
    objects.fault = ""
    assert recorder.flush() is None
    assert before.items() <= objects.stored.items()
    assert len(objects.stored) == 2


def test_final_watermark_marks_the_end_of_a_process():
    objects = FaultyObjects()
    recorder = build_recorder(objects, ManualClock())
    recorder.record(build_event())
    assert recorder.write_watermark(is_final=True) is None
    body = objects.stored[accounts.watermark_name("e1")]
    watermark = accounts.decode(body, accounts.Watermark)
    assert watermark.is_final
    assert watermark.segment_count == 1


def test_dropped_span_holds_the_times_of_all_dropped_events():
    dropped_span = accounts.DroppedSpan(5, 5, 1).extended(build_event(at_unix_ms=3))
    assert dropped_span == accounts.DroppedSpan(3, 5, 2)
