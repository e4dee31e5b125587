"""Series of faults and planned changes, drawn from a seed; they overlap."""

import random
import signal
import time

import attrs
import gevent

from nutmegdeal.fakes.platform_store import StoreFault
from nutmegdeal.log import get_logger
from nutmegdeal.soak.proxy import ProxyMode

logger = get_logger(__name__)

RESTART_EVERY_S = 0.1
PAUSE_S = (0.05, 1.2)
LENGTH_S = (0.3, 3.0)
LINK_MODES = (
    ProxyMode.DELAY,
    ProxyMode.SILENT,
    ProxyMode.ONE_WAY,
    ProxyMode.REFUSE,
)


@attrs.frozen
class FaultRecord:
    """What was done, and from when to when on the monotonic clock.

    Parameters
    ----------
    kind, target : str
    started_s, ended_s : float
    is_planned : bool
        Planned work, around which nothing may be cut.
    """

    kind: str
    target: str
    started_s: float
    ended_s: float
    is_planned: bool


class FaultSeries:
    """Draws and plays faults on a SoakSite.

    Parameters
    ----------
    site : SoakSite
    seed : int
    """

    def __init__(self, site, seed):
        self.records = []
        self._site = site
        self._random = random.Random(seed)
        self._running = []
        self._actions = (
            ("kill", self._kill, False),
            ("pause", self._pause, False),
            ("terminate", self._terminate, True),
            ("store", self._break_store, False),
            ("store_link", self._break_store_link, False),
            ("backend_link", self._break_backend_link, False),
            ("placer_link", self._break_placer_link, False),
            ("reset", self._reset_links, False),
            ("engine_restart", self._restart_engine, False),
            ("configuration", self._change_configuration, True),
            ("version", self._bump_version, True),
            ("drain", self._drain_server, True),
        )

    def play(self, for_s):
        """Start faults for a time, then wait until all have ended."""
        end_s = time.monotonic() + for_s
        while time.monotonic() < end_s:
            action = self._random.choice(self._actions)
            length_s = self._random.uniform(*LENGTH_S)
            self._running.append(gevent.spawn(self._apply, *action, length_s))
            gevent.sleep(self._random.uniform(*PAUSE_S))
        gevent.joinall(self._running, raise_error=True)

    def _apply(self, kind, act, is_planned, length_s):
        started_s = time.monotonic()
        target = act(length_s)
        ended_s = time.monotonic()
        self.records.append(FaultRecord(kind, target, started_s, ended_s, is_planned))
        logger.info("fault_ended", kind=kind, target=target)

    def keep_running(self):
        """Start programs again that have ended, until killed."""
        while True:
            for program in self._site.programs:
                program.start_if_ended()
            gevent.sleep(RESTART_EVERY_S)

    def _kill(self, _length_s):
        program = self._random.choice(self._site.programs)
        program.send(signal.SIGKILL)
        return program.name

    def _pause(self, length_s):
        program = self._random.choice(self._site.programs)
        program.send(signal.SIGSTOP)
        gevent.sleep(length_s)
        program.send(signal.SIGCONT)
        return program.name

    def _terminate(self, _length_s):
        program = self._random.choice(self._site.programs)
        process = program.process
        program.send(signal.SIGTERM)
        while process.poll() is None:
            gevent.sleep(RESTART_EVERY_S)
        return program.name

    def _break_store(self, length_s):
        faults = (StoreFault.BUSY, StoreFault.SILENT, StoreFault.RESET)
        self._site.store.fault = self._random.choice(faults)
        if self._random.random() < 0.5:
            self._site.store.forget_history()
        gevent.sleep(length_s)
        self._site.store.fault = StoreFault.NONE
        return "store"

    def _break_link(self, proxy, length_s):
        proxy.mode = self._random.choice(LINK_MODES)
        gevent.sleep(length_s)
        proxy.mode = ProxyMode.PASS

    def _break_store_link(self, length_s):
        self._break_link(self._site.store_proxy, length_s)
        return "store"

    def _break_backend_link(self, length_s):
        name = self._random.choice(sorted(self._site.proxies))
        self._break_link(self._site.proxies[name], length_s)
        return name

    def _break_placer_link(self, length_s):
        self._break_link(self._random.choice(self._site.link_proxies), length_s)
        return "placer link"

    def _reset_links(self, _length_s):
        for proxy in (*self._site.proxies.values(), *self._site.link_proxies):
            if self._random.random() < 0.5:
                proxy.reset_all()
        return "half of all links"

    def _restart_engine(self, _length_s):
        engine = self._random.choice(self._site.engines)
        engine.restart()
        self._site.register(engine)
        return engine.backend_id

    def _change_configuration(self, _length_s):
        self._site.put_configuration()
        return "configuration"

    def _bump_version(self, _length_s):
        self._site.bump_version(f"a{self._random.randrange(4)}")
        return "version"

    def _drain_server(self, length_s):
        server = self._random.choice(self._site.servers)
        server.state = "draining"
        self._site.register(server)
        gevent.sleep(length_s)
        server.state = "ready"
        self._site.register(server)
        return server.backend_id
