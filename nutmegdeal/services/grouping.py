"""Group commit: writes that arrive while one is under way share a transaction."""

import attrs
import gevent
import gevent.event

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.services.table import Conflict, TableService, Written

GROUP_WRITES_MAX = 100


@attrs.frozen(eq=False)
class _Slot:
    """One caller's transaction and where its result goes."""

    writes: tuple
    result: object


class GroupCommitTable(TableService):
    """Joins the transactions of concurrent callers into one.

    Nothing waits while the table is idle. A joined transaction that meets a conflict
    took no effect, and its parts are then sent one by one, so that each caller gets
    the result of its own writes.

    Parameters
    ----------
    table : TableService
    spawn : callable
        Runs a function without arguments in the background.
    new_result : callable
        Returns an object with ``set(value)`` and a blocking ``get()``.
    """

    def __init__(self, table, spawn=gevent.spawn, new_result=gevent.event.AsyncResult):
        self._table = table
        self._spawn = spawn
        self._new_result = new_result
        self._waiting = []
        self._is_writing = False

    def read(self, key):
        """Return the Row under `key`, None if there is none, or a Failure."""
        return self._table.read(key)

    def scan(self, prefix, after="", limit=1000):
        """Return up to `limit` Rows, in key order, with a prefix and beyond `after`."""
        return self._table.scan(prefix, after, limit)

    def write(self, writes):
        """Apply a sequence of Write all together or not at all."""
        slot = _Slot(tuple(writes), self._new_result())
        self._waiting.append(slot)
        if not self._is_writing:
            self._is_writing = True
            self._spawn(self._write_groups)
        return slot.result.get()

    def _write_groups(self):
        while self._waiting:
            self._write_group(self._take_group())
        self._is_writing = False

    def _take_group(self):
        """Return the longest waiting slots that fit and write different rows."""
        group, keys = [], set()
        while self._waiting:
            own_keys = {write.key for write in self._waiting[0].writes}
            is_full = len(keys) + len(own_keys) > GROUP_WRITES_MAX
            if group and (is_full or keys & own_keys):
                break
            group.append(self._waiting.pop(0))
            keys |= own_keys
        return group

    def _write_group(self, group):
        joined = [write for slot in group for write in slot.writes]
        result = self._send(joined)
        if isinstance(result, Conflict) and len(group) > 1:
            for slot in group:
                slot.result.set(self._send(slot.writes))
            return
        versions = iter(result.versions if isinstance(result, Written) else ())
        for slot in group:
            own = result
            if isinstance(result, Written):
                own = Written(tuple(next(versions) for _ in slot.writes))
            slot.result.set(own)

    def _send(self, writes):
        """Write, and turn an exception into a Failure so that no caller is left."""
        try:
            return self._table.write(writes)
        except Exception as error:
            return Failure(
                Reason.STORE_UNAVAILABLE,
                Step.PLATFORM,
                "",
                repr(error),
                maybe_applied=True,
            )
