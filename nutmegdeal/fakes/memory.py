"""In-memory implementations of the platform's services, with fault switches."""

import bisect

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.services.hosts import HostList
from nutmegdeal.services.objects import ObjectStore
from nutmegdeal.services.table import Conflict, Row, TableService, Written


class ScriptedFaults:
    """Fault switches that the in-memory stores share.

    Attributes
    ----------
    down : bool
        Every call returns a Failure and has no effect.
    lose_answers : int
        Number of next writes that are applied but return a Failure.
    drop_writes : int
        Number of next writes that return a Failure and are not applied. As with
        `lose_answers`, the Failure says that the write may have been applied.
    read_count, write_count : int
        Calls received, including those that failed.
    """

    peer = "memory"
    step = Step.LEDGER

    def __init__(self):
        self.down = False
        self.lose_answers = 0
        self.drop_writes = 0
        self.read_count = 0
        self.write_count = 0

    def _check_read(self):
        """Count a read; return a Failure if the store is down, else None."""
        self.read_count += 1
        return self._failure() if self.down else None

    def _check_write(self):
        """Count a write; return a Failure if it must not be applied, else None."""
        self.write_count += 1
        if self.down:
            return self._failure()
        if self.drop_writes > 0:
            self.drop_writes -= 1
            return self._failure(maybe_applied=True)
        return None

    def _finish_write(self, result):
        """Return `result`, or a Failure if `lose_answers` is set."""
        if self.lose_answers == 0:
            return result
        self.lose_answers -= 1
        return self._failure(maybe_applied=True)

    def _failure(self, maybe_applied=False):
        return Failure(
            Reason.STORE_UNAVAILABLE,
            self.step,
            self.peer,
            "the answer was lost" if maybe_applied else "the store is down",
            maybe_applied=maybe_applied,
        )


class MemoryTable(ScriptedFaults, TableService):
    """Table service in memory.

    Attributes
    ----------
    rows : dict of str to Row
        Current rows; tests may read and change them.
    """

    peer = "memory-table"

    def __init__(self):
        super().__init__()
        self.rows = {}

    def read(self, key):
        """Return the Row under `key`, None if there is none, or a Failure."""
        failure = self._check_read()
        return failure or self.rows.get(key)

    def scan(self, prefix, after="", limit=1000):
        """Return a tuple of up to `limit` Rows in key order, or a Failure."""
        failure = self._check_read()
        if failure:
            return failure
        return tuple(
            self.rows[key] for key in select_names(self.rows, prefix, after, limit)
        )

    def write(self, writes):
        """Apply all writes or none; return Written, Conflict or a Failure."""
        failure = self._check_write()
        if failure:
            return failure
        return self._finish_write(self._apply(writes))

    def _apply(self, writes):
        conflicting_keys = [
            write.key for write in writes if not self._version_matches(write)
        ]
        if conflicting_keys:
            found = (self.rows.get(key) for key in conflicting_keys)
            return Conflict(tuple(row for row in found if row is not None))
        return Written(tuple(self._apply_one(write) for write in writes))

    def _version_matches(self, write):
        row = self.rows.get(write.key)
        return write.expected_version == (row.version if row else 0)

    def _apply_one(self, write):
        if write.value is None:
            self.rows.pop(write.key, None)
            return 0
        version = write.expected_version + 1
        self.rows[write.key] = Row(write.key, write.value, version)
        return version


class MemoryObjects(ScriptedFaults, ObjectStore):
    """Object store in memory.

    Attributes
    ----------
    objects : dict of str to bytes
        Current objects; tests may read and change them.
    """

    peer = "memory-objects"
    step = Step.FLUSH

    def __init__(self):
        super().__init__()
        self.objects = {}

    def put(self, name, body):
        """Store `body` under `name`; return None or a Failure."""
        failure = self._check_write()
        if failure:
            return failure
        self.objects[name] = bytes(body)
        return self._finish_write(None)

    def get(self, name):
        """Return the bytes under `name`, None if there are none, or a Failure."""
        failure = self._check_read()
        return failure or self.objects.get(name)

    def list_names(self, prefix, after="", limit=1000):
        """Return a tuple of up to `limit` sorted names, or a Failure."""
        failure = self._check_read()
        return failure or tuple(select_names(self.objects, prefix, after, limit))


class MemoryHosts(ScriptedFaults, HostList):
    """Host list in memory.

    Attributes
    ----------
    hosts : tuple of Host
        What `read` returns; tests may replace it.
    """

    peer = "memory-hosts"
    step = Step.ROUTE

    def __init__(self, hosts=()):
        super().__init__()
        self.hosts = tuple(hosts)

    def read(self):
        """Return a tuple of Host, or a Failure."""
        failure = self._check_read()
        return failure or self.hosts


def select_names(names, prefix, after, limit):
    """Return up to `limit` sorted names that have a prefix and follow `after`."""
    matching_names = sorted(name for name in names if name.startswith(prefix))
    start = bisect.bisect_right(matching_names, after)
    return matching_names[start : start + limit]
