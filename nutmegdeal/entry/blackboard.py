"""Blackboard of an entry process: state that its controllers read and update."""

import collections

import attrs

from nutmegdeal.clock import Clock
from nutmegdeal.entry.ranking_cache import RankingCache
from nutmegdeal.generations import ConfigurationTracker
from nutmegdeal.services.hosts import Host, HostState
from nutmegdeal.settings import Settings


@attrs.define
class Blackboard:
    """State shared by the controllers of one entry.

    Parameters
    ----------
    settings : Settings
    clock : Clock
    configuration_tracker : ConfigurationTracker
    entry_id : str
        Name of the process in logs, accounts and status.
    incarnation : str
    hosts : dict of str to Host
        The host list as last read, by host id.
    rankings : dict of str to RankingCache
        Ranking of the live hosts of each service, by service name.
    is_host_list_loaded : bool
        True once the host list was read.
    is_draining : bool
        True once new requests are refused.
    """

    settings: Settings
    clock: Clock
    configuration_tracker: ConfigurationTracker
    entry_id: str
    incarnation: str
    hosts: dict[str, Host] = attrs.Factory(dict)
    rankings: dict[str, RankingCache] = attrs.Factory(dict)
    is_host_list_loaded: bool = False
    is_draining: bool = False

    @property
    def is_ready(self):
        """True if this process can route requests."""
        if self.is_draining or not self.is_host_list_loaded:
            return False
        return self.configuration_tracker.current is not None

    @property
    def generation(self):
        """Configuration generation in force here, 0 before the first."""
        configuration = self.configuration_tracker.current
        return configuration.generation if configuration else 0

    def ranking_of(self, service):
        """Return the RankingCache that ranks the live hosts of a service."""
        return self.rankings.setdefault(service, RankingCache())

    def replace_hosts(self, hosts):
        """Replace the host list by a sequence of Host."""
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
