"""Handles a caller's request from its receipt to the final answer."""

import contextlib

import attrs

from nutmegdeal.accounts import Outcome
from nutmegdeal.entry.account import RequestAccount
from nutmegdeal.entry.attempts import Finish
from nutmegdeal.entry.relay import CALLER_LEFT, RequestExecution
from nutmegdeal.entry.requests import PreparedRequest, read_terms, resolve
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.log import get_logger
from nutmegdeal.messages import Fate
from nutmegdeal.telemetry import start_span

logger = get_logger(__name__)

RETRY_AFTER_MS = 1_000


class EntryService:
    """Validates, admits and executes requests.

    Parameters
    ----------
    components : EntryComponents
    recorder : Recorder
    request_ids : RequestIdGenerator
    """

    def __init__(self, components, recorder, request_ids):
        self._components = components
        self._recorder = recorder
        self._request_ids = request_ids

    def open(self, method, path):
        """Start the account of an arriving request; return its OpenRequest."""
        request_id = self._request_ids.next_id()
        account = RequestAccount(
            self._recorder, self._components.blackboard, request_id
        )
        account.add(Step.RECEIVE, Outcome.RECEIVED.value, detail=f"{method} {path}")
        return OpenRequest(self._components, request_id, account)


class OpenRequest:
    """A request whose caller is waiting for the answer.

    Parameters
    ----------
    components : EntryComponents
    request_id : str
    account : RequestAccount
    """

    def __init__(self, components, request_id, account):
        self.request_id = request_id
        self._components = components
        self._account = account
        self._execution = None
        self._cancellation = None

    def cancel(self, failure=CALLER_LEFT):
        """End the request with a Failure, by default as its caller disconnected."""
        self._cancellation = failure
        if self._execution is not None:
            self._execution.cancel(failure)

    def refuse(self, failure):
        """Return the Finish of a request that is refused before it runs."""
        self._account.add_failure(failure)
        now_unix_ms = self._components.blackboard.clock.unix_ms()
        retry_at = now_unix_ms + RETRY_AFTER_MS
        if failure.reason is Reason.OVERLOADED:
            retry_at = self._components.admission_limiter.suggest_retry_unix_ms(
                now_unix_ms
            )
        finish = Finish(Fate.NOT_RUN, failure, None, retry_at)
        self._account.add_finish(finish)
        return finish

    def fail(self, failure):
        """Return the Finish of a request that failed by an error in this entry."""
        finish = Finish(Fate.IN_DOUBT, failure)
        self._account.add_finish(finish)
        return finish

    def events(self, request):
        """Validate, admit and execute a CallerRequest.

        Yields the events of `RequestExecution.events`, or only the Finish of a refused
        request.
        """
        prepared = self._prepare(request)
        if isinstance(prepared, Failure):
            yield self.refuse(prepared)
            return
        urgency = prepared.target.urgency
        failure = self._components.admission_limiter.try_admit(urgency)
        if failure is not None:
            yield self.refuse(failure)
            return
        self._account.add(Step.ADMIT, Outcome.ADMITTED.value, detail=urgency.value)
        try:
            yield from self._run_admitted(prepared)
        except Exception as error:
            logger.exception("request_crashed", request_id=self.request_id)
            yield self.fail(Failure(Reason.INTERNAL_ERROR, Step.RELAY, "", repr(error)))

    def _prepare(self, request):
        """Return the PreparedRequest, or a Failure if the request is refused."""
        board = self._components.blackboard
        if board.is_draining:
            return Failure(Reason.LEAVING, Step.ADMIT, board.entry_id, "shutting down")
        configuration = board.configuration_tracker.current
        if configuration is None:
            detail = "no configuration has been read yet"
            return Failure(Reason.NOT_CONFIGURED, Step.RESOLVE, "", detail)
        target = resolve(request, configuration)
        if isinstance(target, Failure):
            return target
        default_timeout_ms = board.settings.entry.answer_within_ms
        terms = read_terms(
            request.headers, target.operation, default_timeout_ms, board.clock.unix_ms()
        )
        if isinstance(terms, Failure):
            return terms
        self._account.set_target(configuration.generation, target.adapter)
        key = "" if terms.idempotent else terms.idempotency_key
        self._account.add_resolved(target.service.name, key)
        return PreparedRequest(target, terms, request.headers, configuration.generation)

    def _run_admitted(self, prepared):
        clock = self._components.blackboard.clock
        started_ms = clock.monotonic_ms()
        finish = None
        try:
            with self._start_span(prepared) as span:
                execution = self._execute(prepared, span.traceparent)
                with contextlib.closing(execution) as events:
                    for event in events:
                        if isinstance(event, Finish):
                            finish = event
                            self._account.add_finish(finish)
                            span.set_attribute("fate", finish.fate.value)
                        yield event
        finally:
            self._components.admission_limiter.release(
                clock.monotonic_ms() - started_ms
            )
            if finish is None:
                self._account.add_answer("cancelled", detail="the caller left")

    def _execute(self, prepared, traceparent):
        self._execution = RequestExecution(
            self._components, self.request_id, prepared, self._account, traceparent
        )
        if self._cancellation is not None:
            self._execution.cancel(self._cancellation)
        with contextlib.closing(self._execution.events()) as events:
            for event in events:
                is_last = isinstance(event, Finish)
                yield self._with_retry_time(event) if is_last else event

    def _start_span(self, prepared):
        adapter = prepared.target.adapter
        return start_span(
            "request",
            prepared.headers.traceparent,
            request_id=self.request_id,
            service=prepared.target.service.name,
            adapter=adapter.name if adapter else "",
            version=adapter.version if adapter else "",
            generation=prepared.generation,
        )

    def _with_retry_time(self, finish):
        """Return the Finish with a retry time if the request was not run."""
        now_unix_ms = self._components.blackboard.clock.unix_ms()
        if finish.fate is not Fate.NOT_RUN or finish.retry_at_unix_ms > now_unix_ms:
            return finish
        return attrs.evolve(finish, retry_at_unix_ms=now_unix_ms + RETRY_AFTER_MS)
