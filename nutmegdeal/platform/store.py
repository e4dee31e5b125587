"""Calls to the platform's store of rows.

The store is only read, as gateways and placers have no persistent state.
"""

import json
import urllib.parse

import attrs

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.http_connections import BrokenAnswerError
from nutmegdeal.platform.rows import DECODE_ERRORS, decode_row

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


@attrs.frozen
class RowsRead:
    """Rows of one table at one version of the store.

    Parameters
    ----------
    rows : tuple of StoredRow
    store_version : int
        Increases with each change of the store.
    """

    rows: tuple
    store_version: int


class HistoryGoneError(Exception):
    """The store no longer has the history of changes since the requested version."""


class StoreClient:
    """Reads rows of the store.

    Parameters
    ----------
    address : Address
    pool : ConnectionPool
    """

    def __init__(self, address, pool):
        self.peer = str(address)
        self._address = address.pair
        self._pool = pool

    def read_table(self, table):
        """Read all rows of a table.

        Returns
        -------
        RowsRead or Failure
        """
        rows, start = [], ""
        while True:
            query = {"table": table, "part": "", "limit": PAGE_ROWS}
            if start:
                query["from"] = start
            data = self._get("/rows-get", query, CALL_TIMEOUT_MS)
            if isinstance(data, Failure):
                return data
            page = self._decode_rows(data)
            if isinstance(page, Failure):
                return page
            rows += page.rows
            if not data.get("more_pages") or not page.rows:
                return RowsRead(tuple(rows), page.store_version)
            # The smallest key that is greater than the last one.
            start = page.rows[-1].key + "\0"

    def read_changes(self, table, after, wait_ms):
        """Wait for changes of a table after a store version.

        Parameters
        ----------
        table : str
        after : int
            Store version up to which the changes are known.
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
        query = {"table": table, "after": after, "wait_ms": int(wait_ms)}
        data = self._get("/rows-feed", query, wait_ms + FEED_MARGIN_MS)
        if isinstance(data, Failure):
            return data
        return self._decode_rows(data)

    def _get(self, path, query, within_ms):
        target = f"{path}?{urllib.parse.urlencode(query)}".encode()
        headers = [(b"host", self.peer.encode())]
        try:
            status_code, body = self._pool.call(
                self._address,
                b"GET",
                target,
                headers,
                b"",
                within_ms,
                ANSWER_BYTES_MAX,
                connect_timeout_ms=CALL_TIMEOUT_MS,
            )
        except (OSError, BrokenAnswerError) as error:
            return self._build_failure(f"{type(error).__name__}: {error}")
        if status_code == 410:
            raise HistoryGoneError
        if status_code != 200:
            return self._build_failure(f"HTTP {status_code}")
        try:
            data = json.loads(body)
        except ValueError as error:
            return self._build_failure(f"not JSON: {error}")
        if not isinstance(data, dict):
            return self._build_failure("the answer is not a JSON object")
        return data

    def _decode_rows(self, data):
        try:
            rows = tuple(map(decode_row, data["rows"]))
            return RowsRead(rows, int(data["ver"]))
        except DECODE_ERRORS as error:
            return self._build_failure(f"not rows: {error!r}")

    def _build_failure(self, detail):
        return Failure(Reason.STORE_UNAVAILABLE, Step.PLATFORM, self.peer, detail)
