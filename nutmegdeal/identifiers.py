"""Names and identifiers: incarnations, requests, attempts, adapters with a version."""

import hashlib
import secrets

import attrs

INCARNATION_BYTES = 6
ADAPTER_SEPARATOR = "@"


def new_incarnation():
    """Return a random id for one run of a process (12 hexadecimal digits)."""
    return secrets.token_hex(INCARNATION_BYTES)


def body_digest(body):
    """Return the SHA-256 of `body` (bytes) in hexadecimal."""
    return hashlib.sha256(body).hexdigest()


def attempt_id(request_id, number):
    """Return the id of the `number`-th attempt (from 1) at a request."""
    return f"{request_id}.{number}"


def request_of_attempt(attempt):
    """Return the request id inside an attempt id."""
    return attempt.rpartition(".")[0]


def entry_of_request(request_id):
    """Return the incarnation of the entry that issued a request id."""
    return request_id.rpartition("-")[0]


class RequestIdGenerator:
    """Generates the request ids of one incarnation of an entry.

    Parameters
    ----------
    incarnation : str
        Part of every id, so that a restarted entry never repeats an id and a reader of
        accounts knows which process issued it.
    """

    def __init__(self, incarnation):
        self._incarnation = incarnation
        self._issued_count = 0

    def next_id(self):
        """Return an id that no other call of any entry returns."""
        self._issued_count += 1
        return f"{self._incarnation}-{self._issued_count:x}"


@attrs.frozen
class AdapterRef:
    """One version of an adapter.

    Parameters
    ----------
    name : str
    version : str
    """

    name: str
    version: str

    @property
    def engine_name(self):
        """The name under which a model engine holds this version."""
        return f"{self.name}{ADAPTER_SEPARATOR}{self.version}"
