"""Tests of explaining requests with real processes, which may be killed."""

import json
import pathlib
import threading

import pytest

from nutmegdeal.fakes.caller import Caller
from nutmegdeal.messages import Fate
from nutmegdeal.tests.process_site import Site, wait_until

pytestmark = [pytest.mark.processes, pytest.mark.promise(9)]

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
KNUSEPOOL = EXAMPLES / "knusepool" / "questionnaire.ini"
ENGINE_NAME = "quote-0007@2"
NEVER_MS = 600_000


@pytest.fixture
def site(tmp_path):
    with Site(tmp_path) as running:
        running.start_platform(loads_per_s=50)
        running.accept_questionnaire(KNUSEPOOL)
        yield running


def start_call(site, prompt):
    """Request a long completion in a thread; return the thread and its results."""
    caller = Caller([site.entries[0].url])
    calls = []

    def run():
        calls.append(caller.complete(ENGINE_NAME, prompt, max_tokens=400))

    thread = threading.Thread(target=run)
    thread.start()
    wait_until(lambda: any(host.stand_in.record()["runs"] for host in site.backends))
    return thread, calls


def find_run(site):
    return next(run for host in site.backends for run in host.stand_in.record()["runs"])


def test_agent_killed_before_it_stored_events_is_reported_as_unknown(site):
    site.settings = {"accounts": {"flush_every_ms": NEVER_MS}}
    site.start_engine("assist-llm", "--token-ms", "20")
    site.settings = {}
    site.start_entry()
    site.wait_until_ready()
    host = site.backends[0]
    thread, calls = start_call(site, "killed agent")
    host.agent.kill()
    thread.join()
    (call,) = calls
    assert call.fate is not Fate.COMPLETED

    def read():
        account = json.loads(site.why(call.request_id, "--json"))
        return account if account["fate"] else None

    account = wait_until(read)
    assert account["fate"] == call.fate.value
    assert find_run(site)
    assert account["ran"] == "unknown"
    (unknown,) = account["unknowns"]
    assert unknown["process"] == host.host_id
    assert "had stored no more" in site.why(call.request_id)


def test_entry_killed_before_it_stored_events_is_reported_as_unknown(site):
    site.start_engine("assist-llm", "--token-ms", "20")
    site.settings = {"accounts": {"flush_every_ms": NEVER_MS}}
    site.start_entry()
    site.wait_until_ready()
    thread, calls = start_call(site, "killed entry")
    request_id = find_run(site)["attempt_id"].rpartition(".")[0]
    site.entries[0].kill()
    thread.join()
    text = site.why(request_id, code=6)
    assert "Nothing is recorded of it." in text
    assert "Not known:" in text
    assert request_id.rpartition("-")[0] in text


def test_account_is_complete_again_after_an_outage_of_the_object_store(site):
    site.start_engine("assist-llm", "--token-ms", "2")
    site.start_entry()
    site.wait_until_ready()
    site.objects.set_faults(down=True)
    caller = Caller([site.entries[0].url])
    call = caller.complete(ENGINE_NAME, "outage", max_tokens=4)
    assert call.fate is Fate.COMPLETED
    assert "could not be read" in site.why(call.request_id, code=4)
    site.objects.set_faults()

    def is_complete():
        return "Nothing is known to be missing" in site.why(call.request_id, code=None)

    wait_until(is_complete)
