"""Checks whether the process of a backend server has ended, or its host is gone."""

import abc
import errno
import time

from nutmegdeal.http_connections import ClientConnection, ConnectError

# Timeout of the connection attempt; a host that runs answers it within a few ms.
CHECK_TIMEOUT_MS = 250.0
# A timeout that is noticed later than this was not one of the host: this process was
# held up, and the answer may have arrived meanwhile.
CHECK_DELAY_MAX_MS = 50.0
# Errors of a connection attempt that say something about the server's host. Others, as
# a lack of descriptors, are of this process.
_GONE_ERRORS = (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH)


class EndCheck(abc.ABC):
    """Tells a server that has ended or is out of reach from one that is silent."""

    @abc.abstractmethod
    def has_ended(self, member):
        """Return whether the process of a Member has ended (bool)."""

    @abc.abstractmethod
    def is_unreachable(self, member):
        """Return whether a Member is known to be ended or out of reach (bool)."""


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

    def is_unreachable(self, member):
        """Return whether the server's host refuses a connection or does not answer."""
        started_ms = time.monotonic() * 1000
        try:
            connection = ClientConnection(member.backend.address, CHECK_TIMEOUT_MS)
        except ConnectError as error:
            taken_ms = time.monotonic() * 1000 - started_ms
            return _is_gone(error.__cause__, taken_ms)
        connection.close()
        return False


def _is_gone(error, taken_ms):
    if isinstance(error, TimeoutError) and error.errno is None:
        return taken_ms <= CHECK_TIMEOUT_MS + CHECK_DELAY_MAX_MS
    return getattr(error, "errno", None) in _GONE_ERRORS
