"""Puts the events of several hosts, whose clocks differ, into one order."""

import attrs

from nutmegdeal.accounts import Event
from nutmegdeal.evidence import is_completion, is_submit

NO_BOUND_MS = 2**62


@attrs.frozen
class PlacedEvent:
    """An event at its place in the order.

    Parameters
    ----------
    event : Event
    shift_ms : int
        Added to its time to fit the entry's clock, as far as cause and effect show.
    """

    event: Event
    shift_ms: int = 0

    @property
    def at_unix_ms(self):
        """Its time by the entry's clock."""
        return self.event.at_unix_ms + self.shift_ms


def split_by_incarnation(events):
    """Return a dict of incarnation to its events in the order given."""
    split = {}
    for event in events:
        split.setdefault(event.incarnation, []).append(event)
    return split


def find_shift_ms(entry_events, agent_events):
    """Return the least correction of an agent's clock that puts causes first.

    An agent's events of an attempt come after the entry sent it, and that it
    completed, before the entry answered the caller so.
    """
    low_ms, high_ms = -NO_BOUND_MS, NO_BOUND_MS
    for sent in filter(is_submit, entry_events):
        of_agent = [e for e in agent_events if e.attempt_id == sent.attempt_id]
        if not of_agent:
            continue
        low_ms = max(low_ms, sent.at_unix_ms - of_agent[0].at_unix_ms)
        ends = [*filter(is_completion, of_agent), *filter(is_completion, entry_events)]
        if len(ends) > 1:
            high_ms = min(high_ms, ends[-1].at_unix_ms - ends[0].at_unix_ms)
    if low_ms > 0:
        return low_ms
    return min(high_ms, 0)


def _rank(placed):
    """Return which of two events of the same ms comes first: a sending is a cause."""
    return 0 if is_submit(placed.event) else 1


def order_events(events, entry_incarnation):
    """Return the events as PlacedEvents, causes before effects.

    The order within an incarnation is kept as it is.

    Parameters
    ----------
    events : sequence of Event
    entry_incarnation : str
    """
    split = split_by_incarnation(events)
    entry_events = split.get(entry_incarnation, [])
    queues = []
    for incarnation, own in split.items():
        is_entry = incarnation == entry_incarnation
        shift_ms = 0 if is_entry else find_shift_ms(entry_events, own)
        queues.append([PlacedEvent(event, shift_ms) for event in own])
    ordered = []
    while queues := [queue for queue in queues if queue]:
        first = min(queues, key=lambda queue: (queue[0].at_unix_ms, _rank(queue[0])))
        ordered.append(first.pop(0))
    return tuple(ordered)
