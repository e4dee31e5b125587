"""Requests of this gateway that wait until one engine has loaded an adapter."""

import attrs

from nutmegdeal.engine_messages import AdapterWanted


@attrs.frozen(eq=False)
class LoadWait:
    """One request's wait for an adapter.

    Parameters
    ----------
    adapter : str
    due_ms : float
        When the adapter must be loaded for the first event to be in time, on the
        monotonic clock.
    deadline_ms : float
        When the request no longer needs it.
    rank : int
        Urgency of the request; 0 is the most urgent.
    is_resumed : bool
        The caller has events of the stream from an earlier attempt.
    """

    adapter: str
    due_ms: float
    deadline_ms: float
    rank: int = 0
    is_resumed: bool = False


class LoadWaits:
    """The LoadWaits at one engine, by adapter."""

    def __init__(self):
        self._waits = {}

    def __iter__(self):
        """Iterate over the adapters for which requests wait."""
        return iter(self._waits)

    def add(self, wait):
        """Add a wait; return how many requests wait for its adapter now (int)."""
        waits = self._waits.setdefault(wait.adapter, [])
        waits.append(wait)
        return len(waits)

    def remove(self, wait):
        """Remove a wait; return how many requests still wait for its adapter (int)."""
        waits = self._waits.get(wait.adapter, [])
        if wait in waits:
            waits.remove(wait)
        if not waits:
            self._waits.pop(wait.adapter, None)
        return len(waits)

    def has_resumed(self, adapter):
        """Return whether a resumed stream waits for an adapter."""
        return any(item.is_resumed for item in self._waits.get(adapter, ()))

    def build_wanted(self, wait, version, now_ms):
        """Return the AdapterWanted after a wait was added, None if it is over.

        The times are those of the request that was added last. While resumed streams
        wait, the adapter is useful until the last of them is abandoned.

        Parameters
        ----------
        wait : LoadWait
            The one that was added last.
        version : int
            Least version needed, 0 for any.
        now_ms : float
        """
        waits = self._waits[wait.adapter]
        resumed = [item for item in waits if item.is_resumed]
        due_ms = max((item.due_ms for item in resumed), default=wait.due_ms)
        deadline_ms = max(item.deadline_ms for item in (wait, *resumed))
        remaining_ms = int(deadline_ms - now_ms)
        if remaining_ms <= 0:
            return None
        return AdapterWanted(
            wait.adapter,
            version,
            remaining_ms,
            int(due_ms - now_ms),
            len(waits),
            min(item.rank for item in waits),
            min((item.rank for item in resumed), default=None),
        )
