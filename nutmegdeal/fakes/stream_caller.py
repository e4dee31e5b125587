"""Caller that breaks a stream off and takes it up again, perhaps at another gateway."""

import contextlib
import re
import time

import attrs
import gevent

from nutmegdeal.fakes.platform_backend import EVENT_COUNT
from nutmegdeal.http_connections import BrokenAnswerError, ClientConnection

EVENT_END = b"\n\n"
# Most tries at which a refused caller comes back, each after the Retry-After.
TAKE_UP_TRIES_MAX = 6
STATUS_REFUSED = 503
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)(?: ([^\n]*))?\n\n")


@attrs.frozen
class StreamEvent:
    """An event as its caller got it.

    Parameters
    ----------
    number : int
    request_id : str
        As the engine wrote it.
    software_version : str or None
        None if the event names none.
    """

    number: int
    request_id: str
    software_version: str | None


def decode_events(body):
    """Return the StreamEvents in the whole events of a body."""
    return [
        StreamEvent(int(number), request_id.decode(), version.decode() or None)
        for number, request_id, version in _EVENT.findall(body)
    ]


def remove_versions(body):
    """Return a body as if its events did not name a software version."""
    return _EVENT.sub(rb"id: \1\ndata: \2\n\n", body)


def find_versions(events):
    """Return the software versions that events name (set of str)."""
    return {event.software_version for event in events} - {None}


@attrs.define
class StreamTry:
    """One try of a caller, with the answer as far as it was read.

    Parameters
    ----------
    request_id : str
    started_s, ended_s : float
        On the monotonic clock.
    status_code : int
        0 without an answer.
    headers : dict of bytes to bytes
    body : bytes
    is_ended : bool
        The answer was complete.
    """

    request_id: str
    started_s: float
    ended_s: float = 0.0
    status_code: int = 0
    headers: dict = attrs.field(factory=dict)
    body: bytes = b""
    is_ended: bool = False

    @property
    def events(self):
        """Return the StreamEvents of a successful answer."""
        return decode_events(self.body) if self.status_code == 200 else []


class StreamCaller:
    """One caller's tries at one stream.

    Parameters
    ----------
    request_id : str
        Id of the first try; the others have ids of their own.
    build_headers : callable
        Returns the headers of a try with a request id.
    within_ms : float
        How long the caller waits for an answer.

    Attributes
    ----------
    tries : list of StreamTry
    """

    def __init__(self, request_id, build_headers, within_ms):
        self._request_id = request_id
        self._build_headers = build_headers
        self._within_ms = within_ms
        self.tries = []

    @property
    def events(self):
        """Return the events of all tries."""
        return [event for item in self.tries for event in item.events]

    @property
    def versions(self):
        """Return the software versions that wrote events of the stream (set)."""
        return find_versions(self.events)

    @property
    def is_whole(self):
        """Return whether each event came once and in order, and the stream ended."""
        numbers = [event.number for event in self.events]
        return numbers == list(range(EVENT_COUNT)) and self.tries[-1].is_ended

    @property
    def begun_id(self):
        """Return the id of the try that brought the first event, None before that."""
        return next((item.request_id for item in self.tries if item.events), None)

    def resume_headers(self, **changes):
        """Return the headers with which the stream is taken up.

        Parameters
        ----------
        **changes
            ``resumes``, the id that is named as the try that brought the first event;
            None leaves the header out.
        """
        if not self.events:
            return []
        headers = [(b"last-event-id", b"%d" % self.events[-1].number)]
        resumes = changes.get("resumes", self.begun_id)
        if resumes is not None:
            headers.append((b"resumes", resumes.encode()))
        return headers

    def call(self, address, break_after=None, **changes):
        """Begin the stream or take it up; return the StreamTry.

        Parameters
        ----------
        address : tuple of str and int
        break_after : int, optional
            Number of events after which the caller closes its connection.
        **changes
            As in `resume_headers`.
        """
        number = len(self.tries)
        request_id = f"{self._request_id}.{number}" if number else self._request_id
        this_try = StreamTry(request_id, time.monotonic())
        headers = [*self._build_headers(request_id), *self.resume_headers(**changes)]
        # The try keeps what was read.
        with contextlib.suppress(OSError, BrokenAnswerError):
            self._exchange(address, headers, this_try, break_after)
        this_try.ended_s = time.monotonic()
        self.tries.append(this_try)
        return this_try

    def take_up(self, gateway, break_after=None):
        """Take the stream up, also after refusals; return the last StreamTry.

        Parameters
        ----------
        gateway, break_after
            As in `call`.
        """
        for _ in range(TAKE_UP_TRIES_MAX):
            this_try = self.call(gateway, break_after)
            pause = this_try.headers.get(b"retry-after")
            if this_try.status_code != STATUS_REFUSED or pause is None:
                break
            gevent.sleep(float(pause))
        return this_try

    def _exchange(self, address, headers, this_try, break_after):
        deadline_ms = time.monotonic() * 1000 + self._within_ms
        connection = ClientConnection(address)
        try:
            connection.send(b"POST", b"/chat/1", headers)
            head = connection.read_head(deadline_ms)
            this_try.status_code = head.status_code
            this_try.headers = dict(head.headers)
            while break_after is None or this_try.body.count(EVENT_END) < break_after:
                data = connection.read_data(deadline_ms)
                if data is None:
                    this_try.is_ended = True
                    return
                this_try.body += data
        finally:
            connection.close()
