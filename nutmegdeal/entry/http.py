"""The web application that callers use."""

import json

import attrs
import bottle

from nutmegdeal.entry.assembly import StreamStarted
from nutmegdeal.entry.attempts import Finish
from nutmegdeal.entry.bodies import BodyReader
from nutmegdeal.entry.replies import (
    FATE_PENDING,
    JSON_TYPE,
    describe_event,
    reply_to_finish,
    standard_headers,
)
from nutmegdeal.entry.requests import (
    COMPLETION_PATHS,
    SERVICES_PREFIX,
    CallerHeaders,
    CallerRequest,
)
from nutmegdeal.entry.server import RAW_PATH_KEY, SOCKET_KEY, DisconnectWatch
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.log import get_logger
from nutmegdeal.messages import Fate

logger = get_logger(__name__)

SERVER_ERROR_STATUS = 500


class CallerApplication:
    """Bottle application with the routes of an entry.

    Parameters
    ----------
    service : EntryService
    blackboard : Blackboard
    describe_status : callable
        Returns the content of ``/status``, an attrs object.
    memory : MemoryBound
        Bounds the bodies that are held.
    """

    def __init__(self, service, blackboard, describe_status, memory):
        self._service = service
        self._blackboard = blackboard
        self._describe_status = describe_status
        bytes_max = blackboard.settings.entry.body_bytes_max
        self._bodies = BodyReader(bytes_max, memory)
        self.open_count = 0
        self._running = set()
        self._routes = bottle.Bottle()
        self._routes.default_error_handler = self._answer_error
        for path in COMPLETION_PATHS:
            self._routes.route(path, "POST", self._answer_call)
        self._routes.route(f"{SERVICES_PREFIX}<rest:path>", "ANY", self._answer_call)
        self._routes.route("/healthz", "GET", self._answer_health)
        self._routes.route("/readyz", "GET", self._answer_readiness)
        self._routes.route("/status", "GET", self._answer_status)

    def wsgi(self, environ, start_response):
        """Answer a WSGI call; it counts as open until the server closes the body."""
        self.open_count += 1
        try:
            body = self._routes(environ, start_response)
        except BaseException:
            self._decrement_open_count()
            raise
        return ClosingBody(body, self._decrement_open_count)

    def _decrement_open_count(self):
        self.open_count -= 1

    def end_requests(self):
        """Give the requests in progress their final answers; return how many (int)."""
        entry_id = self._blackboard.entry_id
        failure = Failure(Reason.LEAVING, Step.DRAIN, entry_id, "the entry has ended")
        for open_request in self._running:
            open_request.cancel(failure)
        return len(self._running)

    def record_running(self, open_request):
        """Record that a request is being served."""
        self._running.add(open_request)

    def record_ended(self, open_request):
        """Record that a request has been served."""
        self._running.discard(open_request)

    def reply_to_invalid(self, failure):
        """Return the Reply to a request that could not be parsed."""
        open_request = self._service.open("", "")
        return self.reply(open_request, open_request.refuse(failure))

    def _answer_call(self, rest=""):
        environ = bottle.request.environ
        open_request = self._service.open(
            environ["REQUEST_METHOD"], environ[RAW_PATH_KEY]
        )
        body = self._bodies.read(environ, open_request.cancel)
        if isinstance(body, Failure):
            return _respond(self.reply(open_request, open_request.refuse(body)))
        watch = DisconnectWatch(environ.get(SOCKET_KEY), open_request.cancel)
        request = _read_request(environ, body.data)
        answer = CallerAnswer(self, open_request, watch, request, body.held)
        return answer.respond()

    def reply(self, open_request, finish):
        """Return the Reply for the Finish of an OpenRequest."""
        now_unix_ms = self._blackboard.clock.unix_ms()
        return reply_to_finish(finish, open_request.request_id, now_unix_ms)

    def _answer_error(self, error):
        """Answer a request that matches no route or that raised an unexpected error.

        Used as bottle's error handler.
        """
        method, path = bottle.request.method, bottle.request.path
        open_request = self._service.open(method, path)
        detail = f"{method} {path}: {error.status_line}"
        if error.status_code >= SERVER_ERROR_STATUS:
            logger.error("request_crashed", exc_info=error.exception)
            finish = open_request.fail(
                Failure(Reason.INTERNAL_ERROR, Step.RECEIVE, "", detail)
            )
            return _respond(self.reply(open_request, finish))
        failure = Failure(Reason.NOT_FOUND, Step.RECEIVE, "", detail)
        reply = self.reply(open_request, open_request.refuse(failure))
        return _respond(attrs.evolve(reply, status_code=error.status_code))

    def _answer_health(self):
        return {"healthy": True}

    def _answer_readiness(self):
        if not self._blackboard.is_ready:
            bottle.response.status = 503
        return {"ready": self._blackboard.is_ready}

    def _answer_status(self):
        bottle.response.content_type = JSON_TYPE
        return json.dumps(attrs.asdict(self._describe_status()))


class CallerAnswer:
    """The answer to one request, produced as the caller reads it.

    Parameters
    ----------
    application : CallerApplication
    open_request : OpenRequest
    watch : DisconnectWatch
    request : CallerRequest
    held : HeldAccount or UncountedAccount
        Of the request, closed at its end.
    """

    def __init__(self, application, open_request, watch, request, held):
        self._held = held
        self._application = application
        self._open_request = open_request
        self._watch = watch
        self._events = open_request.events(request)
        self._is_closed = False
        application.record_running(open_request)

    def respond(self):
        """Return the bottle response as soon as its status and headers are known."""
        try:
            first = next(self._events)
        except BaseException:
            self.close()
            raise
        if isinstance(first, Finish):
            self.close()
            return _respond(self._application.reply(self._open_request, first))
        if not isinstance(first, StreamStarted):
            raise TypeError(f"unexpected {first!r}")
        headers = standard_headers(
            self._open_request.request_id, FATE_PENDING, first.content_type
        )
        pairs = [(header.name, header.value) for header in headers]
        body = ClosingBody(self._stream(), self.close)
        return bottle.HTTPResponse(body, first.status_code, pairs)

    def _stream(self):
        for event in self._events:
            if not isinstance(event, Finish):
                yield event
                continue
            if event.fate is not Fate.COMPLETED:
                yield describe_event(event, self._open_request.request_id)

    def close(self):
        """Stop watching the caller and cancel the request if it still runs."""
        if self._is_closed:
            return
        self._is_closed = True
        self._application.record_ended(self._open_request)
        self._watch.stop()
        self._held.close()
        self._events.close()


class ClosingBody:
    """Iterable of bytes that calls a function when the server closes it.

    Parameters
    ----------
    chunks : iterable of bytes
        Its ``close`` method, if it has one, is called first.
    on_close : callable
    """

    def __init__(self, chunks, on_close):
        self._source = chunks
        self._chunks = iter(chunks)
        self._on_close = on_close

    def __iter__(self):
        return self

    def __next__(self):
        return next(self._chunks)

    def close(self):
        """Close the chunks, then call the function."""
        try:
            getattr(self._source, "close", _do_nothing)()
        finally:
            self._on_close()


def _do_nothing():
    """Replace the ``close`` method of an iterable that has none."""


def _respond(reply):
    """Return the bottle response of a Reply."""
    pairs = [(header.name, header.value) for header in reply.headers]
    pairs.append(("Content-Length", str(len(reply.body))))
    return bottle.HTTPResponse(reply.body, reply.status_code, pairs)


def _read_request(environ, body):
    headers = CallerHeaders(
        content_type=environ.get("CONTENT_TYPE", ""),
        idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
        deadline=environ.get("HTTP_X_DEADLINE_MS", ""),
        expires=environ.get("HTTP_X_EXPIRES_MS", ""),
        unrepeatable=environ.get("HTTP_X_UNREPEATABLE", "").lower(),
        traceparent=environ.get("HTTP_TRACEPARENT", ""),
    )
    return CallerRequest(
        method=environ["REQUEST_METHOD"],
        path=environ[RAW_PATH_KEY],
        query=environ.get("QUERY_STRING", ""),
        headers=headers,
        body=body,
    )
