"""Recording and storage of what happens to requests.

Each process keeps an account: it records events and stores them as segments in the
object store. `explanations` derives from them what became of a request, and relies on
the following:

- An entry records ``SENT`` in step SUBMIT, with the agent's id and incarnation as the
  peer, before it sends an attempt. Its last event of a request is in step ANSWER and
  has the fate that the caller was told.
- An agent records ``SENT`` in step DISPATCH before it sends an attempt to the backend
  server. Its last event of an attempt is in step ANSWER and has the attempt's fate.
- No event of a request is recorded before the event that caused it.
"""

import abc
import collections
import enum
import zlib

import attrs
import gevent
import gevent.lock
from cattrs import UnstructureStrategy
from cattrs.preconf.msgpack import make_converter

from nutmegdeal.errors import Step
from nutmegdeal.log import get_logger

logger = get_logger(__name__)

SEGMENT_EVENTS_MAX = 5_000
# An event may be recorded this long after the time that it states.
RECORDING_LAG_MS = 50
COMPRESSION_LEVEL = 1


class Outcome(enum.StrEnum):
    """What happened, besides a `messages.Fate` or an `errors.Reason`."""

    RECEIVED = "received"
    RESOLVED = "resolved"
    SENT = "sent"
    ADMITTED = "admitted"
    REFUSED = "refused"
    QUEUED = "queued"
    LOADED = "loaded"
    CLAIMED = "claimed"
    STARTED = "started"
    ENDED = "ended"


@attrs.frozen
class Event:
    """One thing that happened to a request.

    Parameters
    ----------
    request_id : str
    at_unix_ms : int
    process : str
        Name of the process that recorded it.
    incarnation : str
        Incarnation of that process.
    step : Step
    outcome : str
        Value of an `Outcome`, a `messages.Fate` or an `errors.Reason`.
    attempt_id : str
    peer : str
        Name of the other process or server involved.
    adapter, version : str
    generation : int
    detail : str
        One sentence for a person.
    peer_incarnation : str
        Incarnation of the peer, if it is known.
    service, idempotency_key : str
        They identify the ledger row of a non-idempotent request; the entry sets them
        once the request is resolved.
    """

    request_id: str
    at_unix_ms: int
    process: str
    incarnation: str
    step: Step
    outcome: str
    attempt_id: str = ""
    peer: str = ""
    adapter: str = ""
    version: str = ""
    generation: int = 0
    detail: str = ""
    peer_incarnation: str = ""
    service: str = ""
    idempotency_key: str = ""


class Recorder(abc.ABC):
    """Receives the events of a process's controllers."""

    @abc.abstractmethod
    def record(self, event):
        """Accept an Event to be stored; never blocks and never raises."""


@attrs.frozen
class DroppedSpan:
    """Time span of events that a process dropped because its buffer was full.

    Parameters
    ----------
    first_unix_ms, last_unix_ms : int
        Times of the earliest and the latest event dropped.
    event_count : int
    """

    first_unix_ms: int
    last_unix_ms: int
    event_count: int

    def extended(self, event):
        """Return a DroppedSpan with one more Event."""
        return DroppedSpan(
            min(self.first_unix_ms, event.at_unix_ms),
            max(self.last_unix_ms, event.at_unix_ms),
            self.event_count + 1,
        )


@attrs.frozen
class Segment:
    """Events of one incarnation that were stored together.

    Parameters
    ----------
    process, incarnation : str
    sequence : int
        Counts from 0; a missing number means that a segment is missing.
    covers_to_unix_ms : int
        Every event before this time is in this segment, in one of a lower sequence,
        or was dropped within one of their dropped spans.
    events : tuple of Event
    dropped_spans : tuple of DroppedSpan
        Events dropped since the previous segment.
    """

    process: str
    incarnation: str
    sequence: int
    covers_to_unix_ms: int
    events: tuple[Event, ...]
    dropped_spans: tuple[DroppedSpan, ...] = ()

    @property
    def name(self):
        """Name of the segment's object."""
        times = [event.at_unix_ms for event in self.events]
        times += [dropped_span.first_unix_ms for dropped_span in self.dropped_spans]
        times += [dropped_span.last_unix_ms for dropped_span in self.dropped_spans]
        first_ms = min(times, default=self.covers_to_unix_ms)
        last_ms = max(times, default=self.covers_to_unix_ms)
        prefix = account_prefix(self.incarnation)
        return f"{prefix}{first_ms:013}-{last_ms:013}-{self.sequence:08}"


@attrs.frozen
class Watermark:
    """How far a process has stored its events; written when idle and at shutdown.

    Parameters
    ----------
    process, incarnation : str
    segment_count : int
        Number of segments that the process has written.
    covers_to_unix_ms : int
        Every event before this time is in those segments or their dropped spans.
    is_final : bool
        True if the process shut down cleanly, so that there are no later events.
    """

    process: str
    incarnation: str
    segment_count: int
    covers_to_unix_ms: int
    is_final: bool = False


_converter = make_converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


def account_prefix(incarnation):
    """Return the prefix of the names of all objects of one incarnation."""
    return f"accounts/{incarnation}/"


def watermark_name(incarnation):
    """Return the name of the Watermark's object, which is overwritten."""
    return account_prefix(incarnation) + "watermark"


def encode(record):
    """Return a Segment or a Watermark as msgpack, compressed by zlib (bytes)."""
    return zlib.compress(_converter.dumps(record), COMPRESSION_LEVEL)


def decode(body, record_class):
    """Return the Segment or Watermark in `body` (bytes).

    Raises
    ------
    ValueError
        If `body` holds no such record.
    """
    try:
        return _converter.loads(zlib.decompress(body), record_class)
    except Exception as error:
        text = f"not a {record_class.__name__}: {error}"
        raise ValueError(text) from error


class SegmentRecorder(Recorder):
    """Buffers events and stores them as segments.

    A segment whose write failed is written again under the same name with the same
    content, since the failed write may have taken effect. When the buffer is full, the
    oldest events are dropped; the next segment lists them as a DroppedSpan.

    Parameters
    ----------
    objects : ObjectStore
    process, incarnation : str
    clock : Clock
    settings : AccountSettings
    """

    def __init__(self, objects, process, incarnation, clock, settings):
        self._objects = objects
        self._process = process
        self._incarnation = incarnation
        self._clock = clock
        self._settings = settings
        self._buffered = collections.deque()
        self._dropped_span = None
        self._pending_segment = None
        self._next_sequence = 0
        self._covered_to_unix_ms = 0
        self._lock = gevent.lock.RLock()

    def record(self, event):
        """Buffer an Event until the next flush; a full buffer drops the oldest one."""
        self._buffered.append(event)
        pending_count = (
            len(self._pending_segment.events) if self._pending_segment else 0
        )
        if len(self._buffered) + pending_count <= self._settings.buffer_events_max:
            return
        dropped = self._buffered.popleft()
        empty = DroppedSpan(dropped.at_unix_ms, dropped.at_unix_ms, 0)
        self._dropped_span = (self._dropped_span or empty).extended(dropped)

    def flush(self):
        """Store the buffered events; return None, or a Failure and keep them."""
        with self._lock:
            while self._pending_segment or self._buffered or self._dropped_span:
                self._pending_segment = self._pending_segment or self._take_segment()
                failure = self._put(self._pending_segment.name, self._pending_segment)
                if failure is not None:
                    return failure
                self._covered_to_unix_ms = self._pending_segment.covers_to_unix_ms
                self._pending_segment = None
            return None

    def write_watermark(self, is_final=False):
        """Flush, and store the Watermark; return None or a Failure."""
        covers_to_unix_ms = self._compute_covers_to_unix_ms()
        failure = self.flush()
        if failure is not None:
            return failure
        name = watermark_name(self._incarnation)
        watermark = Watermark(
            self._process,
            self._incarnation,
            self._next_sequence,
            covers_to_unix_ms,
            is_final,
        )
        failure = self._put(name, watermark)
        if failure is None:
            self._covered_to_unix_ms = covers_to_unix_ms
        return failure

    def run(self):
        """Flush and write watermarks periodically; the body of a greenlet."""
        while True:
            gevent.sleep(self._settings.flush_every_ms / 1000)
            failure = self.flush()
            if failure is None and self._is_watermark_due():
                failure = self.write_watermark()
            if failure is not None:
                logger.warning("account_not_stored", failure=str(failure))

    def _is_watermark_due(self):
        uncovered_ms = self._clock.unix_ms() - self._covered_to_unix_ms
        return uncovered_ms >= self._settings.watermark_every_ms

    def _compute_covers_to_unix_ms(self):
        return self._clock.unix_ms() - RECORDING_LAG_MS

    def _take_segment(self):
        """Take the oldest buffered events as the next segment."""
        size = min(len(self._buffered), SEGMENT_EVENTS_MAX)
        events = tuple(self._buffered.popleft() for _ in range(size))
        dropped_spans = (self._dropped_span,) if self._dropped_span else ()
        self._dropped_span = None
        covers_to_unix_ms = self._compute_covers_to_unix_ms()
        if self._buffered:
            covers_to_unix_ms = min(event.at_unix_ms for event in self._buffered)
        sequence = self._next_sequence
        self._next_sequence += 1
        return Segment(
            self._process,
            self._incarnation,
            sequence,
            covers_to_unix_ms,
            events,
            dropped_spans,
        )

    def _put(self, name, record):
        return self._objects.put(name, encode(record))
