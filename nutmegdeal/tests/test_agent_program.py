"""Tests of the agent's program with a real channel and stand-ins."""

import contextlib
import json
import signal
import subprocess
import sys
import time

import attrs
import pytest
import urllib3

from nutmegdeal.acceptance import Accepted, accept
from nutmegdeal.fakes.answers import expected_answer, plain_answer, read_text
from nutmegdeal.identifiers import body_digest
from nutmegdeal.messages import AgentReport, AnswerEnd, AnswerFrame, AttemptEnded, Fate
from nutmegdeal.services.objects import HttpObjectStore
from nutmegdeal.services.table import HttpTableService
from nutmegdeal.tests.builders import build_booking, build_configuration, build_submit
from nutmegdeal.tests.stand_in_process import STOP_TIMEOUT_S, start_stand_in
from nutmegdeal.tests.stream_lines import decode_line, encode_line

pytestmark = pytest.mark.processes

WITHIN_MS = 20_000
SECRET = "secret"


@attrs.define
class Platform:
    """Running stand-ins for the platform's services."""

    table: object
    objects: object
    hosts: object

    def accept(self, configuration, base_generation=0):
        table = HttpTableService(self.table.url, WITHIN_MS)
        objects = HttpObjectStore(self.objects.url, WITHIN_MS)
        result = accept(configuration, base_generation, "accept-1", table, objects)
        assert isinstance(result, Accepted), result


class Stream:
    """A stream to an agent, open in a separate process."""

    def __init__(self, host, port):
        command = [sys.executable, "-m", "nutmegdeal.tests.stream_client"]
        self._process = subprocess.Popen(
            [*command, host, str(port), SECRET],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def send(self, message):
        self._process.stdin.write(encode_line(message))
        self._process.stdin.flush()

    def messages(self):
        """Yield messages until the stream ends."""
        while line := self._process.stdout.readline():
            yield decode_line(line)

    def close(self):
        self._process.stdin.close()
        assert self._process.wait(STOP_TIMEOUT_S) == 0
        self._process.stdout.close()


@attrs.define
class RunningAgent:
    """A running ``nutmegdeal-agent`` and a stream to it."""

    process: subprocess.Popen
    status_url: str
    session: Stream | None = None
    received: list = attrs.field(factory=list)

    def read_until(self, condition):
        """Read messages until one meets `condition`; return it."""
        for message in self.session.messages():
            self.received.append(message)
            if condition(message):
                return message
        raise AssertionError("the stream has ended")

    def run(self, submit):
        """Submit an attempt; return its body and its last message."""
        self.session.send(submit)
        ended = self.read_until(
            lambda m: (
                isinstance(m, AnswerEnd | AttemptEnded)
                and m.attempt_id == submit.attempt_id
            )
        )
        frames = [
            message.payload
            for message in self.received
            if isinstance(message, AnswerFrame)
            and message.attempt_id == submit.attempt_id
        ]
        return b"".join(frames), ended

    def status(self):
        return json.loads(urllib3.request("GET", self.status_url + "/status").data)


@contextlib.contextmanager
def running_stand_in(kind, *options):
    stand_in = start_stand_in(kind, *options)
    try:
        yield stand_in
    finally:
        assert stand_in.stop() == 0


@pytest.fixture(scope="module")
def platform():
    with (
        running_stand_in("table") as table,
        running_stand_in("objects") as objects,
        running_stand_in("hosts") as hosts,
    ):
        running = Platform(table, objects, hosts)
        running.accept(build_configuration())
        yield running


@contextlib.contextmanager
def running_agent(platform, folder, service, backend):
    settings = folder / "agent.ini"
    settings.write_text(
        "[process]\nname = agent-1\nzone = dk-west-1\n"
        f"[channel]\nshared_secret = {SECRET}\n"
        f"[platform]\ntable_url = {platform.table.url}\n"
        f"objects_url = {platform.objects.url}\nhosts_url = {platform.hosts.url}\n"
        f"[agent]\nservice = {service}\nbackend_url = {backend.url}\n"
    )
    command = [sys.executable, "-m", "nutmegdeal.tools.agent", "--settings", settings]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    listening = json.loads(process.stdout.readline())
    host = listening["host"]
    agent = RunningAgent(process, f"http://{host}:{listening['status_port']}")
    try:
        wait_ready(agent)
        agent.session = Stream(host, listening["port"])
        yield agent
        agent.session.close()
    finally:
        process.terminate()
        assert process.wait(STOP_TIMEOUT_S) == 0
        process.stdout.close()


def wait_ready(agent):
    for _ in range(1000):
        answer = urllib3.request("GET", agent.status_url + "/readyz", retries=False)
        if answer.status == 200:
            return
        time.sleep(0.02)
    raise AssertionError(agent.status())


def deadline_unix_ms():
    return time.time_ns() // 1_000_000 + WITHIN_MS


def build_completion(adapter="quote-0001", stream=True, **changes):
    body = {
        "model": f"{adapter}@2",
        "prompt": "jaw",
        "max_tokens": 5,
        "stream": stream,
    }
    return build_submit(
        adapter=adapter,
        body=json.dumps(body).encode(),
        deadline_unix_ms=deadline_unix_ms(),
        **changes,
    )


@pytest.fixture
def engine():
    with running_stand_in("engine", "--token-ms", "2") as engine:
        yield engine


def test_completions_run_on_their_adapters(platform, tmp_path, engine):
    with running_agent(platform, tmp_path, "assist-llm", engine) as agent:
        report = agent.read_until(lambda message: True)
        assert isinstance(report, AgentReport)
        for number in range(6):
            adapter = f"quote-{number:04}"
            submit = build_completion(adapter, attempt_id=f"r-{number}.1")
            body, ended = agent.run(submit)
            assert isinstance(ended, AnswerEnd), ended
            text = read_text(body, stream=True)
            assert text == expected_answer(f"{adapter}@2", "jaw", 5)
    assert len(engine.record()["runs"]) == 6
    assert engine.record()["evicted_in_use"] == 0


def test_bookings_run_once(platform, tmp_path):
    with running_stand_in("plain") as service:
        with running_agent(platform, tmp_path, "hire-core", service) as agent:
            deadline = deadline_unix_ms()
            booking = build_booking(
                deadline_unix_ms=deadline, expiry_unix_ms=deadline + WITHIN_MS
            )
            expected_body = plain_answer("POST", "/bookings", body_digest(booking.body))
            body, ended = agent.run(booking)
            assert body == expected_body
            repeat = attrs.evolve(booking, request_id="r-2", attempt_id="r-2.1")
            body, ended = agent.run(repeat)
            assert isinstance(ended, AnswerEnd), ended
            assert body == expected_body
        assert len(service.record()["runs"]) == 1


@pytest.mark.promise(7)
def test_sigterm_finishes_running_requests_and_refuses_new_ones(
    platform, tmp_path, engine
):
    engine.set_faults(slow_ms=100)
    with running_agent(platform, tmp_path, "assist-llm", engine) as agent:
        agent.session.send(build_completion(attempt_id="r-1.1"))
        agent.read_until(lambda m: isinstance(m, AnswerFrame))
        agent.process.send_signal(signal.SIGTERM)
        agent.read_until(lambda m: isinstance(m, AgentReport) and m.leaving)
        _, refused = agent.run(build_completion(attempt_id="r-2.1"))
        assert refused.fate is Fate.NOT_RUN
        ended = agent.read_until(lambda m: isinstance(m, AnswerEnd | AttemptEnded))
        assert isinstance(ended, AnswerEnd), ended
        assert ended.attempt_id == "r-1.1"
    runs = [run["attempt_id"] for run in engine.record()["runs"]]
    assert runs == ["r-1.1"]
