"""Tests of reading a request's events back from many segments."""

import math

from hypothesis import given
from hypothesis import strategies as st

from nutmegdeal import accounts
from nutmegdeal.account_reader import AccountReader
from nutmegdeal.accounts import Outcome
from nutmegdeal.errors import Step
from nutmegdeal.tests.builders import FaultyObjects, build_event

START_UNIX_MS = 1_700_000_000_000
SEGMENT_COUNT = 1_024


class CountingObjects(FaultyObjects):
    """An object store that counts the objects read."""

    read_count = 0

    def get(self, name):
        """Count and return the bytes under `name`."""
        self.read_count += 1
        return super().get(name)


def store_segments(objects, cuts):
    """Store lists of events as the segments of one entry."""
    for sequence, events in enumerate(cuts):
        covers_to = max((e.at_unix_ms + 1 for e in events), default=START_UNIX_MS)
        segment = accounts.Segment("entry-1", "e1", sequence, covers_to, tuple(events))
        objects.stored[segment.name] = accounts.encode(segment)


def read(objects, request_id):
    return AccountReader(objects, lambda events: None).read(request_id)


def build_life(number, at_unix_ms, step, outcome):
    return build_event(
        request_id=f"e1-{number:x}", at_unix_ms=at_unix_ms, step=step, outcome=outcome
    )


@st.composite
def interleaved(draw):
    """Generate the events of an entry with several requests at once, cut at random."""
    open_numbers, events, received = [], [], 0
    for at in range(draw(st.integers(1, 40))):
        number = draw(st.sampled_from([0, *open_numbers]))
        if number == 0:
            received += 1
            open_numbers.append(received)
            life = (received, START_UNIX_MS + at, Step.RECEIVE, Outcome.RECEIVED)
        elif draw(st.booleans()):
            open_numbers.remove(number)
            life = (number, START_UNIX_MS + at, Step.ANSWER, "completed")
        else:
            life = (number, START_UNIX_MS + at, Step.ROUTE, "chosen")
        events.append(build_life(*life))
    lengths = st.integers(1, 4)
    cuts = []
    rest = events
    while rest:
        length = draw(lengths)
        cuts.append(rest[:length])
        rest = rest[length:]
    return received, events, cuts


@given(interleaved(), st.data())
def test_all_events_of_each_request_are_found(history, data):
    received, events, cuts = history
    objects = FaultyObjects()
    store_segments(objects, cuts)
    lost = data.draw(st.sets(st.sampled_from(sorted(objects.stored))))
    for name in lost:
        del objects.stored[name]
    kept = [
        event
        for body in objects.stored.values()
        for event in accounts.decode(body, accounts.Segment).events
    ]
    for number in range(1, received + 1):
        request_id = f"e1-{number:x}"
        wanted = [event for event in kept if event.request_id == request_id]
        assert list(read(objects, request_id).events) == wanted


def test_few_of_many_segments_are_read():
    objects = CountingObjects()
    cuts = [
        [
            build_life(number, START_UNIX_MS + number, Step.RECEIVE, Outcome.RECEIVED),
            build_life(number, START_UNIX_MS + number, Step.ANSWER, "completed"),
        ]
        for number in range(1, SEGMENT_COUNT + 1)
    ]
    store_segments(objects, cuts)
    assert len(read(objects, "e1-2f").events) == 2
    assert objects.read_count <= 2 * math.log2(SEGMENT_COUNT)


def test_foreign_request_id_is_read_without_an_error():
    objects = FaultyObjects()
    store_segments(objects, [[build_event()]])
    assert read(objects, "e1-not a number").events == ()
