"""Callers that break a stream off and take it up again, perhaps at another gateway."""

import time

import attrs
import gevent

from nutmegdeal.fakes.platform_backend import EVENT_COUNT
from nutmegdeal.http_connections import BrokenAnswerError, ClientConnection
from nutmegdeal.tests.platform_site import WAIT_S, build_headers, loopback_address

EVENT_END = b"\n\n"
# Most tries at which a refused caller comes back, each after the Retry-After.
TAKE_UP_TRIES_MAX = 6


@attrs.frozen
class StreamEvent:
    """An event of an engine that names its software version."""

    number: int
    request_id: str
    software_version: str


def decode_events(body):
    """Return the StreamEvents in the whole events of a body."""
    return [_decode_event(event) for event in body.split(EVENT_END)[:-1]]


def _decode_event(event):
    id_line, data_line = event.decode().split("\n")
    request_id, version = data_line.removeprefix("data: ").split(" ", 1)
    return StreamEvent(int(id_line.removeprefix("id: ")), request_id, version)


@attrs.define
class StreamTry:
    """One try of a caller, with the answer as far as it was read.

    Parameters
    ----------
    request_id : str
    status_code : int
        0 without an answer.
    headers : dict of bytes to bytes
    body : bytes
    is_ended : bool
        The answer was complete.
    """

    request_id: str
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
    adapter : str
        ``""`` for the base model.

    Attributes
    ----------
    tries : list of StreamTry
    """

    def __init__(self, request_id, adapter=""):
        self._request_id = request_id
        self._adapter = adapter
        self.tries = []

    @property
    def events(self):
        """Return the events of all tries."""
        return [event for item in self.tries for event in item.events]

    @property
    def versions(self):
        """Return the software versions that wrote events of the stream (set)."""
        return {event.software_version for event in self.events}

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

    def call(self, gateway, break_after=None, **changes):
        """Begin the stream or take it up; return the StreamTry.

        Parameters
        ----------
        gateway : GatewayProcess
        break_after : int, optional
            Number of events after which the caller closes its connection.
        **changes
            As in `resume_headers`.
        """
        number = len(self.tries)
        this_try = StreamTry(
            f"{self._request_id}.{number}" if number else self._request_id
        )
        headers = [
            *build_headers(this_try.request_id, self._adapter),
            *self.resume_headers(**changes),
        ]
        connection = ClientConnection((loopback_address(1), gateway._listener.port))
        try:
            _read_answer(connection, headers, this_try, break_after)
        except (OSError, BrokenAnswerError):
            pass
        finally:
            connection.close()
        self.tries.append(this_try)
        return this_try

    def take_up(self, gateway, break_after=None):
        """Take the stream up, also after refusals; return the last StreamTry."""
        for _ in range(TAKE_UP_TRIES_MAX):
            this_try = self.call(gateway, break_after)
            pause = this_try.headers.get(b"retry-after")
            if this_try.status_code != 503 or pause is None:
                break
            gevent.sleep(float(pause))
        return this_try


def _read_answer(connection, headers, this_try, break_after):
    deadline_ms = time.monotonic() * 1000 + WAIT_S * 1000
    connection.send(b"POST", b"/chat/1", headers)
    head = connection.read_head(deadline_ms)
    this_try.status_code, this_try.headers = head.status_code, dict(head.headers)
    while break_after is None or this_try.body.count(EVENT_END) < break_after:
        data = connection.read_data(deadline_ms)
        if data is None:
            this_try.is_ended = True
            return
        this_try.body += data
