"""Check whether the process of a backend server has ended."""

import abc
import errno

from nutmegdeal.http_connections import ClientConnection, ConnectError

# Timeout of the connection attempt; a host that runs answers it within a few ms.
CHECK_TIMEOUT_MS = 250.0


class EndCheck(abc.ABC):
    """Tells an ended server from one that broke a connection off."""

    @abc.abstractmethod
    def has_ended(self, member):
        """Return whether the process of a Member has ended (bool)."""


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
