"""Programs of the project as processes on loopback, for tests."""

import json
import subprocess
import sys

import attrs
import urllib3

STOP_WITHIN_S = 20
CALL_WITHIN_S = 20


@attrs.define
class StandInProcess:
    """A running stand-in.

    Parameters
    ----------
    process : subprocess.Popen
    url : str
    """

    process: subprocess.Popen
    url: str
    _pool: urllib3.PoolManager = attrs.field(factory=urllib3.PoolManager)

    def call(self, method, path, fields=None, **options):
        """Send a JSON body; return the urllib3 answer."""
        options = {"retries": False, "timeout": CALL_WITHIN_S} | options
        if fields is not None:
            options["json"] = fields
        return self._pool.request(method, self.url + path, **options)

    def set_faults(self, **faults):
        """Turn just these fault switches on."""
        answer = self.call("PUT", "/faults", faults)
        assert answer.status == 200, answer.data

    def record(self):
        """Return what a backend server ran."""
        return self.call("GET", "/record").json()

    def stop(self):
        """Send SIGTERM and return the exit code."""
        self.process.terminate()
        code = self.process.wait(STOP_WITHIN_S)
        self.process.stdout.close()
        return code


def start_stand_in(kind, *options):
    """Start ``nutmegdeal-fakes`` and return its StandInProcess once it listens."""
    command = [sys.executable, "-m", "nutmegdeal.tools.fakes", kind, *options]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    address = json.loads(process.stdout.readline())
    return StandInProcess(process, address["url"])
