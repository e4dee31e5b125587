"""How many connections a process may have open, by its memory and its descriptors."""

import math
import resource

from nutmegdeal.buffering.bound import BYTES_PER_MB, INTERPRETER_MB

# Share of the memory beside the interpreter that connections may take, and what one
# takes at most: its greenlet, parser and head, and the buffers of the system.
CONNECTIONS_SHARE = 0.4
CONNECTION_BYTES = 196_608
# What a connection for a stream between processes takes: one end of the stream, and
# what the other one may send ahead.
STREAM_BYTES = 98_304
CONNECTIONS_MIN = 64
# Descriptors that are kept for files.
FILE_DESCRIPTORS = 200
# Shares of the other descriptors for connections of callers, and for idle ones to
# servers. The rest is for connections in use to servers, the store and other processes.
CALLERS_SHARE = 0.35
IDLE_SERVERS_SHARE = 0.15
# Connections for readiness checks and metrics, of all such listeners of a process.
AUXILIARY_CONNECTIONS_MAX = 16


def read_descriptors_max(descriptors_max=None):
    """Return how many descriptors this process may open (float), infinite if any.

    Parameters
    ----------
    descriptors_max : int or None
        Limit in the settings, beside that of the system.
    """
    system_max, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if system_max == resource.RLIM_INFINITY:
        system_max = math.inf
    return min(system_max, descriptors_max or math.inf)


def compute_connections_max(
    memory_mb, descriptors_max, connection_bytes=CONNECTION_BYTES
):
    """Return how many connections of clients a process may have open (float).

    Parameters
    ----------
    memory_mb : float or None
        Memory of the process, None without a limit.
    descriptors_max : float
    connection_bytes : int
        Memory of one connection.
    """
    by_descriptors = _compute_share(descriptors_max, CALLERS_SHARE)
    if memory_mb is None:
        return by_descriptors
    connections_mb = max(memory_mb - INTERPRETER_MB, 0.0) * CONNECTIONS_SHARE
    by_memory = connections_mb * BYTES_PER_MB // connection_bytes
    return min(by_descriptors, max(by_memory, CONNECTIONS_MIN))


def compute_idle_servers_max(descriptors_max):
    """Return how many idle connections to servers a process may keep (float)."""
    return _compute_share(descriptors_max, IDLE_SERVERS_SHARE)


def _compute_share(descriptors_max, share):
    shared = max(descriptors_max - FILE_DESCRIPTORS, CONNECTIONS_MIN)
    return shared if shared == math.inf else int(shared * share)
