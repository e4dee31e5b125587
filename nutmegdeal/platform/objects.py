"""The platform's object store."""

import abc


class ObjectStore(abc.ABC):
    """Whole objects under names; every method may return a Failure."""

    @abc.abstractmethod
    def put(self, name, body):
        """Store `body` (bytes) under `name`; return None or a Failure."""

    @abc.abstractmethod
    def get(self, name):
        """Return the bytes under `name`, None if there are none, or a Failure."""

    @abc.abstractmethod
    def list_names(self, prefix, after="", limit=1000):
        """Return up to `limit` names, sorted, with a prefix and beyond `after`.

        Returns
        -------
        tuple of str or Failure
        """
