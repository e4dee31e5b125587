"""Client of the platform's transactional table service."""

import abc
import base64
import json

import attrs

from nutmegdeal.errors import Failure
from nutmegdeal.services.client import HttpClient


@attrs.frozen
class Row:
    """One row as read from the table.

    Parameters
    ----------
    key : str
    value : bytes
    version : int
        Increases with each write of the row; at least 1.
    """

    key: str
    value: bytes
    version: int


@attrs.frozen
class Write:
    """One conditional write of a transaction.

    Parameters
    ----------
    key : str
    value : bytes or None
        None deletes the row.
    expected_version : int
        Version that the row must have; 0 if the row must not exist.
    """

    key: str
    value: bytes | None
    expected_version: int


@attrs.frozen
class Written:
    """All writes of a transaction took effect.

    Parameters
    ----------
    versions : tuple of int
        New version of each row in the order of the writes, 0 for a deleted row.
    """

    versions: tuple[int, ...]


@attrs.frozen
class Conflict:
    """No write took effect because a condition did not hold.

    Parameters
    ----------
    rows : tuple of Row
        Current state of the rows whose condition did not hold, without absent rows.
    """

    rows: tuple[Row, ...]


class TableService(abc.ABC):
    """Rows under string keys, written by conditional transactions.

    Every method may return a `Failure` with reason ``STORE_UNAVAILABLE``. The Failure
    of a write has ``maybe_applied=True`` unless the write cannot have taken effect.
    """

    @abc.abstractmethod
    def read(self, key):
        """Return the Row under `key`, None if there is none, or a Failure."""

    @abc.abstractmethod
    def scan(self, prefix, after="", limit=1000):
        """Return up to `limit` Rows with a prefix and a key after `after`, sorted.

        Returns
        -------
        tuple of Row or Failure
        """

    @abc.abstractmethod
    def write(self, writes):
        """Apply a sequence of Write atomically: all of them or none.

        Returns
        -------
        Written, Conflict or Failure
        """


def _decode_row(data):
    value = base64.b64decode(data["value"], validate=True)
    return Row(str(data["key"]), value, int(data["version"]))


def _decode_read(data):
    row = data["row"]
    return None if row is None else _decode_row(row)


def _decode_rows(data):
    return tuple(_decode_row(row) for row in data["rows"])


def _encode_write(write):
    value = write.value
    return {
        "key": write.key,
        "value": None if value is None else base64.b64encode(value).decode("ascii"),
        "expected_version": write.expected_version,
    }


class HttpTableService(TableService):
    """HTTP client of the table service; `write` is never retried.

    Parameters
    ----------
    base_url : str
    timeout_ms : int
        Time limit of one call.
    """

    def __init__(self, base_url, timeout_ms):
        self._client = HttpClient(base_url, timeout_ms)

    def read(self, key):
        """Return the Row under `key`, None if there is none, or a Failure."""
        return self._query("/read", {"key": key}, _decode_read)

    def scan(self, prefix, after="", limit=1000):
        """Return up to `limit` Rows with a prefix and a key after `after`, sorted."""
        query = {"prefix": prefix, "after": after, "limit": limit}
        return self._query("/scan", query, _decode_rows)

    def _query(self, path, query, decode):
        answer = self._client.query("POST", path, json.dumps(query))
        if isinstance(answer, Failure):
            return answer
        if answer.status_code != 200:
            return self._client.build_unexpected_failure(answer, maybe_applied=False)
        try:
            return decode(answer.json())
        except (KeyError, TypeError, ValueError):
            return self._client.build_unexpected_failure(answer, maybe_applied=False)

    def write(self, writes):
        """Apply a sequence of Write atomically: all of them or none."""
        body = json.dumps({"writes": [_encode_write(write) for write in writes]})
        answer = self._client.call("POST", "/write", body)
        if isinstance(answer, Failure):
            return answer
        if answer.is_error(503, "unavailable"):
            return self._client.build_unexpected_failure(answer, maybe_applied=False)
        try:
            if answer.is_error(409, "conflict"):
                return Conflict(_decode_rows(answer.json()))
            if answer.status_code == 200:
                return Written(tuple(map(int, answer.json()["versions"])))
        except (KeyError, TypeError, ValueError):
            pass
        return self._client.build_unexpected_failure(answer, maybe_applied=True)
