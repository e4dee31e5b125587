"""Short seeded runs of the soak test, including every seed that has ever failed.

Seeds that failed are listed in REGRESSIONS, with their causes.
"""

import json
import subprocess
import sys

import pytest

# 13: gateways gave up the streams of a silent engine with the retry budget spent.
# 162: a stream that broke off among endless events was resumed after them.
REGRESSIONS = (13, 162)
SHORT_SEEDS = (1,)
FAULTS_FOR_S = 15
RUN_TIMEOUT_S = 300

LIMITS_SEED = 301
CRASHING_REQUESTS_SEED = 401
TENANTS_SEED = 601
# Bookings ran twice or were refused though they had run.
FAULTY_SERVERS_SEED = 702
# Share of the bound on a window that shows that the quota was in use.
TENANTS_QUOTA_USE_MIN = 0.25
SOFTWARE_VERSIONS_SEED = 512
SOFTWARE_VERSIONS_FAULTS_FOR_S = 8
# Requests began on superseded versions of their adapters.
ADAPTER_VERSIONS_SEED = 1610
ADAPTER_VERSIONS_FAULTS_FOR_S = 8
# Suspended engines begin late what gateways have given up.
SUSPENDED_SERVERS_SEED = 9606
SUSPENDED_SERVERS_FAULTS_FOR_S = 16
CRASHING_PROMPTS_SEED = 41
CRASHING_PROMPTS_FAULTS_FOR_S = 6


def run_soak(seed, faults_for_s, folder, *options):
    """Run the soak as a process; check that it violates no rule; return its result."""
    command = [sys.executable, "-m", "nutmegdeal.tools.soak", "--seed", str(seed)]
    command += ["--for-s", str(faults_for_s), "--folder", str(folder), *options]
    done = subprocess.run(
        command, capture_output=True, timeout=RUN_TIMEOUT_S, text=True
    )
    assert done.stdout, done.stderr
    result = json.loads(done.stdout.splitlines()[-1])
    assert result["violations"] == []
    assert result["completed_count"] > 0
    assert done.returncode == 0
    return result


@pytest.mark.processes
@pytest.mark.parametrize("seed", [*SHORT_SEEDS, *REGRESSIONS])
def test_no_rule_is_violated_under_seeded_faults(seed, tmp_path):
    run_soak(seed, FAULTS_FOR_S, tmp_path)


@pytest.mark.processes
def test_crashing_prompts_are_kept_away_from_engines(tmp_path):
    result = run_soak(
        CRASHING_PROMPTS_SEED,
        CRASHING_PROMPTS_FAULTS_FOR_S,
        tmp_path,
        "--crashing-prompts",
    )
    assert result["crash_count"] > 0


@pytest.mark.processes
def test_limits_of_servers_are_kept_by_all_gateways(tmp_path):
    result = run_soak(LIMITS_SEED, FAULTS_FOR_S, tmp_path, "--limits")
    assert result["limit_count"] > 0


@pytest.mark.processes
def test_crashing_requests_are_kept_away_from_servers(tmp_path):
    result = run_soak(
        CRASHING_REQUESTS_SEED,
        CRASHING_PROMPTS_FAULTS_FOR_S,
        tmp_path,
        "--crashing-requests",
    )
    assert result["crash_count"] > 0


@pytest.mark.processes
def test_streams_are_taken_up_at_the_software_version_that_began_them(tmp_path):
    result = run_soak(
        SOFTWARE_VERSIONS_SEED,
        SOFTWARE_VERSIONS_FAULTS_FOR_S,
        tmp_path,
        "--software-versions",
    )
    assert result["gone_on_count"] > 0
    assert result["taken_up_count"] >= result["gone_on_count"]


@pytest.mark.processes
def test_repeated_refusals_and_odd_registrations_do_no_harm(tmp_path):
    run_soak(FAULTY_SERVERS_SEED, FAULTS_FOR_S, tmp_path, "--faulty-servers")


@pytest.mark.processes
def test_keys_and_quotas_of_tenants_are_kept_under_faults(tmp_path):
    """Guards against requests that run with a revoked key or beyond a quota.

    A key is revoked beside a silent store, and a tenant exceeds its lowered limit.
    """
    result = run_soak(TENANTS_SEED, FAULTS_FOR_S, tmp_path, "--tenants")
    assert result["unauthorized_count"] > 0
    assert result["over_quota_count"] > 0
    assert result["revoked_count"] > 0
    # Otherwise the tenant could not have exceeded its quota.
    assert result["quota_use_max"] > TENANTS_QUOTA_USE_MIN


@pytest.mark.processes
def test_requests_begin_on_current_versions_of_their_adapters(tmp_path):
    """Guards against a further version that allows a superseded one again.

    Engines leave orders unanswered and keep the older version meanwhile.
    """
    result = run_soak(
        ADAPTER_VERSIONS_SEED,
        ADAPTER_VERSIONS_FAULTS_FOR_S,
        tmp_path,
        "--adapter-versions",
    )
    assert result["version_count"] > 0
    assert result["adapter_runs"]["older_count"] > 0
    # Otherwise the rule could not have been broken.
    assert result["adapter_runs"]["bound_count"] > 0


@pytest.mark.processes
def test_suspended_servers_run_late_only_what_may_still_run(tmp_path):
    run_soak(
        SUSPENDED_SERVERS_SEED,
        SUSPENDED_SERVERS_FAULTS_FOR_S,
        tmp_path,
        "--adapter-versions",
        "--suspended-servers",
        "--no-random-faults",
    )
