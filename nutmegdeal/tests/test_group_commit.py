"""Tests of group commit."""

import gevent

from nutmegdeal.errors import Failure
from nutmegdeal.fakes.memory import MemoryTable
from nutmegdeal.services.grouping import GROUP_WRITES_MAX, GroupCommitTable
from nutmegdeal.services.table import Conflict, Write, Written


class SlowTable(MemoryTable):
    """Lets other greenlets run during each write."""

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


def test_writes_under_way_share_a_transaction():
    inner = SlowTable()
    results = write_all(GroupCommitTable(inner), map(insert, "abcde"))
    assert results == [Written((1,))] * 5
    assert len(inner.sizes) < 5
    assert sorted(inner.rows) == list("abcde")


def test_conflict_of_one_caller_does_not_touch_the_others():
    inner = SlowTable()
    inner.write([insert("c")])
    results = write_all(GroupCommitTable(inner), map(insert, "abcde"))
    assert results[2] == Conflict((inner.rows["c"],))
    assert [results[index] for index in (0, 1, 3, 4)] == [Written((1,))] * 4


def test_callers_of_one_row_are_told_apart():
    results = write_all(GroupCommitTable(SlowTable()), map(insert, "aaaa"))
    assert results[0] == Written((1,))
    assert all(isinstance(result, Conflict) for result in results[1:])


def test_lost_answer_leaves_every_caller_in_doubt():
    inner = SlowTable()
    inner.lose_answers = 100
    results = write_all(GroupCommitTable(inner), map(insert, "abc"))
    assert all(isinstance(result, Failure) for result in results)
    assert all(result.maybe_applied for result in results)


def test_groups_are_bounded():
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
