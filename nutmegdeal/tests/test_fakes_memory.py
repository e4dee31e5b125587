"""Tests of the in-memory platform services."""

import pytest

from nutmegdeal.errors import Failure
from nutmegdeal.fakes.memory import MemoryHosts, MemoryObjects, MemoryTable
from nutmegdeal.services.table import Conflict, Row, Write, Written


def test_transaction_applies_all_writes_or_none():
    table = MemoryTable()
    assert table.write([Write("a", b"1", 0)]) == Written((1,))
    outcome = table.write([Write("b", b"1", 0), Write("a", b"2", 7)])
    assert outcome == Conflict((Row("a", b"1", 1),))
    assert table.read("b") is None
    outcome = table.write([Write("b", b"1", 0), Write("a", None, 1)])
    assert outcome == Written((1, 0))
    assert table.read("a") is None


def test_scan_returns_pages_in_key_order():
    table = MemoryTable()
    for key in ("x/c", "x/a", "y/a", "x/b"):
        table.write([Write(key, b"", 0)])
    assert [row.key for row in table.scan("x/", limit=2)] == ["x/a", "x/b"]
    assert [row.key for row in table.scan("x/", after="x/b")] == ["x/c"]


@pytest.mark.parametrize(
    "switch, applied, maybe_applied",
    [
        ("down", False, False),
        ("lose_answers", True, True),
        ("drop_writes", False, True),
    ],
)
def test_write_faults(switch, applied, maybe_applied):
    table, objects = MemoryTable(), MemoryObjects()
    setattr(table, switch, 1)
    setattr(objects, switch, 1)
    failures = table.write([Write("a", b"1", 0)]), objects.put("a", b"1")
    for failure in failures:
        assert isinstance(failure, Failure)
        assert failure.maybe_applied is maybe_applied
    assert ("a" in table.rows) is applied
    assert ("a" in objects.objects) is applied
    table.down = objects.down = False
    assert not isinstance(table.write([Write("b", b"1", 0)]), Failure)
    assert objects.put("b", b"1") is None


def test_reads_fail_only_while_down():
    table, objects, hosts = MemoryTable(), MemoryObjects(), MemoryHosts()
    for store in (table, objects, hosts):
        store.down = True
    answers = table.read("a"), table.scan(""), objects.get("a")
    answers += objects.list_names(""), hosts.read()
    assert all(isinstance(answer, Failure) for answer in answers)
    for store in (table, objects, hosts):
        store.down = False
    assert table.read("a") is None
    assert objects.list_names("") == ()
    assert hosts.read() == ()
