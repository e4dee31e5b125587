"""Choice of the replica that a request is sent to."""

import abc

import attrs

from nutmegdeal.messages import Urgency


@attrs.frozen
class ReplicaView:
    """What an entry knows about a replica when it chooses.

    Parameters
    ----------
    agent_id : str
    zone : str
    reported_wait_ms : float
        Expected wait in the queue by the last report, 0 without one.
    reported_age_ms : float
        Age of that report.
    service_ms : float
        Mean time that a request adds to the queue's wait.
    sent_since_report_count : int
        Requests this entry has sent since that report.
    in_flight_count : int
        Requests this entry has in flight there.
    is_resident : bool
        True if the adapter is, by hint, resident or on its way.
    load_wait_ms : float
        Expected load stall if it is not.
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
    """What the choice depends on.

    Parameters
    ----------
    adapter : str
        Engine name, or "" for a plain service.
    urgency : Urgency
    zone : str
        Zone of this entry.
    degree : int
        Number of homes of the adapter now.
    prefix_digest : str
        Digest of the prompt's beginning, "" if unknown.
    excluded : frozenset of str
        Agents tried before.
    """

    adapter: str
    urgency: Urgency
    zone: str
    degree: int = 1
    prefix_digest: str = ""
    excluded: frozenset[str] = frozenset()


class ReplicaChooser(abc.ABC):
    """A routing policy; pure but for its seeded random source."""

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
