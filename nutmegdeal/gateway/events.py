"""Splitting of event streams into whole events, and joining of two runs of one."""

import re

import attrs

EVENT_END = b"\n\n"
# An event holds a few tokens, under 1 KB; a longer one has no end.
EVENT_BYTES_MAX = 1_048_576
_EVENT_ID = re.compile(rb"(?m)^id: ?(\d+)\r?$")


class BrokenStreamError(Exception):
    """The events do not continue what the caller has."""


@attrs.define
class EventSplitter:
    """Holds back the part of an event that has not arrived whole.

    Parameters
    ----------
    last_event_id : int or None
        Last event that the caller has.
    """

    last_event_id: int | None = None
    _pending: bytes = b""

    @property
    def is_between_events(self):
        """Return whether no part of an event is held back."""
        return not self._pending.strip()

    def feed(self, data):
        """Return the whole events (bytes) that can be passed on now.

        Raises
        ------
        BrokenStreamError
            If an event comes twice, goes backwards or has no end.
        """
        buffered = self._pending + data if self._pending else data
        end = buffered.rfind(EVENT_END)
        if end < 0:
            if len(buffered) > EVENT_BYTES_MAX:
                raise BrokenStreamError("an event has no end")
            self._pending = buffered
            return b""
        end += len(EVENT_END)
        whole, self._pending = buffered[:end], buffered[end:]
        for found in _EVENT_ID.finditer(whole):
            self._advance(int(found.group(1)))
        return whole

    def _advance(self, event_id):
        if self.last_event_id is not None and event_id <= self.last_event_id:
            raise BrokenStreamError(
                f"event {event_id} after event {self.last_event_id}"
            )
        self.last_event_id = event_id

    def restart(self):
        """Forget the held part: another run goes on after the last whole event."""
        self._pending = b""
