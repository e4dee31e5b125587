"""The streams that this gateway has begun lately, and which of them the store knows.

A caller that takes a stream up names the attempt that brought its first event. The
version of the server that began it decides where it may go on.
"""

import attrs

# How long a stream that was not completed is remembered.
STREAM_KEPT_MS = 60_000.0
# Most streams that are remembered; the oldest one is forgotten first.
STREAMS_MAX = 20_000


@attrs.define
class BegunStream:
    """A stream of which a caller has received the first event.

    Parameters
    ----------
    service : str
    version : str
        Software version of the server that began it.
    begun_ms : float
        On the monotonic clock.
    is_stored : bool
        The store has a row for it.
    """

    service: str
    version: str
    begun_ms: float
    is_stored: bool = False


class StreamBook:
    """The streams that one gateway has begun."""

    def __init__(self):
        self._streams = {}
        self._removable_ids = {}

    def __len__(self):
        return len(self._streams)

    def record_begun(self, request_id, service, version, now_ms):
        """Record the first event of a stream; another one of the id is replaced."""
        self._streams.pop(request_id, None)
        self._streams[request_id] = BegunStream(service, version, now_ms)
        if len(self._streams) > STREAMS_MAX:
            self._forget(next(iter(self._streams)))

    def record_completed(self, request_id):
        """Record that the caller has the whole stream."""
        if request_id in self._streams:
            self._forget(request_id)

    def find(self, request_id, service):
        """Return the BegunStream of an attempt at a service, or None."""
        stream = self._streams.get(request_id)
        return stream if stream is not None and stream.service == service else None

    def expire(self, now_ms):
        """Forget the streams that nobody can take up any more."""
        for request_id, stream in list(self._streams.items()):
            if now_ms - stream.begun_ms < STREAM_KEPT_MS:
                return
            self._forget(request_id)

    def _forget(self, request_id):
        if self._streams.pop(request_id).is_stored:
            self._removable_ids[request_id] = None

    def find_unstored(self, services, count_max):
        """Return the streams of some services without a row.

        Parameters
        ----------
        services : collection of str
        count_max : int

        Returns
        -------
        dict of str to BegunStream
        """
        unstored = {}
        for request_id, stream in reversed(self._streams.items()):
            if len(unstored) == count_max:
                break
            if not stream.is_stored and stream.service in services:
                unstored[request_id] = stream
        return unstored

    def find_removable(self, count_max):
        """Return the ids of streams whose rows are no longer needed (list of str)."""
        return list(self._removable_ids)[:count_max]

    def record_stored(self, streams, removed_ids):
        """Record that rows were written and removed.

        Parameters
        ----------
        streams : dict of str to BegunStream
            Those that were written.
        removed_ids : iterable of str
        """
        for request_id in removed_ids:
            self._removable_ids.pop(request_id, None)
        for request_id, stream in streams.items():
            stream.is_stored = True
            if self._streams.get(request_id) is not stream:
                # It ended during the call.
                self._removable_ids[request_id] = None

    def record_rows_lost(self):
        """Record that the store may have lost rows, so that they are written again."""
        self._removable_ids.clear()
        for stream in self._streams.values():
            stream.is_stored = False
