"""Which software versions the backend servers of a service have, and had lately.

A stream may go on only at the version that began it. A gateway knows that version
without asking if no other one was registered for as long as a stream may last.
"""

from nutmegdeal.site_configuration import VersionPeriod

# Longest time from the first event of a stream to a caller's last attempt at it.
LONGEST_STREAM_MS = 30_000.0
# Age up to which the registrations that were read last count as complete.
FRESH_MS = 3_000.0
# New streams begin at a version this long after it was first seen. By then each other
# gateway knows of it, or knows that what it has read is not fresh.
JOIN_DELAY_MS = FRESH_MS + 500.0
# How often the mark in the store is renewed, and for how long it is valid: a stream may
# have begun at a version that went just after that.
MARK_EVERY_MS = 20_000.0
MARK_VALID_MS = MARK_EVERY_MS + LONGEST_STREAM_MS


class VersionHistory:
    """The software versions that were registered lately, by service.

    What this gateway has read is completed by the mark, a row of the store that names
    the versions of services which have several. All times are on the monotonic clock.
    """

    def __init__(self):
        self._periods = {}
        self._marked_periods = {}
        self._marked_ms = float("-inf")
        self._first_read_ms = None
        self._last_read_ms = float("-inf")

    def record_read(self, versions_by_service, now_ms):
        """Record the versions in all registrations.

        Parameters
        ----------
        versions_by_service : dict of str to dict of str to int
            Unix time of the earliest start of a server, in ms, by service and version.
        now_ms : float
        """
        is_first = self._first_read_ms is None
        if is_first:
            self._first_read_ms = now_ms
        self._last_read_ms = now_ms
        for service, versions in versions_by_service.items():
            periods = self._periods.setdefault(service, {})
            oldest = min(versions, key=versions.get)
            for version in versions:
                # The others may be so new that other gateways have not read them.
                is_old = is_first and version == oldest
                first_ms = float("-inf") if is_old else now_ms
                period = periods.setdefault(version, VersionPeriod(first_ms, now_ms))
                period.last_ms = now_ms
        self._forget(now_ms)

    def record_mark(self, marked_ms, periods, now_ms):
        """Record the mark that the store has.

        Parameters
        ----------
        marked_ms : float
            When it was written.
        periods : dict of str to dict of str to VersionPeriod
            By service and version.
        now_ms : float
        """
        self._marked_ms = min(marked_ms, now_ms)
        self._marked_periods = periods

    def forget_mark(self):
        """Record that the store may have lost the mark."""
        self._marked_ms = float("-inf")

    def is_mark_due(self, now_ms):
        """Return whether the mark has to be written."""
        services = self.services_with_several(now_ms)
        if not services:
            return False
        if now_ms - self._marked_ms >= MARK_EVERY_MS:
            return True
        return any(
            version not in self._marked_periods.get(service, {})
            for service in services
            for version in self.recent_versions(service, now_ms)
        )

    def build_mark(self, now_ms):
        """Return the periods of the services that have several versions lately."""
        return {
            service: {
                version: self._merge_marked(service, version, period, now_ms)
                for version, period in self._periods[service].items()
            }
            for service in self.services_with_several(now_ms)
        }

    def _merge_marked(self, service, version, period, now_ms):
        marked = self._marked_periods.get(service, {}).get(version)
        first_ms = max(period.first_ms, self._first_read_ms)
        if marked is None or now_ms - marked.last_ms > LONGEST_STREAM_MS:
            return VersionPeriod(first_ms, period.last_ms)
        return VersionPeriod(
            min(first_ms, marked.first_ms), max(period.last_ms, marked.last_ms)
        )

    def _forget(self, now_ms):
        for service, periods in list(self._periods.items()):
            for version, period in list(periods.items()):
                if now_ms - period.last_ms > LONGEST_STREAM_MS:
                    del periods[version]
            if not periods:
                del self._periods[service]

    def is_fresh(self, now_ms):
        """Return whether the registrations were read lately."""
        return now_ms - self._last_read_ms <= FRESH_MS

    def recent_versions(self, service, now_ms):
        """Return the versions registered within `LONGEST_STREAM_MS` (list of str)."""
        periods = self._periods.get(service, {})
        return [
            version
            for version, period in periods.items()
            if now_ms - period.last_ms <= LONGEST_STREAM_MS
        ]

    def has_several(self, service, now_ms):
        """Return whether several versions were registered lately."""
        return len(self.recent_versions(service, now_ms)) > 1

    def services_with_several(self, now_ms):
        """Return the services of which several versions were registered lately."""
        return {item for item in self._periods if self.has_several(item, now_ms)}

    def sole_version(self, service, now_ms):
        """Return the version that must have begun each stream, None if not known."""
        if self._first_read_ms is None or not self.is_fresh(now_ms):
            return None
        recent = self.recent_versions(service, now_ms)
        if len(recent) != 1:
            return None
        is_new_here = now_ms - self._first_read_ms < LONGEST_STREAM_MS
        if is_new_here and self._has_marked_other(service, recent[0], now_ms):
            return None
        return recent[0]

    def _has_marked_other(self, service, version, now_ms):
        """Return whether a gateway has known of another version lately."""
        return any(
            marked != version and now_ms - period.last_ms < MARK_VALID_MS
            for marked, period in self._marked_periods.get(service, {}).items()
        )

    def is_settled(self, service, version, now_ms):
        """Return whether new streams may begin at a version."""
        period = self._periods.get(service, {}).get(version)
        if period is None:
            return False
        if now_ms - period.first_ms >= JOIN_DELAY_MS:
            return True
        marked = self._marked_periods.get(service, {}).get(version)
        if marked is None or now_ms - marked.last_ms >= LONGEST_STREAM_MS:
            return False
        return now_ms - marked.first_ms >= JOIN_DELAY_MS


def select_members(request, members, history, now_ms):
    """Return the members of a service at which a request may run.

    Parameters
    ----------
    request : Request
    members : list of Member
    history : VersionHistory
    now_ms : float
    """
    if not request.is_stream:
        return members
    if request.software_version is not None:
        return [
            item
            for item in members
            if item.backend.software_version == request.software_version
            and not item.has_restarted
        ]
    if not request.route.is_resumable:
        return members
    known = [item for item in members if not item.has_restarted]
    settled = [
        item
        for item in known
        if history.is_settled(
            request.service.name, item.backend.software_version, now_ms
        )
    ]
    return settled or known
