"""The agent's process: listens, runs the controllers and shuts them down."""

import gevent

from nutmegdeal.addresses import Address
from nutmegdeal.agent.assembly import Agent, EngineParts, PlainServiceParts
from nutmegdeal.agent.draining import HostWatch
from nutmegdeal.agent.status import StatusServer
from nutmegdeal.backends.engine import HttpModelEngine
from nutmegdeal.backends.plain import HttpPlainService
from nutmegdeal.buffering.connections import ConnectionBound
from nutmegdeal.buffering.process_limits import (
    AUXILIARY_CONNECTIONS_MAX,
    STREAM_BYTES,
    compute_connections_max,
    read_descriptors_max,
)
from nutmegdeal.channel import ChannelServer
from nutmegdeal.log import get_logger
from nutmegdeal.messages import BackendKind

logger = get_logger(__name__)

FINAL_FLUSH_COUNT = 3
FINAL_FLUSH_PAUSE_S = 0.2
RESTART_PAUSE_S = 1.0


class AgentProcess:
    """An agent with its listeners and greenlets.

    Parameters
    ----------
    settings : Settings
    incarnation : str
    clock : Clock
    bridge : bridges.Bridge
    platform : PlatformClients
    """

    def __init__(self, settings, incarnation, clock, bridge, platform):
        self.agent = Agent(settings, incarnation, clock, platform)
        self.status_port = None
        self._settings = settings
        self._platform = platform
        self._greenlets = []
        self._status = StatusServer(
            self.agent.board,
            self.agent.forecast,
            clock,
            ConnectionBound(AUXILIARY_CONNECTIONS_MAX),
        )
        limits = settings.process
        descriptors_max = read_descriptors_max(limits.descriptors_max)
        self._server = ChannelServer(
            bridge,
            settings.channel,
            self.agent.streams.accept,
            ConnectionBound(
                compute_connections_max(limits.memory_mb, descriptors_max, STREAM_BYTES)
            ),
        )

    def start(self):
        """Listen, and start all controllers; return the channel's Address."""
        listen = self._settings.listen
        address = self._server.start(Address(listen.host, listen.port))
        self.agent.board.agent_id = str(address)
        self.status_port = self._status.start(
            listen.host, self._settings.agent.status_port
        )
        watch = HostWatch(
            self._platform.hosts,
            address,
            self.agent.drain.begin,
            self._settings.platform,
        )
        self._spawn(
            self.agent.flusher.run,
            self.agent.configuration.run,
            self.agent.reporter.run,
            self._platform.recorder.run,
            watch.run,
        )
        self._greenlets.append(gevent.spawn(self._start_backend))
        return address

    def _spawn(self, *functions):
        for function in functions:
            self._greenlets.append(gevent.spawn(keep_running, function))

    def _start_backend(self):
        """Start the parts for the backend server's kind, once the kind is known."""
        board = self.agent.board
        while board.policy is None:
            board.changed.wait()
            board.changed.clear()
        self._spawn(*self._build_parts(board.policy.kind).loops())

    def _build_parts(self, kind):
        url = self._settings.agent.backend_url
        secret = self._settings.agent.backend_secret
        if kind is BackendKind.MODEL_ENGINE:
            return EngineParts(self.agent, HttpModelEngine(url, secret))
        return PlainServiceParts(self.agent, HttpPlainService(url, secret))

    def request_shutdown(self):
        """Begin the drain; called on SIGTERM."""
        self.agent.drain.begin()

    def run(self):
        """Wait for the drain and shut down; return whether all requests finished."""
        self.agent.drain.has_begun.wait()
        is_complete = self.agent.drain.wait_until_finished()
        self._server.stop()
        gevent.killall(self._greenlets)
        self._flush()
        lease = self.agent.board.lease
        if lease is not None:
            lease.release()
        self._status.stop()
        logger.info("stopped", whole=is_complete)
        return is_complete

    def _flush(self):
        for _ in range(FINAL_FLUSH_COUNT):
            if self._platform.recorder.write_watermark(is_final=True) is None:
                return
            gevent.sleep(FINAL_FLUSH_PAUSE_S)
        logger.error("account_not_stored")


def keep_running(loop):
    """Run a controller's loop, and restart it after an unexpected exception.

    Otherwise one exception would stop a controller for good while the agent goes on
    accepting requests.
    """
    while True:
        try:
            loop()
        except Exception:
            logger.exception("controller_failed", controller=loop.__qualname__)
        gevent.sleep(RESTART_PAUSE_S)
