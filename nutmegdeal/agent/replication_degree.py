"""Recommended replication degree: how many agents should hold an adapter."""

import math

DEGREE_MAX = 8
DOMINANT_FRACTION = 0.5


def advise_replication_degree(queue_wait_ms, load_cost_ms, own_count, total_count):
    """Return how many agents should hold an adapter, 0 for no recommendation.

    A further copy costs one load and one slot at another engine. It is recommended
    only if queueing here takes longer than a load, and only for an adapter that causes
    a large part of the queue.

    Parameters
    ----------
    queue_wait_ms : float
        Expected wait for a place in the batch here.
    load_cost_ms : float
        Expected wait for a load.
    own_count, total_count : int
        Requests waiting or running here for the adapter, and for all.
    """
    if queue_wait_ms <= load_cost_ms:
        return 0
    if own_count < total_count * DOMINANT_FRACTION:
        return 0
    ratio = queue_wait_ms / max(load_cost_ms, 1.0)
    return min(DEGREE_MAX, 1 + math.ceil(math.log2(1 + ratio)))
