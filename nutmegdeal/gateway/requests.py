"""Types that describe a request in the gateway, its runs and how it ended."""

import enum
import functools

import attrs

from nutmegdeal.gateway.crash_blame import build_request_id
from nutmegdeal.gateway.request_content import digest_request
from nutmegdeal.site_configuration import (
    Route,
    RouteKind,
    build_adapter_key,
    route_priority,
)


class RunFate(enum.Enum):
    """How one run of a request at a backend server ended.

    ``COMPLETED``: the caller has the whole answer.
    ``NOT_SENT``: nothing reached the server.
    ``NOT_RUN``: the server states that it did not run the request.
    ``FAILED``: the server answered with a failure, which the caller has not received.
    ``MAYBE_RAN``: there was no complete answer, and the caller has received nothing.
    ``CUT``: the answer broke off after the caller had received a part of it.
    ``TIMED_OUT``: the deadline passed before the answer was complete.
    ``SILENT``: the server sent nothing for a while, and another one took over.
    ``EXPIRED``: the run had not begun when its adapter version was out of date.
    ``SUPERSEDED``: the server that was to be replaced delivered its answer first.
    """

    COMPLETED = "completed"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    MAYBE_RAN = "maybe_ran"
    CUT = "cut"
    TIMED_OUT = "timed_out"
    SILENT = "silent"
    EXPIRED = "expired"
    SUPERSEDED = "superseded"


@attrs.frozen
class HeldAnswer:
    """A backend server's answer that has not been sent to the caller."""

    status_code: int
    headers: list
    body: bytes


@attrs.frozen
class RunOutcome:
    """The outcome of one run.

    Parameters
    ----------
    fate : RunFate
    detail : str
        Cause of a failure, for the log.
    answer : HeldAnswer or None
        The server's failure, None for other outcomes.
    is_unresponsive : bool
        The server could not be reached or stopped responding.
    longest_gap_ms : float
        Longest gap between events of a complete stream, 0.0 for other answers.
    silent_ms : float
        For how long the server had sent nothing when the run failed.
    event_count : int
        Times that whole events of the run were forwarded.
    is_broken_off : bool
        The server or its host ended the connection, or sent what is no answer.
    is_version_expired : bool
        It was not sent, as the adapter version of the server was out of date.
    adapter_version : int or None
        Version of the adapter that the server was asked for.
    replacement : Attempt or None
        The run that took over from a silent one.
    local_port : int
        Port of the connection to the server, 0 if none was used.
    skipped_answer_count : int
        Answers to other requests that arrived before the one to this request.
    """

    fate: RunFate
    detail: str = ""
    answer: HeldAnswer | None = None
    is_unresponsive: bool = False
    longest_gap_ms: float = 0.0
    silent_ms: float = 0.0
    event_count: int = 0
    is_broken_off: bool = False
    is_version_expired: bool = False
    adapter_version: int | None = None
    replacement: object = None
    local_port: int = 0
    skipped_answer_count: int = 0


@attrs.frozen
class Attempt:
    """One run of a request and the backend server that ran it."""

    member: object
    outcome: RunOutcome


@attrs.frozen
class Ending:
    """How a request ended for its caller.

    Parameters
    ----------
    name : str
        A key of `nutmegdeal.request_log.END_TEXTS`.
    reason : str
        Why the request was not served, ``""`` if it was.
    """

    name: str
    reason: str = ""


@attrs.define(slots=False)
class Request:
    """One request, with the record of its runs.

    Parameters
    ----------
    incoming : IncomingRequest
    request_id : str
    route : Route
    service : Service
    deadline_ms : float
        On the monotonic clock; at the latest when the process stops to wait for
        answers.
    caller_deadline_ms : float
        The same without regard to the end of the process.
    send_until_ms : float
        Until when the request may be sent to a server, on the monotonic clock.
    configuration_version : int
        Version of the configuration that was in force on arrival.
    adapter : str
        ``""`` if the request names none.
    prompt_tokens : int
        0 if the request does not state it.
    shared_parts : tuple of str
        Ids of the prompt parts that other requests may have too.
    exchange : Exchange or None
        The one in progress that was begun last.
    probed_parts : tuple of str
        Refused parts that the request probes.
    is_delivered : bool
        A run has delivered so much that the prompt has proved sound.
    is_suspected : bool
        An engine has ended under the request, and its prompt may be the cause: no run
        has delivered since.
    refused_suspect_id : str
        Prompt part or request for which it was refused, ``""`` if it was not.
    connect_count : int
        Failed attempts to open a connection for the request.
    sent_count : int
        Number of times that the request was sent to a backend server.
    run_count : int
        Number of runs that have ended and in which the request may have run.
    open_run_count : int
        Silent runs that go on while another server is asked to take over.
    unsent_retry_ms : float or None
        When the retry budget was spent for a repeat that has not been sent yet.
    has_events : bool
        Its caller has events of the stream from an earlier attempt.
    lacks_event_id : bool
        The caller has a part of the stream without an id after which it could be
        resumed.
    resumes_id : str
        Id of the attempt that brought the first of them, ``""`` if it is not named.
    software_version : str or None
        Software version of the server that began the stream; it may go on only there.
        None until it has begun.
    tried_ids : set of str
        Ids of the backend servers tried.
    superseded_ids : set of str
        Ids of those whose run was given up for a silent one that goes on. They may run
        the request again without being a further server.
    queued_at_id : str
        Id of the engine at which the request last waited for its adapter, ``""`` if it
        has not waited.
    last_event_ms : float
        When the caller received the last part of the answer, 0.0 if it has none.
    waited_ms : float
        Time spent waiting for the adapter.
    paced_ms : float
        Time spent waiting until the prompt may be sent to the engine.
    tenant : Tenant or None
        None where the configuration has no tenants, and on public routes without a key.
    server_priority : int
        Priority that servers are told; by default that of the route.
    quota_charge : float
        What the request counts under its tenant's quota, 0.0 if nothing was charged.
    has_unknown_run : bool
        It was sent, and what became of the run is unknown, as the caller left.
    """

    incoming: object
    request_id: str
    route: Route
    service: object
    deadline_ms: float
    configuration_version: int = 0
    adapter: str = ""
    prompt_tokens: int = 0
    shared_parts: tuple[str, ...] = ()
    exchange: object = None
    probed_parts: tuple[str, ...] = ()
    is_delivered: bool = False
    is_suspected: bool = False
    refused_suspect_id: str = ""
    connect_count: int = 0
    sent_count: int = 0
    run_count: int = 0
    open_run_count: int = 0
    unsent_retry_ms: float | None = None
    has_events: bool = False
    lacks_event_id: bool = False
    resumes_id: str = ""
    software_version: str | None = None
    tried_ids: set = attrs.field(factory=set)
    superseded_ids: set = attrs.field(factory=set)
    queued_at_id: str = ""
    last_event_ms: float = 0.0
    waited_ms: float = 0.0
    paced_ms: float = 0.0
    tenant: object = None
    quota_charge: float = 0.0
    has_unknown_run: bool = False
    send_until_ms: float = float("inf")
    caller_deadline_ms: float = attrs.field()
    server_priority: int = attrs.field()

    @caller_deadline_ms.default
    def _copy_deadline(self):
        return self.deadline_ms

    @server_priority.default
    def _choose_priority(self):
        return route_priority(self.route)

    @functools.cached_property
    def content_digest(self):
        """Return the digest of the request's content (str)."""
        return digest_request(self.incoming)

    @functools.cached_property
    def suspect_ids(self):
        """Return what may crash servers: shared prompt parts, then the request."""
        return (*self.shared_parts, build_request_id(self.content_digest))

    @property
    def adapter_key(self):
        """Return the key of the adapter among those of all models (str)."""
        engine = self.service.engine
        return build_adapter_key(engine.model if engine else "", self.adapter)

    @property
    def is_ended_by_shutdown(self):
        """Return whether the process stops to wait for the answer before its caller."""
        return self.deadline_ms < self.caller_deadline_ms

    @property
    def may_have_run(self):
        """Return whether a server may have run the request, or runs it."""
        return bool(self.run_count or self.open_run_count or self.has_unknown_run)

    @property
    def is_repeatable(self):
        """Return whether a further run can give the rest of the answer."""
        return self.route.is_repeatable and not self.lacks_event_id

    @property
    def has_tenant_rank(self):
        """Return whether the priority depends on the request's tenant."""
        return self.tenant is not None and self.tenant.rank is not None

    @property
    def is_stream(self):
        """Return whether the answer is a stream of events."""
        return self.route.kind is RouteKind.STREAM


@attrs.frozen
class Refusal:
    """An error answer that the gateway itself gives.

    Parameters
    ----------
    status_code : int
    reason : str
        Sent as the body of the answer.
    retry_after_ms : float or None
        When the caller may retry; set only if the request has not run.
    tenant : Tenant or None
        Whose request was refused, if it is known.
    """

    status_code: int
    reason: str
    retry_after_ms: float | None = None
    tenant: object = None
