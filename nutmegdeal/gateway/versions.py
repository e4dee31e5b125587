"""The adapter versions on which a request may start.

A request is sent for the newest known version only: an engine that is suspended begins
it whenever it goes on, and closing the connection does not prevent that. A request that
was sent before a newer version became known may begin for a limited time. Each version
is superseded by the first newer one, whatever follows that.
"""

import math

import attrs

# Time in which a run that has not begun is ended: the gateway may be opening a
# connection for its replacement, and the end has to reach the engine.
CANCEL_MS = 400.0


@attrs.frozen
class _KnownVersion:
    """One version of an adapter.

    Parameters
    ----------
    version : int
    changed_after_ms : float
        Time before which the store did not have it.
    """

    version: int
    changed_after_ms: float


class AdapterVersions:
    """The versions of each adapter; the newest one never decreases.

    Adapters are named by `build_adapter_key`, as models may have adapters of the same
    name. All times are on the boot-time clock: a version is superseded while the host
    is suspended, too.

    Parameters
    ----------
    change_bound_ms : float
        Time after a change within which all requests must start on the new version.
    """

    def __init__(self, change_bound_ms):
        self._begin_within_ms = change_bound_ms - CANCEL_MS
        # Ascending, by adapter.
        self._known = {}

    def record_version(self, adapter_version, changed_after_ms):
        """Record a version.

        Parameters
        ----------
        adapter_version : AdapterVersion
        changed_after_ms : float
            Time before which the store did not have it, minus infinity if it may always
            have had it.
        """
        known = self._known.setdefault(adapter_version.adapter_key, [])
        if known and known[-1].version >= adapter_version.version:
            return
        known.append(_KnownVersion(adapter_version.version, changed_after_ms))
        # A version has to stay while runs that it supersedes may wait in a queue.
        while len(known) > 1 and self._is_over(known[1], changed_after_ms):
            del known[0]

    def newest(self, adapter_key):
        """Return the newest version of an adapter (int), None if none is known."""
        known = self._known.get(adapter_key)
        return known[-1].version if known else None

    def allows(self, adapter_key, version):
        """Return whether a request may be sent for a version (int)."""
        newest = self.newest(adapter_key)
        return newest is None or version >= newest

    def superseded_ms(self, adapter_key, version):
        """Return the earliest time at which a version may have been superseded (float).

        Infinite if no newer version is known.
        """
        for known in self._known.get(adapter_key, ()):
            if known.version > version:
                return known.changed_after_ms
        return math.inf

    def begin_until_ms(self, adapter_key, version):
        """Return until when a run on a version (int) may begin (float).

        Infinite if no newer version is known.
        """
        return self.superseded_ms(adapter_key, version) + self._begin_within_ms

    def _is_over(self, known, now_ms):
        """Return whether runs on the versions before one may no longer begin."""
        return known.changed_after_ms + self._begin_within_ms <= now_ms
