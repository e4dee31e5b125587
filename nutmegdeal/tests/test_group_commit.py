"""Tests of group commit."""

import gevent

from nutmegdeal.errors import Failure
from nutmegdeal.fakes.memory import MemoryTable
from nutmegdeal.services.grouping import GROUP_WRITES_MAX, GroupCommitTable
from nutmegdeal.services.table import Conflict, Write, Written


class SlowTable(MemoryTable):
    """Table that lets other greenlets run during each write."""

    def __init__(self):
        super().__init__()
        self.sizes = []

    def write(self, writes):
        self.sizes.append(len(writes))
        gevent.sleep(0)
        return super().write(writes)


def write_all(table, writes):
    greenlets = [gevent.spawn(table.write, [write]) for write in writes]
    gevent.joinall(greenlets)
    return [greenlet.value for greenlet in greenlets]


def insert(name):
    return Write(name, b"v", 0)


def test_concurrent_writes_share_a_transaction():
    inner = SlowTable()
    results = write_all(GroupCommitTable(inner), map(insert, "abcde"))
    assert results == [Written((1,))] * 5
    assert len(inner.sizes) < 5
    assert sorted(inner.rows) == list("abcde")


def test_conflict_of_one_caller_does_not_affect_the_others():
    inner = SlowTable()
    inner.write([insert("c")])
    results = write_all(GroupCommitTable(inner), map(insert, "abcde"))
    assert results[2] == Conflict((inner.rows["c"],))
    assert [results[index] for index in (0, 1, 3, 4)] == [Written((1,))] * 4


def test_concurrent_writes_of_one_row_get_their_own_results():
    results = write_all(GroupCommitTable(SlowTable()), map(insert, "aaaa"))
    assert results[0] == Written((1,))
    assert all(isinstance(result, Conflict) for result in results[1:])


def test_lost_answer_is_maybe_applied_for_every_caller():
    inner = SlowTable()
    inner.lose_answers = 100
    results = write_all(GroupCommitTable(inner), map(insert, "abc"))
    assert all(isinstance(result, Failure) for result in results)
    assert all(result.maybe_applied for result in results)


def test_group_size_is_limited():
    inner = SlowTable()
    names = [f"k{number}" for number in range(3 * GROUP_WRITES_MAX)]
    write_all(GroupCommitTable(inner), map(insert, names))
    assert max(inner.sizes) == GROUP_WRITES_MAX


def test_no_caller_is_left_waiting_after_an_exception():
    class BrokenTable(MemoryTable):
        def write(self, writes):
            raise RuntimeError("broken")

    table = GroupCommitTable(BrokenTable())
    for _ in range(2):
        (result,) = write_all(table, [insert("a")])
        assert result.maybe_applied
