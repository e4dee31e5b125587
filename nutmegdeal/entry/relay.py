"""Executes one request: sends its attempts and relays the answer."""

import attrs
import gevent
import gevent.queue

from nutmegdeal import identifiers
from nutmegdeal.entry.admission import AdmissionLimiter
from nutmegdeal.entry.agents import AgentLinks
from nutmegdeal.entry.assembly import (
    AnswerAssembly,
    CallerOutput,
    Complete,
    Incomplete,
    Inconsistent,
)
from nutmegdeal.entry.attempt_router import AttemptRouter
from nutmegdeal.entry.attempts import AttemptPlan, Finish, SendAttempt
from nutmegdeal.entry.blackboard import Blackboard
from nutmegdeal.entry.ledger_actions import LedgerActions
from nutmegdeal.entry.links import AttemptLost
from nutmegdeal.entry.requests import build_submit
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.ledger import Ledger
from nutmegdeal.messages import AnswerEnd, AttemptEnded, Cancel
from nutmegdeal.retry_budget import RetryBudget
from nutmegdeal.telemetry import start_span

# Wait beyond the deadline for the agent's own result of the attempt.
RESULT_GRACE_MS = 50
CALLER_LEFT = Failure(Reason.CANCELLED, Step.CANCEL, "", "the caller left")


@attrs.frozen
class EntryComponents:
    """The components of an entry that all requests share."""

    blackboard: Blackboard
    links: AgentLinks
    attempt_router: AttemptRouter
    ledger: Ledger
    admission_limiter: AdmissionLimiter
    budget: RetryBudget


class RequestExecution:
    """Executes one admitted request.

    Parameters
    ----------
    components : EntryComponents
    request_id : str
    prepared : PreparedRequest
    account : RequestAccount
    traceparent : str
        W3C trace context of the request's span.
    """

    def __init__(self, components, request_id, prepared, account, traceparent=""):
        self._components = components
        self._request_id = request_id
        self._prepared = prepared
        self._account = account
        self._traceparent = traceparent
        self._clock = components.blackboard.clock
        settings = components.blackboard.settings.entry
        terms = prepared.terms
        self._plan = AttemptPlan(
            terms.idempotent, settings.attempts_max, components.budget
        )
        self._inbox = gevent.queue.Queue()
        self._assembly = AnswerAssembly(prepared.target.stream)
        self._ledger_actions = LedgerActions(
            components.ledger, self._plan, account, self._clock, self._wait_for_cancel
        )
        self._tried_hosts = frozenset()
        self._submit = self._build_submit(1, traceparent)
        self._is_attempt_over = True

    def cancel(self, failure=CALLER_LEFT):
        """End the request with a Failure, by default as its caller disconnected."""
        self._inbox.put(failure)

    def events(self):
        """Yield the events of the answer; the last one is a Finish.

        In a streamed answer, a StreamStarted and bytes come before the Finish.
        Closing the generator cancels the current attempt.
        """
        self._components.attempt_router.count_request(self._prepared.target)
        action = self._plan.start()
        while not isinstance(action, Finish):
            if isinstance(action, SendAttempt):
                action = yield from self._send(action.number)
                continue
            action = self._ledger_actions.carry_out(action, self._submit)
        yield action

    def _send(self, number):
        """Make one attempt; return the next action."""
        link = self._components.attempt_router.choose(
            self._prepared.target, self._tried_hosts
        )
        if isinstance(link, Failure):
            self._account.add_failure(link)
            return self._plan.on_no_replica(link)
        host_id = link.host.host_id
        self._tried_hosts |= {host_id}
        with self._start_span(number, host_id) as span:
            self._submit = self._build_submit(number, span.traceparent)
            failure = self._components.links.open(link)
            if failure is not None:
                return self._record_failure(self._plan.on_not_sent, failure)
            attempt_id = self._submit.attempt_id
            self._account.add_sent(attempt_id, host_id, link.incarnation)
            failure = self._components.links.send(link, self._submit, self._inbox)
            if failure is not None:
                return self._record_failure(self._plan.on_not_sent, failure)
            self._plan.on_sent()
            return (yield from self._relay_attempt(link))

    def _start_span(self, number, host_id):
        adapter = self._prepared.target.adapter
        return start_span(
            "submit",
            self._traceparent,
            request_id=self._request_id,
            attempt=identifiers.attempt_id(self._request_id, number),
            adapter=adapter.name if adapter else "",
            version=adapter.version if adapter else "",
            generation=self._prepared.generation,
            peer=host_id,
        )

    def _build_submit(self, number, traceparent):
        attempt_id = identifiers.attempt_id(self._request_id, number)
        return build_submit(self._request_id, attempt_id, self._prepared, traceparent)

    def _relay_attempt(self, link):
        """Relay the answer of the attempt that was sent; return the next action."""
        session = link.session
        started_ms = self._clock.monotonic_ms()
        self._is_attempt_over = False
        self._assembly.begin_attempt(self._submit.attempt_id)
        try:
            return (yield from self._read_answer(link.host.host_id))
        finally:
            self._components.links.remove_inbox(link, self._submit.attempt_id)
            link.record_duration(self._clock.monotonic_ms() - started_ms)
            if not self._is_attempt_over:
                session.send(Cancel(self._submit.attempt_id))

    def _read_answer(self, peer):
        """Yield what can be sent to the caller; return the next action."""
        while True:
            message = self._receive()
            if isinstance(message, Failure):
                return self._record_failure(self._plan.on_deadline, message)
            if message.attempt_id != self._submit.attempt_id:
                continue
            if isinstance(message, AttemptLost | AttemptEnded | AnswerEnd):
                self._is_attempt_over = True
            if isinstance(message, AttemptLost):
                return self._record_failure(self._plan.on_lost, message.failure)
            if isinstance(message, AttemptEnded):
                return self._handle_attempt_ended(message)
            result = self._assembly.process_message(message)
            if isinstance(result, CallerOutput):
                yield from _output_items(result)
            if isinstance(result, Complete):
                self._record_hint(result.end.replication_degree_hint)
                yield from _output_items(result.remainder)
                return self._plan.on_complete(result.answer)
            if isinstance(result, Incomplete):
                failure = attrs.evolve(result.failure, peer=peer)
                return self._record_failure(self._plan.on_incomplete, failure)
            if isinstance(result, Inconsistent):
                failure = attrs.evolve(result.failure, peer=peer)
                return self._record_failure(self._plan.on_inconsistent, failure)

    def _handle_attempt_ended(self, ended):
        detail = f"the agent says {ended.fate.value}: {ended.detail}"
        self._account.add(
            ended.step, ended.reason.value, ended.attempt_id, ended.peer, detail
        )
        self._record_hint(ended.replication_degree_hint)
        return self._plan.on_ended(ended)

    def _record_hint(self, replication_degree_hint):
        self._components.attempt_router.record_hint(
            self._prepared.target, replication_degree_hint
        )

    def _record_failure(self, decide, failure):
        """Record a Failure of the attempt; return the next action of the plan."""
        self._account.add_failure(failure, self._submit.attempt_id)
        return decide(failure)

    def _wait_for_cancel(self, wait_ms):
        """Wait; return None, or a Failure as soon as the caller disconnects."""
        end_ms = self._clock.monotonic_ms() + wait_ms
        while True:
            remaining_ms = end_ms - self._clock.monotonic_ms()
            if remaining_ms <= 0:
                return None
            try:
                item = self._inbox.get(timeout=remaining_ms / 1000)
            except gevent.queue.Empty:
                return None
            if isinstance(item, Failure):
                return item

    def _receive(self):
        """Return the next message, or a Failure at the deadline or if cancelled."""
        end_unix_ms = self._prepared.terms.deadline_unix_ms + RESULT_GRACE_MS
        remaining_ms = end_unix_ms - self._clock.unix_ms()
        try:
            return self._inbox.get(timeout=max(0, remaining_ms) / 1000)
        except gevent.queue.Empty:
            return Failure(
                Reason.DEADLINE_PASSED, Step.ANSWER, "", "no whole answer by then"
            )


def _output_items(output):
    """Yield the items of a CallerOutput; nothing for None."""
    if output is None:
        return
    if output.started is not None:
        yield output.started
    yield output.payload
