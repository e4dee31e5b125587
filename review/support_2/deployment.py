"""A small deployment for the cases of the second review.

It needs the standard library only.

The programs of the project run as processes of their own, started as the deploy file
says. The platform's store, the replicas and the consumers are asyncio stand-ins in the
process of the case. Each machine has its own loopback address.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "case.example"
HEARTBEAT_S = 1.2
# Those of sites/knusepool.toml.
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
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 5000,
    "idle_timeout_ms": 20000,
}


class Record:
    """What was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / "record.txt"
        self._started_s = time.monotonic()
        self._lines = []

    def now_s(self):
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._started_s

    def add(self, text):
        """Add a line with the present time."""
        self._lines.append(f"{self.now_s():9.3f} {text}")

    def write(self):
        """Write the lines to `record.txt`."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Request:
    """A request that a stand-in has received; the body may have to be read yet."""

    def __init__(self, method, target, headers, reader):
        self.method, self.target, self.headers = method, target, headers
        self.reader = reader
        self.body = b""

    @property
    def id(self):
        """Return the request id, empty if there is none."""
        return self.headers.get("x-request-id", "")

    @property
    def length(self):
        """Return the length of the body in bytes."""
        return int(self.headers.get("content-length", 0))


async def read_head(reader):
    """Return the first line and the headers, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


def encode_answer(status, headers, body=b""):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Server:
    """HTTP/1.1 server of a stand-in; `serve` answers one request."""

    def __init__(self, ip, receive_bytes=None):
        self.ip = ip
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.socket.bind((ip, 0))
        self.port = self.socket.getsockname()[1]
        self.address = f"{ip}:{self.port}"
        self.writers = set()
        self._server = None

    async def start(self):
        """Begin to accept connections."""
        self._server = await asyncio.start_server(
            self._handle, sock=self.socket, limit=65536, backlog=512
        )

    async def read_body(self, request):
        """Read the body of a request."""
        request.body = await request.reader.readexactly(request.length)

    async def serve(self, request, writer):
        """Answer a request."""
        raise NotImplementedError

    async def _handle(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                request = Request(method, target, head[1], reader)
                await self.read_body(request)
                await self.serve(request, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()


class Store(Server):
    """The platform's store of rows, as PROTOCOL.md describes it."""

    def __init__(self, ip):
        super().__init__(ip)
        self.rows, self.changes, self.ver, self.era = {}, [], 0, 1
        self.changed = asyncio.Condition()

    async def put(self, table, key, value, part=""):
        """Write a row, as the operator or a replica does."""
        async with self.changed:
            self.ver += 1
            self.rows[table, part, key] = (json.dumps(value).encode(), self.ver)
            self.changes.append((self.ver, table, part, key))
            self.changed.notify_all()

    async def remove(self, table, key, part=""):
        """Remove a row."""
        async with self.changed:
            if self.rows.pop((table, part, key), None) is not None:
                self.ver += 1
                self.changes.append((self.ver, table, part, key))
                self.changed.notify_all()

    def _encode(self, table, part, key):
        row = {"table": table, "part": part, "key": key}
        if (table, part, key) not in self.rows:
            return {**row, "removed": True, "ver": self.ver}
        value, ver = self.rows[table, part, key]
        return {**row, "value": base64.b64encode(value).decode(), "ver": ver}

    def _find_changes(self, table, part, after):
        keys = {
            c[3]: c[0] for c in self.changes if c[0] > after and c[1:3] == (table, part)
        }
        return [self._encode(table, part, key) for key in sorted(keys, key=keys.get)]

    async def serve(self, request, writer):
        """Answer a call."""
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(0.004)
        table, part = query.get("table", ""), query.get("part", "")
        status, data = 200, {}
        if url.path == "/rows-get":
            found = sorted(key for t, p, key in self.rows if (t, p) == (table, part))
            start, end = query.get("from", ""), query.get("to")
            found = [k for k in found if k >= start and (end is None or k < end)]
            limit = int(query.get("limit", 500))
            data["rows"] = [self._encode(table, part, key) for key in found[:limit]]
            data["more_pages"] = len(found) > limit
        elif url.path == "/rows-parts":
            data["parts"] = sorted({p for t, p, _ in self.rows if t == table})
        elif url.path == "/rows-feed":
            after = int(query["after"])
            end_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            async with self.changed:
                while not (rows := self._find_changes(table, part, after)):
                    left_s = end_s - time.monotonic()
                    if left_s <= 0:
                        break
                    try:
                        await asyncio.wait_for(self.changed.wait(), left_s)
                    except TimeoutError:
                        break
            data = {"rows": rows, "more_pages": False}
        elif url.path == "/rows-tx":
            status, data = await self._transact(json.loads(request.body))
        else:
            status = 404
        data |= {"ver": self.ver, "now_ms": int(time.monotonic() * 1000)}
        headers = {"Store-Era": self.era, "Content-Type": "application/json"}
        writer.write(encode_answer(status, headers, json.dumps(data).encode()))
        await writer.drain()

    async def _transact(self, tx):
        def place(row):
            return row["table"], row.get("part", ""), row["key"]

        async with self.changed:
            if any(
                r["table"] in ("op", "servers") for r in [*tx["writes"], *tx["remove"]]
            ):
                return 403, {}
            for row in tx["expected"]:
                if self.rows.get(place(row), (b"", 0))[1] != row["ver"]:
                    return 412, {
                        "rows": [self._encode(*place(r)) for r in tx["expected"]]
                    }
            self.ver += 1
            for row in tx["writes"]:
                self.rows[place(row)] = (base64.b64decode(row["value"]), self.ver)
                self.changes.append((self.ver, *place(row)))
            for row in tx["remove"]:
                if self.rows.pop(place(row), None) is not None:
                    self.changes.append((self.ver, *place(row)))
            self.changed.notify_all()
        return 200, {}


class Replica(Server):
    """A sound replica of a plain service: `slots` requests at once, others wait.

    A run that has begun is recorded in `runs`; one whose answer was written in `ended`.
    """

    def __init__(self, site, ip, id_, service, work_s, slots=6, receive_bytes=None):
        super().__init__(ip, receive_bytes)
        self.site, self.id, self.service, self.work_s = site, id_, service, work_s
        self.slots_count = slots
        self.slots = asyncio.Semaphore(slots)
        self.runs, self.ended, self.arrived = {}, {}, {}
        self.born = int(time.time() * 1000)
        self.state = "ready"

    def row(self):
        """Return the entry of the replica."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": self.slots_count,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": 0,
            "born": self.born,
        }

    def headers(self, request):
        """Return the headers of all answers."""
        return {"X-Request-Id": request.id, "X-Instance-Id": self.id}

    async def register(self):
        """Write the entry at every heartbeat."""
        while True:
            await self.site.store.put("servers", self.id, self.row())
            await asyncio.sleep(HEARTBEAT_S)

    async def read_body(self, request):
        """Record the arrival and read the body."""
        self.arrived[request.id] = self.site.record.now_s()
        await super().read_body(request)

    async def serve(self, request, writer):
        """Run a request, unless it is for another replica."""
        if request.headers.get("x-target-instance", self.id) != self.id:
            headers = {**self.headers(request), "X-Not-Executed": "1"}
            writer.write(encode_answer(421, headers))
            await writer.drain()
            return
        async with self.slots:
            self.runs[request.id] = self.runs.get(request.id, 0) + 1
            self.site.record.add(f"run {request.id} at {self.id}")
            await asyncio.sleep(self.work_s)
            headers = {
                **self.headers(request),
                "X-Response-Signature": f"s.{request.id}",
            }
            body = f"answer to {request.id}".encode()
            writer.write(encode_answer(200, headers, body))
            await writer.drain()
            self.ended[request.id] = self.site.record.now_s()


class Engine(Replica):
    """A model replica with adapters, which also takes orders.

    `late_load_s`: after how long the next load of an adapter is carried out, without an
    answer; None if orders are answered. `overflows` has what it was ordered to load
    beyond its places, which makes it crash.
    """

    load_s = 0.25

    def __init__(self, site, ip, id_, service, model, places):
        super().__init__(site, ip, id_, service, 0.02, slots=64)
        self.model, self.places = model, places
        self.late_load_s = None
        self.late_orders, self.overflows = [], []
        self.is_down = False
        self._empty(has_model=True)

    def _empty(self, has_model):
        self.has_model, self.sequence = has_model, 0
        self.adapters, self.pending = {}, {}

    def row(self):
        """Return the entry of the replica, with its adapters."""
        names = [f"{name}@{number}" for name, number in self.adapters.items()]
        models = [{"name": self.model, "version": 1, "adapters": names}]
        return {
            **super().row(),
            "sequence": self.sequence,
            "models": models if self.has_model else [],
        }

    async def lose_power(self, registering):
        """End at once; the machine beside it has no power either."""
        registering.cancel()
        self.is_down = True
        self.stop()
        for writer in list(self.writers):
            writer.transport.abort()

    async def start_again(self):
        """Start under the id that it had, at its address, and empty."""
        self._empty(has_model=False)
        self.born = int(time.time() * 1000)
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((self.ip, self.port))
        await self.start()
        self.is_down = False
        return asyncio.create_task(self.register())

    async def serve(self, request, writer):
        """Answer a report, an order or a request."""
        if request.target == "/report":
            fields = {
                **self.row(),
                "stage": "colocated",
                "busy": False,
                "waiting": 0,
                "running": 0,
                "kv_used": 0,
                "kv_total": 155953,
                "handles": 0,
                "pending": [f"{self.model}/{n}@{v}" for n, v in self.pending.items()],
            }
            headers = {"Content-Type": "application/json"}
            writer.write(encode_answer(200, headers, json.dumps(fields).encode()))
            await writer.drain()
        elif request.target == "/order":
            await self._take_order(request, writer)
        else:
            await self._run(request, writer)

    async def _take_order(self, request, writer):
        order = json.loads(request.body)
        target = request.headers.get("x-target-instance")
        text = (
            f"{order['operation']} {order.get('adapter', 'the model')} "
            f"expected {order.get('expected')} by {order['holder']}"
        )
        is_load = order["operation"] == "load" and "adapter" in order
        if is_load and self.late_load_s is not None:
            late_s, self.late_load_s = self.late_load_s, None
            self.site.record.add(
                f"order {text}: no answer, carried out {late_s} s later"
            )
            task = asyncio.create_task(
                self._carry_out_late(late_s, target, order, text)
            )
            self.late_orders.append(task)
            await asyncio.sleep(30)
            return
        status = self._carry_out(target, order)
        self.site.record.add(f"order {text}: {status}, sequence {self.sequence}")
        writer.write(encode_answer(status, {}))
        await writer.drain()

    async def _carry_out_late(self, late_s, target, order, text):
        await asyncio.sleep(late_s)
        status = None if self.is_down else self._carry_out(target, order)
        self.site.record.add(f"order {text}, late: {status}, sequence {self.sequence}")

    def _carry_out(self, target, order):
        adapter = order.get("adapter")
        if target not in (None, self.id):
            return 421
        if order.get("expected", self.sequence) != self.sequence:
            return 409
        if adapter is not None and not self.has_model:
            return 400
        self.sequence += 1
        if adapter is None:
            asyncio.get_running_loop().call_later(0.6, setattr, self, "has_model", True)
            return 202
        if order["operation"] == "unload":
            self.adapters.pop(adapter, None)
            return 200
        self.pending[adapter] = order.get("version") or 1
        held = len(self.adapters) + len(self.pending)
        if held > self.places:
            self.overflows.append(adapter)
            self.site.record.add(f"LIMIT {held} adapters ordered, {self.places} places")
        asyncio.get_running_loop().call_later(
            self.load_s, self._finish, adapter, self.born
        )
        return 202

    def _finish(self, adapter, born):
        if born == self.born and adapter in self.pending:
            self.adapters[adapter] = self.pending.pop(adapter)

    async def _run(self, request, writer):
        adapter = request.headers.get("x-model", "").partition("/")[2]
        version = request.headers.get("x-expected-version")
        held = self.adapters.get(adapter)
        is_other = request.headers.get("x-target-instance", self.id) != self.id
        if is_other or held is None or (version and int(version) != held):
            headers = {**self.headers(request), "X-Not-Executed": "1"}
            writer.write(encode_answer(421, headers))
            await writer.drain()
            return
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += ["Transfer-Encoding: chunked", f"X-Response-Signature: s.{request.id}"]
        lines += [f"{name}: {value}" for name, value in self.headers(request).items()]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        first = int(request.headers.get("last-event-id", -1)) + 1
        for number in range(first, 8):
            await asyncio.sleep(self.work_s)
            if number == first:
                # A request begins to run with its first token.
                self.runs[request.id] = self.runs.get(request.id, 0) + 1
                text = f"run {request.id} at {self.id} for {adapter}@{held}"
                self.site.record.add(text)
            event = f"id: {number}\ndata: {request.id}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Program:
    """One program of the deploy file on one machine."""

    def __init__(self, site, role, name, settings):
        self.site, self.role, self.name = site, role, name
        self.path = site.folder / f"{name}.json"
        self.log = site.folder / f"{name}.log"
        self.path.write_text(json.dumps(settings))
        self.process = None

    async def start(self):
        """Start the process as the deploy file says."""
        passed = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                f"nutmegdeal.{self.role}",
                cwd=ROOT,
                env={
                    **passed,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "NUTMEGDEAL_BOOT": str(self.path),
                },
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        """Send a signal if the process runs."""
        if self.is_running:
            self.process.send_signal(number)

    async def end(self):
        """Kill the process and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Gateway(Program):
    """A gateway program, with its address for consumers."""

    def __init__(self, site, number, memory_mb=300):
        ip = site.ip(20 + number)
        front, ready = free_port(ip), free_port(ip)
        self.ip, self.port, self.ready_port = ip, front, ready
        settings = site.settings(f"front-{number}", "front", ip)
        settings["listen"] = {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}"}
        settings["limits"] = {
            "cpu_share": 0.817,
            "cores": 1,
            "memory_mb": memory_mb,
            "max_fds": 4100,
            "link_mbps": 1000.0,
            "disk_mb": 0,
        }
        super().__init__(site, "gateway", f"front-{number}", settings)

    async def wait_ready(self):
        """Wait until the gateway says that it is ready."""
        for _ in range(400):
            try:
                answer = await call(
                    self.ip, self.ready_port, "GET", "/ready", {}, b"", 1
                )
                if answer is not None and answer[0] == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready")


class Placer(Program):
    """The placer program beside an engine."""

    def __init__(self, site, number, engine):
        settings = site.settings(f"side-{number}", "side", engine.ip)
        settings |= {"app": engine.address, "service": engine.service, "listen": {}}
        settings["limits"] = {"memory_mb": 232, "max_fds": 4096}
        super().__init__(site, "placer", f"side-{number}", settings)


class CannotRunError(Exception):
    """The case could not be played."""


class Site:
    """The machines of a small deployment."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self._prefix = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.store = Store(self.ip(1))
        self.internal_port = free_port(self.ip(2))
        self.programs, self.servers, self.tasks = [], [self.store], []

    def ip(self, number):
        """Return the loopback address of a machine."""
        return f"{self._prefix}.{number}"

    def settings(self, name, machine_class, ip):
        """Return the fields of a settings file that all have."""
        return {
            "node_name": name,
            "role": machine_class,
            "machine_class": machine_class,
            "serves": [machine_class],
            "ip": ip,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "internal_ports": [self.internal_port, self.internal_port + 15],
            "seeds": [],
            "bootstrap": True,
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS,
            "platform": {"address": self.store.address, "form": "table"},
        }

    async def configure(self, version, routes, services):
        """Write a configuration, as the operator does."""
        config = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": LIMITS,
        }
        await self.store.put("op", "config", config)
        self.record.add(f"configuration {version} acknowledged")

    async def start_replica(self, replica):
        """Start a replica; return the task that registers it."""
        self.servers.append(replica)
        await replica.start()
        task = asyncio.create_task(replica.register())
        self.tasks.append(task)
        return task

    async def start_program(self, program):
        """Start a program, which `close` ends."""
        self.programs.append(program)
        await program.start()

    async def close(self):
        """End all that was started."""
        for task in self.tasks:
            task.cancel()
        for program in self.programs:
            await program.end()
        for server in self.servers:
            server.stop()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_port(ip):
    """Return a port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def plain_route(name, kind, service, timeout_ms, target_ms, attempts=1):
    """Return a route to a plain service."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "max_attempts": attempts,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 1,
    }


def engine_service(name, model, places, slots=64):
    """Return a service of model replicas."""
    return {
        "name": name,
        "max_connections": 370,
        "engine": {
            "slots": slots,
            "models": [
                {"name": model, "weights_mb": 16100, "adapter_mb": 14, "load_s": 0.6}
            ],
            "weights_mb": 16800,
            "adapter_slots": places,
        },
    }


def stream_route(name, service, timeout_ms=12_000, target_ms=600, attempts=2):
    """Return a route for resumable streams."""
    return {
        **plain_route(name, "streaming", service, timeout_ms, target_ms, attempts),
        "target_gap_ms": 250,
        "resumable": True,
        "sticky": True,
    }


class Connection:
    """A consumer's connection, which may carry several requests."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, ip, port):
        """Open a connection within a second."""
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
        return cls(reader, writer)

    async def call(self, method, path, headers, body, within_s):
        """Return status, headers and body, None if the connection ended without."""
        head = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        head += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            head.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*head, "", ""]).encode() + body
        return await asyncio.wait_for(self._exchange(data), within_s)

    async def _exchange(self, data):
        try:
            self.writer.write(data)
            await self.writer.drain()
        except OSError:
            # There may be an answer all the same.
            pass
        head = await read_head(self.reader)
        if head is None:
            return None
        status, headers = int(head[0].split(" ")[1]), head[1]
        try:
            if headers.get("transfer-encoding") == "chunked":
                return status, headers, await self._read_chunks()
            length = int(headers.get("content-length", 0))
            return status, headers, await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            return None

    async def _read_chunks(self):
        body = b""
        while size := int(await self.reader.readline() or b"x", 16):
            body += (await self.reader.readexactly(size + 2))[:-2]
        await self.reader.readline()
        return body

    def close(self):
        """Close the connection."""
        self.writer.close()


async def call(ip, port, method, path, headers, body, within_s):
    """Send one request on a connection of its own."""
    connection = await Connection.open(ip, port)
    try:
        return await connection.call(method, path, headers, body, within_s)
    finally:
        connection.close()


def run_case(play, folder, within_s=110):
    """Play a case and end with its exit code: 0 held, 1 broken, 2 not played."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        site = Site(record)
        try:
            await site.store.start()
            return await asyncio.wait_for(play(site, record, has_trouble), within_s)
        finally:
            await site.close()

    try:
        is_broken = asyncio.run(run())
        code = 1 if is_broken else 0
    except Exception as error:  # noqa: BLE001
        record.add(f"the case could not run: {type(error).__name__}: {error}")
        code = 2
    record.add(f"exit code {code}, disruption {'on' if has_trouble else 'off'}")
    record.write()
    sys.exit(code)
