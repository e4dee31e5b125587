"""Events in a request's life, from which its account is joined.

What `explanations` relies on:

- An entry records ``SENT`` in step SUBMIT, with the agent's id and incarnation as the
  peer, before it sends an attempt; and last of all, in step ANSWER, the fate that the
  caller was told.
- An agent records ``SENT`` in step DISPATCH before it sends an attempt to the backend
  server; and last of all, in step ANSWER, the fate of the attempt.
- Nobody records an event of a request before the event that caused it.
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
        Name of the process that saw it.
    incarnation : str
        Incarnation of that process.
    step : Step
    outcome : str
        What happened in one word: the value of an `Outcome`, a `messages.Fate` or an
        `errors.Reason`.
    attempt_id : str
    peer : str
        Other process or server involved.
    adapter, version : str
    generation : int
    detail : str
        One sentence for a person.
    peer_incarnation : str
        Incarnation of the peer, if it is known.
    service, idempotency_key : str
        Set by the entry on non-idempotent work once it is resolved: they name the
        ledger row.
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
    """Where a process's controllers put events."""

    @abc.abstractmethod
    def record(self, event):
        """Keep an Event; never blocks and never raises."""


@attrs.frozen
class Gap:
    """Events that a process dropped because its buffer was full.

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
        """Return a Gap that holds one more Event."""
        return Gap(
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
        From 0; a missing number means that a segment is missing.
    covers_to_unix_ms : int
        Every event before this time is in this segment, in one of a lower sequence,
        or was dropped within one of their gaps.
    events : tuple of Event
    gaps : tuple of Gap
        What was dropped since the segment before.
    """

    process: str
    incarnation: str
    sequence: int
    covers_to_unix_ms: int
    events: tuple[Event, ...]
    gaps: tuple[Gap, ...] = ()

    @property
    def name(self):
        """Name of the segment's object."""
        times = [event.at_unix_ms for event in self.events]
        times += [gap.first_unix_ms for gap in self.gaps]
        times += [gap.last_unix_ms for gap in self.gaps]
        first_ms = min(times, default=self.covers_to_unix_ms)
        last_ms = max(times, default=self.covers_to_unix_ms)
        prefix = account_prefix(self.incarnation)
        return f"{prefix}{first_ms:013}-{last_ms:013}-{self.sequence:08}"


@attrs.frozen
class Watermark:
    """How far a process has stored its events, written while it has none.

    Parameters
    ----------
    process, incarnation : str
    segment_count : int
        Segments that the claim depends on.
    covers_to_unix_ms : int
        Every event before this time is in those segments or within their gaps.
    is_final : bool
        True if the process ended in order and there is nothing after.
    """

    process: str
    incarnation: str
    segment_count: int
    covers_to_unix_ms: int
    is_final: bool = False


_converter = make_converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


def account_prefix(incarnation):
    """Return the beginning of the names of all objects of one incarnation."""
    return f"accounts/{incarnation}/"


def watermark_name(incarnation):
    """Return the name of the Watermark's object, which is overwritten."""
    return account_prefix(incarnation) + "watermark"


def encode(record):
    """Return the bytes of a Segment or a Watermark: msgpack, compressed by zlib."""
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
    content, since the failed write may have taken effect. Beyond the bound of the
    buffer the oldest events are dropped, and the next segment says so.

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
        self._gap = None
        self._pending = None
        self._next_sequence = 0
        self._covered_to_unix_ms = 0
        self._lock = gevent.lock.RLock()

    def record(self, event):
        """Keep an Event until the next flush; the oldest makes room if need be."""
        self._buffered.append(event)
        pending_count = len(self._pending.events) if self._pending else 0
        if len(self._buffered) + pending_count <= self._settings.buffer_events_max:
            return
        dropped = self._buffered.popleft()
        empty = Gap(dropped.at_unix_ms, dropped.at_unix_ms, 0)
        self._gap = (self._gap or empty).extended(dropped)

    def flush(self):
        """Store what is buffered; return None, or a Failure with nothing lost."""
        with self._lock:
            while self._pending or self._buffered or self._gap:
                self._pending = self._pending or self._cut_segment()
                failure = self._put(self._pending.name, self._pending)
                if failure is not None:
                    return failure
                self._covered_to_unix_ms = self._pending.covers_to_unix_ms
                self._pending = None
            return None

    def mark(self, is_final=False):
        """Store how far the account reaches; return None or a Failure."""
        covers_to_unix_ms = self._covers_to_unix_ms()
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
        """Flush on and on; the body of a greenlet."""
        while True:
            gevent.sleep(self._settings.flush_every_ms / 1000)
            failure = self.flush()
            if failure is None and self._is_mark_due():
                failure = self.mark()
            if failure is not None:
                logger.warning("account_not_stored", failure=str(failure))

    def _is_mark_due(self):
        uncovered_ms = self._clock.unix_ms() - self._covered_to_unix_ms
        return uncovered_ms >= self._settings.watermark_every_ms

    def _covers_to_unix_ms(self):
        return self._clock.unix_ms() - RECORDING_LAG_MS

    def _cut_segment(self):
        """Take the oldest buffered events as the next segment."""
        size = min(len(self._buffered), SEGMENT_EVENTS_MAX)
        events = tuple(self._buffered.popleft() for _ in range(size))
        gaps = (self._gap,) if self._gap else ()
        self._gap = None
        covers_to_unix_ms = self._covers_to_unix_ms()
        if self._buffered:
            covers_to_unix_ms = min(event.at_unix_ms for event in self._buffered)
        sequence = self._next_sequence
        self._next_sequence += 1
        return Segment(
            self._process, self._incarnation, sequence, covers_to_unix_ms, events, gaps
        )

    def _put(self, name, record):
        return self._objects.put(name, encode(record))
