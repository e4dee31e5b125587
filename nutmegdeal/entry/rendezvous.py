"""Rendezvous hashing, and the choice among an adapter's homes."""

import hashlib

import attrs

from nutmegdeal.entry.routing import ReplicaChooser
from nutmegdeal.errors import Failure, Reason, Step

RANK_BYTES = 8
REPORT_HALF_LIFE_MS = 2_000.0
NEAR_EQUAL_MS = 20.0
FOREIGN_ZONE_MS = 1.0
LOAD_WAIT_MIN_MS = 1.0


def rank_score(key, agent_id):
    """Return the rendezvous score (int) of an agent for a key."""
    text = f"{key}\x00{agent_id}".encode()
    digest = hashlib.blake2b(text, digest_size=RANK_BYTES).digest()
    return int.from_bytes(digest)


def rank_agents(key, agent_ids):
    """Return the agent ids in the order in which they are homes of a key."""
    return sorted(
        agent_ids,
        key=lambda agent_id: (rank_score(key, agent_id), agent_id),
        reverse=True,
    )


@attrs.frozen
class RoutingWeights:
    """How the cost of a choice is weighed.

    Parameters
    ----------
    stall_weight : float
        Relative weight of load stalls from 0 to 1; queueing has the rest.
    load_ms : float
        Load stall that is assumed if no report says more.
    """

    stall_weight: float = 0.5
    load_ms: float = 250.0


class RendezvousChooser(ReplicaChooser):
    """Two choices among the homes of an adapter; spills to the next home under load.

    Parameters
    ----------
    random : random.Random
    weights : RoutingWeights
    """

    def __init__(self, random, weights=None):
        self._random = random
        self._weights = weights or RoutingWeights()

    def choose(self, request, replicas, now_ms):
        """Choose a home, or the next replica beyond them if a copy costs less."""
        usable = [
            replica for replica in replicas if replica.agent_id not in request.excluded
        ]
        if not usable:
            return Failure(
                Reason.NO_REPLICA, Step.ROUTE, "", "no replica takes this request now"
            )
        if not request.adapter:
            return self._pick(request, usable)
        by_id = {replica.agent_id: replica for replica in usable}
        ranked = [by_id[agent_id] for agent_id in rank_agents(request.adapter, by_id)]
        homes, others = ranked[: request.degree], ranked[request.degree :]
        best = self._pick(request, homes)
        if not others:
            return best
        spill = others[0]
        if self.cost_ms(request, spill) < self.cost_ms(request, best):
            return spill
        return best

    def cost_ms(self, request, replica):
        """Return the weighed expected wait of a request at a replica."""
        wait_ms = self.queue_ms(replica)
        if replica.zone != request.zone:
            wait_ms += FOREIGN_ZONE_MS
        if not request.adapter or replica.is_resident:
            return wait_ms
        load_ms = max(replica.load_wait_ms, self._weights.load_ms, LOAD_WAIT_MIN_MS)
        return wait_ms + load_ms * (0.5 + self._weights.stall_weight)

    def queue_ms(self, replica):
        """Return the expected queue wait, the report corrected by own requests."""
        faded = 0.5 ** (replica.reported_age_ms / REPORT_HALF_LIFE_MS)
        own_ms = replica.in_flight_count * replica.service_ms
        recent_ms = replica.sent_since_report_count * replica.service_ms
        return max(replica.reported_wait_ms * faded + recent_ms, own_ms)

    def _pick(self, request, candidates):
        if len(candidates) > 2:
            candidates = self._random.sample(candidates, 2)
        return min(candidates, key=lambda replica: self.cost_ms(request, replica))
