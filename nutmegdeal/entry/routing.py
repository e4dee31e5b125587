"""Interface of a routing policy, which chooses a replica for a request."""

import abc

import attrs

from nutmegdeal.messages import Urgency


@attrs.frozen
class ReplicaView:
    """State of a replica as known to the entry that chooses.

    Parameters
    ----------
    agent_id : str
    zone : str
    reported_wait_ms : float
        Expected queue wait in the last report, 0 if there is none.
    reported_age_ms : float
        Age of that report.
    service_ms : float
        Mean time that a request adds to the queue wait.
    sent_since_report_count : int
        Requests this entry has sent to the replica since that report.
    in_flight_count : int
        Requests of this entry in progress on the replica.
    is_resident : bool
        True if the adapter was reported as loaded or loading, or if this entry has
        sent a request for it since the report.
    load_wait_ms : float
        Expected load stall if the adapter is not resident.
    """

    agent_id: str
    zone: str
    reported_wait_ms: float = 0.0
    reported_age_ms: float = 0.0
    service_ms: float = 0.0
    sent_since_report_count: int = 0
    in_flight_count: int = 0
    is_resident: bool = False
    load_wait_ms: float = 0.0


@attrs.frozen
class RouteRequest:
    """Properties of a request that the choice depends on.

    Parameters
    ----------
    adapter : str
        Engine name, or "" for a plain service.
    urgency : Urgency
    zone : str
        Zone of this entry.
    degree : int
        Replication degree of the adapter now.
    prefix_digest : str
        Digest of the beginning of the prompt, "" if unknown.
    excluded : frozenset of str
        Agents that earlier attempts used.
    """

    adapter: str
    urgency: Urgency
    zone: str
    degree: int = 1
    prefix_digest: str = ""
    excluded: frozenset[str] = frozenset()


class ReplicaChooser(abc.ABC):
    """A routing policy; deterministic for a given random seed."""

    @abc.abstractmethod
    def choose(self, request, replicas, now_ms):
        """Choose among the live replicas of the service.

        Parameters
        ----------
        request : RouteRequest
        replicas : sequence of ReplicaView
        now_ms : float

        Returns
        -------
        ReplicaView or Failure
            A Failure with reason ``NO_REPLICA`` if all are excluded.
        """
