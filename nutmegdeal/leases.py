"""Leases: which agent may give orders to a model engine, and until when."""

import abc


class Lease(abc.ABC):
    """One agent's lease on the backend server beside it."""

    @property
    @abc.abstractmethod
    def fence(self):
        """Fencing number to send with each order (int); grows with each takeover."""

    @abc.abstractmethod
    def may_order(self):
        """Return whether an order may be given now, by the monotonic clock."""

    @abc.abstractmethod
    def acquire(self):
        """Take the lease over; return None, or a Failure that says when to retry."""

    @abc.abstractmethod
    def renew(self):
        """Extend the lease if it is due; return None or a Failure."""

    @abc.abstractmethod
    def release(self):
        """Give the lease up at shutdown; return None or a Failure."""
