"""Splitting of event streams into whole events, and resumption by a second run."""

import re

import attrs

EVENT_END = b"\n\n"
# Limit on one event. Events hold a few tokens and are under 1 KB, so a longer one means
# that the stream is broken.
EVENT_BYTES_MAX = 65_536
# Below the number of digits that int() refuses to convert.
EVENT_ID_DIGITS_MAX = 100
_EVENT_ID = re.compile(rb"(?m)^id: ?(\d+)\r?$")


class BrokenStreamError(Exception):
    """The events do not continue those that the caller has received."""


@attrs.define
class EventSplitter:
    """Buffers an incomplete event until the rest of it arrives.

    Parameters
    ----------
    last_event_id : int or None
        Id of the last event that was passed on to the caller.

    Attributes
    ----------
    has_events : bool
        An event with an id has arrived.
    """

    last_event_id: int | None = None
    has_events: bool = attrs.field(default=False, init=False)
    _pending: bytearray = attrs.field(factory=bytearray)

    @property
    def pending_bytes(self):
        """Return the size of the incomplete event that is buffered (int)."""
        return len(self._pending)

    @property
    def is_between_events(self):
        """Return whether no incomplete event is buffered."""
        return not self._pending.strip()

    def feed(self, data):
        """Add received bytes; return the whole events (bytes) that can be passed on.

        Raises
        ------
        BrokenStreamError
            If an event id does not increase or is too long, or if an event exceeds
            EVENT_BYTES_MAX.
        """
        whole = data
        if self._pending or not data.endswith(EVENT_END):
            whole = self._append(data)
        # Not changed by events that are not passed on: a new run would continue after
        # them.
        self.last_event_id = self._check_order(whole)
        return whole

    def _append(self, data):
        """Add received bytes to the buffer; return the whole events (bytes) in it."""
        # What was searched before needs no second search, except for half of an end.
        searched_bytes = max(0, len(self._pending) - len(EVENT_END) + 1)
        self._pending += data
        end = self._pending.rfind(EVENT_END, searched_bytes)
        if end < 0:
            if len(self._pending) > EVENT_BYTES_MAX:
                raise BrokenStreamError(f"an event exceeds {EVENT_BYTES_MAX} bytes")
            return b""
        end += len(EVENT_END)
        whole = bytes(self._pending[:end])
        del self._pending[:end]
        return whole

    def _check_order(self, events):
        """Return the id of the last event (int or None)."""
        last_event_id = self.last_event_id
        for found in _EVENT_ID.finditer(events):
            digits = found.group(1)
            if len(digits) > EVENT_ID_DIGITS_MAX:
                raise BrokenStreamError(f"an event id has {len(digits)} digits")
            event_id = int(digits)
            if last_event_id is not None and event_id <= last_event_id:
                raise BrokenStreamError(f"event {event_id} after event {last_event_id}")
            last_event_id = event_id
            self.has_events = True
        return last_event_id

    def restart(self):
        """Discard the incomplete event: a new run resumes after the last whole one."""
        self._pending.clear()
