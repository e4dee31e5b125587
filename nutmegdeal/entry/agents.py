"""Channel streams to agents, opened on demand and closed when idle."""

import random

import attrs
import gevent
import gevent.event

from nutmegdeal.addresses import Address
from nutmegdeal.entry.links import AgentLink, AttemptLost
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.log import get_logger
from nutmegdeal.messages import (
    AgentReport,
    EntryHello,
    GenerationNotice,
    LoadHint,
)

logger = get_logger(__name__)

CONNECT_TIMEOUT_MS = 1_000
IDLE_CLOSE_AFTER_MS = 10_000
BACKOFF_FIRST_MS = 1_000
BACKOFF_MAX_MS = 30_000
INBOX_MESSAGES_MAX = 4_096
# Largest random extension of a backoff, as a fraction of it.
BACKOFF_JITTER = 0.5


class AgentLinks:
    """The links from one entry to the agents of all hosts.

    Parameters
    ----------
    blackboard : Blackboard
    client : ChannelClient
    """

    def __init__(self, blackboard, client):
        self._blackboard = blackboard
        self._client = client
        self._links = {}
        self._replaced_links = []

    @property
    def open_links(self):
        """List of AgentLink with an open stream."""
        links = [*self._links.values(), *self._replaced_links]
        return [link for link in links if link.is_open]

    def link_of(self, host_id):
        """Return the AgentLink of a host, or None if the host list lacks it.

        A host that now has another address gets a new link; the old one stays open
        for its attempts until it is idle.
        """
        host = self._blackboard.hosts.get(host_id)
        if host is None:
            return None
        link = self._links.get(host_id)
        if link is not None and link.address == Address(
            host.agent_host, host.agent_port
        ):
            link.host = host
            return link
        if link is not None:
            self._replaced_links.append(link)
        self._links[host_id] = AgentLink(host)
        return self._links[host_id]

    def may_be_chosen(self, link):
        """Return whether new attempts may be sent to an agent now."""
        now_ms = self._blackboard.clock.monotonic_ms()
        return not link.is_leaving and now_ms >= link.backoff_until_ms

    def open(self, link):
        """Open the stream of a link unless it is open; return None or a Failure."""
        failure = self._open(link)
        if failure is not None:
            self._back_off(link)
        return failure

    def send(self, link, submit, inbox):
        """Send a Submit.

        Parameters
        ----------
        link : AgentLink
        submit : Submit
        inbox : gevent.queue.Queue
            Receives the messages of this attempt, an AttemptLost if the stream breaks,
            or a Failure if the caller reads too slowly.

        Returns
        -------
        None or Failure
            After a Failure the agent cannot have received the Submit.
        """
        link.inboxes[submit.attempt_id] = inbox
        link.count_unreported_submit(submit)
        link.session.heartbeats_enabled = True
        if link.session.send(submit):
            return None
        self.remove_inbox(link, submit.attempt_id)
        return self._connection_failure(link, link.session)

    def remove_inbox(self, link, attempt_id):
        """Drop all further messages of an attempt."""
        link.inboxes.pop(attempt_id, None)
        if not link.inboxes:
            link.session.heartbeats_enabled = False
        now_ms = self._blackboard.clock.monotonic_ms()
        link.close_at_ms = now_ms + IDLE_CLOSE_AFTER_MS

    def close_idle(self):
        """Close the streams that had no attempts for `IDLE_CLOSE_AFTER_MS`.

        Links to hosts that are no longer in the host list are dropped as well.
        """
        for link in self.open_links:
            if self._is_idle(link):
                link.session.close()
        self._replaced_links = [link for link in self._replaced_links if link.is_open]
        for host_id in self._links.keys() - self._blackboard.hosts.keys():
            if self._is_idle(self._links[host_id]):
                del self._links[host_id]

    def _is_idle(self, link):
        now_ms = self._blackboard.clock.monotonic_ms()
        return not link.inboxes and not link.open_result and now_ms >= link.close_at_ms

    def close(self):
        """Close all streams."""
        for link in self.open_links:
            link.session.close()

    def _open(self, link):
        if link.is_open:
            return None
        if link.open_result is not None:
            return link.open_result.get()
        link.open_result = gevent.event.AsyncResult()
        result = Failure(Reason.CONNECTION_LOST, Step.SUBMIT, link.host.host_id)
        try:
            result = self._connect(link)
        finally:
            link.open_result.set(result)
            link.open_result = None
        return result

    def _connect(self, link):
        session = self._client.connect(link.address, CONNECT_TIMEOUT_MS)
        if isinstance(session, Failure):
            return attrs.evolve(session, step=Step.SUBMIT, peer=link.host.host_id)
        link.session = session
        link.failure_count = 0
        link.report = None
        link.resident = frozenset()
        link.sent_since_report_count = 0
        link.sent_adapters.clear()
        link.close_at_ms = self._blackboard.clock.monotonic_ms() + IDLE_CLOSE_AFTER_MS
        link.inboxes = {}
        link.report_received.clear()
        self._send_hello(session)
        gevent.spawn(self._read, link, session, link.inboxes)
        link.report_received.wait(CONNECT_TIMEOUT_MS / 1000)
        return None if session.is_open else self._connection_failure(link, session)

    def _connection_failure(self, link, session):
        return attrs.evolve(
            session.close_reason, step=Step.SUBMIT, peer=link.host.host_id
        )

    def _send_hello(self, session):
        board = self._blackboard
        zone = board.settings.process.zone
        session.send(EntryHello(board.entry_id, zone, board.generation))
        if board.generation:
            session.send(
                GenerationNotice(board.generation, board.configuration_tracker.manifest)
            )

    def notify_generation(self):
        """Send the generation in force here to all agents with an open stream."""
        board = self._blackboard
        for link in self.open_links:
            link.session.send(
                GenerationNotice(board.generation, board.configuration_tracker.manifest)
            )

    def _read(self, link, session, inboxes):
        for message in session.messages():
            if isinstance(message, LoadHint):
                if link.session is session:
                    link.take_load_hint(message, self._blackboard.clock.monotonic_ms())
                continue
            if isinstance(message, AgentReport | GenerationNotice):
                self._handle_notice(link, session, message)
                continue
            inbox = inboxes.get(getattr(message, "attempt_id", None))
            if inbox is None:
                continue
            inbox.put(message)
            if inbox.qsize() > INBOX_MESSAGES_MAX:
                del inboxes[message.attempt_id]
                inbox.put(
                    Failure(
                        Reason.OVERLOADED, Step.RELAY, "", "the caller reads slowly"
                    )
                )
        link.report_received.set()
        failure = self._connection_failure(link, session)
        for attempt_id, inbox in inboxes.items():
            inbox.put(AttemptLost(attempt_id, failure))
        if failure.reason is not Reason.CANCELLED:
            self._back_off(link)

    def _handle_notice(self, link, session, message):
        if isinstance(message, GenerationNotice):
            self._blackboard.configuration_tracker.record_peer_generation(
                message.generation, message.manifest
            )
            return
        self._blackboard.configuration_tracker.record_peer_generation(
            message.generation
        )
        if link.session is session:
            link.take_report(message, self._blackboard.clock.monotonic_ms())

    def _back_off(self, link):
        """Exclude an unreachable agent from new work; the time doubles per failure."""
        jitter_factor = 1 + BACKOFF_JITTER * random.random()
        backoff_ms = min(BACKOFF_FIRST_MS * 2**link.failure_count, BACKOFF_MAX_MS)
        link.failure_count = min(link.failure_count + 1, 10)
        now_ms = self._blackboard.clock.monotonic_ms()
        link.backoff_until_ms = now_ms + backoff_ms * jitter_factor
