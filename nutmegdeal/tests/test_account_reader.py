"""Tests of reading a request's events from many segments."""

import math

from hypothesis import given
from hypothesis import strategies as st

from nutmegdeal import accounts
from nutmegdeal.account_reader import AccountReader
from nutmegdeal.accounts import Outcome
from nutmegdeal.errors import Step
from nutmegdeal.explanations import explain
from nutmegdeal.tests.builders import FaultyObjects, build_event

START_UNIX_MS = 1_700_000_000_000
SEGMENT_COUNT = 1_024


class CountingObjects(FaultyObjects):
    """An object store that counts the objects read."""

    read_count = 0

    def get(self, name):
        """Count a read, and return the bytes under `name`."""
        self.read_count += 1
        return super().get(name)


def store_segments(objects, segment_contents):
    """Store each list of events as one segment of the same entry."""
    for sequence, events in enumerate(segment_contents):
        covers_to = max((e.at_unix_ms + 1 for e in events), default=START_UNIX_MS)
        segment = accounts.Segment("entry-1", "e1", sequence, covers_to, tuple(events))
        objects.stored[segment.name] = accounts.encode(segment)


def read(objects, request_id):
    return AccountReader(objects, lambda events: None).read(request_id)


def build_entry_event(number, at_unix_ms, step, outcome):
    return build_event(
        request_id=f"e1-{number:x}", at_unix_ms=at_unix_ms, step=step, outcome=outcome
    )


@st.composite
def interleaved_requests(draw):
    """Generate events of concurrent requests, split into segments at random.

    Returns
    -------
    tuple
        Number of requests, all events, and the lists of events of the segments.
    """
    open_numbers, events, request_count = [], [], 0
    for offset_ms in range(draw(st.integers(1, 40))):
        number = draw(st.sampled_from([0, *open_numbers]))
        if number == 0:
            request_count += 1
            open_numbers.append(request_count)
            arguments = (
                request_count,
                START_UNIX_MS + offset_ms,
                Step.RECEIVE,
                Outcome.RECEIVED,
            )
        elif draw(st.booleans()):
            open_numbers.remove(number)
            arguments = (number, START_UNIX_MS + offset_ms, Step.ANSWER, "completed")
        else:
            arguments = (number, START_UNIX_MS + offset_ms, Step.ROUTE, "chosen")
        events.append(build_entry_event(*arguments))
    lengths = st.integers(1, 4)
    segment_contents = []
    rest = events
    while rest:
        length = draw(lengths)
        segment_contents.append(rest[:length])
        rest = rest[length:]
    return request_count, events, segment_contents


@given(interleaved_requests(), st.data())
def test_all_events_of_each_request_are_found(requests, data):
    request_count, events, segment_contents = requests
    objects = FaultyObjects()
    store_segments(objects, segment_contents)
    lost = data.draw(st.sets(st.sampled_from(sorted(objects.stored))))
    for name in lost:
        del objects.stored[name]
    stored_events = [
        event
        for body in objects.stored.values()
        for event in accounts.decode(body, accounts.Segment).events
    ]
    for number in range(1, request_count + 1):
        request_id = f"e1-{number:x}"
        expected = [event for event in stored_events if event.request_id == request_id]
        assert list(read(objects, request_id).events) == expected


def test_few_of_many_segments_are_read():
    objects = CountingObjects()
    segment_contents = [
        [
            build_entry_event(
                number, START_UNIX_MS + number, Step.RECEIVE, Outcome.RECEIVED
            ),
            build_entry_event(number, START_UNIX_MS + number, Step.ANSWER, "completed"),
        ]
        for number in range(1, SEGMENT_COUNT + 1)
    ]
    store_segments(objects, segment_contents)
    assert len(read(objects, "e1-2f").events) == 2
    assert objects.read_count <= 2 * math.log2(SEGMENT_COUNT)


def test_malformed_request_id_is_read_without_an_error():
    objects = FaultyObjects()
    store_segments(objects, [[build_event()]])
    assert read(objects, "e1-not a number").events == ()


def test_agents_are_read_from_the_start_if_the_entrys_first_events_are_missing():
    objects = FaultyObjects()
    later_ms = START_UNIX_MS + 100_000
    sent = build_event(
        at_unix_ms=later_ms,
        step=Step.SUBMIT,
        outcome=Outcome.SENT,
        attempt_id="e1-1.2",
        peer_incarnation="a1",
    )
    answered = build_entry_event(1, later_ms + 1, Step.ANSWER, "not_run")
    dropped_span = accounts.DroppedSpan(START_UNIX_MS, START_UNIX_MS + 1, 2)
    entry = accounts.Segment(
        "entry-1", "e1", 0, later_ms, (sent, answered), (dropped_span,)
    )
    early = build_event(incarnation="a1", attempt_id="e1-1.1", step=Step.QUEUE)
    agent = accounts.Segment("agent-1", "a1", 0, START_UNIX_MS + 50, (early,))
    last = accounts.Segment("agent-1", "a1", 1, later_ms + 50, ())
    for segment in (entry, agent, last):
        objects.stored[segment.name] = accounts.encode(segment)
    assert early in read(objects, "e1-1").events


def build_sent(number, at_unix_ms):
    return build_event(
        at_unix_ms=at_unix_ms,
        step=Step.SUBMIT,
        outcome=Outcome.SENT,
        attempt_id=f"e1-1.{number}",
        peer_incarnation="a1",
    )


def build_agent_event(number, at_unix_ms, step, outcome):
    return build_event(
        incarnation="a1",
        at_unix_ms=at_unix_ms,
        step=step,
        outcome=outcome,
        attempt_id=f"e1-1.{number}",
    )


def test_agent_events_long_after_the_answer_are_read():
    objects = FaultyObjects()
    late_ms = START_UNIX_MS + 60_000
    entry = [
        build_entry_event(1, START_UNIX_MS, Step.RECEIVE, Outcome.RECEIVED),
        build_sent(1, START_UNIX_MS),
        build_entry_event(1, START_UNIX_MS + 9, Step.ANSWER, "in_doubt"),
    ]
    store_segments(objects, [entry])
    queued = build_agent_event(1, START_UNIX_MS + 1, Step.QUEUE, "queued")
    late = build_agent_event(1, late_ms, Step.ANSWER, "completed")
    for sequence, event in enumerate((queued, late)):
        segment = accounts.Segment("agent-1", "a1", sequence, late_ms + 1, (event,))
        objects.stored[segment.name] = accounts.encode(segment)
    last = accounts.Segment("agent-1", "a1", 2, late_ms + 9_000, ())
    objects.stored[last.name] = accounts.encode(last)
    assert late in read(objects, "e1-1").events


def test_agent_is_unknown_if_the_entry_may_have_sent_it_another_attempt():
    objects = FaultyObjects()
    start_ms = START_UNIX_MS
    entry_events = (
        build_entry_event(1, start_ms, Step.RECEIVE, Outcome.RECEIVED),
        build_sent(1, start_ms),
        build_entry_event(1, start_ms + 9, Step.ANSWER, "in_doubt"),
    )
    dropped_span = accounts.DroppedSpan(start_ms + 3, start_ms + 4, 1)
    entry = accounts.Segment(
        "entry-1", "e1", 0, start_ms + 50, entry_events, (dropped_span,)
    )
    ended = build_agent_event(1, start_ms + 1, Step.ANSWER, "not_run")
    agent = accounts.Segment("agent-1", "a1", 0, start_ms + 2, (ended,))
    for segment in (entry, agent):
        objects.stored[segment.name] = accounts.encode(segment)
    evidence = read(objects, "e1-1")
    explanation = explain(
        "e1-1", evidence.events, evidence.coverages, None, start_ms + 99
    )
    assert {unknown.incarnation for unknown in explanation.unknowns} == {"e1", "a1"}
