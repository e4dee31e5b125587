"""Injects random, overlapping faults and planned changes, drawn from a seed."""

import functools
import random
import signal
import time

import gevent

from nutmegdeal.fakes.endless_answers import ENDLESS_ANSWERS
from nutmegdeal.fakes.platform_store import StoreFault
from nutmegdeal.log import get_logger
from nutmegdeal.soak import adapter_changes
from nutmegdeal.soak.adapter_changes import SERIES_ADAPTERS, AdapterChanges
from nutmegdeal.soak.callers import REQUEST_KINDS
from nutmegdeal.soak.configurations import draw_values
from nutmegdeal.soak.fault_records import (
    ADAPTER_VERSIONS_KIND,
    CONFIGURATION_KIND,
    CRASHING_PROMPTS_KIND,
    CRASHING_REQUESTS_KIND,
    ENDLESS_ANSWERS_KIND,
    FAULTY_SERVERS_KIND,
    LIMITS_KIND,
    SILENCE_KIND,
    SOFTWARE_VERSIONS_KIND,
    STORE_LINK_KIND,
    SUSPENDED_SERVERS_KIND,
    TENANTS_KIND,
    FaultRecord,
)
from nutmegdeal.soak.proxy import ProxyMode
from nutmegdeal.soak.server_faults import ServerFaults
from nutmegdeal.soak.tenant_changes import TenantChanges

logger = get_logger(__name__)

ENDED_POLL_S = 0.1
FAULT_INTERVAL_S = (0.05, 1.2)
FAULT_DURATION_S = (0.3, 3.0)
# Share of the time, at its start, with planned work only. Later nearly every request
# overlaps a fault, which excuses an answer that was cut off.
PLANNED_ONLY_SHARE = 0.4
# For how long a sound server may send nothing.
SILENCE_S = (0.8, 1.6)
# Least time between two silences of a server.
SILENCES_APART_MS = 500.0
# Share of the silences, and of the changes of the configuration, with which further
# servers fall silent.
FURTHER_SILENCES_SHARE = 0.5
# Time between two bursts of changes of the configuration, beside those that are drawn
# with the other faults.
CHANGES_INTERVAL_S = (1.0, 6.0)
# Versions of the configuration that come in a burst, and the pauses between them.
BURST_VERSIONS_MAX = 5
BURST_PAUSE_S = (0.0, 0.4)
ENDLESS_INTERVAL_MS = 2.0
# For how long callers send a crashing part of prompts.
CRASHING_PROMPTS_S = 15.0
# Time from a crash of an engine to its return.
CRASH_DOWN_MS = 800.0
# Share of the crashes after which an engine has a new id.
NEW_ID_SHARE = 0.8
# How often a fault is drawn, compared with the others.
WEIGHTS = {SILENCE_KIND: 4}
# Orders in a row that an engine leaves unanswered.
DELAYED_ORDERS_MAX = 5
DELAYED_ORDER_POLL_S = 0.002
# Requests in a row that a server refuses with a Retry-After.
REFUSALS_MAX = 4
LIMITS_PER_S = (0.5, 1.0, 1.9, 5.0)
# For how long a server names a limit; gateways have 3 s to learn it.
LIMIT_DURATION_S = (5.0, 12.0)
# Time from one change of an engine's software to the next, and from the registration
# that says that it leaves to its end: the drain of the bounds and a margin.
VERSION_PAUSE_S = (0.3, 1.2)
VERSION_DRAIN_S = 2.3
# Time within which rows that a copy of the store lacks are written again.
WRITTEN_AGAIN_S = 2.0
LINK_MODES = (
    ProxyMode.DELAY,
    ProxyMode.SILENT,
    ProxyMode.ONE_WAY,
    ProxyMode.REFUSE,
)


def _may_fall_silent(backend):
    """Return whether a silence would not be longer than one of a sound server."""
    until_ms = backend.faults.silent_until_ms + SILENCES_APART_MS
    return time.monotonic() * 1000 >= until_ms


class FaultInjector:
    """Draws faults and applies them to a SoakSite.

    Parameters
    ----------
    site : SoakSite
    seed : int
    has_crashing_prompts : bool
        Whether callers send a part of prompts that crashes engines, for
        `CRASHING_PROMPTS_S` beside planned work.
    has_crashing_requests : bool
        The same with one request that crashes servers.
    has_limits : bool
        Whether an engine and a server at a time name a limit, beside all other faults.
    has_software_versions : bool
        Whether the engines change their software one after another, beside all other
        faults.
    has_faulty_servers : bool
        Whether servers repeat refusals, and others write odd registrations, beside all
        other faults.
    has_adapter_versions : bool
        Whether some adapters get one version after another and gateways reload their
        settings, beside all other faults, which are then rarer.
    has_suspended_servers : bool
        Whether servers are suspended beside all other faults, and run afterwards what
        has reached them, also if its client has left.
    has_random_faults : bool
        Whether faults and changes of all kinds are drawn; if not, only those of the
        other arguments come.

    Attributes
    ----------
    records : list of FaultRecord
        Faults that have ended.
    """

    def __init__(
        self,
        site,
        seed,
        has_crashing_prompts=False,
        has_limits=False,
        has_crashing_requests=False,
        has_software_versions=False,
        has_faulty_servers=False,
        has_adapter_versions=False,
        has_suspended_servers=False,
        has_random_faults=True,
    ):
        self.records = []
        self._has_random_faults = has_random_faults
        self._has_suspended_servers = has_suspended_servers
        self._has_adapter_versions = has_adapter_versions
        self._interval_s, self._weights = FAULT_INTERVAL_S, WEIGHTS
        if has_adapter_versions:
            self._interval_s = adapter_changes.FAULT_INTERVAL_S
            self._weights = {**WEIGHTS, **adapter_changes.WEIGHTS}
        self._has_faulty_servers = has_faulty_servers
        self._has_software_versions = has_software_versions
        self._has_crashing_requests = has_crashing_requests
        self._has_limits = has_limits
        self._has_crashing_prompts = has_crashing_prompts
        self._site = site
        self._random = random.Random(seed)
        # Draws the details of changes, so that a seed keeps its faults.
        self._details = random.Random(f"{seed}-details")
        self._tenant_changes = None
        if site.tenants:
            tenant_random = random.Random(f"{seed}-tenants")
            self._tenant_changes = TenantChanges(site, tenant_random, self.records)
        self._adapter_changes = AdapterChanges(site, random.Random(f"{seed}-adapters"))
        self._running = []
        self._restart_count = 0
        self._actions = (
            ("kill", self._kill, False),
            ("pause", self._pause, False),
            ("terminate", self._terminate, True),
            ("store", self._break_store, False),
            (STORE_LINK_KIND, self._break_store_link, False),
            ("backend_link", self._break_backend_link, False),
            ("placer_link", self._break_placer_link, False),
            ("reset", self._reset_links, False),
            ("engine_restart", self._restart_engine, False),
            ("late_orders", self._delay_orders, False),
            ("store_copy", self._restore_store, False),
            ("server_pause", self._pause_server, False),
            ("server_leaving", self._announce_leaving, True),
            (CONFIGURATION_KIND, self._change_configuration, True),
            ("version", self._increment_version, True),
            ("drain", self._drain_server, True),
            (SILENCE_KIND, self._silence_server, True),
            (ENDLESS_ANSWERS_KIND, self._send_endless_answers, False),
        )

    def run(self, fault_period_s):
        """Start faults for a time, then wait until all of them have ended.

        Parameters
        ----------
        fault_period_s : float
            The first `PLANNED_ONLY_SHARE` of it has planned work only.
        """
        started_s = time.monotonic()
        planned = [action for action in self._actions if action[2]]
        if self._has_limits:
            for backends in (self._site.engines, self._site.servers):
                name_limits = functools.partial(self._name_limits, backends)
                self._spawn((LIMITS_KIND, name_limits, True), fault_period_s)
        if self._has_software_versions:
            change = (SOFTWARE_VERSIONS_KIND, self._change_software, True)
            self._spawn(change, fault_period_s)
        if self._has_faulty_servers:
            faults = ServerFaults(self._site, self._details)
            for action in (faults.repeat_refusals, faults.write_odd_entries):
                self._spawn((FAULTY_SERVERS_KIND, action, True), fault_period_s)
        if self._has_suspended_servers:
            for backend in self._site.backends:
                backend.faults.ignores_close = True
            faults = ServerFaults(self._site, self._details)
            suspend = functools.partial(faults.suspend, records=self.records)
            self._spawn((SUSPENDED_SERVERS_KIND, suspend, True), fault_period_s)
        if self._has_adapter_versions:
            changes = self._adapter_changes
            actions = [
                functools.partial(changes.write_series, adapter)
                for adapter in SERIES_ADAPTERS
            ]
            actions += [changes.leave_orders_unanswered, changes.reload_gateways]
            for action in actions:
                self._spawn((ADAPTER_VERSIONS_KIND, action, True), fault_period_s)
        if self._tenant_changes is not None:
            changes = self._tenant_changes
            for change in (changes.change_keys, changes.change_quotas):
                self._spawn((TENANTS_KIND, change, True), fault_period_s)
        if self._has_crashing_prompts:
            crash_prompts = (CRASHING_PROMPTS_KIND, self._crash_prompts, False)
            self._spawn(crash_prompts, CRASHING_PROMPTS_S)
        if self._has_crashing_requests:
            crash_requests = (CRASHING_REQUESTS_KIND, self._crash_requests, False)
            self._spawn(crash_requests, CRASHING_PROMPTS_S)
            started_s += CRASHING_PROMPTS_S
        if self._has_random_faults:
            changing = gevent.spawn(self._change_again, started_s + fault_period_s)
            self._running.append(changing)
            self._start(planned, started_s + fault_period_s * PLANNED_ONLY_SHARE)
            self._start(self._actions, started_s + fault_period_s)
        gevent.joinall(self._running, raise_error=True)

    def _start(self, actions, end_s):
        weights = [self._weights.get(kind, 1) for kind, _, _ in actions]
        while time.monotonic() < end_s:
            (action,) = self._random.choices(actions, weights)
            duration_s = self._random.uniform(*FAULT_DURATION_S)
            self._spawn(action, duration_s)
            gevent.sleep(self._random.uniform(*self._interval_s))

    def _spawn(self, action, duration_s):
        self._running.append(gevent.spawn(self._run_fault, *action, duration_s))

    def _run_fault(self, kind, apply_fault, is_planned, duration_s):
        started_s = time.monotonic()
        target = apply_fault(duration_s)
        ended_s = time.monotonic()
        self.records.append(FaultRecord(kind, target, started_s, ended_s, is_planned))
        logger.info("fault_ended", kind=kind, target=target)

    def restart_ended_programs(self):
        """Restart programs that have ended, until the greenlet is killed."""
        while True:
            for program in self._site.programs:
                program.start_if_ended()
            gevent.sleep(ENDED_POLL_S)

    def _kill(self, _duration_s):
        program = self._random.choice(self._site.programs)
        program.send(signal.SIGKILL)
        return program.name

    def _pause(self, duration_s):
        program = self._random.choice(self._site.programs)
        program.send(signal.SIGSTOP)
        gevent.sleep(duration_s)
        program.send(signal.SIGCONT)
        return program.name

    def _terminate(self, _duration_s):
        program = self._random.choice(self._site.programs)
        process = program.process
        program.send(signal.SIGTERM)
        while process.poll() is None:
            gevent.sleep(ENDED_POLL_S)
        return program.name

    def _break_store(self, duration_s):
        faults = (StoreFault.BUSY, StoreFault.SILENT, StoreFault.RESET)
        self._site.store.fault = self._random.choice(faults)
        if self._random.random() < 0.5:
            self._site.store.discard_history()
        gevent.sleep(duration_s)
        self._site.store.fault = StoreFault.NONE
        return "store"

    def _break_link(self, proxy, duration_s):
        proxy.mode = self._random.choice(LINK_MODES)
        gevent.sleep(duration_s)
        proxy.mode = ProxyMode.PASS

    def _break_store_link(self, duration_s):
        self._break_link(self._site.store_proxy, duration_s)
        return "store"

    def _break_backend_link(self, duration_s):
        name = self._random.choice(sorted(self._site.proxies))
        self._break_link(self._site.proxies[name], duration_s)
        return name

    def _break_placer_link(self, duration_s):
        self._break_link(self._random.choice(self._site.link_proxies), duration_s)
        return "placer link"

    def _reset_links(self, _duration_s):
        for proxy in (*self._site.proxies.values(), *self._site.link_proxies):
            if self._random.random() < 0.5:
                proxy.reset_all()
        return "half of all links"

    def _restart_engine(self, _duration_s):
        engine = self._random.choice(self._site.engines)
        # A placer that has restarted does not know the delayed orders, and could not
        # prevent their execution under the same id.
        if self._random.random() < 0.5 and not engine.delayed_orders:
            self._site.restart_backend(engine, engine.backend_id)
        else:
            self._restart_under_new_id(engine)
        return engine.backend_id

    def _restart_under_new_id(self, engine, software_version=None):
        self._restart_count += 1
        name = engine.backend_id.partition("#")[0]
        self._site.restart_backend(
            engine, f"{name}#{self._restart_count}", software_version
        )

    def _change_software(self, duration_s):
        """Give all engines the newest version, one after another, then a newer one."""
        end_s = time.monotonic() + duration_s
        engines = self._site.engines
        newest = max(int(item.software_version.removeprefix("v")) for item in engines)
        while time.monotonic() < end_s:
            older = [item for item in engines if item.software_version != f"v{newest}"]
            if not older:
                newest += 1
                continue
            engine = older[0]
            engine.state = "draining"
            self._site.register(engine)
            gevent.sleep(VERSION_DRAIN_S)
            engine.state = "ready"
            # Under its old id it would run what a gateway without news sends to it.
            self._restart_under_new_id(engine, f"v{newest}")
            gevent.sleep(self._random.uniform(*VERSION_PAUSE_S))
        return f"up to v{newest}"

    def _name_limits(self, backends, duration_s):
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            backend = self._random.choice(backends)
            backend.limit.begin(self._random.choice(LIMITS_PER_S))
            gevent.sleep(self._random.uniform(*LIMIT_DURATION_S))
            backend.limit.end()
        return backends[0].service

    def _crash_prompts(self, duration_s):
        self._prepare_crashes(self._site.engines)
        for engine in self._site.engines:
            engine.faults.sends_head_early = self._random.random() < 0.5
        part_id = f"{self._random.getrandbits(32):08x}"
        self._site.set_crashing_part(part_id)
        gevent.sleep(duration_s)
        self._site.set_crashing_part("")
        return part_id

    def _crash_requests(self, duration_s):
        self._prepare_crashes(self._site.backends)
        kinds = self._random.sample(REQUEST_KINDS, 2)
        paths = [f"/{kind}/bad-{self._random.getrandbits(32):08x}" for kind in kinds]
        self._site.set_crashing_paths(paths)
        gevent.sleep(duration_s)
        self._site.set_crashing_paths([])
        return " ".join(paths)

    def _prepare_crashes(self, backends):
        for backend in backends:
            backend.crash_down_ms = CRASH_DOWN_MS
            proxy = self._site.proxies[backend.backend_id]
            backend.on_crash = proxy.stop_listening
            backend.restart_after_crash = functools.partial(
                self._return_backend, backend, proxy
            )

    def _return_backend(self, backend, proxy):
        proxy.listen()
        # A delayed order could be executed under the same id.
        has_delayed_orders = bool(getattr(backend, "delayed_orders", ()))
        if self._random.random() < NEW_ID_SHARE or has_delayed_orders:
            self._restart_under_new_id(backend)
        else:
            self._site.restart_backend(backend, backend.backend_id)

    def _delay_orders(self, duration_s):
        engine = self._random.choice(self._site.engines)
        is_restarted = self._random.random() < 0.5
        if is_restarted:
            # Both incarnations then have low order counts.
            self._restart_under_new_id(engine)
        engine.unanswered_pending += self._random.randint(1, DELAYED_ORDERS_MAX)
        gevent.sleep(duration_s)
        engine.unanswered_pending = 0
        if is_restarted:
            self._restart_under_new_id(engine)
        # Each order is executed at the moment at which it is valid.
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            engine.execute_delayed_orders()
            gevent.sleep(DELAYED_ORDER_POLL_S)
        engine.delayed_orders.clear()
        return engine.backend_id

    def _change_again(self, end_s):
        """Change the configuration from time to time."""
        while True:
            gevent.sleep(self._details.uniform(*CHANGES_INTERVAL_S))
            if time.monotonic() >= end_s:
                return
            self._run_fault(CONFIGURATION_KIND, self._change_configuration, True, 0.0)

    def _change_configuration(self, _duration_s):
        if self._details.random() < FURTHER_SILENCES_SHARE:
            self._silence_further()
        for _ in range(self._details.randint(1, BURST_VERSIONS_MAX)):
            self._site.put_configuration(draw_values(self._details))
            gevent.sleep(self._details.uniform(*BURST_PAUSE_S))
        return "configuration"

    def _increment_version(self, _duration_s):
        self._site.increment_version(f"a{self._random.randrange(4)}")
        return "version"

    def _drain_server(self, duration_s):
        server = self._random.choice(self._site.servers)
        server.state = "draining"
        self._site.register(server)
        gevent.sleep(duration_s)
        self._replace_server(server)
        return server.backend_id

    def _announce_leaving(self, duration_s):
        server = self._random.choice(self._site.servers)
        server.is_leaving = True
        gevent.sleep(duration_s)
        self._replace_server(server)
        return server.backend_id

    def _replace_server(self, server):
        """Begin the next incarnation of a server: one that leaves never comes back."""
        server.limit.end()
        server.incarnation += 1
        server.is_leaving = False
        server.state = "ready"
        self._site.register(server)

    def _pause_server(self, duration_s):
        server = self._random.choice(self._site.servers)
        server.retry_after_s = duration_s
        server.refusals_pending += self._random.randint(1, REFUSALS_MAX)
        gevent.sleep(duration_s)
        server.refusals_pending, server.retry_after_s = 0, None
        return server.backend_id

    def _silence_server(self, _duration_s):
        backend = self._random.choice(self._site.backends)
        silence_s = self._random.uniform(*SILENCE_S)
        if self._details.random() < FURTHER_SILENCES_SHARE:
            self._silence_further()
        if _may_fall_silent(backend):
            backend.faults.fall_silent(silence_s * 1000)
            gevent.sleep(silence_s)
        return backend.backend_id

    def _silence_further(self):
        """Let some further servers fall silent, each as long as a sound one may be."""
        backends = self._site.backends
        count = self._details.randint(1, len(backends))
        for backend in self._details.sample(backends, count):
            silence_s = self._details.uniform(*SILENCE_S)
            if not _may_fall_silent(backend):
                continue
            backend.faults.fall_silent(silence_s * 1000)
            started_s = time.monotonic()
            self.records.append(
                FaultRecord(
                    SILENCE_KIND,
                    backend.backend_id,
                    started_s,
                    started_s + silence_s,
                    is_planned=True,
                )
            )

    def _send_endless_answers(self, duration_s):
        backend = self._random.choice(self._site.backends)
        backend.faults.endless = self._random.choice(ENDLESS_ANSWERS)
        backend.faults.endless_interval_ms = ENDLESS_INTERVAL_MS
        gevent.sleep(duration_s)
        backend.faults.endless = None
        return backend.backend_id

    def _restore_store(self, duration_s):
        store = self._site.store
        copy = store.take_copy()
        gevent.sleep(duration_s)
        store.restore(copy)
        self._site.record_tenants()
        gevent.sleep(self._random.uniform(0.0, WRITTEN_AGAIN_S))
        self._site.write_all_again()
        return "store"
