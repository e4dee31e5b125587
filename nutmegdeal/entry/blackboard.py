"""What an entry process knows now; controllers read it and write their own part."""

import attrs

from nutmegdeal.clock import Clock
from nutmegdeal.generations import ConfigurationKeeper
from nutmegdeal.platform.hosts import Host, HostState
from nutmegdeal.settings import Settings


@attrs.define
class Blackboard:
    """State shared by the controllers of one entry.

    Parameters
    ----------
    settings : Settings
    clock : Clock
    keeper : ConfigurationKeeper
    entry_id : str
        Name in logs, accounts and status.
    incarnation : str
    hosts : dict of str to Host
        The host list as last read, by host id.
    hosts_version : int
        Grows with each change of the list.
    are_hosts_known : bool
        True once the list was read.
    is_draining : bool
        True once new work is refused.
    """

    settings: Settings
    clock: Clock
    keeper: ConfigurationKeeper
    entry_id: str
    incarnation: str
    hosts: dict[str, Host] = attrs.Factory(dict)
    hosts_version: int = 0
    are_hosts_known: bool = False
    is_draining: bool = False

    @property
    def is_ready(self):
        """True if requests can be routed."""
        if self.is_draining or not self.are_hosts_known:
            return False
        return self.keeper.current is not None

    def live_hosts(self, service):
        """Return the ids of a service's hosts that the list does not call leaving."""
        return [
            host.host_id
            for host in self.hosts.values()
            if host.service == service and host.state is HostState.LIVE
        ]

    def replace_hosts(self, hosts):
        """Take over a host list, a sequence of Host."""
        by_id = {host.host_id: host for host in hosts}
        self.are_hosts_known = True
        if by_id == self.hosts:
            return
        self.hosts = by_id
        self.hosts_version += 1
