"""One seeded run of the soak test."""

import random

import attrs
import gevent

from nutmegdeal.soak.adapter_changes import (
    BATCH_COUNT,
    ENGINE_COUNT,
    FEW_ADAPTERS,
    QUEUE_MAX,
    SERIES_ADAPTERS,
)
from nutmegdeal.soak.callers import ADAPTERS, REQUEST_KINDS, Caller
from nutmegdeal.soak.faults import FaultInjector
from nutmegdeal.soak.rule_checks import CutCounts, count_cuts, find_violations
from nutmegdeal.soak.site import (
    GATEWAY_COUNT,
    LIMITED_GATEWAY_COUNT,
    ONE_VERSION,
    RETRY_BOUNDS,
    SOFTWARE_VERSIONS,
    TENANTS_GATEWAY_COUNT,
    VERSIONS_GATEWAY_COUNT,
    SoakSite,
)
from nutmegdeal.soak.stream_checks import find_stream_violations
from nutmegdeal.soak.stream_takers import StreamTaker
from nutmegdeal.soak.tenant_checks import find_highest_use, find_tenant_violations
from nutmegdeal.soak.tenants import LIMITED
from nutmegdeal.soak.version_checks import (
    VersionCounts,
    VersionRule,
    count_versions,
    find_unserved,
    find_version_violations,
)

CALLER_COUNT = 8
# Callers that take streams up, with several software versions.
TAKER_COUNT = 6
# Callers of the limited tenant that send many times its usual, with tenants.
SURGE_CALLER_COUNT = 8
# Callers of the adapters that get new versions, with adapter versions.
ADAPTER_CALLER_COUNT = 8
# The platform requires recovery within 12 s; programs may have to start before that.
RECOVERY_TIMEOUT_S = 30.0
RECOVERY_POLL_S = 0.1


@attrs.frozen
class SoakResult:
    """Counts and violations of one run.

    Parameters
    ----------
    seed : int
    request_count, completed_count, fault_count : int
    unsent_count : int
        Requests for which no connection to a gateway could be opened.
    crash_count : int
        Crashes of servers by requests and their prompts.
    limit_count : int
        Times that a server named a limit.
    beside_changes, otherwise : CutCounts
        Requests beside changes of the configuration, and all others.
    taken_up_count, gone_on_count, refused_count : int
        Tries at which callers took a stream up, those at which it went on, and those
        at which it was refused.
    unauthorized_count, over_quota_count : int
        Requests that were answered 401, and those that were answered 429.
    revoked_count, lowered_count : int
        API keys that were revoked, and times that a tenant's limit was lowered.
    quota_use_max : float
        Highest share of the bound on a window that the limited tenant used.
    version_count : int
        Adapter versions that the store acknowledged.
    adapter_runs : VersionCounts
    violations : tuple of str
    """

    seed: int
    request_count: int
    completed_count: int
    fault_count: int
    unsent_count: int
    crash_count: int
    limit_count: int
    beside_changes: CutCounts
    otherwise: CutCounts
    taken_up_count: int
    gone_on_count: int
    refused_count: int
    unauthorized_count: int
    over_quota_count: int
    revoked_count: int
    lowered_count: int
    quota_use_max: float
    version_count: int
    adapter_runs: VersionCounts
    violations: tuple[str, ...]


def run_soak(
    seed,
    fault_period_s,
    folder,
    has_crashing_prompts=False,
    has_limits=False,
    has_crashing_requests=False,
    has_software_versions=False,
    has_tenants=False,
    has_faulty_servers=False,
    has_adapter_versions=False,
    has_suspended_servers=False,
    has_random_faults=True,
):
    """Run the programs under load and faults, and check the rules.

    Parameters
    ----------
    seed : int
    fault_period_s : float
        Time during which faults are started.
    folder : pathlib.Path
        For settings and logs, which are kept.
    has_crashing_prompts : bool
        Whether callers also send prompts that crash engines.
    has_crashing_requests : bool
        Whether callers also send a request that crashes servers.
    has_limits : bool
        Whether servers name limits, which more gateways then have to keep.
    has_software_versions : bool
        Whether more engines have two software versions and change them, while callers
        take streams up at other gateways.
    has_tenants : bool
        Whether callers have API keys of tenants, which are revoked, and quotas, which
        are lowered and exceeded.
    has_faulty_servers : bool
        Whether servers repeat refusals, and others write odd registrations.
    has_adapter_versions : bool
        Whether some adapters that callers keep asking for get one version after
        another, with more engines that queue few requests.
    has_suspended_servers : bool
        Whether servers are suspended, and run afterwards what has reached them.
    has_random_faults : bool
        Whether faults of all other kinds are drawn, too. Many of them excuse what would
        otherwise break a rule.

    Returns
    -------
    SoakResult
    """
    retry_bounds = random.Random(seed).choice(RETRY_BOUNDS)
    gateway_count = LIMITED_GATEWAY_COUNT if has_limits else GATEWAY_COUNT
    versions = ONE_VERSION
    if has_software_versions:
        gateway_count = max(gateway_count, VERSIONS_GATEWAY_COUNT)
        versions = SOFTWARE_VERSIONS
    if has_tenants:
        gateway_count = max(gateway_count, TENANTS_GATEWAY_COUNT)
    if has_adapter_versions and not has_software_versions:
        versions = ONE_VERSION[:1] * ENGINE_COUNT
    prefix = f"127.{20 + seed % 200}"
    site = SoakSite(folder, prefix, retry_bounds, gateway_count, versions, has_tenants)
    records, streams = [], []
    quota_use_max = 0.0
    try:
        if has_adapter_versions:
            site.limit_batches(BATCH_COUNT, QUEUE_MAX)
        probe = Caller("probe", site, seed, records)
        violations = _wait_until_served(probe, site)
        fault_injector = FaultInjector(
            site,
            seed,
            has_crashing_prompts,
            has_limits,
            has_crashing_requests,
            has_software_versions,
            has_faulty_servers,
            has_adapter_versions,
            has_suspended_servers,
            has_random_faults,
        )
        restart_greenlet = gevent.spawn(fault_injector.restart_ended_programs)
        adapters = FEW_ADAPTERS if has_adapter_versions else ADAPTERS
        callers = [
            Caller(number, site, seed, records, adapters)
            for number in range(CALLER_COUNT)
        ]
        if has_software_versions:
            callers += [
                StreamTaker(number, site, seed, streams)
                for number in range(TAKER_COUNT)
            ]
        greenlets = [gevent.spawn(caller.run) for caller in callers]
        if has_adapter_versions:
            asking = [
                Caller(f"adapter{number}", site, seed, records, SERIES_ADAPTERS)
                for number in range(ADAPTER_CALLER_COUNT)
            ]
            greenlets += [gevent.spawn(caller.run_streams) for caller in asking]
        if has_tenants:
            surging = [
                Caller(f"surge{number}", site, seed, records)
                for number in range(SURGE_CALLER_COUNT)
            ]
            greenlets += [gevent.spawn(caller.run_surges) for caller in surging]
        fault_injector.run(fault_period_s)
        violations += _wait_until_served(probe, site)
        gevent.killall([*greenlets, restart_greenlet])
        violations += find_violations(records, fault_injector.records, site)
        violations += find_stream_violations(records, streams, fault_injector.records)
        gateways = _find_gateways(records, streams)
        rule = VersionRule(site.version_acks, gateways, fault_injector.records)
        runs = [run for engine in site.engines for run in engine.adapter_runs]
        violations += find_version_violations(runs, rule)
        if has_adapter_versions:
            violations += find_unserved(
                SERIES_ADAPTERS, records, fault_injector.records
            )
        if has_tenants:
            violations += find_tenant_violations(
                records, site.backends, site.tenants.history
            )
            quota_use_max = find_highest_use(
                LIMITED, records, site.backends, site.tenants.history
            )
    finally:
        site.close()
    beside_changes, otherwise = count_cuts(records, fault_injector.records)
    return SoakResult(
        seed=seed,
        request_count=len(records),
        completed_count=sum(
            item.status_code == 200 and bool(item.body) for item in records
        ),
        fault_count=len(fault_injector.records),
        unsent_count=sum(not item.was_sent for item in records),
        limit_count=sum(len(item.limit.periods) for item in site.backends),
        crash_count=sum(engine.prompts.crash_count for engine in site.engines)
        + sum(len(backend.request_crashes) for backend in site.backends),
        beside_changes=beside_changes,
        otherwise=otherwise,
        taken_up_count=sum(len(item.taken_up) for item in streams),
        gone_on_count=sum(len(item.gone_on) for item in streams),
        refused_count=sum(len(item.refused) for item in streams),
        unauthorized_count=sum(item.status_code == 401 for item in records),
        over_quota_count=sum(item.status_code == 429 for item in records),
        revoked_count=site.tenants.revoked_count if has_tenants else 0,
        lowered_count=site.tenants.lowered_count if has_tenants else 0,
        quota_use_max=round(quota_use_max, 3),
        version_count=len(site.version_acks),
        adapter_runs=count_versions(runs, rule),
        violations=tuple(violations),
    )


def _find_gateways(records, streams):
    """Return the number of the gateway that got each request (dict), by its id."""
    gateways = {record.request_id: record.gateway for record in records}
    for stream in streams:
        for item, gateway in zip(stream.caller.tries, stream.gateways, strict=False):
            gateways[item.request_id] = gateway
    return gateways


def _wait_until_served(probe, site):
    """Wait until all kinds and the newest route are served; return violations."""
    added = f"/added-{site.configuration_version}/x"
    try:
        with gevent.Timeout(RECOVERY_TIMEOUT_S):
            for kind in REQUEST_KINDS:
                _wait_for_success(probe, kind)
            _wait_for_success(probe, "look", added)
    except gevent.Timeout:
        return [f"not all kinds of requests were served within {RECOVERY_TIMEOUT_S} s"]
    return []


def _wait_for_success(probe, kind, path=None):
    while True:
        record = probe.call(kind, path)
        if record.status_code == 200 and record.body is not None:
            return
        if record.status_code == 404:
            # Not a violation: the newest route may not be in force yet.
            probe.discard_last_record()
        gevent.sleep(RECOVERY_POLL_S)
