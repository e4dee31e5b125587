"""Graceful shutdown, also when the host list marks this host as leaving."""

import gevent
import gevent.event

from nutmegdeal.accounts import Outcome
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.log import get_logger
from nutmegdeal.services.hosts import HostState

logger = get_logger(__name__)

POLL_S = 0.02
RETRY_AFTER_MS = 1_000


class Drain:
    """Refuses new and waiting requests and lets running ones finish.

    Parameters
    ----------
    board : Blackboard
    reporter : Reporter
    attempt_finalizer : AttemptFinalizer
    events : EventLog
    clock : Clock
    settings : AgentSettings
    """

    def __init__(self, board, reporter, attempt_finalizer, events, clock, settings):
        self._board = board
        self._reporter = reporter
        self._attempt_finalizer = attempt_finalizer
        self._events = events
        self._clock = clock
        self._settings = settings
        self.has_begun = gevent.event.Event()

    def begin(self):
        """Refuse all waiting requests now, and new ones from now on."""
        if self._board.is_leaving:
            return
        logger.info("drain_begun", waiting=len(self._board.waiting()))
        self._board.is_leaving = True
        self._reporter.report_to_all()
        retry_at_unix_ms = self._clock.unix_ms() + RETRY_AFTER_MS
        for attempt in self._board.waiting():
            failure = Failure(
                Reason.LEAVING,
                Step.DRAIN,
                self._board.agent_id,
                "handed back by an agent that shuts down",
            )
            self._events.add_event(attempt.submit, Step.DRAIN, Outcome.REFUSED)
            self._attempt_finalizer.refuse(attempt, failure, retry_at_unix_ms)
        self.has_begun.set()

    def wait_until_finished(self):
        """Wait for running requests; return whether all of them finished in time."""
        cutoff_ms = self._clock.monotonic_ms() + self._settings.drain_within_ms
        while self._board.attempts or self._board.running_greenlets:
            if self._clock.monotonic_ms() >= cutoff_ms:
                logger.error("drain_cut_off", running=len(self._board.attempts))
                return False
            gevent.sleep(POLL_S)
        return True


class HostWatch:
    """Begins the drain when the host list marks this host as leaving.

    Parameters
    ----------
    hosts : HostList
    address : channel.Address
        Address of this agent's channel.
    on_leaving : callable
    settings : PlatformSettings
    """

    def __init__(self, hosts, address, on_leaving, settings):
        self._hosts = hosts
        self._address = address
        self._on_leaving = on_leaving
        self._settings = settings

    def step(self):
        """Read the list once."""
        hosts = self._hosts.read()
        if isinstance(hosts, Failure):
            logger.warning("hosts_not_read", error=str(hosts))
            return
        if any(self._is_leaving(host) for host in hosts):
            self._on_leaving()

    def _is_leaving(self, host):
        is_own = (host.agent_host, host.agent_port) == (
            self._address.host,
            self._address.port,
        )
        return is_own and host.state is HostState.LEAVING

    def run(self):
        """Read the list until the greenlet is killed."""
        while True:
            self.step()
            gevent.sleep(self._settings.hosts_poll_every_ms / 1000)
