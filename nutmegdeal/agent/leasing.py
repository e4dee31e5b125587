"""Takes and keeps the lease that allows orders to the model engine."""

import gevent

from nutmegdeal.errors import Failure, Reason
from nutmegdeal.log import get_logger

logger = get_logger(__name__)

POLL_MS = 500


class LeaseController:
    """Acquires the lease, renews it, and notices that another agent has it.

    Parameters
    ----------
    board : Blackboard
        Its lease must be set.
    on_lost : callable
        Called once without arguments when another agent has taken over.
    """

    def __init__(self, board, on_lost):
        self._board = board
        self._on_lost = on_lost
        self._is_lost = False

    def step(self):
        """Acquire or renew the lease if it is due."""
        if self._is_lost:
            return
        lease = self._board.lease
        if not lease.fence:
            self._acquire(lease)
            return
        had_lapsed = not lease.may_order()
        failure = lease.renew()
        if isinstance(failure, Failure) and failure.reason is Reason.LEASE_LOST:
            self.lose(failure)
            return
        if isinstance(failure, Failure):
            logger.warning("lease_not_renewed", error=str(failure), lapsed=had_lapsed)
        # While the store is down nobody can take over, so that what is resident is
        # served on; without the lease no order is given.
        self._board.may_dispatch = True

    def _acquire(self, lease):
        failure = lease.acquire()
        if isinstance(failure, Failure):
            logger.info("lease_not_held", error=str(failure))
            return
        logger.info("lease_held", fence=lease.fence)
        self._board.may_dispatch = True
        self._board.notify()

    def lose(self, failure):
        """Stop all work, since another agent is in charge of the engine."""
        if self._is_lost:
            return
        self._is_lost = True
        self._board.may_dispatch = False
        logger.error("lease_lost", error=str(failure))
        self._on_lost()

    def run(self):
        """Keep the lease until the greenlet is killed."""
        while True:
            self.step()
            gevent.sleep(POLL_MS / 1000)
