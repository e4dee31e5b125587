"""Site of the soak test: stand-ins and proxies in this process, programs as processes.

Each simulated machine has its own loopback address, because all use the same ports.
"""

import json
import os
import signal
import subprocess
import sys
import time

import attrs
import gevent.socket

from nutmegdeal.fakes.adapter_runs import VersionAck
from nutmegdeal.fakes.platform_backend import PlatformEngine
from nutmegdeal.fakes.platform_configuration import (
    ADAPTER_SLOTS,
    ENGINE_SERVICE,
    MODEL,
    PLAIN_SERVICE,
)
from nutmegdeal.fakes.platform_server import PlatformBackend
from nutmegdeal.fakes.platform_store import PlatformStore
from nutmegdeal.platform.settings import SETTINGS_PATH_VARIABLE
from nutmegdeal.soak.configurations import ConfigurationValues
from nutmegdeal.soak.proxy import FaultyProxy
from nutmegdeal.soak.tenants import TENANT_BOUNDS, SoakTenants

GATEWAY_COUNT = 2
# Streams are taken up at other gateways.
VERSIONS_GATEWAY_COUNT = 3
# With limits on servers, which gateways have to keep together.
LIMITED_GATEWAY_COUNT = 6
# With tenants, of which one gateway is cut off from the store at times.
TENANTS_GATEWAY_COUNT = 3
# Software versions of the engines.
ONE_VERSION = ("v1", "v1")
SOFTWARE_VERSIONS = ("v1", "v1", "v2", "v2")
SERVER_COUNT = 2
GRACE_S = 8
HOST = "soak.example"
# Streams last long enough that a silence of their engine mostly meets some of them.
EVENT_INTERVAL_MS = 40.0
BOUNDS = {
    "budget_window_s": 10,
    "grace_s": GRACE_S,
    "drain_ms": 2000,
    "version_ms": 5000,
    "contact_ms": 3000,
}
# Budgets for repeated requests: the users' one, and one that is soon spent.
RETRY_BOUNDS = (
    {"retry_budget_ratio": 0.2, "budget_slack": 58},
    {"retry_budget_ratio": 0.01, "budget_slack": 2},
)


@attrs.define
class Program:
    """Gateway or placer process, which can be restarted.

    Parameters
    ----------
    name, module : str
    settings_path, log_path : pathlib.Path
    """

    name: str
    module: str
    settings_path: object
    log_path: object
    process: object = None

    def start(self):
        """Start the process."""
        environment = {**os.environ, SETTINGS_PATH_VARIABLE: str(self.settings_path)}
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, signal_number):
        """Send a signal if the process is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    def start_if_ended(self):
        """Restart the process if it has ended."""
        if self.process.poll() is not None:
            self.start()

    def close(self):
        """Kill the process, also if it is stopped, and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.process.wait()


class SoakSite:
    """Some gateways, some engines with placers, two plain servers, a store.

    The last engine and the last plain server send answers without length or chunks.

    Parameters
    ----------
    folder : pathlib.Path
        For settings and logs.
    prefix : str
        First two octets of the loopback addresses of the machines, such as ``127.20``.
    retry_bounds : dict
        One of RETRY_BOUNDS.
    gateway_count : int
    software_versions : sequence of str
        Of the engines. If there are several, events name the version.
    has_tenants : bool
        Whether the configuration has tenants.

    Attributes
    ----------
    tenants : SoakTenants or None
    last_gateway_proxy : FaultyProxy or None
        With tenants, the last gateway's own link to the store.
    version_acks : list of VersionAck
    crashing_part : str
        Part of prompts that crashes engines and that callers send, "" for none.
    crashing_paths : tuple of str
        Paths of requests that crash servers and that callers send.
    """

    def __init__(
        self,
        folder,
        prefix,
        retry_bounds,
        gateway_count=GATEWAY_COUNT,
        software_versions=ONE_VERSION,
        has_tenants=False,
    ):
        self._folder = folder
        self.tenants = SoakTenants() if has_tenants else None
        self._bounds = {**BOUNDS, **retry_bounds}
        self._bounds |= TENANT_BOUNDS if has_tenants else {}
        self._prefix = prefix
        self.configuration_version = 1
        self._configuration_values = ConfigurationValues()
        self.crashing_part = ""
        self.crashing_paths = ()
        self._versions = {}
        self.version_acks = []
        self.store = PlatformStore((self._ip(1), 0))
        store_address = (self._ip(1), self.store.port)
        self.store_proxy = FaultyProxy((self._ip(1), 0), store_address)
        self.last_gateway_proxy = None
        if has_tenants:
            # Beside the others' link, so that faults of that one act on it too.
            self.last_gateway_proxy = FaultyProxy(
                (self._ip(1), 0), self.store_proxy.address
            )
        self.link_port, self.placer_port = _free_ports(self._ip(2), 2)
        self.proxies = {}
        self.engines = [
            self._make_engine(number, version)
            for number, version in enumerate(software_versions)
        ]
        self.servers = [self._make_server(number) for number in range(SERVER_COUNT)]
        self.link_proxies = [
            FaultyProxy(
                (engine.address[0], self.link_port),
                (engine.address[0], self.placer_port),
            )
            for engine in self.engines
        ]
        for engine in self.engines:
            engine.writes_version = len(set(software_versions)) > 1
        for backend in (self.engines[-1], self.servers[-1]):
            backend.faults.is_unframed = True
        for backend in self.backends:
            self.register(backend)
        self.put_configuration()
        self.gateway_ports = _free_ports(self._ip(20), gateway_count * 2)
        self.gateways = [
            self._make_gateway(number, is_last=number == gateway_count - 1)
            for number in range(gateway_count)
        ]
        self.placers = [self._make_placer(engine) for engine in self.engines]
        for program in self.programs:
            program.start()

    @property
    def backends(self):
        """Return the stand-ins for all backend servers."""
        return [*self.engines, *self.servers]

    @property
    def programs(self):
        """Return all Programs."""
        return [*self.gateways, *self.placers]

    def gateway_address(self, number):
        """Return the address of a gateway for callers."""
        return self._ip(20 + number), self.gateway_ports[number * 2]

    def _ip(self, number):
        return f"{self._prefix}.0.{number}"

    def _make_engine(self, number, software_version):
        address = (self._ip(2 + number), 0)
        engine = PlatformEngine(
            address, f"e-{number}", ENGINE_SERVICE, "a", MODEL, ADAPTER_SLOTS
        )
        engine.event_interval_ms = EVENT_INTERVAL_MS
        engine.software_version = software_version
        self._add_proxy(engine)
        return engine

    def _make_server(self, number):
        server = PlatformBackend(
            (self._ip(10 + number), 0), f"p-{number}", PLAIN_SERVICE
        )
        self._add_proxy(server)
        return server

    def _add_proxy(self, backend):
        proxy = FaultyProxy((backend.address[0], 0), backend.address)
        self.proxies[backend.backend_id] = proxy

    def register(self, backend):
        """Store the registration of a backend server, with the address of its proxy."""
        row = json.loads(backend.registration())
        host, port = self.proxies[backend.backend_id].address
        row["address"] = f"{host}:{port}"
        self.store.put("servers", backend.backend_id, json.dumps(row).encode())

    def restart_backend(self, backend, backend_id, software_version=None):
        """Restart a backend server under an id, which may be its present one.

        It keeps its software version if none is given.
        """
        self.store.remove("servers", backend.backend_id)
        self.proxies[backend_id] = self.proxies.pop(backend.backend_id)
        backend.limit.end()
        backend.restart(backend_id, software_version)
        self.register(backend)

    def set_crashing_part(self, part_id):
        """Make callers send a part that crashes engines, or none if it is ""."""
        self.crashing_part = part_id
        if part_id:
            for engine in self.engines:
                engine.prompts.crashing_parts.add(part_id)

    def set_crashing_paths(self, paths):
        """Make callers send requests that crash the servers which run them."""
        self.crashing_paths = paths
        for backend in self.backends:
            backend.crashing_targets.update(path.encode() for path in paths)

    def limit_batches(self, batch_count, queue_max):
        """Limit the requests that each engine runs at once and queues."""
        for engine in self.engines:
            engine.limit_batch(batch_count, queue_max)
            self.register(engine)

    def put_configuration(self, values=None):
        """Store the configuration of the operator with the next version number.

        Parameters
        ----------
        values : ConfigurationValues, optional
            Those of the version before by default.
        """
        self.configuration_version += 1
        self._configuration_values = values or self._configuration_values
        self._write_configuration()

    def _write_configuration(self):
        tenants = self.tenants.encode() if self.tenants else None
        body = self._configuration_values.encode(
            self.configuration_version, HOST, tenants
        )
        self.store.put("op", "config", body)
        self.record_tenants()

    def record_tenants(self):
        """Record the tenants in the configuration that the store now holds."""
        if self.tenants:
            self.tenants.record(self.store.read("op", "config"))

    def increment_version(self, adapter):
        """Store the next version number of an adapter."""
        version = self._versions.get(adapter, 1) + 1
        self._versions[adapter] = version
        self._write_version(adapter)
        self.version_acks.append(VersionAck(adapter, version, time.monotonic()))

    def _write_version(self, adapter):
        version = self._versions[adapter]
        row = {"model": MODEL, "adapter": adapter, "version": version}
        key = f"version/{MODEL}.{adapter}"
        self.store.put("op", key, json.dumps(row).encode())

    def write_all_again(self):
        """Store all rows again, as after the store has returned from a copy."""
        self._write_configuration()
        for adapter in self._versions:
            self._write_version(adapter)
        registered = {backend.backend_id for backend in self.backends}
        for backend_id in self.store.find_keys("servers"):
            if backend_id not in registered:
                self.store.remove("servers", backend_id)
        for backend in self.backends:
            self.register(backend)

    def _make_gateway(self, number, is_last):
        ip = self._ip(20 + number)
        listen = {
            "front": f"{ip}:{self.gateway_ports[number * 2]}",
            "ready": f"{ip}:{self.gateway_ports[number * 2 + 1]}",
        }
        name = f"gateway-{number}"
        store_proxy = self.last_gateway_proxy if is_last else None
        host, port = (store_proxy or self.store_proxy).address
        platform = {"platform": {"address": f"{host}:{port}"}}
        return self._make_program(name, ip, self.link_port, listen, platform)

    def _make_placer(self, engine):
        host, port = engine.address
        name = f"placer-{engine.backend_id}"
        app = {"app": f"{host}:{port}", "service": ENGINE_SERVICE}
        return self._make_program(name, host, self.placer_port, {}, app)

    def _make_program(self, name, ip, internal_port, listen, extra_settings=None):
        host, port = self.store_proxy.address
        settings = {
            "node_name": name,
            "role": name.partition("-")[0],
            "ip": ip,
            "zone": "a",
            "listen": listen,
            "internal_ports": [internal_port, internal_port],
            "bounds": self._bounds,
            "platform": {"address": f"{host}:{port}"},
            **(extra_settings or {}),
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        module = f"nutmegdeal.{settings['role']}"
        return Program(name, module, path, self._folder / f"{name}.log")

    def close(self):
        """Kill the programs and close all proxies and listeners."""
        for program in self.programs:
            program.close()
        proxies = [self.store_proxy, *self.proxies.values(), *self.link_proxies]
        if self.last_gateway_proxy is not None:
            proxies.append(self.last_gateway_proxy)
        for proxy in proxies:
            proxy.close()
        self.store.listener.stop_accepting()
        for backend in self.backends:
            backend.close()


def _free_ports(host, count):
    socks = [gevent.socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports
