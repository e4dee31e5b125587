"""Record of the requests that a stand-in for a backend server ran."""

import enum

import attrs


class Outcome(enum.Enum):
    """State of a run, or how it ended."""

    RUNNING = "running"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    FAILED = "failed"


@attrs.define(eq=False)
class Run:
    """One request that has run or is running.

    Parameters
    ----------
    attempt_id, idempotency_key : str
    adapter : str
        ``adapter@version``; "" for a plain service.
    method, path : str
    body_digest : str
    started_ms : int
        Unix time.
    outcome : Outcome
    """

    attempt_id: str
    idempotency_key: str
    adapter: str
    method: str
    path: str
    body_digest: str
    started_ms: int
    outcome: Outcome = Outcome.RUNNING

    def end(self, outcome):
        """Set the outcome, unless the run has already ended."""
        if self.outcome is Outcome.RUNNING:
            self.outcome = outcome

    def to_json(self):
        """Return the run (dict) as ``/record`` sends it."""
        fields = attrs.asdict(self)
        fields["outcome"] = self.outcome.value
        return fields


@attrs.define
class RunRecord:
    """All runs of a stand-in since its process started, across engine restarts.

    Parameters
    ----------
    runs : list of Run
    evicted_in_use_count : int
        Times that an adapter was unloaded while a request used it.
    """

    runs: list[Run] = attrs.field(factory=list)
    evicted_in_use_count: int = 0

    def begin(self, **fields):
        """Add and return a Run."""
        run = Run(**fields)
        self.runs.append(run)
        return run

    def to_json(self):
        """Return the record (dict) as ``/record`` sends it."""
        return {
            "runs": [run.to_json() for run in self.runs],
            "evicted_in_use": self.evicted_in_use_count,
        }
