"""Answers of the store that a gateway gets long after they were made.

A gateway that stood still, or whose link was cut, reads them then. What they say of the
servers is old, and does not tell which software version began a stream.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from nutmegdeal.clock import ManualClock, RemoteClockBound
from nutmegdeal.gateway.blackboard import Blackboard
from nutmegdeal.gateway.members import Membership
from nutmegdeal.gateway.software_versions import (
    FRESH_MS,
    JOIN_DELAY_MS,
    LONGEST_STREAM_MS,
)
from nutmegdeal.gateway.stream_rows import record_mark_row
from nutmegdeal.gateway.telemetry import GatewayTelemetry
from nutmegdeal.gateway.watching import BackendsWatcher
from nutmegdeal.platform.rows import (
    VERSIONS_MARK_KEY,
    StoredRow,
    encode_versions_mark,
)
from nutmegdeal.platform.store import RowsRead, StorePosition
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.scripted_store import ScriptedStore
from nutmegdeal.tests.stream_version_load import SERVICE, StreamSite, build_stream

READ_EVERY_MS = 1_000.0


class WatchedBackends:
    """A watcher of the registrations of one server of v1, and its store."""

    def __init__(self):
        self.clock = ManualClock()
        self.clock.advance(1_000.0)
        self.board = Blackboard(
            build.build_node_settings(), self.clock, Membership(), None
        )
        self.store = ScriptedStore(self.clock)
        self.watcher = BackendsWatcher(self.store, self.board, GatewayTelemetry())
        self._version = 0

    def poll(self, made_after_ms=5.0, taken_ms=10.0, suspended_ms=0.0, **changes):
        """Let the store answer a call with the registration of the server.

        Parameters
        ----------
        made_after_ms, taken_ms : float
            From the call to the time when the answer is made, and is read.
        suspended_ms : float
            For how long the host is suspended before it reads the answer.
        **changes
            Of the RowsRead.
        """
        self._version += 1
        row = StoredRow("i-1", build.encode_registration(version="v1"), self._version)
        store_ms = self.clock.boot_ms() + made_after_ms
        position = StorePosition(1, self._version)
        answer = RowsRead((row,), position, store_ms, **changes)
        self.store.answers.append((taken_ms, answer))
        self.store.suspended_ms = suspended_ms
        self.watcher._poll()

    def watch(self, duration_ms):
        """Read the registrations for a while."""
        for _ in range(round(duration_ms / READ_EVERY_MS)):
            self.clock.advance(READ_EVERY_MS)
            self.poll()

    def find_sole(self):
        return self.board.software_versions.sole_version(
            SERVICE, self.clock.monotonic_ms()
        )


@pytest.fixture
def watched():
    watched = WatchedBackends()
    watched.poll()
    watched.watch(LONGEST_STREAM_MS + 5_000.0)
    assert watched.find_sole() == "v1"
    return watched


@pytest.mark.parametrize(
    "delay", [{"taken_ms": 8_000.0}, {"suspended_ms": 8_000.0}], ids=["still", "asleep"]
)
def test_answer_from_before_a_standstill_does_not_tell_what_is_sole(watched, delay):
    """A stream of a version that had joined meanwhile went on at the old one.

    The answer had arrived before the gateway stood still, and was read after it.
    """
    watched.poll(**delay)
    assert watched.find_sole() is None
    watched.clock.advance(READ_EVERY_MS)
    watched.poll()
    assert watched.board.software_versions.lacks_mark(watched.clock.monotonic_ms())


def test_answer_held_up_by_a_cut_is_as_old_as_the_cut(watched):
    """It counted as fresh for the whole time from its arrival."""
    watched.poll(taken_ms=FRESH_MS - 500.0)
    assert watched.find_sole() == "v1"
    watched.clock.advance(600.0)
    assert watched.find_sole() is None


def test_call_that_waits_for_a_change_is_as_recent_as_its_answer(watched):
    watched.poll(made_after_ms=2_400.0, taken_ms=2_405.0)
    watched.clock.advance(FRESH_MS - 100.0)
    assert watched.find_sole() == "v1"


def test_table_of_several_pages_is_as_old_as_its_first_page():
    watched = WatchedBackends()
    watched.poll(taken_ms=4_000.0, made_after_ms=3_990.0, first_page_ms=1_005.0)
    assert watched.find_sole() is None


def test_late_answer_does_not_shift_the_clock_of_the_store(watched):
    """Times in rows of the store were off by the standstill until the next answer."""
    before_ms = watched.board.store_clock_offset_ms
    watched.poll(taken_ms=8_000.0)
    assert watched.board.store_clock_offset_ms == pytest.approx(before_ms, abs=20.0)


def test_version_does_not_seem_to_have_joined_earlier_beside_slow_answers():
    """Streams began there 2.1 s after it had joined, before all gateways know it.

    A gateway that starts while the store takes long took the time of the call for a
    difference of the clocks.
    """
    watched = WatchedBackends()
    watched.poll(made_after_ms=1_400.0, taken_ms=1_405.0)
    joined_ms = watched.clock.monotonic_ms()
    value = encode_versions_mark(joined_ms, {SERVICE: {"v2": joined_ms}}, 0.0)
    record_mark_row(watched.board, StoredRow(VERSIONS_MARK_KEY, value, 1))
    versions = watched.board.software_versions
    assert versions.join_wait_ms(SERVICE, "v2", joined_ms) >= JOIN_DELAY_MS


@given(
    st.integers(-10_000, 10_000),
    st.lists(st.tuples(*[st.integers(0, 5_000)] * 3), min_size=1, max_size=10),
)
def test_offset_of_a_remote_clock_is_within_its_bounds(offset_ms, calls):
    """Whatever the time between calls, and to and from the remote host."""
    bound, now_ms = RemoteClockBound(), 20_000.0
    for pause_ms, made_after_ms, way_back_ms in calls:
        sent_ms = now_ms + pause_ms
        made_ms = sent_ms + made_after_ms
        now_ms = made_ms + way_back_ms
        bound.tighten(sent_ms, made_ms + offset_ms, now_ms)
        assert bound.least_offset_at(now_ms) <= offset_ms
        assert bound.find_made_ms(sent_ms, made_ms + offset_ms, now_ms) <= made_ms


def test_remote_clock_that_is_set_back_has_new_bounds():
    bound = RemoteClockBound()
    bound.tighten(1_000.0, 6_000.0, 1_010.0)
    bound.tighten(2_000.0, 4_000.0, 2_010.0)
    assert 1_980.0 <= bound.least_offset_at(2_010.0) <= 2_000.0


class TestMark:
    """The mark of versions that a gateway reads before it takes a stream up."""

    @pytest.fixture
    def gateway(self):
        """Return a gateway that needs the mark, as it has not read for a while."""
        site = StreamSite(1)
        site.advance(40_000.0)
        gateway = site.gateways[0]
        site.clock.advance(FRESH_MS + 2_000.0)
        gateway.read_registrations(site.clock.monotonic_ms())
        return gateway

    def test_standstill_during_its_read_makes_what_is_known_old(self, gateway):
        """The time from before the read was compared."""
        store, clock = gateway.store, gateway.board.clock
        read = store.read_first_row

        def stand_still(*args):
            answer = read(*args)
            clock.advance(8_000.0)
            return answer

        store.read_first_row = stand_still
        request = build_stream(SERVICE, has_events=True, resumes_id="q-9")
        assert not gateway.streams.find_version(request)

    def test_registrations_read_during_its_late_read_need_another(self, gateway):
        """Versions may have come and gone between the mark and the registrations."""
        store, clock = gateway.store, gateway.board.clock
        read = store.read_first_row

        def read_registrations(*args):
            answer = read(*args)
            clock.advance(8_000.0)
            gateway.read_registrations(clock.monotonic_ms())
            return answer

        store.read_first_row = read_registrations
        gateway.streams._read_mark()
        versions, now_ms = gateway.board.software_versions, clock.monotonic_ms()
        assert versions.sole_version(SERVICE, now_ms) is None
