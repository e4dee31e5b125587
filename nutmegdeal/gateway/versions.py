"""Which version of an adapter a request may begin on.

Answers the load of a version change: the old version serves on for a short time while
the new one is loaded elsewhere, so that no request waits for the runs on the old one.
"""

import attrs

# Part of the bound in which the old version may still be used; the rest covers the
# time in which the change reached us and the wait in the engine's queue.
OLD_VERSION_SHARE = 0.4


@attrs.define
class _KnownVersion:
    version: int
    learned_ms: float


class AdapterVersions:
    """Newest versions of adapters, by adapter; a version never steps back.

    Parameters
    ----------
    change_within_ms : float
        Time in which requests have to begin on a new version.
    """

    def __init__(self, change_bound_ms):
        self._grace_ms = change_bound_ms * OLD_VERSION_SHARE
        self._known = {}

    def record_version(self, adapter_version, now_ms, is_new):
        """Note an AdapterVersion; one that is not new allows no older version."""
        known = self._known.get(adapter_version.adapter)
        if known is not None and known.version >= adapter_version.version:
            return
        learned_ms = now_ms if is_new else float("-inf")
        self._known[adapter_version.adapter] = _KnownVersion(
            adapter_version.version, learned_ms
        )

    def newest(self, adapter):
        """Return the newest version (int), or None if none was ever named."""
        known = self._known.get(adapter)
        return known.version if known else None

    def allows_older(self, adapter, now_ms):
        """Return whether a request may still begin on an older version."""
        known = self._known.get(adapter)
        return known is None or now_ms < known.learned_ms + self._grace_ms
