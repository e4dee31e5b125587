"""The platform's services in memory, for tests."""

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.platform.objects import ObjectStore
from nutmegdeal.platform.table import Conflict, Row, TableService, Written


def unavailable(maybe_applied=False):
    """Return the Failure of a service that is down or whose answer was lost."""
    return Failure(
        Reason.STORE_UNAVAILABLE, Step.PLATFORM, "fake", maybe_applied=maybe_applied
    )


class MemoryTable(TableService):
    """Rows in a dict; `failures` are returned, one a call, before anything is done."""

    def __init__(self):
        self.rows = {}
        self.failures = []
        self.lost_answer_count = 0
        self.write_count = 0
        self.read_count = 0

    def read(self, key):
        self.read_count += 1
        if self.failures:
            return self.failures.pop(0)
        return self.rows.get(key)

    def scan(self, prefix, after="", limit=1000):
        if self.failures:
            return self.failures.pop(0)
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return tuple(self.rows[key] for key in keys if key > after)[:limit]

    def write(self, writes):
        self.write_count += 1
        if self.failures:
            return self.failures.pop(0)
        result = self.apply(writes)
        if self.lost_answer_count:
            self.lost_answer_count -= 1
            return unavailable(maybe_applied=True)
        return result

    def apply(self, writes):
        """Apply a transaction at once."""
        seen = [self.rows.get(write.key) for write in writes]
        broken = [
            row
            for write, row in zip(writes, seen, strict=True)
            if (row.version if row else 0) != write.expected_version
        ]
        if broken:
            return Conflict(tuple(row for row in broken if row))
        versions = []
        for write in writes:
            if write.value is None:
                del self.rows[write.key]
                versions.append(0)
                continue
            version = write.expected_version + 1
            self.rows[write.key] = Row(write.key, write.value, version)
            versions.append(version)
        return Written(tuple(versions))


class MemoryObjects(ObjectStore):
    """Objects in a dict."""

    def __init__(self):
        self.bodies = {}
        self.failures = []
        self.got_names = []
        self.put_names = []

    def put(self, name, body):
        if self.failures:
            return self.failures.pop(0)
        self.put_names.append(name)
        self.bodies[name] = body
        return None

    def get(self, name):
        if self.failures:
            return self.failures.pop(0)
        self.got_names.append(name)
        return self.bodies.get(name)

    def list_names(self, prefix, after="", limit=1000):
        names = sorted(name for name in self.bodies if name.startswith(prefix))
        return tuple(name for name in names if name > after)[:limit]
