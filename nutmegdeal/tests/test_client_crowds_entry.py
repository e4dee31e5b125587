"""Crowds of clients that do not behave, at entries and at agents.

As in `test_client_crowds`, with the processes of our own interface.
"""

import json
import pathlib

import pytest

from nutmegdeal.tests import crowd_sites, crowds
from nutmegdeal.tests.process_site import Site
from nutmegdeal.tests.test_client_crowds import (
    CLIENT_COUNT,
    IDLE_COUNT,
    play,
)

pytestmark = [pytest.mark.processes, pytest.mark.apart]

QUESTIONNAIRE = (
    pathlib.Path(__file__).parents[2] / "examples/knusepool/questionnaire.ini"
)
HOST = "127.0.0.1"
COMPLETION = {"model": "quote-0001@2", "prompt": "jaw", "max_tokens": 4}
ENTRY_CROWDS = {
    "whole": (crowds.build_whole_body, CLIENT_COUNT),
    "nearly whole": (crowds.build_nearly_whole_body, CLIENT_COUNT),
    "nearly whole in chunks": (crowds.build_nearly_whole_chunked_body, CLIENT_COUNT),
    "idle": (crowds.build_nothing, IDLE_COUNT),
    "nearly whole heads": (crowds.build_nearly_whole_head, IDLE_COUNT),
}
STATUS_CROWDS = {
    "nearly whole": (crowds.build_nearly_whole_body, CLIENT_COUNT),
    "long heads": (crowds.build_long_head_lines, CLIENT_COUNT),
    "idle": (crowds.build_nothing, IDLE_COUNT),
}
STREAM_CROWDS = {
    "long message": (crowds.build_long_message, CLIENT_COUNT),
    "idle": (crowds.build_nothing, IDLE_COUNT),
}


@pytest.fixture
def own_site(tmp_path):
    settings = {"entry": {"body_bytes_max": crowds.BODY_BYTES}}
    with Site(tmp_path, settings) as site:
        site.start_platform(loads_per_s=50)
        site.accept_questionnaire(QUESTIONNAIRE)
        with crowd_sites.lowered_descriptor_limit():
            site.start_engine("assist-llm", "--token-ms", "10")
            site.start_plain("hire-core")
            site.start_entry()
        site.wait_until_ready()
        yield site


def build_completion():
    """Return an ordinary request."""
    body = json.dumps(COMPLETION).encode()
    fields = ["Content-Type: application/json"]
    return crowd_sites.build_post("/v1/completions", "o", fields, body)


def play_own(site, program, port, crowd, target):
    """Play a crowd at a port of a program of the own interface."""
    build, count = crowd
    entry_address = (HOST, site.entries[0].port)
    ordinary = [(entry_address, build_completion())]
    if port != site.backends[0].agent.port:
        ordinary.append(((HOST, port), crowd_sites.build_get("/readyz")))
    pieces = build(target, HOST)
    memory_mb = crowd_sites.OWN_MEMORY_MB
    play(program, (HOST, port), pieces, count, ordinary, memory_mb)


@pytest.mark.parametrize("kind", ENTRY_CROWDS)
def test_crowd_at_an_entry_harms_no_request(own_site, kind):
    entry = own_site.entries[0]
    play_own(own_site, entry, entry.port, ENTRY_CROWDS[kind], "/v1/completions")


@pytest.mark.parametrize("kind", STATUS_CROWDS)
def test_crowd_at_the_status_pages_of_an_agent_harms_no_request(own_site, kind):
    agent = own_site.backends[0].agent
    port = agent.listening["status_port"]
    play_own(own_site, agent, port, STATUS_CROWDS[kind], "/status")


@pytest.mark.parametrize("kind", STREAM_CROWDS)
def test_crowd_at_the_streams_of_an_agent_harms_no_request(own_site, kind):
    agent = own_site.backends[0].agent
    play_own(own_site, agent, agent.port, STREAM_CROWDS[kind], "/")
