"""The platform's list of live and leaving hosts, which lags."""

import abc
import enum

import attrs


class HostState(enum.Enum):
    """State of a host in the list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Host:
    """A backend server host.

    Parameters
    ----------
    host_id : str
    service : str
    zone : str
    agent_host : str
        IP address of the agent.
    agent_port : int
        TCP port of the agent's channel.
    state : HostState
    """

    host_id: str
    service: str
    zone: str
    agent_host: str
    agent_port: int
    state: HostState = HostState.LIVE


class HostList(abc.ABC):
    """Reader of the list."""

    @abc.abstractmethod
    def read(self):
        """Return a tuple of Host, or a Failure."""
