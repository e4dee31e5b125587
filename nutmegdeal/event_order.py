"""Ordering of events that were recorded on hosts with differing clocks."""

import attrs

from nutmegdeal.accounts import Event
from nutmegdeal.evidence import is_completion, is_submit

UNBOUNDED_MS = 2**62


@attrs.frozen
class TimelineEvent:
    """An event with the correction of its recorded time.

    Parameters
    ----------
    event : Event
    shift_ms : int
        Added to the event's time to give the time by the entry's clock, as far as the
        order of causes and effects reveals the difference.
    """

    event: Event
    shift_ms: int = 0

    @property
    def at_unix_ms(self):
        """Time of the event by the entry's clock."""
        return self.event.at_unix_ms + self.shift_ms


def group_by_incarnation(events):
    """Return a dict of each incarnation to its events, in the order given."""
    events_by_incarnation = {}
    for event in events:
        events_by_incarnation.setdefault(event.incarnation, []).append(event)
    return events_by_incarnation


def estimate_shift_ms(entry_events, agent_events):
    """Return the smallest correction of an agent's times that puts causes first.

    An agent's events of an attempt come after the entry sent it. If the agent completed
    the attempt, it did so before the entry completed the answer to the caller.
    """
    min_shift_ms, max_shift_ms = -UNBOUNDED_MS, UNBOUNDED_MS
    for sent in filter(is_submit, entry_events):
        attempt_events = [e for e in agent_events if e.attempt_id == sent.attempt_id]
        if not attempt_events:
            continue
        min_shift_ms = max(min_shift_ms, sent.at_unix_ms - attempt_events[0].at_unix_ms)
        completions = [
            *filter(is_completion, attempt_events),
            *filter(is_completion, entry_events),
        ]
        if len(completions) > 1:
            max_shift_ms = min(
                max_shift_ms, completions[-1].at_unix_ms - completions[0].at_unix_ms
            )
    if min_shift_ms > 0:
        return min_shift_ms
    return min(max_shift_ms, 0)


def _tie_rank(timeline_event):
    """Return the rank among events of the same ms: the sending of an attempt is first.

    Other events of the same ms may be its effects.
    """
    return 0 if is_submit(timeline_event.event) else 1


def order_events(events, entry_incarnation):
    """Return the events as TimelineEvents, causes before effects.

    The order within an incarnation is kept.

    Parameters
    ----------
    events : sequence of Event
    entry_incarnation : str
    """
    events_by_incarnation = group_by_incarnation(events)
    entry_events = events_by_incarnation.get(entry_incarnation, [])
    queues = []
    for incarnation, recorded in events_by_incarnation.items():
        is_entry = incarnation == entry_incarnation
        shift_ms = 0 if is_entry else estimate_shift_ms(entry_events, recorded)
        queues.append([TimelineEvent(event, shift_ms) for event in recorded])
    ordered = []
    while queues := [queue for queue in queues if queue]:
        first = min(
            queues, key=lambda queue: (queue[0].at_unix_ms, _tie_rank(queue[0]))
        )
        ordered.append(first.pop(0))
    return tuple(ordered)
