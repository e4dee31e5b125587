"""Sends requests to a Site and checks the results against what ran."""

import concurrent.futures
import itertools

from nutmegdeal.fakes.call_checker import check_calls
from nutmegdeal.fakes.caller import ANSWER_WITHIN_MS, Caller
from nutmegdeal.tests.process_site import wait_until

CALLER_COUNT = 16
SERVICE = "hire-core"
_unique_numbers = itertools.count()


class RequestLoad:
    """Requests to a site, sent by a pool of threads.

    Parameters
    ----------
    site : Site
    entries : sequence of Program or None
        Entries to call in round-robin order; None for all of the site.
    answer_within_ms : int
        Time from a request to its deadline.
    """

    def __init__(self, site, entries=None, answer_within_ms=ANSWER_WITHIN_MS):
        self._site = site
        urls = [entry.url for entry in entries or site.entries]
        self._caller = Caller(urls, answer_within_ms)
        self._pool = concurrent.futures.ThreadPoolExecutor(CALLER_COUNT)
        self._futures = []

    def start_bookings(self, count, prefix=None):
        """Start bookings, each with its own idempotency key; return the keys."""
        prefix = prefix or f"key-{next(_unique_numbers)}"
        keys = [f"{prefix}-{number}" for number in range(count)]
        for key in keys:
            arguments = (SERVICE, "POST", "/bookings", {"crusher": key}, key)
            self._submit(self._caller.call_service, *arguments)
        return keys

    def start_lookups(self, count):
        """Start idempotent lookups."""
        for number in range(count):
            path = f"/availability?crusher={number}"
            self._submit(self._caller.call_service, SERVICE, "GET", path)

    def start_completions(self, count, token_count, adapter_count=4, stream=True):
        """Start completions that take `adapter_count` adapters in turn."""
        for number in range(count):
            engine_name = f"quote-{number % adapter_count:04}@{1 + number % 2}"
            prompt = f"quote {next(_unique_numbers)}"
            arguments = (engine_name, prompt, token_count, stream)
            self._submit(self._caller.complete, *arguments)

    def _submit(self, function, *arguments):
        self._futures.append(self._pool.submit(function, *arguments))

    def wait_until_running(self, count, service=SERVICE):
        """Wait until the servers of a service run at least `count` requests."""

        def is_running():
            runs = collect_runs(self._site, service)
            return sum(run["outcome"] == "running" for run in runs) >= count

        wait_until(is_running)

    def finish(self):
        """Wait for all responses; return the Calls."""
        calls = [future.result() for future in self._futures]
        self._pool.shutdown()
        return calls


def collect_runs(site, service=None):
    """Return the recorded runs (list of dict) of one service or of all."""
    return [
        run
        for host in site.backends
        for run in host.stand_in.record()["runs"]
        if service in (None, host.service)
    ]


def collect_ended_runs(site):
    """Return the runs of all backend servers, once all have ended."""

    def read_ended_runs():
        runs = collect_runs(site)
        has_running = any(run["outcome"] == "running" for run in runs)
        # In a list, because `wait_until` takes an empty list of runs for false.
        return None if has_running else [runs]

    (runs,) = wait_until(read_ended_runs)
    return runs


def assert_calls_correct(site, calls):
    """Check Calls against the runs of the servers; return the Fates (list).

    Also checks that no engine unloaded an adapter in use.
    """
    check_report = check_calls(calls, collect_ended_runs(site))
    assert check_report.has_passed, (check_report.counts(), check_report.problems)
    evicted_in_use_count = sum(
        host.stand_in.record().get("evicted_in_use", 0) for host in site.backends
    )
    assert evicted_in_use_count == 0
    return [call.fate for call in calls]


def hosts_of(site, service):
    """Return the BackendHosts (list) of a service."""
    return [host for host in site.backends if host.service == service]
