"""A model engine in memory, for tests of several agents that share one engine."""

import gevent.event

from nutmegdeal.backends.base import BackendHead, EngineReport, ModelEngine
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.fakes.lag import LaggingValue
from nutmegdeal.identifiers import AdapterRef
from nutmegdeal.tests.agent_harness import LOST, ScriptedAnswer

BATCH_SIZE = 8


class SharedEngine(ModelEngine):
    """Runs each request until `finish_oldest`; its reports lag by `report_lag_ms`.

    It records evictions of adapters in use in `evicted_in_use`.

    Parameters
    ----------
    clock : ManualClock
    checks_fences : bool
    slot_count : int
    """

    def __init__(self, clock, checks_fences, slot_count=2):
        self._clock = clock
        self._checks_fences = checks_fences
        self._slot_count = slot_count
        self._fence_max = 0
        self._restart_count = 0
        self._resident = set()
        self._runs = []
        self._reports = LaggingValue(self._report_now())
        self.report_lag_ms = 0
        self.lost_answer_count = 0
        self.evicted_in_use = []
        self.wrong_runs = []

    def call(self, submit):
        adapter = AdapterRef(submit.adapter, submit.version).engine_name
        if adapter not in self._resident:
            return Failure(Reason.NOT_FOUND, Step.DISPATCH, "engine", "not_resident")
        run = (adapter, gevent.event.Event(), self._restart_count)
        self._runs.append(run)
        self._update_report()
        run[1].wait()
        if run[2] != self._restart_count:
            return Failure(
                Reason.CONNECTION_LOST, Step.DISPATCH, "engine", maybe_applied=True
            )
        return ScriptedAnswer(BackendHead(200, "text/plain", adapter), [b"done"])

    def finish_oldest(self):
        if self._runs:
            self._runs.pop(0)[1].set()
            self._update_report()

    def load(self, engine_name, fence):
        if not self._accepts(fence):
            return Failure(Reason.FENCED, Step.LOAD, "engine")
        if len(self._resident | {engine_name}) > self._slot_count:
            return Failure(Reason.QUEUE_FULL, Step.LOAD, "engine", "no_free_slot")
        self._resident.add(engine_name)
        return self._answer_order()

    def unload(self, engine_name, fence):
        if not self._accepts(fence):
            return Failure(Reason.FENCED, Step.EVICT, "engine")
        if any(adapter == engine_name for adapter, _, _ in self._runs):
            self.evicted_in_use.append(engine_name)
        self._resident.discard(engine_name)
        return self._answer_order()

    def _accepts(self, fence):
        if self._checks_fences and fence < self._fence_max:
            return False
        self._fence_max = max(self._fence_max, fence)
        return True

    def _answer_order(self):
        self._update_report()
        if not self.lost_answer_count:
            return None
        self.lost_answer_count -= 1
        return LOST

    def restart(self):
        self._restart_count += 1
        self._resident.clear()
        runs, self._runs = self._runs, []
        for _, finished, _ in runs:
            finished.set()
        self._update_report()

    def _report_now(self):
        return EngineReport(
            f"e{self._restart_count}",
            tuple(sorted(self._resident)),
            (),
            len(self._runs),
            BATCH_SIZE,
        )

    def _update_report(self):
        self._reports.replace(self._report_now(), self._clock.monotonic_ms())

    def report(self):
        return self._reports.read(self._clock.monotonic_ms(), self.report_lag_ms)
