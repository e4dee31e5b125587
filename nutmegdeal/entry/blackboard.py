"""What an entry process knows now; controllers read it and write their own part."""

import collections

import attrs

from nutmegdeal.clock import Clock
from nutmegdeal.entry.homes import HomeTable
from nutmegdeal.generations import ConfigurationKeeper
from nutmegdeal.services.hosts import Host, HostState
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
    homes : dict of str to HomeTable
        Homes among the live hosts of each service.
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
    rankings: dict[str, HomeTable] = attrs.Factory(dict)
    is_host_list_loaded: bool = False
    is_draining: bool = False

    @property
    def is_ready(self):
        """True if requests can be routed."""
        if self.is_draining or not self.is_host_list_loaded:
            return False
        return self.keeper.current is not None

    @property
    def generation(self):
        """Configuration generation in force here, 0 before the first."""
        configuration = self.keeper.current
        return configuration.generation if configuration else 0

    def ranking_of(self, service):
        """Return the HomeTable of a service's hosts that are not leaving."""
        return self.rankings.setdefault(service, HomeTable())

    def replace_hosts(self, hosts):
        """Take over a host list, a sequence of Host."""
        by_id = {host.host_id: host for host in hosts}
        self.is_host_list_loaded = True
        if by_id == self.hosts:
            return
        self.hosts = by_id
        live_ids = collections.defaultdict(list)
        for host in hosts:
            if host.state is HostState.LIVE:
                live_ids[host.service].append(host.host_id)
        for service in live_ids.keys() | self.rankings.keys():
            self.ranking_of(service).replace_members(live_ids[service])
