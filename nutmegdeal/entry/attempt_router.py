"""Chooses the agent of each attempt from the state of the hosts and links."""

from nutmegdeal.entry.rendezvous import RoutingWeights
from nutmegdeal.entry.routing import RouteRequest
from nutmegdeal.errors import Failure

CANDIDATES_MAX = 16


class AttemptRouter:
    """Builds the candidates' ReplicaViews and lets a ReplicaChooser choose one.

    Parameters
    ----------
    blackboard : Blackboard
    links : AgentLinks
    chooser : RendezvousChooser
    degrees : ReplicationDegreeTracker
    """

    def __init__(self, blackboard, links, chooser, degrees):
        self._blackboard = blackboard
        self._links = links
        self._chooser = chooser
        self._degrees = degrees
        self._weights_configuration = None

    def count_request(self, target):
        """Count a request in the demand for its adapter."""
        if target.adapter is None:
            return
        now_ms = self._blackboard.clock.monotonic_ms()
        self._degrees.count_request(target.adapter.engine_name, now_ms)

    def record_hint(self, target, replication_degree_hint):
        """Record an agent's hint on the replication degree of the adapter."""
        if target.adapter is None:
            return
        now_ms = self._blackboard.clock.monotonic_ms()
        self._degrees.record_hint(
            target.adapter.engine_name, replication_degree_hint, now_ms
        )

    def choose(self, target, excluded):
        """Return the AgentLink for an attempt, or a Failure.

        Parameters
        ----------
        target : Target
        excluded : frozenset of str
            Ids of the hosts that earlier attempts used.
        """
        now_ms = self._blackboard.clock.monotonic_ms()
        adapter = target.adapter.engine_name if target.adapter else ""
        key = adapter or self._blackboard.entry_id
        concurrency_max = target.service.concurrency_max
        links = self._find_links(target.service.name, key, excluded)
        request = RouteRequest(
            adapter=adapter,
            urgency=target.urgency,
            zone=self._blackboard.settings.process.zone,
            degree=self._degrees.degree(adapter, now_ms) if adapter else 1,
            prefix_digest=target.prefix_digest,
            excluded=excluded,
        )
        self._update_weights()
        views = [link.view(adapter, concurrency_max, now_ms) for link in links]
        chosen = self._chooser.choose(request, views, now_ms)
        if isinstance(chosen, Failure):
            return chosen
        return self._links.link_of(chosen.agent_id)

    def _update_weights(self):
        """Set the chooser's weights from the configuration in force."""
        configuration = self._blackboard.configuration_tracker.current
        if configuration is None or configuration is self._weights_configuration:
            return
        self._weights_configuration = configuration
        self._chooser.weights = RoutingWeights.from_configuration(configuration)

    def _find_links(self, service, key, excluded):
        links = []
        for host_id in self._blackboard.ranking_of(service).rank(key):
            link = self._links.link_of(host_id)
            if host_id in excluded or not self._links.may_be_chosen(link):
                continue
            links.append(link)
            if len(links) == CANDIDATES_MAX:
                break
        return links
