"""Poller and the controllers that refresh the host list and the configuration."""

import random

import gevent

from nutmegdeal.errors import Failure
from nutmegdeal.log import get_logger

logger = get_logger(__name__)

# Largest deviation of a pause from the interval, as a fraction of it.
POLL_JITTER = 0.2
AGENTS_QUERIED_MAX = 3


class Poller:
    """Calls a function periodically.

    Parameters
    ----------
    read : callable
        Returns a Failure or anything else; the first Failure of a series is logged.
    every_ms : int
        Mean interval; each pause is varied by `POLL_JITTER`.
    """

    def __init__(self, read, every_ms):
        self._read = read
        self._every_ms = every_ms
        self._was_failing = False

    def run(self):
        """Poll until the greenlet is killed."""
        while True:
            self.poll_once()
            jitter_factor = 1 + POLL_JITTER * (2 * random.random() - 1)
            gevent.sleep(self._every_ms * jitter_factor / 1000)

    def poll_once(self):
        """Poll now; log the first failure of a series."""
        try:
            result = self._read()
        except Exception:
            logger.exception("poll_crashed")
            return
        is_failing = isinstance(result, Failure)
        if is_failing and not self._was_failing:
            logger.warning("poll_failed", failure=str(result))
        self._was_failing = is_failing


class ConfigurationController:
    """Refreshes the configuration and announces new generations to the agents.

    Parameters
    ----------
    blackboard : Blackboard
    links : AgentLinks
    random : random.Random or module
        A source of random numbers or the module ``random``.
    """

    def __init__(self, blackboard, links, random):
        self._blackboard = blackboard
        self._links = links
        self._random = random
        self._announced_generation = 0

    def refresh(self):
        """Read the configuration head; return None, or a Failure if that failed."""
        result = self._blackboard.configuration_tracker.refresh()
        if self._blackboard.generation > self._announced_generation:
            self._announced_generation = self._blackboard.generation
            self._links.notify_generation()
        if self._blackboard.generation == 0:
            self._query_agents()
        return result if isinstance(result, Failure) else None

    def refresh_if_due(self):
        """Refresh if a peer has announced a newer generation."""
        return (
            self.refresh()
            if self._blackboard.configuration_tracker.is_refresh_due
            else None
        )

    def _query_agents(self):
        """Open streams to some agents, which then announce their generation."""
        host_ids = sorted(self._blackboard.hosts)
        count = min(AGENTS_QUERIED_MAX, len(host_ids))
        for host_id in self._random.sample(host_ids, count):
            link = self._links.link_of(host_id)
            if self._links.may_be_chosen(link):
                self._links.open(link)


class HostsController:
    """Reads the host list into the blackboard.

    Parameters
    ----------
    blackboard : Blackboard
    host_list : HostList
    """

    def __init__(self, blackboard, host_list):
        self._blackboard = blackboard
        self._host_list = host_list

    def refresh(self):
        """Read the host list; after a Failure the last list stays in place."""
        hosts = self._host_list.read()
        if isinstance(hosts, Failure):
            return hosts
        self._blackboard.replace_hosts(hosts)
        return None
