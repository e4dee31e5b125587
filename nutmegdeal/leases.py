"""Leases that say which agent may send orders to a model engine, and until when."""

import abc
import math

import attrs

from nutmegdeal.configuration import Fencing
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.row_encoding import decode_record, encode_record
from nutmegdeal.services.table import Conflict, Write, Written

# Both are shares of the lease term.
MARGIN_RATIO = 0.1
RENEW_REMAINING_RATIO = 0.5


class Lease(abc.ABC):
    """An agent's lease on the backend server of its host."""

    @property
    @abc.abstractmethod
    def fence(self):
        """Fencing number to send with each order (int); grows with each takeover."""

    @property
    @abc.abstractmethod
    def has_predecessor(self):
        """True if the lease was taken from a holder that did not release it."""

    @abc.abstractmethod
    def may_order(self):
        """Return whether an order may be sent now."""

    @abc.abstractmethod
    def acquire(self):
        """Acquire the lease; return None or a Failure."""

    @abc.abstractmethod
    def renew(self):
        """Extend the lease if it is due; return None or a Failure."""

    @abc.abstractmethod
    def release(self):
        """Release the lease at shutdown; return None or a Failure."""


@attrs.frozen
class LeaseRow:
    """A lease as it is stored.

    Parameters
    ----------
    holder : str
        Incarnation of the agent, empty once the lease was released.
    fence : int
        Fencing number; grows with each takeover.
    deadline_unix_ms : int
        When the lease ends, 0 once it was released.
    """

    holder: str
    fence: int
    deadline_unix_ms: int


class TableLease(Lease):
    """A lease stored in one row of the table service.

    An engine that checks fencing numbers refuses orders with an older one. Another
    agent may take over a lease on such an engine at once; until then the lease is held
    without renewal.

    On other engines a successor waits until the previous deadline, a margin for orders
    in transit and the clock skew have passed. A holder sends no order later than one
    margin before its deadline, which it counts from before the write was sent.

    Parameters
    ----------
    table : TableService
    key : str
        Key of the row, ``lease/SERVICE/HOST_ID``.
    incarnation : str
        Identifies this run of the agent process.
    clock : Clock
    settings : AgentSettings
    fencing : Fencing
    """

    def __init__(self, table, key, incarnation, clock, settings, fencing):
        self._table = table
        self._key = key
        self._incarnation = incarnation
        self._clock = clock
        self._term_ms = settings.lease_term_ms
        self._skew_ms = settings.clock_skew_ms
        self._margin_ms = settings.lease_term_ms * MARGIN_RATIO
        self._is_fence_checked = fencing is Fencing.CHECKED
        self._row = None
        self._version = 0
        self._deadline_ms = -math.inf
        self._retry_at_unix_ms = 0
        self._has_predecessor = False

    @property
    def fence(self):
        """Fencing number to send with each order, 0 before the lease was held."""
        return self._row.fence if self._row else 0

    @property
    def has_predecessor(self):
        """True if the lease was taken from a holder that did not release it."""
        return self._has_predecessor

    @property
    def retry_at_unix_ms(self):
        """When `acquire` can succeed after it failed because of another holder."""
        return self._retry_at_unix_ms

    def may_order(self):
        """Return whether the monotonic and the wall clock allow an order now."""
        if self._row is None:
            return False
        if self._is_fence_checked:
            return True
        is_before_deadline = (
            self._clock.monotonic_ms() < self._deadline_ms - self._margin_ms
        )
        order_until_unix_ms = self._row.deadline_unix_ms - self._margin_ms
        return is_before_deadline and self._clock.unix_ms() < order_until_unix_ms

    def acquire(self):
        """Acquire the lease; return None, or a Failure.

        If another agent holds the lease, `retry_at_unix_ms` says when to retry.
        """
        if self._row is not None:
            return None
        stored = self._read()
        if isinstance(stored, Failure):
            return stored
        row, version = stored
        if row is not None and row.holder == self._incarnation:
            return self._write(row.fence, version)
        failure = self._check_previous_holder(row)
        if failure is not None:
            return failure
        self._has_predecessor = row is not None and bool(row.holder)
        return self._write(row.fence + 1 if row else 1, version)

    def renew(self):
        """Extend the lease if it is due; return None or a Failure."""
        if self._row is None:
            return self._build_lost_failure("it is not held")
        if not self.is_renewal_due:
            return None
        failure = self._write(self._row.fence, self._version)
        if failure is None or failure.reason is not Reason.STORE_CONFLICT:
            return failure
        return self._resolve_conflict()

    def release(self):
        """Release the lease at shutdown; return None or a Failure."""
        if self._row is None:
            return None
        row = LeaseRow("", self._row.fence, 0)
        self._row = None
        result = self._send(row, self._version)
        return result if isinstance(result, Failure) else None

    @property
    def is_renewal_due(self):
        """True once half of the term has passed.

        Never true if the engine checks fencing numbers.
        """
        if self._row is None or self._is_fence_checked:
            return False
        due_ms = self._deadline_ms - self._term_ms * RENEW_REMAINING_RATIO
        return self._clock.monotonic_ms() >= due_ms

    def _check_previous_holder(self, row):
        """Return a Failure if another holder may still send orders, else None."""
        if row is None or not row.holder or self._is_fence_checked:
            return None
        free_at_unix_ms = row.deadline_unix_ms + self._skew_ms + int(self._margin_ms)
        if self._clock.unix_ms() >= free_at_unix_ms:
            return None
        self._retry_at_unix_ms = free_at_unix_ms
        return self._build_lost_failure(
            f"held by {row.holder}, free at {free_at_unix_ms}"
        )

    def _resolve_conflict(self):
        """Renew the lease after a conflict unless another agent caused it."""
        stored = self._read()
        if isinstance(stored, Failure):
            return stored
        row, version = stored
        is_own = row is not None and row.holder == self._incarnation
        if is_own and row.fence == self._row.fence:
            return self._write(row.fence, version)
        self._row = None
        return self._build_lost_failure("another agent took it over")

    def _write(self, fence, version):
        """Write the lease with a new deadline; return None or a Failure."""
        sent_ms = self._clock.monotonic_ms()
        row = LeaseRow(self._incarnation, fence, self._clock.unix_ms() + self._term_ms)
        result = self._send(row, version)
        if isinstance(result, Failure):
            return result
        self._row = row
        self._version = result
        self._deadline_ms = sent_ms + self._term_ms
        return None

    def _send(self, row, version):
        """Return the new version of the row, or a Failure."""
        result = self._table.write([Write(self._key, encode_record(row), version)])
        if isinstance(result, Written):
            return result.versions[0]
        if isinstance(result, Conflict):
            return self._build_failure(Reason.STORE_CONFLICT, "the row has changed")
        return attrs.evolve(result, step=Step.LEASE)

    def _read(self):
        """Return (LeaseRow or None, version), or a Failure."""
        row = self._table.read(self._key)
        if row is None:
            return None, 0
        if isinstance(row, Failure):
            return attrs.evolve(row, step=Step.LEASE)
        try:
            return decode_record(row.value, LeaseRow), row.version
        except ValueError as error:
            return self._build_failure(Reason.STORE_CONFLICT, str(error))

    def _build_lost_failure(self, detail):
        return self._build_failure(Reason.LEASE_LOST, detail)

    def _build_failure(self, reason, detail):
        return Failure(reason, Step.LEASE, self._key, detail)
