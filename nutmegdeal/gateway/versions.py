"""The adapter versions on which a request may start.

After a version change the old version is used for a short time while the new one is
loaded at another engine. Requests then need not wait until the runs on the old version
have ended. Each version is superseded by the first newer one, whatever follows that.
"""

import math

import attrs

# Share of the allowed changeover time in which requests may still be sent for the
# superseded version. The rest covers the wait in the engine's queue, and an engine that
# is suspended: it begins the request when it goes on, also on a closed connection.
SEND_SHARE = 0.4
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
        self._send_within_ms = change_bound_ms * SEND_SHARE
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

    def least_allowed(self, adapter_key, now_ms):
        """Return the oldest version for which a request may be sent now (int).

        None if any version may be used.
        """
        least = None
        for known in self._known.get(adapter_key, ()):
            if now_ms >= self._send_until_ms(known):
                least = known.version
        return least

    def allows(self, adapter_key, version, now_ms):
        """Return whether a request may be sent for a version (int) now."""
        least = self.least_allowed(adapter_key, now_ms)
        return least is None or version >= least

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

    def _send_until_ms(self, known):
        """Return until when the versions before one may be sent (float)."""
        return known.changed_after_ms + self._send_within_ms

    def _is_over(self, known, now_ms):
        """Return whether the versions before one may be neither sent nor begin."""
        within_ms = max(self._send_within_ms, self._begin_within_ms)
        return known.changed_after_ms + within_ms <= now_ms
