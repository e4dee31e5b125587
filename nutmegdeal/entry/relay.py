"""Carries one request out: sends its attempts and relays the answer."""

import attrs
import gevent
import gevent.queue

from nutmegdeal import identifiers
from nutmegdeal.entry.admission import AdmissionGate
from nutmegdeal.entry.agents import AgentLinks, AttemptLost
from nutmegdeal.entry.answers import Accepted, AnswerReader, Whole
from nutmegdeal.entry.attempts import (
    AttemptPlan,
    FenceAttempt,
    FindRecord,
    Finish,
    ReadRecord,
    SendAttempt,
    WithdrawAttempt,
)
from nutmegdeal.entry.blackboard import Blackboard
from nutmegdeal.entry.budget import RetryBudget
from nutmegdeal.entry.placement import Placement
from nutmegdeal.entry.requests import build_submit
from nutmegdeal.entry.streams import EventRelay, is_event_stream
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.ledger import Ledger, LedgerAnswer
from nutmegdeal.messages import AnswerEnd, AnswerHead, AttemptEnded, Cancel

ANSWER_BYTES_MAX = 67_108_864
VERDICT_GRACE_MS = 50
RECORD_POLL_FIRST_MS = 50
RECORD_POLL_MAX_MS = 1_000
STATUS_OK = 200


@attrs.frozen
class Parts:
    """The parts of an entry that every request uses."""

    blackboard: Blackboard
    links: AgentLinks
    placement: Placement
    ledger: Ledger
    gate: AdmissionGate
    budget: RetryBudget


@attrs.frozen
class StreamStarted:
    """The answer is streamed; its bytes follow."""

    status_code: int
    content_type: str


class RequestRun:
    """One admitted request on its way.

    Parameters
    ----------
    parts : Parts
    request_id : str
    target : Target
    terms : Terms
    headers : CallerHeaders
    generation : int
    account : RequestAccount
    """

    def __init__(self, parts, request_id, target, terms, headers, generation, account):
        self._parts = parts
        self._request_id = request_id
        self._target = target
        self._terms = terms
        self._headers = headers
        self._generation = generation
        self._account = account
        self._clock = parts.blackboard.clock
        settings = parts.blackboard.settings.entry
        self._plan = AttemptPlan(terms.idempotent, settings.attempts_max, parts.budget)
        self._inbox = gevent.queue.Queue()
        self._relay = EventRelay()
        self._started = None
        self._tried = frozenset()
        self._submit = None
        self._is_attempt_over = True
        self._record_poll_ms = 0

    def cancel(self):
        """Give the request up because its caller went away."""
        self._inbox.put(Failure(Reason.CANCELLED, Step.CANCEL, "", "the caller left"))

    def events(self):
        """Yield StreamStarted and bytes if the answer is streamed, at last a Finish.

        Closing the generator cancels the attempt under way.
        """
        self._parts.placement.observe_request(self._target)
        action = self._plan.start()
        while not isinstance(action, Finish):
            if isinstance(action, SendAttempt):
                action = yield from self._send(action.number)
                continue
            action = self._consult_ledger(action)
        yield action

    def _send(self, number):
        """Make one attempt; return the next action."""
        link = self._parts.placement.choose(self._target, self._tried)
        if isinstance(link, Failure):
            self._account.add_failure(link)
            return self._plan.on_no_replica(link)
        host_id = link.host.host_id
        self._tried |= {host_id}
        self._submit = self._build_submit(number)
        failure = self._parts.links.open(link)
        if failure is not None:
            return self._note(self._plan.on_not_sent, failure)
        self._account.add_sent(self._submit.attempt_id, host_id, link.incarnation)
        failure = self._parts.links.send(link, self._submit, self._inbox)
        if failure is not None:
            return self._note(self._plan.on_not_sent, failure)
        self._plan.on_sent()
        return (yield from self._follow(link))

    def _build_submit(self, number):
        return build_submit(
            self._request_id,
            identifiers.attempt_id(self._request_id, number),
            self._target,
            self._terms,
            self._headers,
            self._generation,
        )

    def _follow(self, link):
        """Read what comes of the attempt that was sent; return the next action."""
        attempt_id = self._submit.attempt_id
        session = link.session
        begun_ms = self._clock.monotonic_ms()
        self._is_attempt_over = False
        try:
            return (yield from self._read_answer(link.host.host_id))
        finally:
            self._parts.links.forget(link, attempt_id)
            link.take_hold(self._clock.monotonic_ms() - begun_ms)
            if not self._is_attempt_over:
                session.send(Cancel(attempt_id))

    def _read_answer(self, peer):
        reader = AnswerReader(self._submit.attempt_id)
        self._relay.begin_attempt()
        chunks = []
        while True:
            message = self._receive()
            if isinstance(message, Failure):
                return self._plan.on_deadline(message)
            if message.attempt_id != self._submit.attempt_id:
                continue
            if isinstance(message, AttemptLost | AttemptEnded | AnswerEnd):
                self._is_attempt_over = True
            if isinstance(message, AttemptLost):
                return self._note(self._plan.on_lost, message.failure)
            if isinstance(message, AttemptEnded):
                return self._take_end(message)
            result = reader.accept(message)
            if isinstance(result, AnswerHead):
                failure = self._take_head(result, peer)
                if failure is not None:
                    return self._note(self._plan.on_inconsistent, failure)
            if isinstance(result, Failure):
                failure = attrs.evolve(result, peer=peer)
                return self._note(self._plan.on_broken, failure)
            if isinstance(result, Whole):
                self._parts.placement.observe_hint(self._target, result.end.degree_hint)
                if not self._is_streamed(reader.head):
                    return self._plan.on_whole(_join(reader.head, chunks))
                rest = self._relay.finish()
                if isinstance(rest, Failure):
                    return self._note(self._plan.on_inconsistent, rest)
                yield from self._pass_on(reader.head, rest)
                return self._plan.on_whole()
            if not isinstance(result, Accepted):
                continue
            if not self._is_streamed(reader.head):
                chunks.append(result.payload)
                continue
            payload = self._relay.feed(result.payload)
            if isinstance(payload, Failure):
                return self._note(self._plan.on_inconsistent, payload)
            if payload:
                yield from self._pass_on(reader.head, payload)

    def _take_head(self, head, peer):
        """Return a Failure if a head does not fit to what the caller already has."""
        if self._started is None:
            return None
        if (head.status_code, head.content_type) == (
            self._started.status_code,
            self._started.content_type,
        ):
            return None
        detail = f"another attempt answered {head.status_code} {head.content_type}"
        return Failure(Reason.INCOMPLETE_ANSWER, Step.RELAY, peer, detail)

    def _is_streamed(self, head):
        if not self._target.stream or head.status_code != STATUS_OK:
            return False
        return is_event_stream(head.content_type)

    def _pass_on(self, head, payload):
        if self._started is None:
            self._started = StreamStarted(head.status_code, head.content_type)
            yield self._started
        yield payload

    def _take_end(self, ended):
        self._account.add(
            ended.step,
            ended.reason.value,
            ended.attempt_id,
            ended.peer,
            f"the agent says {ended.fate.value}: {ended.detail}",
        )
        self._parts.placement.observe_hint(self._target, ended.degree_hint)
        return self._plan.on_ended(ended)

    def _note(self, decide, failure):
        """Record a Failure of the attempt and return what the plan decides."""
        self._account.add_failure(failure, self._submit.attempt_id)
        return decide(failure)

    def _consult_ledger(self, action):
        ledger, submit = self._parts.ledger, self._submit
        if isinstance(action, FindRecord):
            result = ledger.lookup(self._build_submit(1))
            if result is not None:
                self._account.add(Step.LEDGER, "found", "", "", _describe(result))
            return self._plan.on_found(result)
        if isinstance(action, ReadRecord):
            return self._read_record()
        if isinstance(action, FenceAttempt):
            result, outcome = ledger.fence(submit), "fence"
        if isinstance(action, WithdrawAttempt):
            result, outcome = ledger.withdraw(submit), "withdraw"
        self._account.add(
            Step.LEDGER, outcome, submit.attempt_id, "", _describe(result)
        )
        return self._plan.on_fence(result)

    def _read_record(self):
        """Wait for the next poll of the ledger row, and read it."""
        left_ms = self._terms.deadline_unix_ms - self._clock.unix_ms()
        if left_ms <= 0:
            return self._plan.on_deadline(_deadline_passed())
        wait_ms = min(self._record_poll_ms, left_ms)
        self._record_poll_ms = min(
            max(2 * self._record_poll_ms, RECORD_POLL_FIRST_MS), RECORD_POLL_MAX_MS
        )
        failure = self._wait_for_cancel(wait_ms)
        if failure is not None:
            return self._plan.on_deadline(failure)
        submit = self._submit or self._build_submit(1)
        return self._plan.on_record(self._parts.ledger.lookup(submit))

    def _wait_for_cancel(self, wait_ms):
        """Wait; return a Failure early if the caller goes away."""
        end_ms = self._clock.monotonic_ms() + wait_ms
        while True:
            left_ms = end_ms - self._clock.monotonic_ms()
            if left_ms <= 0:
                return None
            try:
                item = self._inbox.get(timeout=left_ms / 1000)
            except gevent.queue.Empty:
                return None
            if isinstance(item, Failure):
                return item

    def _receive(self):
        """Return the next message, or a Failure at the deadline or on a cancel."""
        end_unix_ms = self._terms.deadline_unix_ms + VERDICT_GRACE_MS
        left_ms = end_unix_ms - self._clock.unix_ms()
        try:
            return self._inbox.get(timeout=max(0, left_ms) / 1000)
        except gevent.queue.Empty:
            return _deadline_passed()


def _deadline_passed():
    return Failure(
        Reason.DEADLINE_PASSED, Step.ANSWER, "", "no whole answer by the deadline"
    )


def _join(head, chunks):
    return LedgerAnswer(head.status_code, head.content_type, b"".join(chunks))


def _describe(result):
    """Return what the ledger said in one line."""
    if isinstance(result, Failure):
        return str(result)
    row = getattr(result, "row", result)
    name = type(result).__name__
    return f"{name}: {row.state.value} by {row.attempt_id}" if row else name
