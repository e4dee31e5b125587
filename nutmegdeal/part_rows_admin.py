"""Reading and removing the store's rows of suspected prompt parts, for operators."""

import attrs

from nutmegdeal.errors import Failure
from nutmegdeal.gateway.crash_blame import SuspectRecord
from nutmegdeal.gateway.suspect_rows import decode_record
from nutmegdeal.platform.rows import DECODE_ERRORS, PARTS_TABLE, VERSIONS_MARK_KEY

# Times that a removal is tried while others change the row.
REMOVALS_MAX = 4


@attrs.frozen
class PartRow:
    """Row of one prompt part.

    Parameters
    ----------
    part : str
    version : int
    record : SuspectRecord or None
        None if the value cannot be read.
    refused_for_s : float or None
        Time until the end of the refusal by the store's clock, 0.0 if it has ended and
        the part may be probed; None if the part is not refused.
    """

    part: str
    version: int
    record: SuspectRecord | None
    refused_for_s: float | None = None


@attrs.frozen
class PartNotFound:
    """The store has no row of the part."""


@attrs.frozen
class PartChanged:
    """The row was changed by others during each try, and is still there.

    Parameters
    ----------
    tries : int
    """

    tries: int


@attrs.frozen
class RemovalInDoubt:
    """The removal was sent, and its result is not known.

    Parameters
    ----------
    failure : Failure
    """

    failure: Failure


def read_parts(store):
    """Read all rows of prompt parts.

    Parameters
    ----------
    store : StoreClient

    Returns
    -------
    tuple of PartRow or Failure
        Those that are refused for longest come first.
    """
    read = store.read_table(PARTS_TABLE)
    if isinstance(read, Failure):
        return read
    rows = [
        _build_row(row, read.store_ms)
        for row in read.rows
        if row.key != VERSIONS_MARK_KEY
    ]
    return tuple(sorted(rows, key=_listing_order))


def _listing_order(row):
    refused_until_ms = row.record.refused_until_ms if row.record else 0.0
    return (-refused_until_ms, row.part)


def _build_row(row, store_ms):
    try:
        record = decode_record(row.key, row.value)
    except DECODE_ERRORS:
        return PartRow(row.key, row.version, None)
    refused_for_s = None
    if record.is_refused:
        refused_for_s = max(record.refused_until_ms - store_ms, 0.0) / 1000
    return PartRow(row.key, row.version, record, refused_for_s)


def remove_part(store, part):
    """Remove the row of a prompt part under the version that was read.

    Parameters
    ----------
    store : StoreClient
    part : str

    Returns
    -------
    PartRow, PartNotFound, PartChanged, RemovalInDoubt or Failure
        The row that was removed, or why none was. After a Failure nothing was sent
        that could remove the row.
    """
    for _ in range(REMOVALS_MAX):
        read = store.read_table(PARTS_TABLE)
        if isinstance(read, Failure):
            return read
        found = next((row for row in read.rows if row.key == part), None)
        if found is None:
            return PartNotFound()
        result = store.write_rows(PARTS_TABLE, {part: found.version}, {}, (part,))
        if isinstance(result, Failure):
            return RemovalInDoubt(result)
        if result.is_done:
            return _build_row(found, read.store_ms)
    return PartChanged(REMOVALS_MAX)


def describe(rows):
    """Return the lines of text that list PartRow objects (list of str)."""
    if not rows:
        return ["no prompt part is suspected or refused"]
    return [describe_row(row) for row in rows]


def describe_row(row):
    """Return the line of text of a PartRow (str)."""
    record = row.record
    if record is None:
        return f"{row.part}: the row cannot be read"
    text = f"{row.part}: {_describe_refusal(row)}; ended: {', '.join(record.crashes)}"
    if record.explained:
        text += f"; ended beside a refused part: {', '.join(record.explained)}"
    return text


def _describe_refusal(row):
    if row.refused_for_s is None:
        return "suspected"
    until_ms = f"{row.record.refused_until_ms:.0f}"
    if not row.refused_for_s:
        return f"refused until a probe delivers, which may be sent since {until_ms}"
    return f"refused until {until_ms}, for {row.refused_for_s:.1f} s more"
