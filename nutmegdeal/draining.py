"""Waiting for the requests in progress when a process shuts down."""

import gevent

# Short compared with a drain, which may take seconds.
POLL_INTERVAL_MS = 20.0


def wait_until_idle(server, clock, deadline_ms):
    """Wait until a server has no request in progress, or until a deadline.

    Parameters
    ----------
    server : object
        Its `open_count` is the number of requests in progress.
    clock : Clock
    deadline_ms : float
        On the monotonic clock.

    Returns
    -------
    int
        Requests still in progress.
    """
    while server.open_count and clock.monotonic_ms() < deadline_ms:
        gevent.sleep(POLL_INTERVAL_MS / 1000)
    return server.open_count
