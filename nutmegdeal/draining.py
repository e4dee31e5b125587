"""The wait for requests under way at the end of a process."""

import gevent

# Pause between looks whether a drain has ended; it may take seconds.
CHECK_EVERY_MS = 20.0


def wait_until_idle(server, clock, until_ms):
    """Wait until a server has no request under way, at most until a time.

    Parameters
    ----------
    server : object
        Its `open_count` is the number of requests under way.
    clock : Clock
    until_ms : float
        On the monotonic clock.

    Returns
    -------
    int
        Requests that are still under way.
    """
    while server.open_count and clock.monotonic_ms() < until_ms:
        gevent.sleep(CHECK_EVERY_MS / 1000)
    return server.open_count
