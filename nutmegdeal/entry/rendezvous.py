"""Rendezvous hashing, and a routing policy that is based on it."""

import hashlib
import math

import attrs

from nutmegdeal.entry.routing import ReplicaChooser
from nutmegdeal.errors import Failure, Reason, Step

SCORE_BYTES = 8
SCORE_END = 256.0**SCORE_BYTES
SHARE_MAX = 1.0 - 2.0**-53
REPORT_HALF_LIFE_MS = 2_000.0
TIE_MARGIN_MS = 10.0


def rank_score(key, agent_id):
    """Return the rendezvous score (int) of an agent for a key."""
    text = f"{key}\x00{agent_id}".encode()
    digest = hashlib.blake2b(text, digest_size=SCORE_BYTES).digest()
    return int.from_bytes(digest)


def weighted_score(key, agent_id, weight):
    """Return the score (float) of an agent that is first in proportion to its weight.

    With equal weights the order is that of `rank_score`. A change of one weight moves
    only keys from or to that agent.

    References
    ----------
    Schindelhauer and Schomaker, Weighted distributed hash tables, SPAA 2005.
    """
    share = (rank_score(key, agent_id) + 0.5) / SCORE_END
    # The logarithm of the largest scores would be that of 1.
    return -weight / math.log(min(share, SHARE_MAX))


def rank_agents(key, agent_ids):
    """Return the agent ids by descending rendezvous score for a key."""
    return sorted(
        agent_ids,
        key=lambda agent_id: (rank_score(key, agent_id), agent_id),
        reverse=True,
    )


@attrs.frozen
class RoutingWeights:
    """Weights of the cost function.

    Parameters
    ----------
    stall_weight : float
        Weight of load stalls from 0 to 1; batch efficiency has the complement to 1.
    load_ms : float
        Least load stall that is assumed for an adapter that has to be loaded.
    surplus_load_factor : float
        Factor on the cost of a load that gives an adapter more copies than its degree:
        such a load delays the loads of other adapters.
    planned_load_factor : float
        Factor on the cost of a load up to the degree, from which many later requests
        benefit.
    surplus_penalty_ms : float
        Added cost of a copy beyond the degree, so that it falls idle and is evicted.
    """

    stall_weight: float = 0.5
    load_ms: float = 250.0
    surplus_load_factor: float = 2.0
    planned_load_factor: float = 0.5
    surplus_penalty_ms: float = 20.0

    @classmethod
    def from_configuration(cls, configuration):
        """Return the weights that a team's Configuration sets."""
        return cls(configuration.stall_weight, configuration.weight_store.load_ms)

    @property
    def load_factor(self):
        """Weight of a millisecond of load stall relative to one of queueing."""
        return 0.5 + self.stall_weight


@attrs.frozen
class _Candidate:
    """A replica with its position in the ranking and its cost."""

    replica: object
    rank: int
    cost_ms: float


class RendezvousChooser(ReplicaChooser):
    """Keeps an adapter on few replicas; adds a copy when queueing would cost more.

    The candidates are two random replicas that hold the adapter and the best-ranked one
    that doesn't; their costs are expected waits, weighted by `RoutingWeights`. For a
    plain service they are two random replicas. Between nearly equal costs, the entry's
    own zone, then the prompt's prefix, then the rank decide.

    Parameters
    ----------
    random : random.Random
    weights : RoutingWeights
    """

    def __init__(self, random, weights=None):
        self.weights = weights or RoutingWeights()
        self._random = random

    def choose(self, request, replicas, now_ms):
        """Choose among the live replicas of the service."""
        usable = {
            replica.agent_id: replica
            for replica in replicas
            if replica.agent_id not in request.excluded
        }
        if not usable:
            return Failure(
                Reason.NO_REPLICA, Step.ROUTE, "", "no replica takes this request now"
            )
        if not request.adapter:
            return self._choose_plain(request, list(usable.values()))
        ranked = [usable[key] for key in rank_agents(request.adapter, usable)]
        return self._pick(request, self._find_candidates(request, ranked))

    def queue_ms(self, replica):
        """Return the expected queue wait.

        The reported wait decays with its age; requests that this entry has sent since
        are added. The wait is at least that of this entry's own requests in progress.
        """
        decay_factor = 0.5 ** (replica.reported_age_ms / REPORT_HALF_LIFE_MS)
        sent_ms = replica.sent_since_report_count * replica.service_ms
        own_ms = replica.in_flight_count * replica.service_ms
        return max(replica.reported_wait_ms * decay_factor + sent_ms, own_ms)

    def load_cost_ms(self, replica, is_surplus_load):
        """Return the weighted cost of loading the adapter on a replica."""
        load_ms = max(replica.load_wait_ms, self.weights.load_ms)
        factor = self.weights.load_factor
        if is_surplus_load:
            return load_ms * factor * self.weights.surplus_load_factor
        return load_ms * factor * self.weights.planned_load_factor

    def _choose_plain(self, request, replicas):
        if len(replicas) > 2:
            replicas = self._random.sample(replicas, 2)
        candidates = [
            _Candidate(replica, 0, self.queue_ms(replica)) for replica in replicas
        ]
        return self._pick(request, candidates)

    def _find_candidates(self, request, ranked):
        with_copy = [
            (rank, replica)
            for rank, replica in enumerate(ranked)
            if replica.is_resident
        ]
        without_copy = [
            (rank, replica)
            for rank, replica in enumerate(ranked)
            if not replica.is_resident
        ]
        candidates = [
            self._build_copy_candidate(
                rank, replica, is_surplus=number >= request.degree
            )
            for number, (rank, replica) in enumerate(with_copy)
        ]
        if len(candidates) > 2:
            candidates = self._random.sample(candidates, 2)
        for rank, replica in without_copy[:1]:
            is_surplus_load = len(with_copy) >= request.degree
            cost_ms = self.queue_ms(replica) + self.load_cost_ms(
                replica, is_surplus_load
            )
            candidates.append(_Candidate(replica, rank, cost_ms))
        return candidates

    def _build_copy_candidate(self, rank, replica, is_surplus):
        surplus_penalty_ms = self.weights.surplus_penalty_ms if is_surplus else 0.0
        return _Candidate(replica, rank, self.queue_ms(replica) + surplus_penalty_ms)

    def _pick(self, request, candidates):
        least_ms = min(candidate.cost_ms for candidate in candidates)
        near_best = [
            candidate
            for candidate in candidates
            if candidate.cost_ms <= least_ms + TIE_MARGIN_MS
        ]
        return min(
            near_best, key=lambda candidate: self._tie_key(request, candidate)
        ).replica

    def _tie_key(self, request, candidate):
        replica = candidate.replica
        is_other_zone = replica.zone != request.zone
        prefix = request.prefix_digest
        affinity = -rank_score(prefix, replica.agent_id) if prefix else 0
        return is_other_zone, affinity, candidate.rank, candidate.cost_ms
