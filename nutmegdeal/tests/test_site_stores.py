"""Process-level tests of platform outages, repeated keys and a killed entry."""

import pytest
import urllib3

from nutmegdeal.messages import Fate
from nutmegdeal.tests.process_site import CALL_TIMEOUT_S, wait_until
from nutmegdeal.tests.request_load import RequestLoad, assert_calls_correct, hosts_of

pytestmark = pytest.mark.processes

PLAIN = "hire-core"
BOOKING_TIMEOUT_MS = 6_000


@pytest.fixture(autouse=True)
def reset_faults(site):
    """Reset all faults of the stores and plain services after each test."""
    yield
    site.table.set_faults()
    site.objects.set_faults()
    for host in hosts_of(site, PLAIN):
        host.stand_in.set_faults()


@pytest.mark.promise(4)
@pytest.mark.promise(5)
def test_while_the_table_is_down_only_bookings_are_refused(site):
    site.table.set_faults(down=True)
    bookings, others = RequestLoad(site), RequestLoad(site)
    bookings.start_bookings(8)
    others.start_lookups(8)
    others.start_completions(8, token_count=8, adapter_count=1)
    refused = assert_calls_correct(site, bookings.finish())
    served = assert_calls_correct(site, others.finish())
    assert set(refused) == {Fate.NOT_RUN}
    assert set(served) == {Fate.COMPLETED}


def test_a_refusal_has_a_retry_after_header(site):
    site.table.set_faults(down=True)
    answer = urllib3.request(
        "POST",
        site.entries[0].url + "/services/hire-core/bookings",
        headers={"Idempotency-Key": "refused-at-once"},
        body=b"{}",
        retries=False,
        timeout=CALL_TIMEOUT_S,
    )
    assert answer.headers["X-Nutmegdeal-Fate"] == "not_run"
    assert int(answer.headers["Retry-After"]) >= 1


@pytest.mark.promise(5)
def test_bookings_run_once_when_responses_of_the_table_are_lost(site):
    site.table.set_faults(lose_answer=12)
    load = RequestLoad(site)
    load.start_bookings(24)
    fates = assert_calls_correct(site, load.finish())
    assert set(fates) == {Fate.COMPLETED}


@pytest.mark.promise(5)
def test_one_idempotency_key_at_two_entries_runs_once(site):
    load = RequestLoad(site)
    for _ in range(8):
        load.start_bookings(2, prefix="same-at-both")
    fates = assert_calls_correct(site, load.finish())
    assert set(fates) == {Fate.COMPLETED}


@pytest.mark.promise(5)
def test_no_booking_runs_twice_under_two_simultaneous_faults(site):
    killed_host, other_host = hosts_of(site, PLAIN)
    for host in (killed_host, other_host):
        host.stand_in.set_faults(slow_ms=300)
    site.table.set_faults(lose_answer=8)
    load = RequestLoad(site, answer_within_ms=BOOKING_TIMEOUT_MS)
    load.start_bookings(16)
    load.wait_until_running(4)
    killed_host.agent.kill()
    assert_calls_correct(site, load.finish())
    site.restart_agent(killed_host)
    site.wait_until_ready()


@pytest.mark.promise(5)
def test_a_repeated_booking_runs_once_after_its_entry_was_killed(site):
    for host in hosts_of(site, PLAIN):
        host.stand_in.set_faults(slow_ms=300)
    site.start_entry()
    killed_entry, other_entries = site.entries.pop(), list(site.entries)
    wait_until(lambda: is_ready(killed_entry))
    first_load = RequestLoad(site, [killed_entry])
    first_load.start_bookings(8, prefix="cut-off")
    first_load.wait_until_running(4)
    killed_entry.kill()
    interrupted_calls = first_load.finish()
    repeat_load = RequestLoad(site, other_entries)
    repeat_load.start_bookings(8, prefix="cut-off")
    repeated_calls = repeat_load.finish()
    assert_calls_correct(site, repeated_calls)
    assert {call.fate for call in interrupted_calls} == {Fate.IN_DOUBT}
    assert {call.fate for call in repeated_calls} == {Fate.COMPLETED}


def is_ready(program):
    url = program.url + "/readyz"
    return urllib3.request("GET", url, retries=False).status == 200


@pytest.mark.promise(8)
def test_an_accepted_configuration_reaches_every_process_and_is_not_reverted(site):
    configuration_path = site.folder / "configuration-1.ini"
    changed_path = site.folder / "changed.ini"
    text = configuration_path.read_text()
    assert "stall_weight = 0.8" in text
    changed_path.write_text(text.replace("stall_weight = 0.8", "stall_weight = 0.7"))
    programs = [*site.entries, *(host.agent for host in site.backends)]
    generations_seen = {program.name: [] for program in programs}

    def have_all_changed():
        for program in programs:
            generations_seen[program.name].append(read_generation(program))
        return all(generations[-1] == 2 for generations in generations_seen.values())

    have_all_changed()
    site.accept(changed_path, base=1)
    wait_until(have_all_changed)
    site.table.set_faults(down=True)
    for _ in range(20):
        have_all_changed()
    for generations in generations_seen.values():
        assert generations == sorted(generations)
        assert set(generations) <= {1, 2}
    assert have_all_changed()


def read_generation(program):
    url = program.url + "/status"
    return urllib3.request("GET", url, retries=False).json()["generation"]
