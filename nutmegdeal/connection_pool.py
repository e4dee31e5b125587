"""A pool of HTTP/1.1 client connections."""

import math

from nutmegdeal.http_connections import CONNECT_TIMEOUT_MS, ClientConnection


class ConnectionPool:
    """A pool of idle connections, by address.

    Parameters
    ----------
    clock : Clock
    idle_count_max : int
        Most idle connections kept per address.
    idle_total_max : float
        Most of them to all addresses together.
    """

    def __init__(self, clock, idle_count_max=64, idle_total_max=math.inf):
        self._clock = clock
        self._idle_count_max = idle_count_max
        self._idle_total_max = idle_total_max
        self._idle = {}

    def acquire(
        self,
        address,
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
        idle_max_ms=float("inf"),
        request_id=None,
    ):
        """Return a ClientConnection: a reusable idle one, or else a new one.

        A connection carries only one request with the same id: if the server repeated
        its answer to the first one, that would pass for the answer to the second.

        Parameters
        ----------
        address : tuple of str and int
        connect_timeout_ms : float
        idle_max_ms : float
            A connection that has been idle for longer is not reused: the server may
            have dropped it without closing it.
        request_id : str or None
            Id by which the answer is recognized, None if it is not.

        Raises
        ------
        ConnectError
        """
        connection = self._take_idle(address, idle_max_ms, request_id)
        connection = connection or ClientConnection(address, connect_timeout_ms)
        if request_id is not None:
            connection.record_request_id(request_id)
        return connection

    def _take_idle(self, address, idle_max_ms, request_id):
        """Return a reusable idle connection, None if there is none."""
        idle = self._idle.get(address, [])
        now_ms = self._clock.monotonic_ms()
        for index in reversed(range(len(idle))):
            connection = idle[index]
            if now_ms - connection.idle_since_ms > idle_max_ms:
                return None
            if request_id is not None and connection.has_carried(request_id):
                continue
            del idle[index]
            if connection.reusable_until_ms > now_ms and connection.is_clean():
                return connection
            connection.close()
        return None

    def call(
        self,
        address,
        method,
        target,
        headers,
        body,
        timeout_ms,
        bytes_max,
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
    ):
        """Send a request once and read its whole response.

        Parameters
        ----------
        address : tuple of str and int
        method, target : bytes
        headers : list of (bytes, bytes)
        body : bytes
        timeout_ms : float
            Longest wait for the whole response.
        bytes_max : int
            Most bytes of the response body.
        connect_timeout_ms : float

        Returns
        -------
        tuple of ResponseHead and bytes
            Head and body.

        Raises
        ------
        ConnectError
            If nothing was sent.
        OSError, BrokenAnswerError
            If the request may have arrived.
        """
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        connection = self.acquire(address, min(connect_timeout_ms, timeout_ms))
        try:
            connection.send(method, target, headers, body, deadline_ms)
            head = connection.read_head(deadline_ms)
            response_body = connection.read_body(deadline_ms, bytes_max)
        except BaseException:
            connection.close()
            raise
        self.release(connection, head)
        return head, response_body

    def release(self, connection, head):
        """Return a connection to the pool after its response was read to its end.

        The connection is closed if it cannot be reused or the pool is full.
        """
        idle = self._idle.setdefault(connection.address, [])
        has_room = len(idle) < self._idle_count_max and self._has_room
        is_kept = has_room and connection.finish(head, self._clock.monotonic_ms())
        if not is_kept:
            connection.close()
            return
        idle.append(connection)

    @property
    def _has_room(self):
        return sum(map(len, self._idle.values())) < self._idle_total_max

    def close_idle(self):
        """Close the idle connections that may no longer be reused."""
        now_ms = self._clock.monotonic_ms()
        for address, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                if connection.reusable_until_ms > now_ms:
                    kept.append(connection)
                else:
                    connection.close()
            self._idle[address] = kept
            if not kept:
                del self._idle[address]

    def drop(self, address):
        """Close all idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()
