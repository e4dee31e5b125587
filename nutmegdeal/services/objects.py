"""Client of the platform's object store."""

import abc
import urllib.parse

from nutmegdeal.errors import Failure
from nutmegdeal.services.client import HttpClient

BYTES_TYPE = "application/octet-stream"


class ObjectStore(abc.ABC):
    """Store of named objects; every method may return a Failure."""

    @abc.abstractmethod
    def put(self, name, body):
        """Store `body` (bytes) under `name`; return None or a Failure."""

    @abc.abstractmethod
    def get(self, name):
        """Return the bytes under `name`, None if there are none, or a Failure."""

    @abc.abstractmethod
    def list_names(self, prefix, after="", limit=1000):
        """Return up to `limit` sorted names with a prefix that come after `after`.

        Returns
        -------
        tuple of str or Failure
        """


def _object_path(name):
    return "/objects/" + urllib.parse.quote(name, safe="/")


class HttpObjectStore(ObjectStore):
    """HTTP client of the object store; `put` is never retried.

    Parameters
    ----------
    base_url : str
    timeout_ms : int
        Time limit of one call.
    """

    def __init__(self, base_url, timeout_ms):
        self._client = HttpClient(base_url, timeout_ms)

    def put(self, name, body):
        """Store `body` (bytes) under `name`; return None or a Failure."""
        answer = self._client.call("PUT", _object_path(name), body, BYTES_TYPE)
        if isinstance(answer, Failure):
            return answer
        if 200 <= answer.status_code < 300:
            return None
        maybe_applied = not answer.is_error(503, "unavailable")
        return self._client.build_unexpected_failure(answer, maybe_applied)

    def get(self, name):
        """Return the bytes under `name`, None if there are none, or a Failure."""
        answer = self._client.query("GET", _object_path(name))
        if isinstance(answer, Failure):
            return answer
        if answer.status_code == 200:
            return answer.body
        if answer.status_code == 404:
            return None
        return self._client.build_unexpected_failure(answer, maybe_applied=False)

    def list_names(self, prefix, after="", limit=1000):
        """Return up to `limit` sorted names with a prefix that come after `after`."""
        query = {"prefix": prefix, "after": after, "limit": limit}
        path = "/objects?" + urllib.parse.urlencode(query)
        answer = self._client.query("GET", path)
        if isinstance(answer, Failure):
            return answer
        try:
            if answer.status_code == 200:
                return tuple(map(str, answer.json()["names"]))
        except (KeyError, TypeError):
            pass
        return self._client.build_unexpected_failure(answer, maybe_applied=False)
