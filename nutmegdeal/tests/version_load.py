"""A gateway that sends requests while versions of an adapter follow each other.

The store is read by the gateway's own watcher, with answers that are late, lost, stale
or incomplete. What a server holds, and how long a request waits before it is sent and
in the engine's queue, is given by a test.
"""

import attrs

from nutmegdeal.clock import ManualClock
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.gateway.blackboard import Blackboard
from nutmegdeal.gateway.members import Membership
from nutmegdeal.gateway.run_versions import RunVersions
from nutmegdeal.gateway.telemetry import GatewayTelemetry
from nutmegdeal.gateway.versions import AdapterVersions
from nutmegdeal.gateway.watching import OperatorWatcher
from nutmegdeal.platform.store import HistoryGoneError, RowsRead, StorePosition
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.version_builders import ADAPTER, ADAPTER_KEY, build_version_row

VERSION_MS = 5_000.0
LOST = Failure(Reason.STORE_UNAVAILABLE, Step.PLATFORM, "store", "timed out")


class VersionStore:
    """A store with the versions of one adapter.

    Attributes
    ----------
    acknowledged_ms : dict of int to float
        When each version was acknowledged, on the boot-time clock of the gateway.
    request_ms, answer_ms : float
        How long a call and its answer are on their way.
    is_silent : bool
        Calls get no answer.
    has_history : bool
        Changes can be read.
    is_paged : bool
        Answers hold one change each.
    """

    def __init__(self, clock):
        self._clock = clock
        self.acknowledged_ms = {1: clock.boot_ms()}
        self.request_ms = self.answer_ms = 1.0
        self.is_silent = False
        self.has_history = True
        self.is_paged = False

    @property
    def newest(self):
        """Return the newest version (int)."""
        return max(self.acknowledged_ms)

    def acknowledge(self):
        """Take a further version."""
        self.acknowledged_ms[self.newest + 1] = self._clock.boot_ms()

    def read_table(self, table):
        """Return the newest row."""
        return self._answer([self.newest])

    def read_changes(self, table, after, wait_ms):
        """Return the changes since a position; nothing waits for them."""
        if not self.has_history:
            raise HistoryGoneError
        return self._answer(range(after.version + 1, self.newest + 1))

    def _answer(self, versions):
        self._clock.advance(self.request_ms)
        if self.is_silent:
            return LOST
        has_more = self.is_paged and len(versions) > 1
        versions = list(versions)[:1] if has_more else list(versions)
        position = StorePosition(0, versions[-1] if versions else self.newest)
        rows = tuple(build_version_row(item, item) for item in versions)
        store_ms = self._clock.boot_ms()
        self._clock.advance(self.answer_ms)
        return RowsRead(rows, position, store_ms, has_more=has_more)


@attrs.frozen
class WaitingRun:
    """A run in the queue of an engine.

    Parameters
    ----------
    request : Request
    version : RunVersion
    held : int
        Version at the engine.
    begins_ms : float
        When the engine begins it, on the boot-time clock.
    """

    request: object
    version: object
    held: int
    begins_ms: float


class VersionGateway:
    """A gateway that reads a VersionStore.

    Parameters
    ----------
    versions_class : type
    run_versions_class : type

    Attributes
    ----------
    begun_late_ms : list of float
        For how long the version of each run had been superseded, if for too long.
    """

    def __init__(self, versions_class=AdapterVersions, run_versions_class=RunVersions):
        self.clock = ManualClock()
        self.clock.advance(1_000.0)
        self.store = VersionStore(self.clock)
        self._telemetry = GatewayTelemetry()
        self.board = Blackboard(
            build.build_node_settings(),
            self.clock,
            Membership(),
            versions_class(VERSION_MS),
        )
        self.watcher = OperatorWatcher(self.store, self.board, self._telemetry)
        self._run_versions = run_versions_class(self.board, self._telemetry)
        self._waiting = []
        self.begun_late_ms = []

    def poll(self):
        """Read the store once."""
        self.watcher._poll()

    def send(self, held, queue_ms):
        """Send a request, and let it wait in the queue of an engine.

        Parameters
        ----------
        held : int
            Version of the adapter at the engine.
        queue_ms : float
            After which the engine begins the run, unless it has been ended before.

        Returns
        -------
        bool
            Whether it was sent.
        """
        member = build.build_member(resident=(f"{ADAPTER}@{held}",))
        request = build.build_request(adapter=ADAPTER)
        version = self._run_versions.choose(request, member)
        if version is None:
            return False
        run = WaitingRun(request, version, held, self.clock.boot_ms() + queue_ms)
        if queue_ms:
            self._waiting.append(run)
        else:
            self._check(run)
        return True

    def suspend(self, step_ms):
        """Suspend the host, which excuses it for the runs that wait."""
        self.clock.suspend(step_ms)
        self._waiting = []

    def advance(self, step_ms):
        """Let time pass, in which runs begin or are ended."""
        self.clock.advance(step_ms)
        waiting, self._waiting = self._waiting, []
        suspended_ms = self.clock.boot_ms() - self.clock.monotonic_ms()
        for run in waiting:
            until_ms = suspended_ms + self._run_versions.begin_until_ms(
                run.request, run.version
            )
            if run.begins_ms < min(until_ms, self.clock.boot_ms()):
                self._check(run)
            elif until_ms > self.clock.boot_ms():
                self._waiting.append(run)

    def _check(self, run):
        """Record a run that has begun later than the rule allows."""
        newest = self.board.versions.newest(ADAPTER_KEY)
        if newest is None or newest <= run.held:
            # It is excused while it has not been told.
            return
        newer = [
            at_ms
            for number, at_ms in self.store.acknowledged_ms.items()
            if number > run.held
        ]
        superseded_ms = run.begins_ms - min(newer, default=run.begins_ms)
        if superseded_ms > VERSION_MS:
            self.begun_late_ms.append(superseded_ms)
