"""Tests of nutmegdeal-ctl against an agent, an entry and stand-ins for services."""

import json
import pathlib

import pytest
import urllib3

from nutmegdeal import settings as settings_module
from nutmegdeal.clock import ManualClock
from nutmegdeal.ledger import MayDispatch, TableLedger
from nutmegdeal.services.table import HttpTableService
from nutmegdeal.tests.builders import build_booking
from nutmegdeal.tests.process_site import STOP_TIMEOUT_S, Site, wait_until

pytestmark = pytest.mark.processes

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
KNUSEPOOL = str(EXAMPLES / "knusepool" / "questionnaire.ini")
CASCADIA = str(EXAMPLES / "cascadia" / "questionnaire.ini")


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with Site(tmp_path_factory.mktemp("site")) as running:
        running.start_platform(loads_per_s=50)
        running.accept_questionnaire(KNUSEPOOL)
        running.start_engine("assist-llm", "--token-ms", "2")
        running.start_plain("hire-core")
        running.start_entry()
        running.wait_until_ready()
        yield running


def call(site, method, path, fields, headers=None):
    return urllib3.request(
        method,
        site.entries[0].url + path,
        body=json.dumps(fields).encode(),
        headers=headers,
        retries=False,
        timeout=STOP_TIMEOUT_S,
    )


def complete(site):
    fields = {"model": "quote-0007@1", "prompt": "jaw", "max_tokens": 4}
    return call(site, "POST", "/v1/completions", fields)


def wait_for_explanation(site, request_id):
    """Return the explanation as a dict, once it has no unknowns."""

    def read():
        explanation = json.loads(site.why(request_id, "--json"))
        return explanation if not explanation["unknowns"] else None

    return wait_until(read)


def test_unfilled_questionnaire_template_fails_the_check(tmp_path, site):
    path = tmp_path / "questionnaire.ini"
    path.write_text(site.ctl("questionnaire", "new"))
    assert "[team]" in path.read_text()
    assert "[team] name" in site.ctl("questionnaire", "check", str(path), code=2)


@pytest.mark.parametrize("path", [KNUSEPOOL, CASCADIA])
def test_examples_are_valid_and_generate_deterministic_output(path, site):
    assert "valid" in site.ctl("questionnaire", "check", path)
    assert site.ctl("generate", path) == site.ctl("generate", path)


def test_diff_names_what_changed(tmp_path, site):
    old, new = tmp_path / "old.ini", tmp_path / "new.ini"
    old.write_text(site.ctl("generate", KNUSEPOOL))
    new.write_text(old.read_text().replace("stall_weight = 0.8", "stall_weight = 0.7"))
    assert site.ctl("diff", str(old), str(old)) == "no difference\n"
    assert "0.7" in site.ctl("diff", str(old), str(new))


def test_accept_on_outdated_base_names_the_generation_in_force(tmp_path, site):
    path = tmp_path / "configuration.ini"
    path.write_text(site.ctl("generate", KNUSEPOOL))
    settings = str(site.settings_path("ctl"))
    arguments = ("accept", str(path), "--base", "0", "--settings", settings)
    assert "generation 1 is in force" in site.ctl(*arguments, code=3)


def test_status_shows_generations_hosts_resident_adapters_and_leases(site):
    assert complete(site).status == 200
    settings = str(site.settings_path("ctl"))
    urls = ("--process", site.entries[0].url)
    urls += ("--process", site.backends[0].agent.url)
    text = site.ctl("status", "--settings", settings, *urls)
    assert "Generation in force: 1" in text
    assert "assist-llm-0" in text
    assert "fence 1" in text
    assert "quote-0007@1" in text
    state = json.loads(site.ctl("status", "--settings", settings, *urls, "--json"))
    assert state["generation"] == 1
    assert len(state["hosts"]) == 2


def test_status_of_unreachable_process_exits_with_4(site):
    settings = str(site.settings_path("ctl"))
    url = "http://127.0.0.1:1"
    text = site.ctl("status", "--settings", settings, "--process", url, code=4)
    assert f"{url}  not known" in text


@pytest.mark.promise(9)
def test_why_explains_a_completion(site):
    answer = complete(site)
    request_id = answer.headers["X-Request-Id"]
    explanation = wait_for_explanation(site, request_id)
    assert (explanation["fate"], explanation["ran"]) == ("completed", "yes")
    (attempt,) = explanation["attempts"]
    assert (attempt["adapter"], attempt["version"]) == ("quote-0007", "1")
    text = site.why(request_id)
    assert "ran at agent assist-llm-0 as quote-0007@1" in text
    assert "Nothing is known to be missing" in text


@pytest.mark.promise(9)
def test_why_reads_the_ledger_and_distinguishes_a_repeat_from_a_run(site):
    headers = {"Idempotency-Key": "booking-7"}
    path = "/services/hire-core/bookings"
    first = call(site, "POST", path, {"crusher": 7}, headers)
    again = call(site, "POST", path, {"crusher": 7}, headers)
    explanation = wait_for_explanation(site, first.headers["X-Request-Id"])
    assert (explanation["fate"], explanation["ran"]) == ("completed", "yes")
    assert explanation["ledger_row"]["state"] == "completed"
    explanation = wait_for_explanation(site, again.headers["X-Request-Id"])
    assert (explanation["fate"], explanation["ran"]) == ("completed", "no")


def test_why_reports_that_the_ledger_could_not_be_read(site):
    path, headers = "/services/hire-core/bookings", {"Idempotency-Key": "booking-8"}
    response = call(site, "POST", path, {"crusher": 8}, headers)
    request_id = response.headers["X-Request-Id"]
    wait_for_explanation(site, request_id)
    site.table.set_faults(down=True)
    text = site.why(request_id)
    site.table.set_faults()
    assert "The ledger row could not be read" in text
    assert "A backend server ran it." in text


def test_why_of_unknown_request_exits_with_6(site):
    assert "Nothing is recorded of it." in site.why("0123456789ab-1", code=6)


def test_sweep_deletes_rows_that_expired_long_ago(site):
    path = site.settings_path("ctl")
    platform = settings_module.load(path).platform
    table = HttpTableService(platform.table_url, platform.call_within_ms)
    ledger = TableLedger(table, ManualClock())
    assert isinstance(
        ledger.begin(build_booking(idempotency_key="old"), "agent"), MayDispatch
    )
    assert "deleted 1 " in site.ctl("sweep", "--settings", str(path))
    assert "deleted 0 " in site.ctl("sweep", "--settings", str(path))


def test_settings_without_platform_section_are_invalid(tmp_path, site):
    path = tmp_path / "empty.ini"
    path.write_text("")
    text = site.ctl("why", "a-1", "--settings", str(path), code=2)
    assert "[platform] table_url: must be set" in text
