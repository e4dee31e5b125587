"""Deletion of ledger rows whose keys have expired."""

import attrs

from nutmegdeal.errors import Failure, Step
from nutmegdeal.ledger_rows import LedgerRow
from nutmegdeal.records import decode_record
from nutmegdeal.services.table import Write, Written

LEDGER_PREFIX = "ledger/"
SWEEP_ROWS_MAX = 100
LATE_WRITE_MS = 600_000


@attrs.frozen
class Swept:
    """One step of a sweep.

    Parameters
    ----------
    after : str
        Where the next step begins; "" once all rows were seen.
    deleted_count : int
    """

    after: str
    deleted_count: int


def sweep_expired(table, clock, skew_ms, after=""):
    """Delete expired rows among the next ones, all in one transaction.

    A row stays for the clock skew and `LATE_WRITE_MS` beyond its expiry, so that a
    write on its way to it does not find the key free.

    Returns
    -------
    Swept or Failure
    """
    rows = table.scan(LEDGER_PREFIX, after, SWEEP_ROWS_MAX)
    if isinstance(rows, Failure):
        return attrs.evolve(rows, step=Step.LEDGER)
    next_after = rows[-1].key if len(rows) == SWEEP_ROWS_MAX else ""
    kept_since_unix_ms = clock.unix_ms() - skew_ms - LATE_WRITE_MS
    expired = [row for row in rows if _expiry_unix_ms(row) <= kept_since_unix_ms]
    if not expired:
        return Swept(next_after, 0)
    result = table.write([Write(row.key, None, row.version) for row in expired])
    if isinstance(result, Failure):
        return attrs.evolve(result, step=Step.LEDGER)
    is_written = isinstance(result, Written)
    return Swept(next_after, len(expired) if is_written else 0)


def sweep_all(table, clock, skew_ms):
    """Delete all expired rows; return their number (int), or a Failure."""
    deleted_count, after = 0, ""
    while True:
        swept = sweep_expired(table, clock, skew_ms, after)
        if isinstance(swept, Failure):
            return swept
        deleted_count += swept.deleted_count
        after = swept.after
        if not after:
            return deleted_count


def _expiry_unix_ms(row):
    """Return when a row's key expires; never for one that cannot be read."""
    try:
        return decode_record(row.value, LedgerRow).expiry_unix_ms
    except ValueError:
        return float("inf")
