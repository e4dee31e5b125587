"""Table rows that record which configuration generations were accepted.

The head row names the generation in force; each recent generation also has a row.
"""

import attrs

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.row_encoding import decode_record, encode_record

HEAD_KEY = "config/head"
GENERATION_DIGITS = 12


@attrs.frozen
class Head:
    """An accepted generation.

    Parameters
    ----------
    generation : int
        From 1.
    manifest : str
        Hash of the manifest in the object store.
    accept_id : str
        Identifies the acceptance that wrote it.
    """

    generation: int
    manifest: str
    accept_id: str


@attrs.frozen
class StoredHead:
    """A Head and the version of its row."""

    head: Head
    version: int

    def encode(self):
        """Return the value of the row."""
        return encode_record(self.head)


def generation_key(generation):
    """Return the key of the row that keeps the Head of one generation."""
    return f"config/generation/{generation:0{GENERATION_DIGITS}}"


def read_configuration_head(table, key=HEAD_KEY):
    """Read the row at `key`.

    Returns
    -------
    StoredHead, None or Failure
        None if there is no such row.
    """
    row = table.read(key)
    if row is None:
        return None
    if isinstance(row, Failure):
        return attrs.evolve(row, step=Step.CONFIGURE)
    try:
        return StoredHead(decode_record(row.value, Head), row.version)
    except ValueError as error:
        return Failure(Reason.STORE_CONFLICT, Step.CONFIGURE, key, str(error))
