"""Priority of a request from its tenant's rank and its route's."""

import bisect


class TenantPriorities:
    """Orders requests by the tenant's rank, then by the route's.

    The range of priorities is divided among the tenants' ranks that occur, so that the
    order of tenants holds for up to as many ranks as there are priorities. Routes share
    what a tenant's rank has; neighbouring ranks of routes may get the same priority.

    Parameters
    ----------
    tenant_ranks, route_ranks : iterable of int
        All that occur in a configuration.
    last : int
        Least urgent priority; the most urgent one is 0.
    """

    def __init__(self, tenant_ranks, route_ranks, last):
        self._tenant_ranks = sorted(set(tenant_ranks))
        self._route_ranks = _number(route_ranks)
        self._last = last
        self._band = max((last + 1) // max(len(self._tenant_ranks), 1), 1)

    def combine(self, tenant_rank, route_rank):
        """Return the priority (int) of requests of a tenant on a route.

        A request may have arrived under an earlier configuration, with a rank that no
        tenant has any more: it gets the priority of the next less urgent one.
        """
        within, count = self._route_ranks[route_rank], len(self._route_ranks)
        if count > self._band:
            within = within * self._band // count
        position = bisect.bisect_left(self._tenant_ranks, tenant_rank)
        position = min(position, max(len(self._tenant_ranks) - 1, 0))
        first = position * self._band
        return min(first + within, self._last)


def _number(ranks):
    """Return the position of each rank among the distinct ones (dict)."""
    return {rank: position for position, rank in enumerate(sorted(set(ranks)))}
