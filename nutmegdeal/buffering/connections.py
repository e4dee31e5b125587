"""The bound on the connections that a process's listeners have open.

Answers the load of clients that open many connections and send nothing, stop short of
the end of a request, or do not read their answers: they must not use up the memory and
the descriptors that other clients' requests need.
"""

import enum
import socket
import time

from nutmegdeal.log import get_logger

logger = get_logger(__name__)

# A client that could send or read, and has not for this long, may be disconnected in
# favour of another one.
STALLED_AFTER_MS = 250.0
# Connections that were closed to make room, and whose greenlets have not ended yet.
# With more of them, new connections are refused, so that a burst opens no further
# descriptors.
ENDING_MAX = 32
# Least bytes that count as progress, so that a client cannot stay by single bytes.
PROGRESS_BYTES = 4_096


class ConnectionState(enum.Enum):
    """What an open connection waits for; the first ones are closed first.

    ``CLOSING``: the last answer was sent, and the client has not closed yet.
    ``IDLE``: no request has begun.
    ``RECEIVING``: a part of a request has arrived.
    ``SENDING``: the client has to read a part of the answer.
    ``SERVING``: the process itself works on a request.
    ``ENDING``: it was closed to make room, and the greenlet that uses it has to see it.
    """

    CLOSING = "closing"
    IDLE = "idle"
    RECEIVING = "receiving"
    SENDING = "sending"
    SERVING = "serving"
    ENDING = "ending"


class OpenConnection:
    """One open connection, and since when it is in its present state.

    Parameters
    ----------
    sock : socket
    bound : ConnectionBound

    Attributes
    ----------
    since_s : float
        Since when it is in its state or, while it receives, when it made progress last.
        On the monotonic clock.
    """

    def __init__(self, sock, bound):
        self._socket = sock
        self._bound = bound
        self._state = None
        self._unreported_bytes = 0
        self.since_s = 0.0

    @property
    def state(self):
        """Return the ConnectionState, None if the connection is not counted."""
        return self._state

    def enter(self, state):
        """Enter a ConnectionState, unless the connection has ended."""
        if state is self._state or self._has_ended:
            return
        self._move(state)

    @property
    def _has_ended(self):
        return self._state in (None, ConnectionState.ENDING)

    def record_received(self, byte_count):
        """Record that bytes of a body have arrived."""
        self._unreported_bytes += byte_count
        if self._unreported_bytes >= PROGRESS_BYTES and not self._has_ended:
            self._move(self._state)

    def _move(self, state):
        self._bound.by_state[self._state].pop(self, None)
        self._state = state
        self._unreported_bytes = 0
        self.since_s = time.monotonic()
        self._bound.by_state[state][self] = None

    def begin(self):
        """Count the connection, which is idle."""
        self._state = ConnectionState.IDLE
        self._move(ConnectionState.IDLE)

    def end(self):
        """Count the connection no longer."""
        if self._state is not None:
            self._bound.by_state[self._state].pop(self, None)
            self._state = None

    def disconnect(self):
        """End the connection; the greenlet that uses it gets an end of stream."""
        self._move(ConnectionState.ENDING)
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            logger.debug("connection_already_closed", error=str(error))


class ConnectionBound:
    """Counts open connections, and closes others to make room for new ones.

    Parameters
    ----------
    count_max : float
        Most connections; infinite for no bound.

    Attributes
    ----------
    by_state : dict
        The OpenConnections in each ConnectionState, the longest in it first.
    """

    def __init__(self, count_max):
        self.count_max = count_max
        # Dictionaries keep the order of insertion.
        self.by_state = {state: {} for state in ConnectionState}

    @property
    def open_count(self):
        """Return the number of open connections that do not end (int)."""
        return sum(map(len, self.by_state.values())) - self._ending_count

    @property
    def _ending_count(self):
        return len(self.by_state[ConnectionState.ENDING])

    def open(self, sock):
        """Count a new connection; return its OpenConnection, None if there is no room.

        Parameters
        ----------
        sock : socket
        """
        if self.open_count >= self.count_max and not self._make_room():
            logger.info("connection_refused", open_count=self.open_count)
            return None
        connection = OpenConnection(sock, self)
        connection.begin()
        return connection

    def _make_room(self):
        """Disconnect one client that is at fault; return whether there was one."""
        if self._ending_count >= ENDING_MAX:
            return False
        connection = self._find_removable()
        if connection is None:
            return False
        logger.info("connection_ended_for_room", state=connection.state.value)
        connection.disconnect()
        return True

    def _find_removable(self):
        for state in (
            ConnectionState.CLOSING,
            ConnectionState.IDLE,
            ConnectionState.RECEIVING,
        ):
            if self.by_state[state]:
                return next(iter(self.by_state[state]))
        slowest = next(iter(self.by_state[ConnectionState.SENDING]), None)
        if slowest is None:
            return None
        stalled_ms = (time.monotonic() - slowest.since_s) * 1000
        return slowest if stalled_ms >= STALLED_AFTER_MS else None
