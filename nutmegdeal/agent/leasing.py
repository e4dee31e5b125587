"""Acquires and renews the lease that allows orders to the model engine."""

import math

import gevent

from nutmegdeal.configuration import Fencing
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.log import get_logger

logger = get_logger(__name__)

POLL_MS = 500
# A gap between two checks that is longer than this means that the process was paused.
PAUSE_MIN_MS = 3_000


class LeaseController:
    """Acquires the lease, renews it, and detects that another agent holds it.

    Two agents of one engine may run at once: a paused agent may resume after its
    successor has taken over. The controller allows dispatches only while this agent is
    known to be in charge. The engine's reports are ignored until no order of a
    predecessor can take effect any more.

    Parameters
    ----------
    board : Blackboard
        Its lease must be set.
    engine : ModelEngine
    clock : Clock
    on_lost : callable
        Called once, without arguments, when another agent has taken over.
    """

    def __init__(self, board, engine, clock, on_lost):
        self._board = board
        self._engine = engine
        self._clock = clock
        self._on_lost = on_lost
        self._is_lost = False
        self._needs_confirmation = False
        self._last_step_ms = None

    def step(self):
        """Acquire, renew or check the lease, whichever is due."""
        if self._is_lost:
            return
        if not self._board.lease.fence:
            self._acquire()
            return
        self._detect_pause()
        self._renew_and_confirm()

    def _acquire(self):
        lease = self._board.lease
        failure = lease.acquire()
        if isinstance(failure, Failure):
            logger.info("lease_not_held", error=str(failure))
            return
        logger.info("lease_held", fence=lease.fence)
        self._last_step_ms = self._clock.monotonic_ms()
        if not lease.has_predecessor:
            self._board.reports_trusted_from_ms = -math.inf
            self._set_in_charge()
            return
        self._board.takeover.begin(self._last_step_ms)
        self._needs_confirmation = True
        self._renew_and_confirm()

    def _detect_pause(self):
        now_ms = self._clock.monotonic_ms()
        gap_ms = now_ms - self._last_step_ms
        self._last_step_ms = now_ms
        if gap_ms >= PAUSE_MIN_MS:
            logger.warning("process_was_paused", gap_ms=gap_ms)
            self._needs_confirmation = True

    def _renew_and_confirm(self):
        had_lapsed = not self._board.lease.may_order()
        failure = self._board.lease.renew()
        if isinstance(failure, Failure) and failure.reason is Reason.LEASE_LOST:
            self.handle_lease_loss(failure)
            return
        if isinstance(failure, Failure):
            logger.warning("lease_not_renewed", error=str(failure), lapsed=had_lapsed)
        if not self._needs_confirmation:
            # While the store is down no agent can take over, so requests for resident
            # adapters are still served. Without the lease no order is sent.
            self._set_in_charge()
            return
        self._confirm_in_charge(failure)

    def _confirm_in_charge(self, renewal_failure):
        """Confirm after a pause or a takeover that no other agent is in charge."""
        if self._board.policy.fencing is Fencing.CHECKED:
            failure = self._announce_fence()
        else:
            failure = renewal_failure if not self._board.may_order else None
        if failure is not None and failure.reason is Reason.FENCED:
            self.handle_lease_loss(failure)
            return
        if failure is not None:
            logger.warning("lease_not_confirmed", error=str(failure))
            return
        if self._board.reports_trusted_from_ms == math.inf:
            self._board.reports_trusted_from_ms = self._clock.monotonic_ms()
        self._needs_confirmation = False
        self._set_in_charge()

    def _announce_fence(self):
        """Send an order without effect, so that the engine learns this fencing number.

        Only then does it refuse orders of a predecessor that are still in flight. The
        order loads an adapter that is already resident, which changes nothing.
        """
        report = self._engine.report()
        if isinstance(report, Failure):
            return report
        if not report.resident:
            return None
        outcome = self._engine.load(report.resident[0], self._board.lease.fence)
        if isinstance(outcome, Failure) and outcome.reason is not Reason.FENCED:
            return Failure(Reason.STORE_CONFLICT, Step.LEASE, "", str(outcome))
        return outcome

    def _set_in_charge(self):
        self._board.in_charge_until_ms = self._clock.monotonic_ms() + PAUSE_MIN_MS
        self._board.notify()

    def handle_lease_loss(self, failure):
        """Stop all work, since another agent is in charge of the engine."""
        if self._is_lost:
            return
        self._is_lost = True
        self._board.in_charge_until_ms = 0.0
        logger.error("lease_lost", error=str(failure))
        self._on_lost()

    def run(self):
        """Acquire and renew the lease until the greenlet is killed."""
        while True:
            self.step()
            gevent.sleep(POLL_MS / 1000)
