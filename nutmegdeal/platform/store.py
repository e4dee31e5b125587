"""Calls to the platform's store of rows.

The store may return from a copy that is some seconds old. Later changes are then lost,
their versions are given out again, and its era rises by one. Versions of different eras
cannot be compared.
"""

import json
import urllib.parse

import attrs

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.http_connections import BrokenAnswerError
from nutmegdeal.log import get_logger
from nutmegdeal.platform.headers import decode_store_era
from nutmegdeal.platform.rows import DECODE_ERRORS, decode_row, encode_transaction

logger = get_logger(__name__)

# Limit on an answer's body. The store answers with at most 1 MB, to which base64 and
# JSON add a third.
ANSWER_BYTES_MAX = 16_777_216
# Timeout of a call that does not wait for changes, and of connecting for any call. An
# answer takes 4 ms, and up to 100 times that while the store is slow.
CALL_TIMEOUT_MS = 1_500.0
# Timeout of a call that waits for changes, beyond the time that the store may wait.
FEED_MARGIN_MS = 1_000.0
# Most rows in one answer of the store.
PAGE_ROWS = 500


# Reads of a table that are begun again because the era changed between two pages.
TABLE_READS_MAX = 3


@attrs.frozen
class StorePosition:
    """A point in the sequence of the store's changes.

    Parameters
    ----------
    era : int
        Rises each time that the store returns from a copy; 0 if it states none.
    version : int
        Increases with each change in an era.
    """

    era: int
    version: int


@attrs.frozen
class RowsRead:
    """Rows of one table at one position of the store.

    Parameters
    ----------
    rows : tuple of StoredRow
    position : StorePosition
    store_ms : float
        Time of the answer on the store's clock, which never goes backwards.
    first_page_ms : float or None
        The same of the first of several answers, None if there was one.
    has_more : bool
        There are further rows that were not read.
    """

    rows: tuple
    position: StorePosition
    store_ms: float = 0.0
    first_page_ms: float | None = None
    has_more: bool = False

    @property
    def as_of_ms(self):
        """Return the store's time whose state the rows show (float), 0.0 if unknown."""
        return self.store_ms if self.first_page_ms is None else self.first_page_ms


@attrs.frozen
class RowsWritten:
    """Result of a transaction.

    Parameters
    ----------
    is_done : bool
        False if a row had another version than expected; nothing was written.
    version : int
        Version of the rows written.
    rows : tuple of StoredRow
        The expected rows as they are, if the transaction was not done.
    era : int
        Of the store's answer.
    store_ms : float
        Time of the answer on the store's clock, 0.0 if it is not stated.
    """

    is_done: bool
    version: int = 0
    rows: tuple = ()
    era: int = 0
    store_ms: float = 0.0


class HistoryGoneError(Exception):
    """The store no longer has the changes since a position.

    Either it has discarded them, or the position is of an earlier era.
    """


class _EraEndedError(Exception):
    """The answer is of an earlier era than another one."""


class StoreClient:
    """Reads and writes rows of the store.

    Parameters
    ----------
    address : Address
    pool : ConnectionPool

    Attributes
    ----------
    newest_era : int
        Highest era in any answer. Answers of earlier eras are dropped.
    """

    def __init__(self, address, pool):
        self.peer = str(address)
        self.newest_era = 0
        self._address = address.pair
        self._pool = pool

    def read_table(self, table):
        """Read all rows of a table.

        Returns
        -------
        RowsRead or Failure
            The position is that of the first page, so that changes made while the
            others are read are read again.
        """
        for _ in range(TABLE_READS_MAX):
            try:
                return self._read_pages(table)
            except HistoryGoneError:
                return self._build_failure("HTTP 410")
            except _EraEndedError:
                logger.info("store_read_repeated", table=table, era=self.newest_era)
        return self._build_failure("the era changed during each read of the table")

    def _read_pages(self, table):
        rows, start, first = [], "", None
        while True:
            query = {"table": table, "part": "", "limit": PAGE_ROWS}
            if start:
                query["from"] = start
            answer = self._get("/rows-get", query, CALL_TIMEOUT_MS)
            if isinstance(answer, Failure):
                return answer
            data, era = answer
            page = self._decode_rows(data, era)
            if isinstance(page, Failure):
                return page
            first = first or page
            if era != first.position.era:
                raise _EraEndedError
            rows += page.rows
            if not page.has_more or not page.rows:
                return RowsRead(
                    tuple(rows), first.position, page.store_ms, first.store_ms
                )
            # The smallest key that is greater than the last one.
            start = page.rows[-1].key + "\0"

    def read_first_row(self, table, key, within_ms, part=""):
        """Read the first row of a table from a key on.

        Parameters
        ----------
        table, key : str
        within_ms : float
            Timeout of the call.
        part : str
            Part of the store.

        Returns
        -------
        RowsRead or Failure
            Without rows if there is none.
        """
        query = {"table": table, "part": part, "from": key, "limit": 1}
        try:
            answer = self._get("/rows-get", query, within_ms)
        except (HistoryGoneError, _EraEndedError):
            return self._build_failure("the era changed during the call")
        if isinstance(answer, Failure):
            return answer
        return self._decode_rows(*answer)

    def read_changes(self, table, after, wait_ms):
        """Wait for changes of a table after a position.

        Parameters
        ----------
        table : str
        after : StorePosition
            Up to which the changes are known.
        wait_ms : float
            Longest time that the store waits for a change.

        Returns
        -------
        RowsRead or Failure
            Without rows if there was no change in `wait_ms`.

        Raises
        ------
        HistoryGoneError
            If the store no longer has the changes since `after`.
        """
        if after.era != self.newest_era:
            raise HistoryGoneError
        query = {"table": table, "after": after.version, "wait_ms": int(wait_ms)}
        try:
            answer = self._get("/rows-feed", query, wait_ms + FEED_MARGIN_MS)
        except _EraEndedError as error:
            raise HistoryGoneError from error
        if isinstance(answer, Failure):
            return answer
        data, era = answer
        if era != after.era:
            # The version has been given out again, so changes may be missing.
            raise HistoryGoneError
        return self._decode_rows(data, era)

    def write_rows(
        self,
        table,
        expected,
        writes,
        removed_keys=(),
        part="",
        within_ms=CALL_TIMEOUT_MS,
    ):
        """Write and remove rows of a table in one transaction.

        A call without an answer may be performed later, if its condition still holds.

        Parameters
        ----------
        table : str
        expected : dict of str to int
            Version that each row must have, by key; 0 if it must not exist.
        writes : dict of str to bytes
            New values, by key.
        removed_keys : iterable of str
        part : str
            Part of the store that holds the rows.
        within_ms : float
            Timeout of the call.

        Returns
        -------
        RowsWritten or Failure
        """
        body = encode_transaction(table, expected, writes, removed_keys, part)
        try:
            answer = self._call(b"POST", "/rows-tx", within_ms, body, (200, 412))
        except (HistoryGoneError, _EraEndedError):
            return self._build_failure("the era changed during the call")
        if isinstance(answer, Failure):
            return answer
        data, era = answer
        try:
            store_ms = float(data.get("now_ms") or 0.0)
            if "rows" in data:
                rows = tuple(map(decode_row, data["rows"]))
                return RowsWritten(False, rows=rows, era=era, store_ms=store_ms)
            return RowsWritten(True, int(data["ver"]), era=era, store_ms=store_ms)
        except DECODE_ERRORS as error:
            return self._build_failure(f"not the result of a transaction: {error!r}")

    def _get(self, path, query, within_ms):
        """Return a Failure, or the answer's JSON object and its era.

        Raises
        ------
        HistoryGoneError
            If the store no longer has the requested version.
        _EraEndedError
            If another answer of a newer era has arrived before.
        """
        target = f"{path}?{urllib.parse.urlencode(query)}"
        return self._call(b"GET", target, within_ms)

    def _call(self, method, target, within_ms, request_body=b"", status_codes=(200,)):
        headers = [(b"host", self.peer.encode())]
        if request_body:
            headers.append((b"content-type", b"application/json"))
        try:
            head, body = self._pool.call(
                self._address,
                method,
                target.encode(),
                headers,
                request_body,
                within_ms,
                ANSWER_BYTES_MAX,
                connect_timeout_ms=CALL_TIMEOUT_MS,
            )
        except (OSError, BrokenAnswerError) as error:
            return self._build_failure(f"{type(error).__name__}: {error}")
        try:
            era = self._record_era(head)
        except ValueError as error:
            return self._build_failure(f"not an era: {error}")
        if head.status_code == 410:
            raise HistoryGoneError
        if head.status_code not in status_codes:
            return self._build_failure(f"HTTP {head.status_code}")
        try:
            data = json.loads(body)
        except (ValueError, RecursionError) as error:
            return self._build_failure(f"not JSON: {error}")
        if not isinstance(data, dict):
            return self._build_failure("the answer is not a JSON object")
        return data, era

    def _record_era(self, head):
        """Return the era of an answer; one without the header is of the newest."""
        era = decode_store_era(head.headers)
        if era is None:
            return self.newest_era
        if era < self.newest_era:
            raise _EraEndedError
        self.newest_era = era
        return era

    def _decode_rows(self, data, era):
        try:
            rows = tuple(map(decode_row, data["rows"]))
            position = StorePosition(era, int(data["ver"]))
            store_ms = float(data.get("now_ms") or 0.0)
            has_more = bool(data.get("more_pages"))
            return RowsRead(rows, position, store_ms, has_more=has_more)
        except DECODE_ERRORS as error:
            return self._build_failure(f"not rows: {error!r}")

    def _build_failure(self, detail):
        return Failure(Reason.STORE_UNAVAILABLE, Step.PLATFORM, self.peer, detail)
