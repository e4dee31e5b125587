"""Streams that are taken up while servers of a further software version join.

Gateways begin no streams at it for a while, so streams of the version that was there
before go on, also if nothing names them.
"""

import pytest

from nutmegdeal.gateway import stream_versions
from nutmegdeal.gateway.software_versions import JOIN_DELAY_MS
from nutmegdeal.tests.stream_version_load import (
    READ_EVERY_MS,
    SERVICES,
    StreamSite,
)


@pytest.fixture(autouse=True)
def read_rows_without_pauses(monkeypatch):
    monkeypatch.setattr(stream_versions, "READ_AGAIN_MS", 0.0)


def play_streams_before_a_release(site):
    """Begin streams, cut their gateway off, and let a further version join."""
    site.advance(40_000.0)
    for choice in range(4):
        site.begin(0, choice)
    site.gateways[0].store.is_cut = True
    site.add_server("v2")
    site.advance(READ_EVERY_MS)


def test_streams_go_on_while_none_can_have_begun_at_a_version_that_joined():
    """All were refused once a server of the version had registered.

    Their gateway had lost its power before it could write rows for them.
    """
    site = StreamSite(2)
    play_streams_before_a_release(site)
    for choice in range(4):
        site.take_up(1, choice)
    assert site.went_on_count == 4
    assert not site.mixed


def test_version_that_joined_before_a_suspension_may_have_begun_streams():
    """The monotonic clock stands still, so that it seems to have just joined."""
    site = StreamSite(2)
    play_streams_before_a_release(site)
    site.clock.suspend(JOIN_DELAY_MS)
    gateway = site.gateways[1]
    gateway.board.record_suspended()
    gateway.read_registrations(site.clock.monotonic_ms())
    site.take_up(1, 0)
    assert not site.went_on_count


def test_version_that_was_registered_before_may_have_begun_streams():
    """A gateway that starts later sees it join again, and knows of it from the mark."""
    site = StreamSite(3)
    site.add_server("v2")
    site.advance(40_000.0)
    site.remove_version("v2")
    site.advance(READ_EVERY_MS)
    site.gateways[1].restart()
    site.advance(READ_EVERY_MS)
    site.add_server("v2")
    site.advance(READ_EVERY_MS)
    now_ms = site.clock.monotonic_ms()
    versions = site.gateways[1].board.software_versions
    assert versions.sole_version(SERVICES[0], now_ms) is None


def test_join_counts_from_the_last_read_without_the_version():
    """Others had seen it earlier and begun streams, which went on at the old version.

    It joins while an answer without it is on its way to one gateway, which does not get
    the mark.
    """
    site = StreamSite(2)
    site.advance(40_000.0)
    late = site.gateways[1]
    late.store.is_write_lost = True
    late.hold_answer()
    site.add_server("v2")
    site.advance(1_500.0)
    late.get_held_answer()
    late.read_registrations(site.clock.monotonic_ms())
    late.hold_answer()
    site.advance(JOIN_DELAY_MS - 500.0)
    for choice in range(4):
        site.begin(0, choice)
    assert {item.version for item in site.streams} == {"v1", "v2"}
    for choice in range(4):
        site.take_up(1, choice)
    assert not site.mixed


def test_streams_of_a_service_whose_first_version_has_just_joined_go_on():
    site = StreamSite(2)
    site.advance(40_000.0)
    site.add_server("v1", SERVICES[1])
    site.advance(READ_EVERY_MS)
    site.begin(0, 0, SERVICES[1])
    site.take_up(1, 0)
    assert site.went_on_count == 1
