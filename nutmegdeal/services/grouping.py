"""Group commit: writes that arrive during a write share the next transaction."""

import attrs
import gevent
import gevent.event

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.services.table import Conflict, TableService, Written

GROUP_WRITES_MAX = 100


@attrs.frozen(eq=False)
class _PendingTransaction:
    """One caller's transaction and the event through which it gets the result."""

    writes: tuple
    result: object


class GroupCommitTable(TableService):
    """Combines the transactions of concurrent callers into one.

    While the table is idle, a write is sent without delay. A combined transaction that
    conflicts has no effect; its parts are then sent one by one, so that each caller
    gets the result of its own writes.

    Parameters
    ----------
    table : TableService
    spawn : callable
        Runs a function without arguments in the background.
    make_result : callable
        Returns an object with ``set(value)`` and a blocking ``get()``.
    """

    def __init__(self, table, spawn=gevent.spawn, make_result=gevent.event.AsyncResult):
        self._table = table
        self._spawn = spawn
        self._new_result = make_result
        self._pending = []
        self._is_writing = False

    def read(self, key):
        """Return the Row under `key`, None if there is none, or a Failure."""
        return self._table.read(key)

    def scan(self, prefix, after="", limit=1000):
        """Return up to `limit` Rows with a prefix and a key after `after`, sorted."""
        return self._table.scan(prefix, after, limit)

    def write(self, writes):
        """Apply a sequence of Write atomically; wait for the result."""
        pending = _PendingTransaction(tuple(writes), self._new_result())
        self._pending.append(pending)
        if not self._is_writing:
            self._is_writing = True
            self._spawn(self._write_groups)
        return pending.result.get()

    def _write_groups(self):
        while self._pending:
            self._write_group(self._next_group())
        self._is_writing = False

    def _next_group(self):
        """Remove and return the oldest transactions that fit into one.

        No two of them write the same row; together they have at most
        `GROUP_WRITES_MAX` writes, unless the first alone has more.
        """
        group, keys = [], set()
        while self._pending:
            own_keys = {write.key for write in self._pending[0].writes}
            is_full = len(keys) + len(own_keys) > GROUP_WRITES_MAX
            if group and (is_full or keys & own_keys):
                break
            group.append(self._pending.pop(0))
            keys |= own_keys
        return group

    def _write_group(self, group):
        group_writes = [write for pending in group for write in pending.writes]
        result = self._send(group_writes)
        if isinstance(result, Conflict) and len(group) > 1:
            for pending in group:
                pending.result.set(self._send(pending.writes))
            return
        versions = iter(result.versions if isinstance(result, Written) else ())
        for pending in group:
            own_result = result
            if isinstance(result, Written):
                own_result = Written(tuple(next(versions) for _ in pending.writes))
            pending.result.set(own_result)

    def _send(self, writes):
        """Write; turn an exception into a Failure so that no caller waits forever."""
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
