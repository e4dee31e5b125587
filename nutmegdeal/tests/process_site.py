"""A complete site of real processes on loopback: stand-ins, agents and entries.

Used by process-level tests and by scripts such as ``scripts/demo.py``. Closing the
`Site` ends all processes that it started.
"""

import json
import pathlib
import signal
import subprocess
import sys
import time

import attrs
import urllib3

from nutmegdeal.tests.stand_in_process import start_stand_in

START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 20
CALL_TIMEOUT_S = 20
POLL_INTERVAL_S = 0.02
SHARED_SECRET = "shared-secret-of-this-site"
BACKEND_SECRET = "secret-of-the-backend-servers"
ZONES = ("dk-west-1", "dk-west-2", "dk-west-3")


def wait_until(condition, timeout_s=START_TIMEOUT_S):
    """Wait until `condition` returns a true value; return that value.

    Raises
    ------
    TimeoutError
        If that does not happen within `timeout_s`.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"the condition was not met within {timeout_s} s")
        time.sleep(POLL_INTERVAL_S)


@attrs.define
class Program:
    """Running process of a nutmegdeal program.

    Parameters
    ----------
    name : str
    process : subprocess.Popen
    listening : dict
        Addresses of its listeners, as printed at start.
    log_path : pathlib.Path
        Its log, as JSON lines.
    """

    name: str
    process: subprocess.Popen
    listening: dict
    log_path: pathlib.Path

    @property
    def port(self):
        """TCP port of the main listener."""
        return self.listening["port"]

    @property
    def url(self):
        """Base URL of an entry's listener, or of an agent's status pages."""
        port = self.listening.get("status_port", self.port)
        return f"http://127.0.0.1:{port}"

    @property
    def is_running(self):
        """True until the process has exited."""
        return self.process.poll() is None

    def send_signal(self, number):
        """Send a signal such as ``SIGSTOP`` or ``SIGCONT``."""
        self.process.send_signal(number)

    def kill(self):
        """Send SIGKILL and wait for the exit."""
        self.process.kill()
        self.process.wait(STOP_TIMEOUT_S)

    def stop(self):
        """Send SIGTERM and return the exit code."""
        self.process.terminate()
        return self.process.wait(STOP_TIMEOUT_S)

    def close(self):
        """End the process, also if it is paused by SIGSTOP."""
        if self.is_running:
            self.send_signal(signal.SIGCONT)
            self.process.terminate()
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
        self.process.stdout.close()


@attrs.define
class BackendHost:
    """Host of a backend server: its stand-in and its agent."""

    host_id: str
    service: str
    zone: str
    stand_in: object
    agent: Program


class Site:
    """Starts and ends the processes of a site on loopback.

    Parameters
    ----------
    folder : pathlib.Path
        Holds settings files and logs.
    settings : dict of str to dict
        Sections and keys for every settings file, which override the defaults in
        `write_settings`; may be changed between starts of programs.
    """

    def __init__(self, folder, settings=None):
        self.folder = pathlib.Path(folder)
        self.table = None
        self.objects = None
        self.hosts = None
        self.weights = None
        self.backends = []
        self.entries = []
        self.programs = []
        self.stand_ins = []
        self.settings = settings or {}

    def __enter__(self):
        return self

    def __exit__(self, *_exception):
        self.close()

    def close(self):
        """End all processes, programs before stand-ins."""
        for program in reversed(self.programs):
            program.close()
        for stand_in in reversed(self.stand_ins):
            stand_in.stop()
        self.programs, self.stand_ins = [], []

    def start_stand_in(self, kind, *options):
        """Start a stand-in; return its StandInProcess."""
        stand_in = start_stand_in(kind, *options)
        self.stand_ins.append(stand_in)
        return stand_in

    def start_platform(self, loads_per_s=4.0):
        """Start the table service, object store, host list and weight store."""
        self.table = self.start_stand_in("table")
        self.objects = self.start_stand_in("objects")
        self.hosts = self.start_stand_in("hosts")
        self.weights = self.start_stand_in("weights", "--loads-per-s", str(loads_per_s))
        self.write_settings("ctl", {})

    def write_settings(self, name, sections):
        """Write a settings file with the platform's URLs; return its path."""
        merged = {
            "channel": {"shared_secret": SHARED_SECRET},
            "platform": {
                "table_url": self.table.url,
                "objects_url": self.objects.url,
                "hosts_url": self.hosts.url,
                "hosts_poll_every_ms": 200,
                "head_poll_every_ms": 200,
            },
            "accounts": {"flush_every_ms": 200, "watermark_every_ms": 500},
        }
        for section_name, keys in (*self.settings.items(), *sections.items()):
            merged.setdefault(section_name, {}).update(keys)
        lines = []
        for section_name, keys in merged.items():
            lines.append(f"[{section_name}]")
            lines += [f"{key} = {value}" for key, value in keys.items()]
        path = self.settings_path(name)
        path.write_text("\n".join(lines) + "\n")
        return path

    def settings_path(self, name):
        """Return the path of the settings file of a program."""
        return self.folder / f"{name}.ini"

    def start_program(self, tool, name, sections):
        """Start ``nutmegdeal-TOOL`` and wait until it listens; return its Program."""
        path = self.write_settings(name, sections)
        log_path = self.folder / f"{name}.log"
        with log_path.open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", f"nutmegdeal.tools.{tool}"]
                + ["--settings", str(path)],
                stdout=subprocess.PIPE,
                stderr=log,
            )
        line = process.stdout.readline()
        program = Program(name, process, json.loads(line or b"{}"), log_path)
        self.programs.append(program)
        if not line:
            raise RuntimeError(f"{name} did not start: {log_path.read_text()}")
        return program

    def start_engine(self, service, *options, with_secret=True):
        """Start a model engine and its agent; return the BackendHost."""
        secret = ("--secret", BACKEND_SECRET) if with_secret else ()
        weights = ("--weights-url", self.weights.url)
        stand_in = self.start_stand_in("engine", *weights, *secret, *options)
        return self._start_host(service, stand_in)

    def start_plain(self, service, *options):
        """Start a plain service and its agent; return the BackendHost."""
        return self._start_host(service, self.start_stand_in("plain", *options))

    def _start_host(self, service, stand_in):
        number = sum(host.service == service for host in self.backends)
        host_id, zone = f"{service}-{number}", ZONES[number % len(ZONES)]
        agent = self.start_agent(host_id, service, zone, stand_in)
        host = BackendHost(host_id, service, zone, stand_in, agent)
        self.backends.append(host)
        self.publish_hosts()
        return host

    def start_agent(self, host_id, service, zone, stand_in):
        """Start the agent of a backend server; return its Program."""
        sections = {
            "process": {"name": host_id, "zone": zone},
            "agent": {
                "service": service,
                "backend_url": stand_in.url,
                "backend_secret": BACKEND_SECRET,
            },
        }
        return self.start_program("agent", host_id, sections)

    def restart_agent(self, host):
        """Start a new agent for a host whose agent has ended."""
        host.agent = self.start_agent(
            host.host_id, host.service, host.zone, host.stand_in
        )
        self.publish_hosts()

    def publish_hosts(self, leaving=()):
        """Put all hosts of backend servers into the host list.

        Parameters
        ----------
        leaving : sequence of str
            Ids of the hosts to list with the state "leaving".
        """
        hosts = [
            {
                "host_id": host.host_id,
                "service": host.service,
                "zone": host.zone,
                "agent_host": "127.0.0.1",
                "agent_port": host.agent.port,
                "state": "leaving" if host.host_id in leaving else "live",
            }
            for host in self.backends
        ]
        answer = self.hosts.call("PUT", "/hosts", {"hosts": hosts})
        assert answer.status == 200, answer.data

    def start_entry(self):
        """Start an entry and wait until it listens; return its Program."""
        number = len(self.entries)
        name = f"entry-{number}"
        zone = ZONES[number % len(ZONES)]
        entry = self.start_program(
            "entry", name, {"process": {"name": name, "zone": zone}}
        )
        self.entries.append(entry)
        return entry

    def wait_until_ready(self):
        """Wait until all entries and agents are ready for requests."""
        for program in (*(host.agent for host in self.backends), *self.entries):
            wait_until(lambda program=program: is_ready(program))

    def ctl(self, *arguments, code=0):
        """Run ``nutmegdeal-ctl`` and return its output (str).

        Parameters
        ----------
        *arguments : str
        code : int or None
            Expected exit code; None to accept any.
        """
        command = [sys.executable, "-m", "nutmegdeal.tools.ctl", *arguments]
        completed = subprocess.run(command, capture_output=True, text=True, check=False)
        has_expected_code = code is None or completed.returncode == code
        assert has_expected_code, (
            completed.returncode,
            completed.stdout,
            completed.stderr,
        )
        return completed.stdout or completed.stderr

    def accept(self, configuration_path, base=0):
        """Accept a configuration file with ``nutmegdeal-ctl``; return its output."""
        return self.ctl(
            "accept",
            str(configuration_path),
            *("--base", str(base)),
            *("--settings", str(self.settings_path("ctl"))),
        )

    def accept_questionnaire(self, questionnaire_path, base=0):
        """Generate and accept the configuration for a questionnaire."""
        path = self.folder / f"configuration-{base + 1}.ini"
        path.write_text(self.ctl("generate", str(questionnaire_path)))
        return self.accept(path, base)

    def why(self, request_id, *options, code=0):
        """Return the output of ``nutmegdeal-ctl why`` for a request."""
        settings = str(self.settings_path("ctl"))
        return self.ctl("why", request_id, "--settings", settings, *options, code=code)


def is_ready(program):
    """Return whether a program reports that it is ready.

    Raises
    ------
    RuntimeError
        If it has exited.
    """
    if not program.is_running:
        raise RuntimeError(f"{program.name} ended: {program.log_path.read_text()}")
    try:
        answer = urllib3.request(
            "GET", program.url + "/readyz", retries=False, timeout=CALL_TIMEOUT_S
        )
    except urllib3.exceptions.HTTPError:
        return False
    return answer.status == 200
