"""The platform's transactional table service."""

import abc

import attrs


@attrs.frozen
class Row:
    """One row as it was read.

    Parameters
    ----------
    key : str
    value : bytes
    version : int
        Grows with each write of the row; at least 1.
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
        Version that the row must have; 0 means that it must not exist.
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
        The rows, as they are, whose condition did not hold; absent ones are left out.
    """

    rows: tuple[Row, ...]


class TableService(abc.ABC):
    """Rows under string keys, written by conditional transactions.

    Every method may return a `Failure` with reason ``STORE_UNAVAILABLE``. That of a
    write has ``maybe_applied=True`` unless the service cannot have received it.
    """

    @abc.abstractmethod
    def read(self, key):
        """Return the Row under `key`, None if there is none, or a Failure."""

    @abc.abstractmethod
    def scan(self, prefix, after="", limit=1000):
        """Return up to `limit` Rows, in key order, with a prefix and beyond `after`.

        Returns
        -------
        tuple of Row or Failure
        """

    @abc.abstractmethod
    def write(self, writes):
        """Apply a sequence of Write all together or not at all.

        Returns
        -------
        Written, Conflict or Failure
        """
