"""Takes a caller's request from its receipt to the final answer."""

import contextlib

import attrs

from nutmegdeal.accounts import Outcome
from nutmegdeal.entry.account import RequestAccount
from nutmegdeal.entry.attempts import Finish
from nutmegdeal.entry.relay import RequestRun
from nutmegdeal.entry.requests import read_terms, resolve
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.messages import Fate

COME_BACK_AFTER_MS = 1_000


class EntryService:
    """Checks, admits and runs requests.

    Parameters
    ----------
    parts : Parts
    recorder : Recorder
    request_ids : RequestIdSource
    """

    def __init__(self, parts, recorder, request_ids):
        self._parts = parts
        self._recorder = recorder
        self._request_ids = request_ids

    def open(self, method, path):
        """Return the OpenRequest of a request that begins to arrive."""
        request_id = self._request_ids.next_id()
        account = RequestAccount(self._recorder, self._parts.blackboard, request_id)
        account.add(Step.RECEIVE, Outcome.RECEIVED.value, detail=f"{method} {path}")
        return OpenRequest(self._parts, request_id, account)


class OpenRequest:
    """A request whose caller waits for an answer.

    Parameters
    ----------
    parts : Parts
    request_id : str
    account : RequestAccount
    """

    def __init__(self, parts, request_id, account):
        self.request_id = request_id
        self._parts = parts
        self._account = account
        self._run = None
        self._is_cancelled = False

    def cancel(self):
        """Give up because the caller went away."""
        self._is_cancelled = True
        if self._run is not None:
            self._run.cancel()

    def refuse(self, failure):
        """Return the Finish of a request that is refused before it is run."""
        self._account.add_failure(failure)
        now_unix_ms = self._parts.blackboard.clock.unix_ms()
        retry_at = now_unix_ms + COME_BACK_AFTER_MS
        if failure.reason is Reason.OVERLOADED:
            retry_at = self._parts.gate.free_at_unix_ms(now_unix_ms)
        finish = Finish(Fate.NOT_RUN, failure, None, retry_at)
        self._account.add_finish(finish)
        return finish

    def events(self, request):
        """Yield what `RequestRun.events` does for a CallerRequest."""
        prepared = self._prepare(request)
        if isinstance(prepared, Failure):
            yield self.refuse(prepared)
            return
        urgency = prepared.target.urgency
        failure = self._parts.gate.try_admit(urgency)
        if failure is not None:
            yield self.refuse(failure)
            return
        self._account.add(Step.ADMIT, Outcome.ADMITTED.value, detail=urgency.value)
        yield from self._run_admitted(prepared)

    def _prepare(self, request):
        """Return what was read from the request, or a Failure."""
        board = self._parts.blackboard
        if board.is_draining:
            return Failure(Reason.LEAVING, Step.ADMIT, board.entry_id, "shutting down")
        configuration = board.keeper.current
        if configuration is None:
            detail = "no configuration has been read yet"
            return Failure(Reason.NOT_CONFIGURED, Step.RESOLVE, "", detail)
        target = resolve(request, configuration)
        if isinstance(target, Failure):
            return target
        default_within_ms = board.settings.entry.answer_within_ms
        terms = read_terms(
            request.headers, target.operation, default_within_ms, board.clock.unix_ms()
        )
        if isinstance(terms, Failure):
            return terms
        self._account.address(configuration.generation, target.adapter)
        self._account.add(
            Step.RESOLVE,
            Outcome.RESOLVED.value,
            detail=f"service {target.service.name}",
        )
        return Prepared(target, terms, request.headers, configuration.generation)

    def _run_admitted(self, prepared):
        clock = self._parts.blackboard.clock
        begun_ms = clock.monotonic_ms()
        self._run = RequestRun(
            self._parts,
            self.request_id,
            prepared.target,
            prepared.terms,
            prepared.headers,
            prepared.generation,
            self._account,
        )
        if self._is_cancelled:
            self._run.cancel()
        finish = None
        try:
            with contextlib.closing(self._run.events()) as events:
                for event in events:
                    if isinstance(event, Finish):
                        finish = self._with_retry_time(event)
                        event = finish
                        self._account.add_finish(finish)
                    yield event
        finally:
            self._parts.gate.release(clock.monotonic_ms() - begun_ms)
            if finish is None:
                self._account.add_answer("cancelled", detail="the caller left")

    def _with_retry_time(self, finish):
        """Return a Finish that says when to come back if it was not run."""
        now_unix_ms = self._parts.blackboard.clock.unix_ms()
        if finish.fate is not Fate.NOT_RUN or finish.retry_at_unix_ms > now_unix_ms:
            return finish
        return attrs.evolve(finish, retry_at_unix_ms=now_unix_ms + COME_BACK_AFTER_MS)


@attrs.frozen
class Prepared:
    """A request that was read and checked under one generation."""

    target: object
    terms: object
    headers: object
    generation: int
