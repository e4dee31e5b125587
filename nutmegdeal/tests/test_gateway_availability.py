"""Tests of what keeps requests away from a backend server, without a network."""

import pytest

from nutmegdeal.engine_messages import EngineLoad, EngineState
from nutmegdeal.gateway.availability import (
    REMOVAL_DELAY_MS,
    SILENT_INTERVALS,
    LeavingSource,
    LimitSource,
)
from nutmegdeal.gateway.members import DEPARTED_KEPT_MS, EXPIRY_GRACE_MS, Membership
from nutmegdeal.messages import decode_batch, encode_message, join_batch
from nutmegdeal.platform import headers as platform_headers
from nutmegdeal.site_configuration import BackendState
from nutmegdeal.tests import platform_builders as build

INTERVAL_MS = 1_000.0


def usable_ids(membership, now_ms):
    members = membership.usable(build.ENGINE_SERVICE, now_ms)
    return {member.backend_id for member in members}


class TestLeaving:
    """A server that leaves gets nothing until its next incarnation."""

    def setup_method(self):
        self.membership = Membership()
        backend = build.build_backend(started_unix_ms=1)
        self.member = self.membership.put(backend, 0.0)

    def test_registration_that_is_ready_does_not_undo_it(self):
        self.membership.record_leaving(self.member, LeavingSource.ANSWER)
        self.membership.put(build.build_backend(started_unix_ms=1), 1.0)
        assert not usable_ids(self.membership, 2.0)

    def test_late_registration_that_is_ready_does_not_undo_a_draining_one(self):
        draining = BackendState.DRAINING
        changed = build.build_backend(started_unix_ms=1, state=draining)
        self.membership.put(changed, 1.0)
        self.membership.put(build.build_backend(started_unix_ms=1), 2.0)
        assert not usable_ids(self.membership, 3.0)

    def test_removal_and_return_of_the_registration_do_not_undo_it(self):
        self.membership.record_leaving(self.member, LeavingSource.ANSWER)
        self.membership.remove("i-1", 1_000.0)
        self.membership.put(build.build_backend(started_unix_ms=1), 2_000.0)
        assert not usable_ids(self.membership, 3_000.0)

    def test_next_incarnation_is_used(self):
        self.membership.record_leaving(self.member, LeavingSource.ANSWER)
        self.membership.put(build.build_backend(started_unix_ms=2), 1.0)
        assert usable_ids(self.membership, 2.0) == {"i-1"}

    def test_it_is_reported_once(self):
        sources = []
        membership = Membership(on_leaving=lambda _, source: sources.append(source))
        member = membership.put(build.build_backend(), 0.0)
        membership.record_leaving(member, LeavingSource.PLACER)
        membership.record_leaving(member, LeavingSource.ANSWER)
        assert sources == [LeavingSource.PLACER]

    def test_departed_servers_are_forgotten(self):
        self.membership.remove("i-1", 1_000.0)
        self.membership.expire(1_000.0 + DEPARTED_KEPT_MS)
        assert not self.membership._departed


class TestPause:
    """A server that refuses with a Retry-After gets nothing until then."""

    def setup_method(self):
        self.membership = Membership()
        self.members = [
            self.membership.put(build.build_backend(backend_id=name), 0.0)
            for name in ("i-1", "i-2")
        ]

    def test_server_is_used_again_after_its_pause(self):
        self.membership.record_pause(self.members[0], 500.0, 100.0)
        assert usable_ids(self.membership, 599.0) == {"i-2"}
        assert usable_ids(self.membership, 600.0) == {"i-1", "i-2"}

    def test_shorter_pause_does_not_end_a_longer_one(self):
        self.membership.record_pause(self.members[0], 500.0, 0.0)
        self.membership.record_pause(self.members[0], 100.0, 10.0)
        assert usable_ids(self.membership, 499.0) == {"i-2"}

    def test_first_end_is_known_when_all_are_paused(self):
        self.membership.record_pause(self.members[0], 900.0, 0.0)
        self.membership.record_pause(self.members[1], 400.0, 0.0)
        assert self.membership.pause_end_ms(build.ENGINE_SERVICE, 10.0) == 400.0

    def test_leaving_server_is_not_waited_for(self):
        self.membership.record_pause(self.members[0], 400.0, 0.0)
        self.membership.record_leaving(self.members[0], LeavingSource.ANSWER)
        assert self.membership.pause_end_ms(build.ENGINE_SERVICE, 10.0) is None

    def test_next_incarnation_is_not_paused(self):
        self.membership.record_pause(self.members[0], 900.0, 0.0)
        self.membership.put(build.build_backend(started_unix_ms=9), 10.0)
        assert "i-1" in usable_ids(self.membership, 20.0)


class TestCopyOfTheStore:
    """Registrations that the store has from before its return from a copy."""

    def setup_method(self):
        self.membership = Membership(registration_interval_ms=INTERVAL_MS)
        self.backend = build.build_backend(started_unix_ms=5)

    def restore(self, backends, now_ms):
        self.membership.record_store_regained(now_ms)
        self.membership.replace_all(backends, now_ms, is_from_copy=True)

    def test_missing_registration_has_the_grace_of_a_lapsed_one(self):
        self.membership.put(self.backend, 0.0)
        self.restore([], 10_000.0)
        assert usable_ids(self.membership, 10_100.0)
        assert not usable_ids(self.membership, 10_000.0 + EXPIRY_GRACE_MS)

    def test_server_that_is_gone_does_not_come_back(self):
        self.membership.put(self.backend, 0.0)
        self.membership.remove("i-1", 5_000.0)
        self.restore([self.backend], 10_000.0)
        assert not usable_ids(self.membership, 10_100.0)

    def test_server_that_writes_again_comes_back(self):
        self.membership.put(self.backend, 0.0)
        self.membership.remove("i-1", 5_000.0)
        self.restore([self.backend], 10_000.0)
        self.membership.put(self.backend, 11_000.0)
        assert usable_ids(self.membership, 11_100.0)

    def test_server_whose_registration_is_not_removed_comes_back(self):
        self.membership.put(self.backend, 0.0)
        self.membership.remove("i-1", 5_000.0)
        self.restore([self.backend], 10_000.0)
        silent_ms = SILENT_INTERVALS * INTERVAL_MS + REMOVAL_DELAY_MS
        assert not usable_ids(self.membership, 9_999.0 + silent_ms)
        assert usable_ids(self.membership, 10_000.0 + silent_ms)

    def test_earlier_incarnation_does_not_replace_the_known_one(self):
        member = self.membership.put(self.backend, 0.0)
        member.set_resident(["a1@1"])
        self.restore([build.build_backend(started_unix_ms=4)], 10_000.0)
        assert self.membership.members["i-1"] is member
        assert usable_ids(self.membership, 10_100.0)

    def test_draining_server_stays_so(self):
        draining = BackendState.DRAINING
        self.membership.put(build.build_backend(started_unix_ms=5, state=draining), 0.0)
        self.restore([self.backend], 10_000.0)
        assert not usable_ids(self.membership, 20_000.0)


@pytest.mark.parametrize(
    ("status_code", "value", "expected_ms"),
    [
        (503, b"2", 2_000.0),
        (503, b" 0.25", 250.0),
        (500, b"2", None),
        (429, b"2", None),
        (503, b"0", None),
        (503, b"-1", None),
        (503, b"nan", None),
        (503, b"inf", None),
        (503, b"Wed, 21 Oct 2026 07:28:00 GMT", None),
    ],
)
def test_retry_after_of_a_server_is_decoded(status_code, value, expected_ms):
    headers = [(b"retry-after", value)]
    assert platform_headers.decode_retry_after_ms(status_code, headers) == expected_ms


def test_answer_of_the_next_server_at_an_address_is_told_apart():
    headers = [(b"x-instance-id", b"i-2"), (b"server-leaving", b"1")]
    assert platform_headers.is_server_leaving(headers)
    assert not platform_headers.is_from_server(headers, "i-1")
    assert platform_headers.is_from_server(headers[1:], "i-1")


def test_state_of_an_earlier_placer_is_decoded():
    state = build.build_engine_state(load=EngineLoad(running_count=3))
    data = join_batch([encode_message(state)])
    # Fields are positional; the last one, False in msgpack, is missing here.
    assert data.endswith(b"\xc2")
    fields_head = data[:-1].replace(b"\x97", b"\x96", 1)
    (decoded,) = decode_batch(fields_head)
    assert isinstance(decoded, EngineState)
    assert decoded == state


class TestLimit:
    """What a server says of the requests that it takes."""

    def setup_method(self):
        self.limits, self.unusable = [], []
        self.membership = Membership(
            on_limited=lambda item, source: self.limits.append(
                item.availability.limit_per_s
            ),
            on_limit_unusable=self.unusable.append,
        )
        self.member = self.membership.put(build.build_backend(), 0.0)

    def record(self, limit_per_s):
        source = LimitSource.ANSWER
        self.membership.record_limit(self.member, limit_per_s, source, 0.0)

    def test_first_limit_changes_and_end_are_reported_once_each(self):
        for limit_per_s in (2.0, 2.0, 1.5, 1.5, None, None):
            self.record(limit_per_s)
        assert self.limits == [2.0, 1.5, None]

    def test_servers_with_a_limit_are_counted(self):
        assert self.membership.limited_count == 0
        self.record(2.0)
        assert self.membership.limited_count == 1

    def test_unusable_limit_is_reported_once_and_changes_nothing(self):
        self.record(2.0)
        self.membership.record_unusable_limit(self.member)
        self.membership.record_unusable_limit(self.member)
        assert self.unusable == [self.member]
        assert self.member.availability.limit_per_s == 2.0


@pytest.mark.parametrize(
    ("value", "expected_per_s"),
    [(b"1", 1.0), (b"1.9", 1.9), (b" 0.25 ", 0.25), (b"100000000", 1e8)],
)
def test_limit_of_a_server_is_decoded(value, expected_per_s):
    headers = [(b"server-limit", value)]
    assert platform_headers.decode_server_limit(headers) == expected_per_s


def test_answer_without_a_limit_names_none():
    assert platform_headers.decode_server_limit([]) is None


@pytest.mark.parametrize(
    "value",
    [b"", b"0", b"0.0", b"-1", b"inf", b"nan", b"1e3", b"one", b"1_0", b"9" * 4_000],
)
def test_limit_that_is_no_positive_number_is_an_error(value):
    with pytest.raises(ValueError, match="not a positive"):
        platform_headers.decode_server_limit([(b"server-limit", value)])
