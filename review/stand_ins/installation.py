"""A small installation on loopback: store, configuration, and the programs' processes.

The programs are started with the commands of deploy/system.toml. Each machine has a
loopback address of its own, as all use the same ports.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import traceback

from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMANDS = {
    "gateway": ["python3", "-m", "nutmegdeal.gateway"],
    "placer": ["python3", "-m", "nutmegdeal.placer"],
}
# Those of the users' settings file for Knusepool.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 58,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "require_fencing": False,
    "lease_ms": 3000,
    "thaw_slack_ms": 300,
    "ceiling_window_s": 5,
    "ceiling_overage": 1.1,
    "version_ms": 5000,
}
HEARTBEAT_MS = 1200
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 5000,
    "idle_timeout_ms": 20000,
}


def free_ports(host, count):
    """Return TCP ports that are free at a loopback address."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Program:
    """A gateway or placer as a process of its own."""

    def __init__(self, role, settings, folder):
        self.role = role
        self.settings = settings
        self.settings_path = folder / f"{settings['node_name']}.json"
        self.log_path = folder / f"{settings['node_name']}.log"
        self.process = None

    def start(self):
        """Start the process."""
        self.settings_path.write_text(json.dumps(self.settings))
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["NUTMEGDEAL_BOOT"] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                COMMANDS[self.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, number):
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def close(self):
        """Kill the process, also a stopped one."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Site:
    """The machines of a small installation; to be closed at the end."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="nutmegdeal-review-"))
        high, low = random.randint(1, 250), random.randint(1, 250)
        self._prefix = f"127.{high}.{low}"
        self.store = Store()
        self.programs = []
        self.zone = "dk-west-a"

    def ip(self, number):
        """Return the loopback address of a machine."""
        return f"{self._prefix}.{number}"

    async def start_store(self):
        """Start the store's stand-in."""
        self.store_address = f"{self.ip(1)}:{await self.store.serve(self.ip(1))}"

    def make_program(self, role, name, ip, listen, ports, **extra):
        """Return a Program with settings like those on the users' page."""
        side = role == "placer"
        settings = {
            "node_name": name,
            "role": role,
            "machine_class": "side" if side else "front",
            "serves": ["side"] if side else ["front"],
            "ip": ip,
            "zone": self.zone,
            "region": "dk-west",
            "zones": {self.zone: "dk-west"},
            "listen": listen,
            "internal_ports": ports,
            "seeds": [],
            "bootstrap": True,
            "fault_counted": False,
            "limits": {
                "cpu_share": 0.817,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": self.store_address,
                "form": "table",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "tx_ms": 8.0,
                "part_writes_per_s": 150,
                "row_bytes": 65536,
                "across": False,
                "history_s": 20,
                "blob_bytes": 8388608,
                "blob_ms": 25.0,
                "blob_mb_s": 80.0,
            },
            **extra,
        }
        program = Program(role, settings, self.folder)
        self.programs.append(program)
        return program

    def make_gateway(self, number, ports):
        """Return the Program of a gateway; its callers' address is in `front`."""
        ip = self.ip(20 + number)
        front, ready = free_ports(ip, 2)
        listen = {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}"}
        program = self.make_program("gateway", f"front-{number}", ip, listen, ports)
        program.front = (ip, front)
        program.ready = (ip, ready)
        return program

    def make_placer(self, number, engine):
        """Return the Program of the placer beside a model replica."""
        ip = engine.address.rpartition(":")[0]
        beside = {"app": engine.address, "service": engine.service}
        return self.make_program(
            "placer", f"side-{number}", ip, {}, [7380, 7395], **beside
        )

    async def wait_ready(self, program, within_s=20.0):
        """Wait until GET /ready answers 200."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if await is_ready(program.ready):
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{program.settings['node_name']} is not ready")

    def close(self, keep_logs=False):
        """End all processes; remove the temporary folder."""
        for program in self.programs:
            program.close()
        if not keep_logs:
            shutil.rmtree(self.folder, ignore_errors=True)


async def end_tasks():
    """Cancel all other tasks of the loop, such as those of open connections."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def run_case(play, site, record):
    """Play a case to its end; return what `play` returns."""
    try:
        return await play(site, record)
    finally:
        await end_tasks()


def run_main(play, folder):
    """Play a case; return 0 if the rule held, 1 if not, 2 if it could not run."""
    record = Record(folder / "record.txt")
    site = Site()
    try:
        return 0 if asyncio.run(run_case(play, site, record)) else 1
    except Exception:
        traceback.print_exc()
        return 2
    finally:
        site.close(bool(os.environ.get("KEEP_LOGS")))
        record.close()


async def is_ready(address):
    """Return whether a machine answers 200 at its readiness address."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    try:
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 1.0)
        return b" 200 " in line
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()


class Record:
    """Lines of record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._begun = time.monotonic()

    def write(self, text):
        """Write one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._begun:9.4f} {text}\n")

    def close(self):
        """Close the file."""
        self._file.close()
