"""The platform's list of live and leaving hosts, which may be out of date."""

import abc
import enum

import attrs

from nutmegdeal.errors import Failure
from nutmegdeal.services.client import HttpClient


class HostState(enum.Enum):
    """State of a host in the host list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Host:
    """A host with a backend server and its agent.

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
    """Reader of the host list."""

    @abc.abstractmethod
    def read(self):
        """Return the current list as a tuple of Host, or a Failure."""


def _decode_host(data):
    return Host(
        host_id=str(data["host_id"]),
        service=str(data["service"]),
        zone=str(data["zone"]),
        agent_host=str(data["agent_host"]),
        agent_port=int(data["agent_port"]),
        state=HostState(data["state"]),
    )


def decode_hosts(content):
    """Return the Hosts in the decoded JSON body of a host list, as a tuple.

    Raises
    ------
    KeyError, TypeError, ValueError
        If the body does not have the form described in docs/interfaces.md.
    """
    return tuple(map(_decode_host, content["hosts"]))


class HttpHostList(HostList):
    """HTTP client of the host list.

    Parameters
    ----------
    base_url : str
    timeout_ms : int
        Time limit of one call.
    """

    def __init__(self, base_url, timeout_ms):
        self._client = HttpClient(base_url, timeout_ms)

    def read(self):
        """Return a tuple of Host, or a Failure."""
        answer = self._client.query("GET", "/hosts")
        if isinstance(answer, Failure):
            return answer
        try:
            if answer.status_code == 200:
                return decode_hosts(answer.json())
        except (KeyError, TypeError, ValueError):
            pass
        return self._client.build_unexpected_failure(answer, maybe_applied=False)
