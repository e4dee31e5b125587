"""Deletion of ledger rows whose keys have expired."""

import attrs

from nutmegdeal.errors import Failure, Step
from nutmegdeal.ledger_rows import LedgerRow
from nutmegdeal.row_encoding import decode_record
from nutmegdeal.services.table import Write, Written

LEDGER_PREFIX = "ledger/"
SWEEP_ROWS_MAX = 100
LATE_WRITE_MS = 600_000


@attrs.frozen
class SweepResult:
    """Result of one step of a sweep.

    Parameters
    ----------
    after : str
        Key after which the next step begins; "" once all rows were read.
    deleted_count : int
    """

    after: str
    deleted_count: int


def sweep_expired(table, clock, skew_ms, after=""):
    """Delete the expired rows among the next `SWEEP_ROWS_MAX` in one transaction.

    A row is kept for the clock skew and `LATE_WRITE_MS` after its expiry, so that a
    delayed write does not find the key unused.

    Returns
    -------
    SweepResult or Failure
    """
    rows = table.scan(LEDGER_PREFIX, after, SWEEP_ROWS_MAX)
    if isinstance(rows, Failure):
        return attrs.evolve(rows, step=Step.LEDGER)
    next_after = rows[-1].key if len(rows) == SWEEP_ROWS_MAX else ""
    delete_until_unix_ms = clock.unix_ms() - skew_ms - LATE_WRITE_MS
    expired = [row for row in rows if _expiry_unix_ms(row) <= delete_until_unix_ms]
    if not expired:
        return SweepResult(next_after, 0)
    result = table.write([Write(row.key, None, row.version) for row in expired])
    if isinstance(result, Failure):
        return attrs.evolve(result, step=Step.LEDGER)
    is_written = isinstance(result, Written)
    return SweepResult(next_after, len(expired) if is_written else 0)


@attrs.frozen
class SweepTotal:
    """Result of a whole sweep.

    Parameters
    ----------
    deleted_count : int
        Rows that were deleted for certain.
    failure : Failure or None
        Why the sweep stopped before its end; rows of its last step may be deleted too.
    """

    deleted_count: int
    failure: Failure | None = None


def sweep_all(table, clock, skew_ms):
    """Delete all expired rows; return a SweepTotal."""
    deleted_count, after = 0, ""
    while True:
        result = sweep_expired(table, clock, skew_ms, after)
        if isinstance(result, Failure):
            return SweepTotal(deleted_count, result)
        deleted_count += result.deleted_count
        after = result.after
        if not after:
            return SweepTotal(deleted_count)


def _expiry_unix_ms(row):
    """Return when a row's key expires, infinity for a row that cannot be decoded."""
    try:
        return decode_record(row.value, LedgerRow).expiry_unix_ms
    except ValueError:
        return float("inf")
