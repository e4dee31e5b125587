"""How urgent a request is, in the queues of placers and of backend servers."""

from nutmegdeal.site_configuration import ROUTE_RANK_WITHOUT_STEP


def request_rank(request):
    """Return the rank of a request (int); 0 is the most urgent.

    Parameters
    ----------
    request : Request
    """
    return request.route.rank


def server_priority(request):
    """Return the priority of a request in the queue of a server (int); 0 is first.

    A resumed stream goes one step before new requests of its rank, and never before
    those of a more urgent rank. There is no such step between tenants' priorities, nor
    for the least urgent ranks.

    Parameters
    ----------
    request : Request
    """
    priority = request.server_priority
    return priority - 1 if goes_first_at_server(request) else priority


def goes_first_at_server(request):
    """Return whether a server runs a request before new ones of its rank."""
    has_step = request_rank(request) < ROUTE_RANK_WITHOUT_STEP
    return request.has_events and has_step and not request.has_tenant_rank
