"""Checks whether the process of a backend server has ended, or its host is gone."""

import abc
import enum
import errno
import time

from nutmegdeal.http_connections import ClientConnection, ConnectError

# Timeout of the connection attempt; a host that runs answers it within a few ms.
CHECK_TIMEOUT_MS = 250.0
# A timeout that is noticed later than this was not one of the host: this process was
# held up, and the answer may have arrived meanwhile.
CHECK_DELAY_MAX_MS = 50.0
_UNANSWERED_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)


class Reachability(enum.Enum):
    """What a new connection says of the host of a server.

    ``ANSWERS``: it accepts connections.
    ``REFUSES``: it refuses them, so no server runs there, or one that leaves.
    ``UNANSWERED``: it may be gone, or too busy to accept a connection.
    ``UNKNOWN``: the attempt failed for a reason of this process.
    """

    ANSWERS = "answers"
    REFUSES = "refuses"
    UNANSWERED = "unanswered"
    UNKNOWN = "unknown"


class EndCheck(abc.ABC):
    """Tells a server that has ended or is out of reach from one that is silent."""

    @abc.abstractmethod
    def has_ended(self, member):
        """Return whether the process of a Member has ended (bool)."""

    @abc.abstractmethod
    def find_reachability(self, member):
        """Return the Reachability of a Member."""


class ConnectCheck(EndCheck):
    """Opens a connection: a host whose server has ended refuses it.

    A host that does not answer is frozen, cut off or without power, so nothing is known
    about its server.
    """

    def has_ended(self, member):
        """Return whether the server's host refuses a connection."""
        try:
            connection = ClientConnection(member.backend.address, CHECK_TIMEOUT_MS)
        except ConnectError as error:
            return getattr(error.__cause__, "errno", None) == errno.ECONNREFUSED
        connection.close()
        return False

    def find_reachability(self, member):
        """Return the Reachability of the server's host."""
        started_ms = time.monotonic() * 1000
        try:
            connection = ClientConnection(member.backend.address, CHECK_TIMEOUT_MS)
        except ConnectError as error:
            taken_ms = time.monotonic() * 1000 - started_ms
            return _classify(error.__cause__, taken_ms)
        connection.close()
        return Reachability.ANSWERS


def _classify(error, taken_ms):
    number = getattr(error, "errno", None)
    if number == errno.ECONNREFUSED:
        return Reachability.REFUSES
    if isinstance(error, TimeoutError) and number is None:
        is_delayed = taken_ms > CHECK_TIMEOUT_MS + CHECK_DELAY_MAX_MS
        return Reachability.UNKNOWN if is_delayed else Reachability.UNANSWERED
    if number in _UNANSWERED_ERRORS:
        return Reachability.UNANSWERED
    return Reachability.UNKNOWN
