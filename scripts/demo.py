"""Run a small site of real processes under a mixed load, and check every answer.

Prints progress on standard error and finally one JSON line on standard output. The exit
code is 0 only if the outcome of every request is known and no answer was wrong.
"""

import concurrent.futures
import json
import pathlib
import random
import sys
import tempfile
import time

from nutmegdeal.fakes.call_checker import check_calls
from nutmegdeal.fakes.caller import Caller
from nutmegdeal.messages import Fate
from nutmegdeal.tests.process_site import Site, wait_until

ROOT = pathlib.Path(__file__).resolve().parent.parent
QUESTIONNAIRE = ROOT / "examples" / "knusepool" / "questionnaire.ini"
SEED = 1
ENGINE_COUNT = 3
PLAIN_COUNT = 2
ENTRY_COUNT = 2
CALLER_COUNT = 12
COMPLETION_COUNT = 160
LOOKUP_COUNT = 40
BOOKING_COUNT = 30
REPEAT_COUNT = 8
REPEATED_KEY = "booking-repeated"
ADAPTER_COUNT = 30
ZIPF_SKEW = 1.4
TOKENS = (8, 24, 48)
KILL_AT_FRACTION = 0.4
PROGRESS_EVERY_COUNT = 50

started_s = time.monotonic()


def print_progress(text):
    """Print a progress message with the seconds since the start."""
    seconds = time.monotonic() - started_s
    print(f"[{seconds:5.1f} s] {text}", file=sys.stderr, flush=True)


def write_questionnaire(folder):
    """Write the example questionnaire, scaled to this site; return its path."""
    text = QUESTIONNAIRE.read_text()
    text = text.replace("replicas = 6", f"replicas = {ENGINE_COUNT}")
    path = folder / "questionnaire.ini"
    path.write_text(text.replace("replicas = 3\ncon", f"replicas = {PLAIN_COUNT}\ncon"))
    return path


def start_site(site, folder):
    """Start stand-ins, agents and entries with an accepted configuration."""
    print_progress("starting table service, object store, host list and weight store")
    site.start_platform()
    print_progress(site.accept_questionnaire(write_questionnaire(folder)).strip())
    for _ in range(ENGINE_COUNT):
        host = site.start_engine("assist-llm", "--token-ms", "10", "--batch-size", "16")
        print_progress(f"started model engine and agent {host.host_id}")
    for _ in range(PLAIN_COUNT):
        host = site.start_plain("hire-core")
        print_progress(f"started plain service and agent {host.host_id}")
    for _ in range(ENTRY_COUNT):
        print_progress(f"started {site.start_entry().name}")
    site.wait_until_ready()
    print_progress("all processes are ready")


def build_jobs(caller, random_source):
    """Return the requests as functions without arguments, in random order."""
    weights = [(rank + 1) ** -ZIPF_SKEW for rank in range(ADAPTER_COUNT)]
    jobs = []
    for number in range(COMPLETION_COUNT):
        (adapter,) = random_source.choices(range(ADAPTER_COUNT), weights)
        engine_name = f"quote-{adapter:04}@{random_source.choice('12')}"
        prompt, tokens = f"quote number {number}", random_source.choice(TOKENS)
        stream = number % 4 != 0
        jobs.append(
            lambda e=engine_name, p=prompt, t=tokens, s=stream: caller.complete(
                e, p, t, s
            )
        )
    for number in range(LOOKUP_COUNT):
        path = f"/availability?crusher={number}"
        jobs.append(lambda p=path: caller.call_service("hire-core", "GET", p))
    keys = [f"booking-{number}" for number in range(BOOKING_COUNT)]
    for key in keys + [REPEATED_KEY] * REPEAT_COUNT:
        fields = {"crusher": key}
        jobs.append(
            lambda k=key, f=fields: caller.call_service(
                "hire-core", "POST", "/bookings", f, k
            )
        )
    random_source.shuffle(jobs)
    return jobs


def run_load(site, jobs):
    """Run all jobs and kill one agent meanwhile; return the Calls."""
    calls = []
    kill_at_count = int(len(jobs) * KILL_AT_FRACTION)
    with concurrent.futures.ThreadPoolExecutor(CALLER_COUNT) as callers:
        futures = [callers.submit(job) for job in jobs]
        for future in concurrent.futures.as_completed(futures):
            calls.append(future.result())
            if len(calls) == kill_at_count:
                killed_host = site.backends[0]
                print_progress(f"killing agent {killed_host.host_id} with SIGKILL")
                killed_host.agent.kill()
            if len(calls) % PROGRESS_EVERY_COUNT == 0:
                print_progress(f"{len(calls)} of {len(jobs)} requests are answered")
    return calls


def collect_runs(site):
    """Return the runs recorded by the backend stand-ins, once none is still running."""

    def read():
        runs = [run for host in site.backends for run in host.stand_in.record()["runs"]]
        has_running = any(run["outcome"] == "running" for run in runs)
        return None if has_running else [runs]

    (runs,) = wait_until(read)
    return runs


def choose_request_to_explain(calls, runs):
    """Return the id of a request to explain, preferably one with two attempts."""
    attempts = {run["attempt_id"] for run in runs}
    for call in calls:
        if f"{call.request_id}.2" in attempts:
            return call.request_id
    other_calls = [call for call in calls if call.fate is not Fate.COMPLETED]
    return (other_calls or calls)[0].request_id


def main():
    """Run the demo and return the exit code."""
    random_source = random.Random(SEED)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with Site(folder) as site:
            start_site(site, folder)
            caller = Caller([entry.url for entry in site.entries])
            calls = run_load(site, build_jobs(caller, random_source))
            runs = collect_runs(site)
            print_progress("explanation of one request, from nutmegdeal-ctl why:")
            # The processes store events every 0.2 s and watermarks every 0.5 s.
            time.sleep(1)
            print(site.why(choose_request_to_explain(calls, runs)), file=sys.stderr)
            print_progress("stopping everything")
    check_report = check_calls(calls, runs)
    for problem in check_report.problems:
        print_progress(f"wrong: {problem}")
    print_progress("done")
    print(json.dumps(check_report.counts()))
    return 0 if check_report.has_passed else 1


if __name__ == "__main__":
    sys.exit(main())
