"""Advice on how many homes an adapter should have."""

import math

DEGREE_MAX = 8
DOMINANT_FRACTION = 0.5


def advise_degree(queue_wait_ms, load_cost_ms, own_count, total_count):
    """Return the number of homes to advise for an adapter, 0 for no advice.

    A further copy costs one load and one slot elsewhere. It is advised only if
    queueing here costs more than that, and for the adapter that causes the queue.

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
