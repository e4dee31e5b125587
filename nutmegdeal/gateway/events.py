"""Splitting of event streams into whole events, and resumption by a second run."""

import re

import attrs

EVENT_END = b"\n\n"
# Limit on one event. Events hold a few tokens and are under 1 KB, so a longer one means
# that the stream is broken.
EVENT_BYTES_MAX = 1_048_576
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
    """

    last_event_id: int | None = None
    _pending: bytes = b""

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
        buffered = self._pending + data if self._pending else data
        end = buffered.rfind(EVENT_END)
        if end < 0:
            if len(buffered) > EVENT_BYTES_MAX:
                raise BrokenStreamError(f"an event exceeds {EVENT_BYTES_MAX} bytes")
            self._pending = buffered
            return b""
        end += len(EVENT_END)
        whole, self._pending = buffered[:end], buffered[end:]
        for found in _EVENT_ID.finditer(whole):
            digits = found.group(1)
            if len(digits) > EVENT_ID_DIGITS_MAX:
                raise BrokenStreamError(f"an event id has {len(digits)} digits")
            self._advance(int(digits))
        return whole

    def _advance(self, event_id):
        if self.last_event_id is not None and event_id <= self.last_event_id:
            raise BrokenStreamError(
                f"event {event_id} after event {self.last_event_id}"
            )
        self.last_event_id = event_id

    def restart(self):
        """Discard the incomplete event: a new run resumes after the last whole one."""
        self._pending = b""
