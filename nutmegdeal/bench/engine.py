"""In-process stand-in for a model engine, with the limits of the weight store."""

import attrs

from nutmegdeal.backends.base import EngineReport, ModelEngine
from nutmegdeal.bench.load_bound import EngineDispatch
from nutmegdeal.bench.teams import BATCH_SIZE, SLOT_COUNT, TOKEN_MS
from nutmegdeal.errors import Failure, Reason, Step


@attrs.define
class BatchMeter:
    """Integrates how full the batch is while the engine has work.

    Parameters
    ----------
    busy_ms, filled_ms : float
        Time with requests running or waiting, and the same time weighted with the
        fraction of the batch that is in use.
    """

    busy_ms: float = 0.0
    filled_ms: float = 0.0
    _running_count: int = 0
    _has_work: bool = False
    _since_ms: float = 0.0
    _is_stopped: bool = False

    def update(self, running_count, has_work, now_ms):
        """Set the number of running requests and whether any runs or waits."""
        if self._has_work and not self._is_stopped:
            span_ms = now_ms - self._since_ms
            self.busy_ms += span_ms
            self.filled_ms += span_ms * self._running_count / BATCH_SIZE
        self._running_count = running_count
        self._has_work = has_work
        self._since_ms = now_ms

    def reset(self, now_ms):
        """Discard the measurements so far."""
        self.update(self._running_count, self._has_work, now_ms)
        self.busy_ms = self.filled_ms = 0.0

    def stop(self, now_ms):
        """End the measurement at `now_ms`."""
        self.update(self._running_count, self._has_work, now_ms)
        self._is_stopped = True


class FakeEngine(ModelEngine):
    """Engine with continuous batching that loads through a TransferSchedule.

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
        self.dispatches = []
        self.is_down = False
        self._loop = loop
        self._schedule = schedule
        self._restart_count = 0
        self._resident = set()
        self._loading = set()
        self._running = {}

    def call(self, submit):
        """Not supported: the benchmark runs requests with `run`."""
        raise NotImplementedError

    def run(self, attempt_id, engine_name, token_count):
        """Run a request in simulated time; return None or a Failure."""
        if self.is_down or engine_name not in self._resident:
            return Failure(Reason.NOT_FOUND, Step.DISPATCH, self.name, "not resident")
        if len(self._running) >= BATCH_SIZE:
            raise AssertionError(
                f"{self.name} was sent more requests than fit into its batch"
            )
        self._running[attempt_id] = sleeper = self._loop.begin_sleep()
        self.dispatches.append(EngineDispatch(self._loop.now_ms, engine_name))
        failure = self._loop.sleep(token_count * TOKEN_MS, sleeper)
        self._running.pop(attempt_id)
        return failure

    def load(self, engine_name, fence):
        """Load an adapter through the weight store; return None or a Failure."""
        if self.is_down:
            return Failure(Reason.CONNECTION_LOST, Step.LOAD, self.name)
        if len(self._resident | self._loading | {engine_name}) > SLOT_COUNT:
            raise AssertionError(
                f"{self.name} was ordered to load more adapters than it has slots"
            )
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
        """Unload an adapter immediately; return None."""
        self._resident.discard(engine_name)
        return

    def report(self):
        """Return an EngineReport."""
        return EngineReport(
            f"{self.name}-{self._restart_count}",
            tuple(sorted(self._resident)),
            tuple(sorted(self._loading)),
            len(self._running),
            BATCH_SIZE,
        )

    def restart(self):
        """Unload all adapters and fail all running requests."""
        self._restart_count += 1
        self._resident.clear()
        self._loading.clear()
        failure = Failure(Reason.BACKEND_RESTARTED, Step.RELAY, self.name)
        for sleeper in tuple(self._running.values()):
            self._loop.call_later(0.0, sleeper.wake, failure)

    def shut_down(self):
        """Simulate the loss of the engine's host."""
        self.is_down = True
        self.restart()

    def update_batch_meter(self, waiting_count):
        """Update the batch meter; `waiting_count` requests wait for the engine."""
        running_count = len(self._running)
        has_work = running_count + waiting_count > 0
        self.meter.update(running_count, has_work, self._loop.now_ms)
