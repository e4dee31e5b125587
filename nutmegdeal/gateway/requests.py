"""A caller's request on its way through the gateway."""

import enum

import attrs

from nutmegdeal.site import Route, RouteKind


class RunFate(enum.Enum):
    """How one run of a request at a backend server ended.

    ``COMPLETED``: the caller has the whole answer.
    ``NOT_SENT``: nothing reached the server.
    ``NOT_RUN``: the server says that it did not run the request.
    ``FAILED``: the server answered with a failure, which is held.
    ``MAYBE_RAN``: there was no answer, or no whole one, and the caller has nothing.
    ``CUT``: the answer broke off after the caller had a part of it.
    ``TIMED_OUT``: the deadline passed while the server was at work.
    """

    COMPLETED = "completed"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    MAYBE_RAN = "maybe_ran"
    CUT = "cut"
    TIMED_OUT = "timed_out"


@attrs.frozen
class HeldAnswer:
    """A backend server's answer that the caller has not got yet."""

    status_code: int
    headers: list
    body: bytes


@attrs.frozen
class RunOutcome:
    """The end of one run.

    Parameters
    ----------
    fate : RunFate
    detail : str
    answer : HeldAnswer or None
    is_silent : bool
        The server could not be reached or fell silent.
    longest_gap_ms : float
        Longest pause between events of a whole stream, 0.0 for other answers.
    """

    fate: RunFate
    detail: str = ""
    answer: HeldAnswer | None = None
    is_unresponsive: bool = False
    longest_gap_ms: float = 0.0


@attrs.frozen
class Ending:
    """How a request ended for its caller.

    Parameters
    ----------
    name : str
        One of those in `nutmegdeal.log_story.END_TEXTS`.
    reason : str
        Why, if it was not served.
    """

    name: str
    reason: str = ""


@attrs.define
class Request:
    """One request, with what has been tried for it.

    Parameters
    ----------
    incoming : IncomingRequest
    request_id : str
    route : Route
    service : Service
    deadline_ms : float
        On the monotonic clock.
    adapter : str
        ``""`` if it names none.
    connect_count : int
        Connections that could not be opened for it.
    sent_count : int
        Backend servers it was sent to.
    run_count : int
        Those that may have run it.
    prompt_tokens : int
        0 if it does not say.
    tried : set of str
        Ids of the backend servers tried.
    waited_ms : float
        Time spent waiting for its adapter.
    paced_ms : float
        Time spent waiting for its turn to be read by the engine.
    """

    incoming: object
    request_id: str
    route: Route
    service: object
    deadline_ms: float
    configuration_version: int = 0
    adapter: str = ""
    prompt_tokens: int = 0
    connect_count: int = 0
    sent_count: int = 0
    run_count: int = 0
    tried_ids: set = attrs.field(factory=set)
    waited_ms: float = 0.0
    paced_ms: float = 0.0

    @property
    def is_stream(self):
        """Return whether the answer is a stream of events."""
        return self.route.kind is RouteKind.STREAM


@attrs.frozen
class Refusal:
    """An answer of our own.

    Parameters
    ----------
    status_code : int
    reason : str
    retry_after_ms : float or None
        When the caller may come back; only if the request has not run.
    """

    status_code: int
    reason: str
    retry_after_ms: float | None = None
