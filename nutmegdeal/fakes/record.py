"""What a stand-in of a backend server really ran."""

import enum

import attrs


class Outcome(enum.Enum):
    """How a run ended."""

    RUNNING = "running"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    FAILED = "failed"


@attrs.define(eq=False)
class Run:
    """One request that was run, or is running.

    Parameters
    ----------
    attempt_id, idempotency_key : str
    adapter : str
        Engine name, "" for a plain service.
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
        """Set how the run ended, unless it has ended before."""
        if self.outcome is Outcome.RUNNING:
            self.outcome = outcome

    def to_json(self):
        """Return the run as the interface shows it."""
        fields = attrs.asdict(self)
        fields["outcome"] = self.outcome.value
        return fields


@attrs.define
class Record:
    """All runs of a stand-in since it started, restarts included.

    Parameters
    ----------
    runs : list of Run
    evicted_in_use_count : int
        Times an adapter was dropped while a request used it.
    """

    runs: list[Run] = attrs.field(factory=list)
    evicted_in_use_count: int = 0

    def begin(self, **fields):
        """Add and return a Run."""
        run = Run(**fields)
        self.runs.append(run)
        return run

    def to_json(self):
        """Return the record as the interface shows it."""
        return {
            "runs": [run.to_json() for run in self.runs],
            "evicted_in_use": self.evicted_in_use_count,
        }
