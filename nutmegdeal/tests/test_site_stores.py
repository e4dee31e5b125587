"""Outages of the platform and a killed entry, on a site of real processes."""

import pytest
import urllib3

from nutmegdeal.messages import Fate
from nutmegdeal.tests.loads import LoadRun, assert_truthful, hosts_of
from nutmegdeal.tests.processes import CALL_WITHIN_S, wait_until

pytestmark = pytest.mark.processes

PLAIN = "hire-core"
BOOKED_WITHIN_MS = 6_000


@pytest.fixture(autouse=True)
def mended(site):
    """Turn all faults of the stores off after each test."""
    yield
    site.table.set_faults()
    site.objects.set_faults()
    for host in hosts_of(site, PLAIN):
        host.stand_in.set_faults()


@pytest.mark.promise(4)
@pytest.mark.promise(5)
def test_with_the_table_down_bookings_are_refused_and_the_rest_goes_on(site):
    site.table.set_faults(down=True)
    bookings, rest = LoadRun(site), LoadRun(site)
    bookings.book(8)
    rest.look_up(8)
    rest.complete(8, token_count=8, adapter_count=1)
    refused = assert_truthful(site, bookings.finish())
    served = assert_truthful(site, rest.finish())
    assert set(refused) == {Fate.NOT_RUN}
    assert set(served) == {Fate.COMPLETED}


def test_a_refusal_says_when_to_come_back(site):
    site.table.set_faults(down=True)
    answer = urllib3.request(
        "POST",
        site.entries[0].url + "/services/hire-core/bookings",
        headers={"Idempotency-Key": "refused-at-once"},
        body=b"{}",
        retries=False,
        timeout=CALL_WITHIN_S,
    )
    assert answer.headers["X-Nutmegdeal-Fate"] == "not_run"
    assert int(answer.headers["Retry-After"]) >= 1


@pytest.mark.promise(5)
def test_bookings_run_once_though_the_table_loses_answers(site):
    site.table.set_faults(lose_answer=12)
    load = LoadRun(site)
    load.book(24)
    fates = assert_truthful(site, load.finish())
    assert set(fates) == {Fate.COMPLETED}


@pytest.mark.promise(5)
def test_one_key_at_two_entries_runs_once(site):
    load = LoadRun(site)
    for _ in range(8):
        load.book(2, prefix="same-at-both")
    fates = assert_truthful(site, load.finish())
    assert set(fates) == {Fate.COMPLETED}


@pytest.mark.promise(5)
def test_two_faults_at_once_repeat_no_booking(site):
    victim, other = hosts_of(site, PLAIN)
    for host in (victim, other):
        host.stand_in.set_faults(slow_ms=300)
    site.table.set_faults(lose_answer=8)
    load = LoadRun(site, answer_within_ms=BOOKED_WITHIN_MS)
    load.book(16)
    load.wait_until_running(4)
    victim.agent.kill()
    assert_truthful(site, load.finish())
    site.restart_agent(victim)
    site.wait_until_ready()


@pytest.mark.promise(5)
def test_a_repeat_after_its_entry_was_killed_runs_nothing_again(site):
    for host in hosts_of(site, PLAIN):
        host.stand_in.set_faults(slow_ms=300)
    site.start_entry()
    victim, survivors = site.entries.pop(), list(site.entries)
    wait_until(lambda: is_ready(victim))
    first = LoadRun(site, [victim])
    first.book(8, prefix="cut-off")
    first.wait_until_running(4)
    victim.kill()
    cut_off = first.finish()
    again = LoadRun(site, survivors)
    again.book(8, prefix="cut-off")
    repeated = again.finish()
    assert_truthful(site, repeated)
    assert {call.fate for call in cut_off} == {Fate.IN_DOUBT}
    assert {call.fate for call in repeated} == {Fate.COMPLETED}


def is_ready(program):
    url = program.url + "/readyz"
    return urllib3.request("GET", url, retries=False).status == 200


@pytest.mark.promise(8)
def test_an_accepted_configuration_reaches_every_process_and_never_goes_back(site):
    before = site.folder / "configuration-1.ini"
    changed = site.folder / "changed.ini"
    text = before.read_text()
    assert "stall_weight = 0.8" in text
    changed.write_text(text.replace("stall_weight = 0.8", "stall_weight = 0.7"))
    programs = [*site.entries, *(host.agent for host in site.backends)]
    seen = {program.name: [] for program in programs}

    def all_have_it():
        for program in programs:
            seen[program.name].append(read_generation(program))
        return all(generations[-1] == 2 for generations in seen.values())

    all_have_it()
    site.accept(changed, base=1)
    wait_until(all_have_it)
    site.table.set_faults(down=True)
    for _ in range(20):
        all_have_it()
    for generations in seen.values():
        assert generations == sorted(generations)
        assert set(generations) <= {1, 2}
    assert all_have_it()


def read_generation(program):
    url = program.url + "/status"
    return urllib3.request("GET", url, retries=False).json()["generation"]
