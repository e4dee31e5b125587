"""One seeded run of the soak."""

import attrs
import gevent

from nutmegdeal.soak.callers import KINDS, Caller
from nutmegdeal.soak.faults import FaultSeries
from nutmegdeal.soak.judge import find_violations
from nutmegdeal.soak.site import SoakSite

CALLER_COUNT = 6
# The platform's bound on recovery is 12 s; the programs have to start first.
RECOVER_WITHIN_S = 30.0
RECOVER_POLL_S = 0.1


@attrs.frozen
class SoakResult:
    """What one run found.

    Parameters
    ----------
    seed : int
    request_count, completed_count, fault_count : int
    violations : tuple of str
    """

    seed: int
    request_count: int
    completed_count: int
    fault_count: int
    violations: tuple[str, ...]


def run_soak(seed, for_s, folder):
    """Play one run.

    Parameters
    ----------
    seed : int
    for_s : float
        Time in which faults begin.
    folder : pathlib.Path
        For settings and logs, which stay.

    Returns
    -------
    SoakResult
    """
    site = SoakSite(folder, f"127.{20 + seed % 200}")
    records = []
    try:
        probe = Caller("probe", site, seed, records)
        violations = _await_service(probe, site)
        series = FaultSeries(site, seed)
        keeper = gevent.spawn(series.keep_running)
        callers = [
            Caller(number, site, seed, records) for number in range(CALLER_COUNT)
        ]
        greenlets = [gevent.spawn(caller.run) for caller in callers]
        series.play(for_s)
        violations += _await_service(probe, site)
        gevent.killall([*greenlets, keeper])
        violations += find_violations(records, series.records, site)
    finally:
        site.close()
    completed = sum(item.status_code == 200 and bool(item.body) for item in records)
    return SoakResult(
        seed, len(records), completed, len(series.records), tuple(violations)
    )


def _await_service(probe, site):
    """Wait until each kind is served, on the newest route too; return violations."""
    added = f"/added-{site.configuration_version}/x"
    try:
        with gevent.Timeout(RECOVER_WITHIN_S):
            for kind in KINDS:
                _await_success(probe, kind)
            _await_success(probe, "look", added)
    except gevent.Timeout:
        return [f"not every kind was served within {RECOVER_WITHIN_S} s"]
    return []


def _await_success(probe, kind, path=None):
    while True:
        record = probe.call(kind, path)
        if record.status_code == 200 and record.body is not None:
            return
        if record.status_code == 404:
            # The newest route may not be in force yet; that is waited for here.
            probe.forget_last()
        gevent.sleep(RECOVER_POLL_S)
