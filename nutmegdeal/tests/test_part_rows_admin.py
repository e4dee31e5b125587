"""Tests of the operator's commands for prompt parts, against a store on loopback."""

import json
import sys

import pytest
from gevent import subprocess

from nutmegdeal import part_rows_admin
from nutmegdeal.addresses import Address
from nutmegdeal.clock import SystemClock
from nutmegdeal.connection_pool import ConnectionPool
from nutmegdeal.errors import Failure
from nutmegdeal.exit_codes import ExitCode
from nutmegdeal.fakes.platform_store import PlatformStore, StoreFault
from nutmegdeal.gateway.crash_blame import Crash, SuspectRecord
from nutmegdeal.gateway.suspect_book import SuspectBook
from nutmegdeal.gateway.suspect_rows import (
    PARTS_TABLE,
    decode_record,
    encode_record,
)
from nutmegdeal.platform.store import StoreClient

COMMAND_TIMEOUT_S = 20
# Far after the time of any store's clock.
LATER_MS = 9e15
SHARED, BAD = "5c1e07a2", "91bd3f06"


@pytest.fixture
def rows():
    store = PlatformStore(("127.0.0.1", 0))
    yield store
    store.listener.stop_accepting()
    store.listener.close_idle()


def put(rows, record):
    rows.put(PARTS_TABLE, record.suspect_id, encode_record(record))


def run_ctl(rows, *arguments, code=ExitCode.DONE):
    """Run a command with the store's address; return its output and error output."""
    command = [sys.executable, "-m", "nutmegdeal.tools.ctl", *arguments]
    done = subprocess.run(
        [*command, "--store", f"127.0.0.1:{rows.port}"],
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )
    assert done.returncode == code, done.stderr
    return done.stdout, done.stderr


class ChangingStore(StoreClient):
    """Client before whose next writes something else happens to the store.

    Attributes
    ----------
    on_write : list of callable
        One for each of the next writes; the last one stays.
    """

    on_write = ()

    def write_rows(self, *arguments):
        """Write rows after the change that is due."""
        if self.on_write:
            self.on_write[0]()
            self.on_write = self.on_write[1:] or self.on_write
        return super().write_rows(*arguments)


@pytest.fixture
def client(rows):
    return ChangingStore(Address("127.0.0.1", rows.port), ConnectionPool(SystemClock()))


def test_list_shows_refused_parts_before_suspects(rows):
    put(rows, SuspectRecord(SHARED, ("e-1@1",)))
    put(rows, SuspectRecord(BAD, ("e-1@1", "e-2@7"), refused_until_ms=LATER_MS))
    lines = run_ctl(rows, "list-parts")[0].splitlines()
    assert lines[0].startswith(f"{BAD}: refused until 9000000000000000, for ")
    assert lines[0].endswith(" s more; ended: e-1@1, e-2@7")
    assert lines[1] == f"{SHARED}: suspected; ended: e-1@1"


def test_list_as_json_tells_the_time_left_on_the_store_clock(rows):
    put(rows, SuspectRecord(SHARED, ("e-1@1",)))
    put(rows, SuspectRecord(BAD, ("e-1@1", "e-2@7"), refused_until_ms=1.0))
    listed = json.loads(run_ctl(rows, "list-parts", "--json")[0])
    assert [row["part"] for row in listed] == [BAD, SHARED]
    assert [row["refused_for_s"] for row in listed] == [0.0, None]
    assert listed[0]["record"]["crashes"] == ["e-1@1", "e-2@7"]


def test_list_of_an_empty_table_says_so(rows):
    assert "no prompt part" in run_ctl(rows, "list-parts")[0]


def test_row_that_cannot_be_read_is_listed_and_removed(rows):
    rows.put(PARTS_TABLE, BAD, b"[]")
    assert "cannot be read" in run_ctl(rows, "list-parts")[0]
    run_ctl(rows, "lift-part", BAD)
    assert rows.find_keys(PARTS_TABLE) == []


def test_lift_removes_one_row_and_tells_which(rows):
    put(rows, SuspectRecord(SHARED, ("e-1@1",)))
    put(rows, SuspectRecord(BAD, ("e-1@1", "e-2@7"), refused_until_ms=LATER_MS))
    output, _ = run_ctl(rows, "lift-part", BAD)
    assert output.startswith(f"removed {BAD}: refused until ")
    assert rows.find_keys(PARTS_TABLE) == [SHARED]


def test_lift_of_an_unknown_part_exits_with_6(rows):
    _, error = run_ctl(rows, "lift-part", BAD, code=ExitCode.NOT_FOUND)
    assert f"{BAD}: neither suspected nor refused" in error


@pytest.mark.parametrize("arguments", [("list-parts",), ("lift-part", BAD)])
@pytest.mark.parametrize(
    "fault", [StoreFault.BUSY, StoreFault.SILENT, StoreFault.RESET]
)
def test_store_that_fails_exits_with_4_and_changes_nothing(rows, arguments, fault):
    put(rows, SuspectRecord(BAD, ("e-1@1",)))
    rows.fault = fault
    _, error = run_ctl(rows, *arguments, code=ExitCode.UNAVAILABLE)
    assert str(rows.port) in error
    assert rows.find_keys(PARTS_TABLE) == [BAD]


def test_address_without_a_port_is_invalid(rows):
    command = [sys.executable, "-m", "nutmegdeal.tools.ctl", "list-parts"]
    done = subprocess.run(
        [*command, "--store", "nowhere"],
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )
    assert done.returncode == ExitCode.INVALID_INPUT
    assert "--store nowhere" in done.stderr


def test_row_that_changes_once_is_removed_as_it_is_then(rows, client):
    put(rows, SuspectRecord(BAD, ("e-1@1",)))
    newer = SuspectRecord(BAD, ("e-1@1", "e-2@7"))
    client.on_write = [lambda: put(rows, newer), lambda: None]
    assert part_rows_admin.remove_part(client, BAD).record == newer
    assert rows.find_keys(PARTS_TABLE) == []


def test_row_that_changes_each_time_stays(rows, client):
    record = SuspectRecord(BAD, ("e-1@1",))
    put(rows, record)
    client.on_write = [lambda: put(rows, record)]
    outcome = part_rows_admin.remove_part(client, BAD)
    assert outcome == part_rows_admin.PartChanged(part_rows_admin.REMOVALS_MAX)
    assert rows.find_keys(PARTS_TABLE) == [BAD]


def test_row_that_another_removes_meanwhile_is_not_found(rows, client):
    put(rows, SuspectRecord(BAD, ("e-1@1",)))
    client.on_write = [lambda: rows.remove(PARTS_TABLE, BAD)]
    outcome = part_rows_admin.remove_part(client, BAD)
    assert outcome == part_rows_admin.PartNotFound()


def test_removal_without_an_answer_is_in_doubt(rows, client):
    """Such a removal may have been performed, so it must not look like a refusal."""
    put(rows, SuspectRecord(BAD, ("e-1@1",)))
    client.on_write = [lambda: setattr(rows, "fault", StoreFault.RESET)]
    outcome = part_rows_admin.remove_part(client, BAD)
    assert isinstance(outcome, part_rows_admin.RemovalInDoubt)
    assert isinstance(outcome.failure, Failure)


def test_row_of_another_version_in_a_later_era_is_read_again(rows, client):
    """The store returns from a copy that holds an older row between read and write."""
    older = SuspectRecord(BAD, ("e-1@1",))
    put(rows, older)
    copy = rows.take_copy()
    put(rows, SuspectRecord(BAD, ("e-1@1", "e-2@7")))
    client.on_write = [lambda: rows.restore(copy), lambda: None]
    assert part_rows_admin.remove_part(client, BAD).record == older
    assert rows.find_keys(PARTS_TABLE) == []


def read_book(book, client):
    """Apply the store's rows to a SuspectBook, as a gateway that watches them does."""
    listed = {row.key: row for row in client.read_table(PARTS_TABLE).rows}
    for part in set(book.stored_parts()) - listed.keys():
        book.apply(part, None, 0, 0.0)
    for part, row in listed.items():
        book.apply(part, decode_record(part, row.value), row.version, 0.0)


def test_gateway_that_applies_the_removed_row_sends_the_part_again(rows, client):
    put(rows, SuspectRecord(BAD, ("e-1@1", "e-2@7"), refused_until_ms=LATER_MS))
    book = SuspectBook()
    read_book(book, client)
    assert book.find_refused((SHARED, BAD), 0.0).suspect_id == BAD
    part_rows_admin.remove_part(client, BAD)
    read_book(book, client)
    assert book.find_refused((SHARED, BAD), 0.0) is None


def test_crashes_of_a_lifted_part_do_not_refuse_it_again(rows, client):
    """A gateway that saw the crashes itself would bring the refusal back at once."""
    book = SuspectBook()
    crashes = [Crash(name, ((BAD,),)) for name in ("e-1@1", "e-2@7")]
    for crash in crashes:
        book.record_own_crash(crash, 0.0)
        for record in book.plan_crash(crash, 0.0):
            put(rows, record)
        read_book(book, client)
    assert book.find_refused((BAD,), 0.0).suspect_id == BAD
    part_rows_admin.remove_part(client, BAD)
    read_book(book, client)
    for crash in crashes:
        book.record_own_crash(crash, 0.0)
        assert book.plan_crash(crash, 0.0) == ()
    assert book.find_refused((BAD,), 0.0) is None
    assert book.unstored_crashes() == ()


def test_new_crashes_refuse_a_lifted_part_again(rows, client):
    """A part that was lifted although it does crash engines must not stay exempt."""
    put(rows, SuspectRecord(BAD, ("e-1@1", "e-2@7"), refused_until_ms=LATER_MS))
    book = SuspectBook()
    read_book(book, client)
    part_rows_admin.remove_part(client, BAD)
    read_book(book, client)
    for name in ("e-3@1", "e-4@1"):
        assert book.find_refused((BAD,), 0.0) is None
        book.record_own_crash(Crash(name, ((BAD,),)), 0.0)
    assert book.find_refused((BAD,), 0.0).crashes == ("e-3@1", "e-4@1")
