"""In-process fake of a model engine and of the weight store's limits."""

import attrs

from nutmegdeal.backends.base import EngineReport, ModelEngine
from nutmegdeal.bench.bound import Use
from nutmegdeal.bench.teams import BATCH_SIZE, SLOT_COUNT, TOKEN_MS
from nutmegdeal.errors import Failure, Reason, Step


@attrs.define
class BatchMeter:
    """Integrates how full a batch is while its engine has work.

    Parameters
    ----------
    busy_ms, filled_ms : float
        Time with requests running or waiting, and that weighed by the batch's fullness.
    """

    busy_ms: float = 0.0
    filled_ms: float = 0.0
    _running_count: int = 0
    _has_work: bool = False
    _since_ms: float = 0.0
    _is_stopped: bool = False

    def change(self, running_count, has_work, now_ms):
        """Note the number of running requests and whether any runs or waits."""
        if self._has_work and not self._is_stopped:
            span_ms = now_ms - self._since_ms
            self.busy_ms += span_ms
            self.filled_ms += span_ms * self._running_count / BATCH_SIZE
        self._running_count = running_count
        self._has_work = has_work
        self._since_ms = now_ms

    def reset(self, now_ms):
        """Forget what was measured so far."""
        self.change(self._running_count, self._has_work, now_ms)
        self.busy_ms = self.filled_ms = 0.0

    def stop(self, now_ms):
        """Measure up to now and no further."""
        self.change(self._running_count, self._has_work, now_ms)
        self._is_stopped = True


class FakeEngine(ModelEngine):
    """Engine that batches continuously and loads through a TransferSchedule.

    Parameters
    ----------
    name : str
    loop : SimulationLoop
    schedule : TransferSchedule
        Shared by all engines.
    """

    def __init__(self, name, loop, schedule):
        self.name = name
        self.meter = BatchMeter()
        self.load_count = 0
        self.uses = []
        self.is_down = False
        self._loop = loop
        self._schedule = schedule
        self._restart_count = 0
        self._resident = set()
        self._loading = set()
        self._sleepers = {}

    def call(self, submit):
        """Not used: the bench runs requests by `run`."""
        raise NotImplementedError

    def run(self, attempt_id, engine_name, token_count):
        """Run a request in simulated time; return None or a Failure."""
        if self.is_down or engine_name not in self._resident:
            return Failure(Reason.NOT_FOUND, Step.DISPATCH, self.name, "not resident")
        if len(self._sleepers) >= BATCH_SIZE:
            raise AssertionError(f"{self.name} was sent more than its batch")
        self._sleepers[attempt_id] = sleeper = self._loop.begin_sleep()
        self.uses.append(Use(self._loop.now_ms, engine_name))
        cut = self._loop.sleep(token_count * TOKEN_MS, sleeper)
        self._sleepers.pop(attempt_id)
        return cut

    def load(self, engine_name, fence):
        """Load an adapter through the weight store; return None or a Failure."""
        if self.is_down:
            return Failure(Reason.CONNECTION_LOST, Step.LOAD, self.name)
        if len(self._resident | self._loading | {engine_name}) > SLOT_COUNT:
            raise AssertionError(f"{self.name} was ordered more than its slots")
        restart_count = self._restart_count
        self.load_count += 1
        self._loading.add(engine_name)
        transfer = self._schedule.begin(self._loop.now_ms)
        self._loop.sleep(transfer.ends_at_ms - self._loop.now_ms)
        self._schedule.finish()
        if restart_count != self._restart_count:
            return Failure(Reason.LOAD_FAILED, Step.LOAD, self.name, "restarted")
        self._loading.discard(engine_name)
        self._resident.add(engine_name)
        return None

    def unload(self, engine_name, fence):
        """Drop an adapter at once; return None or a Failure."""
        self._resident.discard(engine_name)
        return

    def report(self):
        """Return an EngineReport."""
        return EngineReport(
            f"{self.name}-{self._restart_count}",
            tuple(sorted(self._resident)),
            tuple(sorted(self._loading)),
            len(self._sleepers),
            BATCH_SIZE,
        )

    def restart(self):
        """Lose all adapters and everything that runs."""
        self._restart_count += 1
        self._resident.clear()
        self._loading.clear()
        failure = Failure(Reason.BACKEND_RESTARTED, Step.RELAY, self.name)
        for sleeper in tuple(self._sleepers.values()):
            self._loop.call_later(0.0, sleeper.wake, failure)

    def shut_down(self):
        """Lose the host of the engine."""
        self.is_down = True
        self.restart()

    def note_work(self, waiting_count):
        """Note how many requests wait for the engine."""
        running_count = len(self._sleepers)
        has_work = running_count + waiting_count > 0
        self.meter.change(running_count, has_work, self._loop.now_ms)
