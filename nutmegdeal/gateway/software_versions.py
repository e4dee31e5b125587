"""Which software versions the backend servers of a service have, and had lately.

A stream may go on only at the version that began it. A gateway knows that version
without asking if no other one was registered for as long as a stream may last.
"""

import math

from nutmegdeal.site_configuration import VersionPeriod

# Longest time from the first event of a stream to a caller's last attempt at it.
LONGEST_STREAM_MS = 30_000.0
# Age up to which the registrations that were read last count as complete.
FRESH_MS = 3_000.0
# New streams begin at a version this long after it was first seen. By then each other
# gateway knows of it, or knows that what it has read is not fresh.
JOIN_DELAY_MS = FRESH_MS + 500.0
# Allowance for clocks that run at slightly different rates.
CLOCK_ERROR_MS = 50.0


class VersionHistory:
    """The software versions that were registered lately, by service.

    A gateway that has just started, or that has not read the registrations for a while,
    knows of what was before from the mark only: a row of the store that names the
    versions of each service which are registered, or were within the longest stream.
    A gateway that has read all registrations for that long takes versions out of the
    mark; all others only add to it. All times are on the monotonic clock.

    Attributes
    ----------
    mark_row_version : int
        Version of the row in the store as it was seen last, 0 if there was none.
    """

    def __init__(self):
        self.mark_row_version = 0
        self._periods = {}
        # By service, the version of the server that had started first as this gateway
        # read the registrations for the first time.
        self._oldest_at_start = {}
        # When each version joined: of all marks seen, and of the row in the store.
        self._marked_first_ms = {}
        self._stored = {}
        self._marked_ms = float("-inf")
        self._mark_error_ms = 0.0
        self._mark_read_ms = float("-inf")
        self._needs_mark = True
        self._covered_since_ms = None
        # When the store made the first answer after the last gap in the reads.
        self._gap_end_ms = None
        self._last_read_ms = float("-inf")
        self._suspended_ms = None

    def record_suspended(self, suspended_ms):
        """Record for how long the host has been suspended since it was booted.

        The monotonic clock stood still meanwhile, but versions came and went.
        """
        known_ms = suspended_ms if self._suspended_ms is None else self._suspended_ms
        passed_ms = max(suspended_ms - known_ms, 0.0)
        self._last_read_ms -= passed_ms
        self._mark_read_ms -= passed_ms
        if self._gap_end_ms is not None:
            self._gap_end_ms -= passed_ms
        for periods in self._periods.values():
            for period in periods.values():
                period.absent_ms -= passed_ms
        # The two clocks are read one after the other, which may make it look shorter.
        self._suspended_ms = max(suspended_ms, known_ms)

    def record_read(self, versions_by_service, now_ms, made_ms=None):
        """Record the versions in all registrations.

        Parameters
        ----------
        versions_by_service : dict of str to dict of str to int
            Unix time of the earliest start of a server, in ms, by service and version.
        now_ms : float
        made_ms : float, optional
            When the store made the answer that names them; now by default.

        Returns
        -------
        bool
            Whether a service has got a further version.
        """
        made_ms = now_ms if made_ms is None else made_ms
        is_first = self._covered_since_ms is None
        absent_ms = self._last_read_ms
        if made_ms - self._last_read_ms > FRESH_MS:
            # Versions that came and went meanwhile were not seen.
            absent_ms = float("-inf")
            self._covered_since_ms = now_ms
            self._gap_end_ms = made_ms
            is_mark_fresh = now_ms - self._mark_read_ms <= FRESH_MS
            self._needs_mark = not (is_first and is_mark_fresh)
        self._last_read_ms = max(self._last_read_ms, made_ms)
        self._forget(now_ms)
        has_further = False
        for service, versions in versions_by_service.items():
            periods = self._periods.setdefault(service, {})
            if is_first:
                self._oldest_at_start[service] = min(versions, key=versions.get)
            for version in versions:
                has_further = has_further or (periods and version not in periods)
                joining = VersionPeriod(now_ms, now_ms, absent_ms)
                period = periods.setdefault(version, joining)
                period.last_ms = now_ms
        return bool(has_further)

    def record_mark(self, marked_ms, first_ms_by_service, now_ms, error_ms=0.0):
        """Record the mark that the store has.

        Parameters
        ----------
        marked_ms : float
            When it was written.
        first_ms_by_service : dict of str to dict of str to float
            When each version joined at the latest, by service and version.
        now_ms : float
        error_ms : float
            By how much they may have joined earlier.
        """
        self._marked_ms = min(marked_ms, now_ms)
        self._mark_error_ms = error_ms
        self._stored = first_ms_by_service
        known = {} if self._is_covered(now_ms) else self._marked_first_ms
        self._marked_first_ms = _join(known, first_ms_by_service)

    def record_mark_read(self, made_ms):
        """Record that the row of the mark was read, or that there is none.

        An answer that waited for a change says nothing: it may have been on its way
        while the registrations could not be read. One that was made shortly before they
        were read again does: versions at which streams have begun were named earlier.

        Parameters
        ----------
        made_ms : float
            When the store made the answer.
        """
        self._mark_read_ms = max(self._mark_read_ms, made_ms)
        if self._gap_end_ms is None or made_ms >= self._gap_end_ms - FRESH_MS:
            self._needs_mark = False

    def lacks_mark(self, now_ms):
        """Return whether only the mark, which has to be read, can tell what is sole."""
        return (
            self._needs_mark and self.is_fresh(now_ms) and not self._is_covered(now_ms)
        )

    def forget_mark(self):
        """Record that the store may have lost the mark."""
        self._marked_ms = float("-inf")
        self._stored = {}
        self.mark_row_version = 0

    def is_mark_due(self, now_ms, names_sole=True):
        """Return whether the mark has to be written.

        Parameters
        ----------
        now_ms : float
        names_sole : bool
            Whether a version that is its service's only one may be added.
        """
        for service, versions in self.build_mark(now_ms).items():
            stored = self._stored.get(service, {}).keys()
            if versions.keys() != stored and (
                names_sole or stored or len(versions) > 1
            ):
                return True
        return False

    def build_mark(self, now_ms):
        """Return when each version joined, by service and version.

        What this gateway has not seen itself is kept, unless it must have seen it.
        """
        own = {
            service: {
                version: max(period.first_ms, self._covered_since_ms)
                for version, period in periods.items()
                if now_ms - period.last_ms <= LONGEST_STREAM_MS
            }
            for service, periods in self._periods.items()
        }
        is_read_since = self._last_read_ms - self._marked_ms > FRESH_MS
        if self._is_covered(now_ms) and is_read_since:
            marked = {
                service: {
                    version: first_ms
                    for version, first_ms in versions.items()
                    if version in own.get(service, {})
                }
                for service, versions in self._marked_first_ms.items()
            }
        else:
            marked = self._marked_first_ms
        return _join(own, marked)

    def _forget(self, now_ms):
        for service, periods in list(self._periods.items()):
            for version, period in list(periods.items()):
                if now_ms - period.last_ms > LONGEST_STREAM_MS:
                    del periods[version]
            if not periods:
                del self._periods[service]

    def is_fresh(self, now_ms):
        """Return whether what was read of the registrations is recent."""
        return now_ms - self._last_read_ms <= FRESH_MS

    def _is_covered(self, now_ms):
        """Return whether this gateway has read all that was registered lately."""
        return (
            self._covered_since_ms is not None
            and self.is_fresh(now_ms)
            and now_ms - self._covered_since_ms > LONGEST_STREAM_MS
        )

    def recent_versions(self, service, now_ms):
        """Return the versions registered within `LONGEST_STREAM_MS` (set of str)."""
        recent = {
            version
            for version, period in self._periods.get(service, {}).items()
            if now_ms - period.last_ms <= LONGEST_STREAM_MS
        }
        if not self._is_covered(now_ms):
            recent |= self._marked_first_ms.get(service, {}).keys()
        return recent

    def has_several(self, service, now_ms):
        """Return whether several versions were registered lately."""
        return len(self.recent_versions(service, now_ms)) > 1

    def services_with_several(self, now_ms):
        """Return the services of which several versions were registered lately."""
        return {item for item in self._periods if self.has_several(item, now_ms)}

    def sole_version(self, service, now_ms):
        """Return the version that must have begun each stream, None if not known."""
        if not self.is_fresh(now_ms):
            return None
        if self._needs_mark and not self._is_covered(now_ms):
            return None
        recent = self.recent_versions(service, now_ms)
        if len(recent) > 1:
            recent = {
                item for item in recent if self._may_have_begun(service, item, now_ms)
            }
        return next(iter(recent)) if len(recent) == 1 else None

    def _may_have_begun(self, service, version, now_ms):
        """Return whether a stream may have begun at a version beside others.

        Gateways begin none at a version within `JOIN_DELAY_MS` after it joined.
        """
        period = self._periods.get(service, {}).get(version)
        if period is None:
            return True
        if now_ms - period.absent_ms >= JOIN_DELAY_MS - CLOCK_ERROR_MS:
            return True
        # Other gateways may have seen it join earlier, and leave again.
        marked_ms = self._marked_first_ms.get(service, {}).get(version, math.inf)
        return marked_ms - self._mark_error_ms < period.absent_ms

    def is_settled(self, service, version, now_ms):
        """Return whether new streams may begin at a version.

        Beside other versions the mark has to name it: otherwise none would know of it
        if all gateways were killed now.
        """
        if version not in self._periods.get(service, {}):
            return False
        has_joined_first = self._has_joined_first(service, version, now_ms)
        if has_joined_first and not self.has_several(service, now_ms):
            return True
        is_marked = version in self._marked_first_ms.get(service, {})
        is_oldest = self._oldest_at_start.get(service) == version
        if has_joined_first and (is_marked or is_oldest):
            return True
        return is_marked and not self.join_wait_ms(service, version, now_ms)

    def join_wait_ms(self, service, version, now_ms):
        """Return for how long a gateway may not know a registered version (float).

        0.0 if all gateways know it, or know that what they have read is not fresh.
        """
        joined_ms = self._joined_ms(service, version, now_ms)
        return max(joined_ms + JOIN_DELAY_MS - now_ms, 0.0)

    def _joined_ms(self, service, version, now_ms):
        """Return when a version was first seen by any gateway (float)."""
        period = self._periods.get(service, {}).get(version)
        seen_ms = now_ms if period is None else period.first_ms
        return min(
            seen_ms, self._marked_first_ms.get(service, {}).get(version, seen_ms)
        )

    def _has_joined_first(self, service, version, now_ms):
        """Return whether no gateway can know another recent version, but not this one.

        Of those that joined at one moment, that of the server which started first
        counts, as long as no gateway knows better.
        """
        if self._needs_mark and not self._is_covered(now_ms):
            return False
        joined_ms = self._joined_ms(service, version, now_ms)
        others_ms = [
            self._joined_ms(service, item, now_ms)
            for item in self.recent_versions(service, now_ms)
            if item != version
        ]
        if self._oldest_at_start.get(service) == version:
            return joined_ms <= min(others_ms, default=joined_ms)
        return all(joined_ms < other_ms for other_ms in others_ms)


def _join(known, others):
    """Return the earlier joining of each version in two dicts by service and version.

    The result does not depend on the order in which dicts are joined.
    """
    joined = {service: dict(versions) for service, versions in known.items()}
    for service, versions in others.items():
        merged = joined.setdefault(service, {})
        for version, first_ms in versions.items():
            merged[version] = min(merged.get(version, first_ms), first_ms)
    return {service: versions for service, versions in joined.items() if versions}


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
    service = request.service.name
    known = [item for item in members if not item.has_restarted]
    versions = {item.backend.software_version for item in known}
    chosen = {item for item in versions if history.is_settled(service, item, now_ms)}
    if not chosen:
        chosen = {
            item for item in versions if not history.join_wait_ms(service, item, now_ms)
        }
    return [item for item in known if item.backend.software_version in chosen]


def join_wait_ms(request, members, history, now_ms):
    """Return how long a new stream has to wait for a version that has just joined.

    Parameters
    ----------
    request, members, history, now_ms
        As for `select_members`, which has returned no members.

    Returns
    -------
    float or None
        None if it is not such a stream, or has no servers at all.
    """
    is_new = request.is_stream and request.software_version is None
    if not is_new or not request.route.is_resumable:
        return None
    return min(
        (
            history.join_wait_ms(
                request.service.name, item.backend.software_version, now_ms
            )
            for item in members
            if not item.has_restarted
        ),
        default=None,
    )
