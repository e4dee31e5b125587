"""Crowds of clients that do not behave, at the listeners of gateways and placers.

Each test guards against a process that ends, hangs, or takes more than its memory or
its descriptors, while clients send what the limits of the configuration allow.
"""

import os

import pytest

from nutmegdeal.soak.site import HOST
from nutmegdeal.tests import crowd_sites, crowds
from nutmegdeal.tests.process_limits import ProcessWatch

pytestmark = [pytest.mark.processes, pytest.mark.apart]

CLIENT_COUNT = 120
# Beyond the descriptors of a process.
IDLE_COUNT = 800
# Each of them costs the process much time.
SMALL_CHUNKS_COUNT = 8
TARGET = "/look/crowd"
BODIES = {
    "whole": crowds.build_whole_body,
    "nearly whole": crowds.build_nearly_whole_body,
    "nearly whole in chunks": crowds.build_nearly_whole_chunked_body,
}
CONNECTIONS = {
    "idle": crowds.build_nothing,
    "nearly whole heads": crowds.build_nearly_whole_head,
}
AUXILIARY_LISTENERS = ("readiness", "metrics", "placer metrics")


@pytest.fixture
def start_site(tmp_path):
    sites = []

    def start(**options):
        prefix = f"127.{1 + os.getpid() % 250}"
        site = crowd_sites.CrowdSite(tmp_path, prefix, **options)
        sites.append(site)
        return site

    yield start
    for site in sites:
        site.close()


def play(program, address, pieces, count, ordinary, memory_mb=crowd_sites.MEMORY_MB):
    """Play a crowd and ordinary requests beside and after it; return the ProcessWatch.

    Parameters
    ----------
    program : Program
        Whose process the crowd meets.
    address : tuple of str and int
        Where the crowd connects.
    pieces : list of bytes
    count : int
    ordinary : list of tuple
        Address and request of what has to be answered.
    memory_mb : float
        Memory of the process.
    """
    process = program.process
    watch = ProcessWatch(process.pid)
    crowd = crowds.Crowd(address, pieces, count)
    try:
        crowd.wait_until_arrived()
        for request_address, request in ordinary:
            crowd_sites.wait_until_answered(request_address, request)
        crowd.leave()
        for request_address, request in ordinary:
            crowd_sites.wait_until_answered(request_address, request)
        assert program.process is process
        assert process.poll() is None
        assert watch.memory_peak_mb <= memory_mb
        assert watch.descriptor_count_max < crowd_sites.DESCRIPTORS_MAX
    finally:
        crowd.leave()
        watch.close()
    return watch


def play_callers(site, build, count, target=TARGET):
    """Play a crowd of callers of the gateway."""
    ordinary = [
        (site.callers_address, site.build_booking),
        (site.readiness_address, crowd_sites.build_get("/ready")),
    ]
    pieces = build(target, HOST)
    watch = play(site.gateway, site.callers_address, pieces, count, ordinary)
    assert watch.socket_count_max <= crowd_sites.SOCKETS_MAX


@pytest.mark.parametrize("bodies", BODIES)
def test_bodies_of_many_callers_stay_within_the_memory(start_site, bodies):
    play_callers(start_site(), BODIES[bodies], CLIENT_COUNT)


def test_bodies_in_small_chunks_do_not_stop_a_gateway(start_site):
    """A gateway parsed a whole body, for seconds, before it did anything else."""
    site = start_site()
    pieces = crowds.build_small_chunks(TARGET, HOST)
    crowd = crowds.Crowd(site.callers_address, pieces, SMALL_CHUNKS_COUNT)
    try:
        crowd.wait_until_begun()
        crowd_sites.wait_until_answered(site.callers_address, site.build_booking)
        # Each body takes hundreds of times as long as a small request.
        assert site.upload_count == 0
    finally:
        crowd.leave()
    crowd_sites.wait_until_answered(site.callers_address, site.build_booking)
    assert site.gateway.process.poll() is None


@pytest.mark.parametrize("connections", CONNECTIONS)
def test_connections_of_callers_leave_descriptors(start_site, connections):
    play_callers(start_site(), CONNECTIONS[connections], IDLE_COUNT)


def test_callers_that_read_nothing_stay_within_the_memory(start_site):
    build, target = crowds.build_pipelined_requests, crowd_sites.LARGE_ANSWER_TARGET
    play_callers(start_site(), build, CLIENT_COUNT, target)


@pytest.mark.parametrize("listener", AUXILIARY_LISTENERS)
@pytest.mark.parametrize("kind", ["nearly whole", "nearly whole in chunks", "idle"])
def test_crowd_at_another_listener_harms_no_request(start_site, listener, kind):
    site = start_site()
    program, address = {
        "readiness": (site.gateway, site.readiness_address),
        "metrics": (site.gateway, site.metrics_address),
        "placer metrics": (site.placer, site.placer_metrics_address),
    }[listener]
    build = {**BODIES, **CONNECTIONS}[kind]
    count = IDLE_COUNT if kind in CONNECTIONS else CLIENT_COUNT
    ordinary = [
        (address, crowd_sites.build_get("/metrics")),
        (site.callers_address, site.build_booking),
        (site.callers_address, site.build_chat),
    ]
    watch = play(program, address, build("/metrics", HOST), count, ordinary)
    assert watch.socket_count_max <= crowd_sites.SOCKETS_MAX


@pytest.mark.parametrize("kind", ["long message", "idle"])
def test_crowd_at_the_streams_of_a_placer_harms_no_request(start_site, kind):
    site = start_site()
    build = {"long message": crowds.build_long_message, "idle": crowds.build_nothing}
    count = {"long message": CLIENT_COUNT, "idle": IDLE_COUNT}[kind]
    address = site.placer_streams_address
    ordinary = [(site.callers_address, site.build_chat)]
    watch = play(site.placer, address, build[kind](TARGET, HOST), count, ordinary)
    assert watch.socket_count_max <= crowd_sites.SOCKETS_MAX


@pytest.mark.parametrize(
    "build",
    [crowds.build_whole_body, crowds.build_chunked_body, crowds.build_small_chunks],
)
def test_greatest_body_is_served_in_calm(start_site, build):
    """A limit against crowds must not refuse a single request within the limits."""
    site = start_site(memory_mb=crowd_sites.SMALLEST_HOST_MB)
    watch = ProcessWatch(site.gateway.process.pid)
    request = b"".join(build(TARGET, HOST))
    assert crowd_sites.is_answered(site.callers_address, request)
    assert site.upload_count == 1
    assert watch.memory_peak_mb <= crowd_sites.SMALLEST_HOST_MB
    watch.close()
