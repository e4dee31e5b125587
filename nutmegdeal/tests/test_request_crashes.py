"""Tests over loopback: a request that crashes each server that runs it."""

import time

import gevent
import pytest

from nutmegdeal.tests.platform_site import PlatformSite

SERVER_COUNT = 6
GATEWAY_COUNT = 3
CRASH_DOWN_MS = 1_000.0
# The platform allows so many arrivals from this long after the third crash on.
CONTACT_MS = 3_000.0
KNOWN_CRASHES = 3
LATE_ARRIVALS_MAX = 3
PLAYED_S = 9.0
PAUSE_S = 0.2


@pytest.fixture
def site(monkeypatch, bridge):
    running = PlatformSite(monkeypatch, bridge, SERVER_COUNT)
    for _ in range(GATEWAY_COUNT - 1):
        running.start_gateway()
    running.return_after_crashes()
    yield running
    running.close()


def play(site, backends, crashing_path, sound_path):
    """Send crashing and sound requests in turn; return the sound ones' statuses."""
    for backend in backends:
        backend.crashing_targets.add(crashing_path.encode())
        backend.crash_down_ms = CRASH_DOWN_MS
    end_s = time.monotonic() + PLAYED_S
    greenlets, statuses = [], []

    def send_sound(number, gateway):
        started_ms = time.monotonic() * 1000
        name = f"s-{number}"
        path = f"{sound_path}/{number}"
        status = site.call(path, name, adapter="", gateway=gateway)[0]
        statuses.append((started_ms, status))

    number = 0
    while time.monotonic() < end_s:
        gateway = site.gateways[number % GATEWAY_COUNT]
        arguments = (crashing_path, f"c-{number}", "", gateway)
        greenlets.append(gevent.spawn(site.call, *arguments))
        greenlets.append(gevent.spawn(send_sound, number, gateway))
        gevent.sleep(PAUSE_S)
        number += 1
    gevent.joinall(greenlets, raise_error=True)
    return statuses


def find_late_arrivals(backends):
    """Return the arrivals after the third crash and the time to learn of it."""
    crashes_ms = sorted(item.at_ms for b in backends for item in b.request_crashes)
    assert len(crashes_ms) >= KNOWN_CRASHES - 1
    if len(crashes_ms) < KNOWN_CRASHES:
        return []
    known_ms = crashes_ms[KNOWN_CRASHES - 1] + CONTACT_MS
    arrivals = [item for b in backends for item in b.request_arrivals]
    return [item for item in arrivals if item.at_ms > known_ms]


@pytest.mark.parametrize("kind", ["look", "book"])
def test_request_that_crashes_plain_servers_is_kept_away_from_them(site, kind):
    statuses = play(site, site.servers, f"/{kind}/bad", f"/{kind}/sound")
    assert len(find_late_arrivals(site.servers)) <= LATE_ARRIVALS_MAX
    half_ms = time.monotonic() * 1000 - PLAYED_S * 500
    later = [status for started_ms, status in statuses if started_ms >= half_ms]
    # A probe may end one server, with the sound requests on it.
    assert later.count(200) >= 0.9 * len(later)


def test_request_that_crashes_engines_by_its_own_part_is_kept_away_from_them(site):
    play(site, site.engines, "/chat/bad", "/look/sound")
    assert len(find_late_arrivals(site.engines)) <= LATE_ARRIVALS_MAX
