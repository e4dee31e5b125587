"""Runs the entry's production classes in simulated time."""

import attrs

from nutmegdeal.bench.policy_metrics import RequestRecord
from nutmegdeal.bench.teams import COMPLETION_PATH, VERSION
from nutmegdeal.entry.agents import BACKOFF_FIRST_MS
from nutmegdeal.entry.attempt_router import AttemptRouter
from nutmegdeal.entry.attempts import AttemptPlan, Finish
from nutmegdeal.entry.blackboard import Blackboard
from nutmegdeal.entry.links import AgentLink, AttemptLost
from nutmegdeal.entry.replication_degree import ReplicationDegreeTracker
from nutmegdeal.entry.requests import Target
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.identifiers import AdapterRef, attempt_id, request_of_attempt
from nutmegdeal.messages import AnswerEnd, AttemptEnded, Submit
from nutmegdeal.retry_budget import RetryBudget
from nutmegdeal.settings import ProcessSettings, Settings

NETWORK_DELAY_MS = 0.5


@attrs.define(eq=False)
class OpenRequest:
    """Request that the entry has not finished.

    Parameters
    ----------
    request_id : str
    record : RequestRecord
    target : Target
    plan : AttemptPlan
    excluded : set of str
        Ids of the agents that were tried before.
    sent_ms : float
        When the current attempt was sent.
    """

    request_id: str
    record: RequestRecord
    target: Target
    plan: AttemptPlan
    excluded: set = attrs.field(factory=set)
    sent_ms: float = 0.0


class SimulatedSession:
    """Session over which an agent answers one entry.

    Parameters
    ----------
    loop : SimulationLoop
    receive : callable
        Called with each message when it arrives at the entry.
    """

    peer = "entry"

    def __init__(self, loop, receive):
        self._loop = loop
        self._receive = receive

    def send(self, message):
        """Deliver a message after the network delay."""
        self._loop.call_later(NETWORK_DELAY_MS, self._receive, message)


@attrs.frozen
class FixedConfiguration:
    """Replaces the tracker of the configuration in force; it never changes."""

    current: object


class SimulatedLinks:
    """AgentLinks of one entry.

    Parameters
    ----------
    loop : SimulationLoop
    """

    def __init__(self, loop):
        self._loop = loop
        self._links = {}

    def add(self, host):
        """Add the link to a host's agent."""
        self._links[host.host_id] = AgentLink(host)

    def link_of(self, host_id):
        """Return the AgentLink of a host."""
        return self._links[host_id]

    def may_be_chosen(self, link):
        """Return whether new requests may be sent to an agent now."""
        return self._loop.now_ms >= link.backoff_until_ms


class SimulatedEntry:
    """One entry, in simulated time.

    Parameters
    ----------
    entry_id, zone : str
    loop : SimulationLoop
    agents : dict of str to SimulatedAgent
    policies : PolicySet
    """

    def __init__(self, entry_id, zone, loop, agents, policies):
        self._entry_id = entry_id
        self._loop = loop
        self._agents = agents
        self._configuration = policies.configuration
        settings = Settings(process=ProcessSettings(zone=zone))
        self._attempts_max = settings.entry.attempts_max
        self._board = Blackboard(
            settings,
            loop.clock,
            FixedConfiguration(policies.configuration),
            entry_id,
            entry_id,
        )
        self._links = SimulatedLinks(loop)
        for agent in agents.values():
            self._links.add(agent.host)
        self.replace_hosts([agent.host for agent in agents.values()])
        self._attempt_router = AttemptRouter(
            self._board,
            self._links,
            policies.make_chooser(entry_id),
            ReplicationDegreeTracker(),
        )
        self._budget = RetryBudget(settings.entry.retry_ratio)
        self._session = SimulatedSession(loop, self._receive)
        self._open = {}

    def replace_hosts(self, hosts):
        """Apply a new host list."""
        self._board.replace_hosts(hosts)

    def start_request(self, request_id, record):
        """Start to handle a request of a caller.

        Parameters
        ----------
        request_id : str
        record : RequestRecord
        """
        plan = AttemptPlan(True, self._attempts_max, self._budget)
        target = self._build_target(record.arrival)
        request = OpenRequest(request_id, record, target, plan)
        self._open[request_id] = request
        self._attempt_router.count_request(target)
        self._execute_step(request, plan.start())

    def receive_report(self, agent_id, report):
        """Apply an AgentReport."""
        self._links.link_of(agent_id).take_report(report, self._loop.now_ms)

    def disconnect_agent(self, agent_id):
        """Handle the loss of the stream to an agent."""
        link = self._links.link_of(agent_id)
        link.backoff_until_ms = self._loop.now_ms + BACKOFF_FIRST_MS
        failure = Failure(Reason.CONNECTION_LOST, Step.SUBMIT, agent_id)
        for attempt in tuple(link.inboxes):
            self._receive(AttemptLost(attempt, failure))

    def _build_target(self, arrival):
        (service,) = self._configuration.services.values()
        return Target(
            service=service,
            operation=service.operations[0],
            method="POST",
            path=COMPLETION_PATH,
            body=b"",
            urgency=arrival.urgency,
            adapter=AdapterRef(arrival.adapter, VERSION),
        )

    def _execute_step(self, request, step):
        if isinstance(step, Finish):
            del self._open[request.request_id]
            request.record.finish(step.fate, self._loop.now_ms)
            return
        self._send_attempt(request, step.number)

    def _send_attempt(self, request, number):
        link = self._attempt_router.choose(request.target, frozenset(request.excluded))
        if isinstance(link, Failure):
            self._execute_step(request, request.plan.on_no_replica(link))
            return
        agent_id = link.host.host_id
        request.excluded.add(agent_id)
        agent = self._agents[agent_id]
        if agent.engine.is_down:
            link.backoff_until_ms = self._loop.now_ms + BACKOFF_FIRST_MS
            failure = Failure(Reason.CONNECTION_LOST, Step.SUBMIT, agent_id)
            self._execute_step(request, request.plan.on_not_sent(failure))
            return
        request.plan.on_sent()
        request.sent_ms = self._loop.now_ms
        request.record.record_sent_attempt(agent_id)
        submit = self._build_submit(request, number)
        link.inboxes[submit.attempt_id] = link
        link.count_unreported_submit(submit)
        self._loop.call_later(NETWORK_DELAY_MS, agent.submit, self._session, submit)

    def _build_submit(self, request, number):
        arrival = request.record.arrival
        remaining_ms = arrival.deadline_ms - self._loop.now_ms
        return Submit(
            request_id=request.request_id,
            attempt_id=attempt_id(request.request_id, number),
            service=request.target.service.name,
            method="POST",
            path=COMPLETION_PATH,
            content_type="application/json",
            body=b"",
            adapter=arrival.adapter,
            version=VERSION,
            urgency=arrival.urgency,
            idempotent=True,
            idempotency_key="",
            expiry_unix_ms=0,
            deadline_unix_ms=self._loop.clock.unix_ms() + int(remaining_ms),
            generation=self._configuration.generation,
        )

    def _receive(self, message):
        if not isinstance(message, AnswerEnd | AttemptEnded | AttemptLost):
            return
        request = self._open.get(request_of_attempt(message.attempt_id))
        link = self._links.link_of(request.record.agent_id)
        link.inboxes.pop(message.attempt_id)
        link.record_duration(self._loop.now_ms - request.sent_ms)
        if isinstance(message, AttemptLost):
            self._execute_step(request, request.plan.on_lost(message.failure))
            return
        self._attempt_router.record_hint(
            request.target, message.replication_degree_hint
        )
        if isinstance(message, AttemptEnded):
            self._execute_step(request, request.plan.on_ended(message))
            return
        request.record.record_reported_waits(message.load_stall_ms, message.queue_ms)
        self._execute_step(request, request.plan.on_complete())
