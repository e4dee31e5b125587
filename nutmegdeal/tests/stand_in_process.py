"""Runs ``nutmegdeal-fakes`` as a process on loopback, for tests."""

import json
import subprocess
import sys

import attrs
import urllib3

STOP_TIMEOUT_S = 20
CALL_TIMEOUT_S = 20


@attrs.define
class StandInProcess:
    """Running process of a stand-in.

    Parameters
    ----------
    process : subprocess.Popen
    url : str
    """

    process: subprocess.Popen
    url: str
    _pool: urllib3.PoolManager = attrs.field(factory=urllib3.PoolManager)

    def call(self, method, path, fields=None, **options):
        """Send a request with an optional JSON body; return the urllib3 response."""
        options = {"retries": False, "timeout": CALL_TIMEOUT_S} | options
        if fields is not None:
            options["json"] = fields
        return self._pool.request(method, self.url + path, **options)

    def set_faults(self, **faults):
        """Set these fault switches and reset all others."""
        answer = self.call("PUT", "/faults", faults)
        assert answer.status == 200, answer.data

    def record(self):
        """Return the record (dict) of what a backend server ran."""
        return self.call("GET", "/record").json()

    def stop(self):
        """Send SIGTERM and return the exit code."""
        self.process.terminate()
        code = self.process.wait(STOP_TIMEOUT_S)
        self.process.stdout.close()
        return code


def start_stand_in(kind, *options):
    """Start ``nutmegdeal-fakes``; return the StandInProcess once it listens."""
    command = [sys.executable, "-m", "nutmegdeal.tools.fakes", kind, *options]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    address = json.loads(process.stdout.readline())
    return StandInProcess(process, address["url"])
