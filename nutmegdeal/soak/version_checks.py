"""Checks of the adapter versions on which requests began."""

import attrs

from nutmegdeal.soak.fault_records import STORE_LINK_KIND
from nutmegdeal.soak.site import BOUNDS

VERSION_S = BOUNDS["version_ms"] / 1000
CONTACT_S = BOUNDS["contact_ms"] / 1000
# Time from the end of a program to its next start, at most.
RESTART_S = 0.5
# The platform's bound on recovery: from so long after a fault on, adapters are served.
RECOVERY_S = 12.0
STORE_KINDS = ("store", "store_copy", STORE_LINK_KIND)
GATEWAY_KINDS = ("kill", "pause", "terminate")
LINK_KIND = "backend_link"
RESET_KIND = "reset"


@attrs.frozen
class VersionCounts:
    """Begun runs, by what the rule says of them.

    Parameters
    ----------
    begun_count, older_count : int
        All runs, and those on a version that had been superseded.
    bound_count : int
        Runs that an older version would have made a violation.
    """

    begun_count: int
    older_count: int
    bound_count: int


class VersionRule:
    """Tells which version a run had to have at least.

    The time since an acknowledgement counts in one stretch without a fault of the store
    or of its links (until `CONTACT_S` after it), nor of the link to the engine. Excused
    is a run whose gateway was killed, suspended or terminated within `CONTACT_S` before
    the request came to the engine, or whose gateway was not in touch with the store
    then; and one that came over a link that was disrupted within that time.

    Parameters
    ----------
    acks : list of VersionAck
    gateways : dict of str to int
        Numbers of the gateways that got the requests, by request id. The faults of all
        gateways excuse a request that is missing.
    faults : list of FaultRecord
    """

    def __init__(self, acks, gateways, faults):
        self._acks = acks
        self._gateways = gateways
        self._faults = faults

    def least_version(self, run):
        """Return the oldest version on which a run may have begun (int)."""
        if self._is_excused(run):
            return 0
        versions = [
            ack.version
            for ack in self._acks
            if ack.adapter == run.adapter and self._has_counted(ack.acked_s, run)
        ]
        return max(versions, default=0)

    def superseded_s(self, run):
        """Return when the first newer version was acknowledged, None if none was."""
        times_s = [
            ack.acked_s
            for ack in self._acks
            if ack.adapter == run.adapter
            and ack.version > run.version
            and ack.acked_s < run.began_s
        ]
        return min(times_s, default=None)

    def _is_excused(self, run):
        return any(self._excuses(fault, run) for fault in self._faults)

    def _excuses(self, fault, run):
        at_s, effect_s = run.arrived_s, CONTACT_S
        if fault.kind in GATEWAY_KINDS:
            if not self._is_gateway_of(fault, run):
                return False
            effect_s += RESTART_S
        elif fault.kind == LINK_KIND:
            if not _is_link_of(fault, run):
                return False
            at_s = run.began_s
        elif fault.kind not in (*STORE_KINDS, RESET_KIND):
            return False
        return fault.started_s <= at_s <= fault.ended_s + effect_s

    def _is_gateway_of(self, fault, run):
        gateway = self._gateways.get(run.request_id)
        if gateway is None:
            return fault.target.startswith("gateway-")
        return fault.target == f"gateway-{gateway}"

    def _has_counted(self, acked_s, run):
        """Return whether the whole time of the rule lay in one stretch before a run."""
        disruptions = []
        for fault in self._faults:
            if fault.kind in STORE_KINDS:
                disruptions.append((fault.started_s, fault.ended_s + CONTACT_S))
            elif fault.kind == RESET_KIND or (
                fault.kind == LINK_KIND and _is_link_of(fault, run)
            ):
                disruptions.append((fault.started_s, fault.ended_s))
        counted_from_s = acked_s
        for started_s, ended_s in sorted(disruptions):
            if min(started_s, run.began_s) - counted_from_s > VERSION_S:
                return True
            counted_from_s = max(counted_from_s, ended_s)
        return run.began_s - counted_from_s > VERSION_S


def _is_link_of(fault, run):
    return fault.target.partition("#")[0] == run.backend_id.partition("#")[0]


def find_version_violations(runs, rule):
    """Yield a description of each run that began on too old a version (str).

    Parameters
    ----------
    runs : list of AdapterRun
    rule : VersionRule
    """
    for run in runs:
        least = rule.least_version(run)
        if run.version < least:
            late_s = run.began_s - rule.superseded_s(run)
            yield (
                f"{run.request_id} began on {run.adapter}@{run.version} at "
                f"{run.backend_id}, {late_s:.3f} s after a newer version was "
                f"acknowledged; {least} was the oldest allowed, began at "
                f"{run.began_s:.3f} s, arrived at {run.arrived_s:.3f} s"
            )


def count_versions(runs, rule):
    """Return the VersionCounts of runs (list of AdapterRun)."""
    return VersionCounts(
        begun_count=len(runs),
        older_count=sum(rule.superseded_s(run) is not None for run in runs),
        bound_count=sum(rule.least_version(run) > 1 for run in runs),
    )


def find_unserved(adapters, records, faults):
    """Yield a description of each adapter without service for too long (str).

    Counted is the time without unplanned faults, and with requests for the adapter.

    Parameters
    ----------
    adapters : sequence of str
    records : list of CallRecord
    faults : list of FaultRecord
    """
    unplanned_s = sorted(
        (fault.started_s, fault.ended_s) for fault in faults if not fault.is_planned
    )
    for adapter in adapters:
        asked = sorted(
            (record for record in records if record.adapter == adapter),
            key=lambda record: record.ended_s,
        )
        unserved_from_s = asked[0].started_s if asked else None
        for record in asked:
            for started_s, ended_s in unplanned_s:
                if started_s <= record.ended_s and ended_s > unserved_from_s:
                    unserved_from_s = min(ended_s, record.ended_s)
            if record.ended_s - unserved_from_s > RECOVERY_S:
                yield (
                    f"{adapter} was not served for "
                    f"{record.ended_s - unserved_from_s:.1f} s: {record.request_id}"
                )
                break
            if record.status_code == 200 and record.body is not None:
                unserved_from_s = record.ended_s
