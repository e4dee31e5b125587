"""Measures the cost of ledger strategies: table writes and added latency."""

import random

import attrs

from nutmegdeal.bench.quantiles import percentile
from nutmegdeal.bench.simulated_time import LimitedTable, SimulatedResult, Simulation
from nutmegdeal.ledger import LedgerAnswer, LedgerState, MayDispatch, TableLedger
from nutmegdeal.ledger_rules import FinishRule, ledger_key
from nutmegdeal.messages import Submit, Urgency
from nutmegdeal.row_encoding import encode_record
from nutmegdeal.services.grouping import GroupCommitTable
from nutmegdeal.services.table import Write, Written

STRATEGIES = ("two_synchronous", "one_synchronous", "batched_outcomes", "grouped")
ANSWER = LedgerAnswer(200, "application/json", b"x" * 300)
FLUSH_EVERY_MS = 100.0
BATCH_ROWS_MAX = 100
DEADLINE_MS = 30_000
EXPIRY_MS = 600_000


@attrs.frozen
class LedgerLoad:
    """Request load and simulated environment.

    Parameters
    ----------
    requests_per_s : float
        Rate of non-idempotent requests, with Poisson arrivals.
    agent_count : int
        Agents among which the requests are distributed.
    writes_per_s : float
        Write rate limit of the table service.
    counts_rows : bool
        True if the limit counts rows, False if it counts transactions.
    one_way_ms : float
        Network delay to the table service, in each direction.
    backend_ms : float
        Processing time of the backend server.
    until_s : float
        Simulated time at which the arrivals end.
    seed : int
    """

    requests_per_s: float = 5.0
    agent_count: int = 3
    writes_per_s: float = 300.0
    counts_rows: bool = False
    one_way_ms: float = 0.5
    backend_ms: float = 20.0
    until_s: float = 60.0
    seed: int = 1


@attrs.frozen
class LedgerCost:
    """Cost of one strategy.

    Parameters
    ----------
    way : str
        Name of the strategy, one of `STRATEGIES`.
    requests_per_s : float
    request_count : int
    transactions_per_request, rows_per_request : float
    added_p50_ms, added_p99_ms : float
        Latency that the ledger adds to a request.
    unrecorded_p99_ms : float
        Time from an answer until its outcome is stored. A repeated request waits for
        up to that time, and a crash within it leaves the outcome of the request
        unknown.
    """

    way: str
    requests_per_s: float
    request_count: int
    transactions_per_request: float
    rows_per_request: float
    added_p50_ms: float
    added_p99_ms: float
    unrecorded_p99_ms: float


@attrs.define
class _Agent:
    """Ledger of one agent, and the outcomes that are not written yet."""

    ledger: TableLedger
    pending_outcomes: list = attrs.Factory(list)
    is_flushing: bool = False


class LedgerBench:
    """Simulation of one strategy under one load."""

    def __init__(self, strategy, load):
        self._strategy = strategy
        self._load = load
        self._simulation = Simulation()
        self._table = LimitedTable(
            self._simulation, load.writes_per_s, load.one_way_ms, load.counts_rows
        )
        self._agents = [self._build_agent() for _ in range(load.agent_count)]
        self._added_ms = []
        self._unrecorded_ms = []

    def _build_agent(self):
        table = self._table
        if self._strategy == "grouped":
            table = GroupCommitTable(
                table,
                self._simulation.spawn,
                lambda: SimulatedResult(self._simulation),
            )
        return _Agent(TableLedger(table, self._simulation.clock))

    def run(self):
        """Run the simulation and return the LedgerCost."""
        random_source = random.Random(self._load.seed)
        at_ms, count = 0.0, 0
        while at_ms < self._load.until_s * 1000:
            at_ms += random_source.expovariate(self._load.requests_per_s) * 1000
            count += 1
            submit = self._build_submit(count, at_ms)
            agent = random_source.choice(self._agents)
            self._simulation.spawn(
                lambda agent=agent, submit=submit: self._handle_request(agent, submit),
                at_ms,
            )
        self._simulation.run()
        return LedgerCost(
            way=self._strategy,
            requests_per_s=self._load.requests_per_s,
            request_count=count,
            transactions_per_request=self._table.transaction_count / count,
            rows_per_request=self._table.row_count / count,
            added_p50_ms=percentile(self._added_ms, 50),
            added_p99_ms=percentile(self._added_ms, 99),
            unrecorded_p99_ms=percentile(self._unrecorded_ms, 99),
        )

    def _build_submit(self, number, at_ms):
        unix_ms = self._simulation.clock.unix_ms() + int(at_ms)
        return Submit(
            request_id=f"r{number}",
            attempt_id=f"r{number}.1",
            service="hire-core",
            method="POST",
            path="/bookings",
            content_type="application/json",
            body=b"{}",
            adapter="",
            version="",
            urgency=Urgency.URGENT,
            idempotent=False,
            idempotency_key=f"k{number}",
            expiry_unix_ms=unix_ms + EXPIRY_MS,
            deadline_unix_ms=unix_ms + DEADLINE_MS,
            generation=1,
        )

    def _handle_request(self, agent, submit):
        simulation = self._simulation
        started_ms = simulation.now_ms
        claim = agent.ledger.begin(submit, "agent")
        added_ms = simulation.now_ms - started_ms
        if not isinstance(claim, MayDispatch):
            self._added_ms.append(float("inf"))
            return
        simulation.sleep(self._load.backend_ms)
        answered_ms = simulation.now_ms
        if self._strategy == "two_synchronous":
            agent.ledger.finish(claim, LedgerState.COMPLETED, ANSWER)
            added_ms += simulation.now_ms - answered_ms
            self._unrecorded_ms.append(0.0)
        elif self._strategy == "batched_outcomes":
            self._enqueue_outcome(agent, claim, answered_ms)
        else:
            agent.ledger.finish(claim, LedgerState.COMPLETED, ANSWER)
            self._unrecorded_ms.append(simulation.now_ms - answered_ms)
        self._added_ms.append(added_ms)

    def _enqueue_outcome(self, agent, claim, answered_ms):
        agent.pending_outcomes.append((claim, answered_ms))
        if not agent.is_flushing:
            agent.is_flushing = True
            self._simulation.spawn(lambda: self._write_outcomes(agent))

    def _write_outcomes(self, agent):
        while agent.pending_outcomes:
            self._simulation.sleep(FLUSH_EVERY_MS)
            batch = agent.pending_outcomes[:BATCH_ROWS_MAX]
            del agent.pending_outcomes[:BATCH_ROWS_MAX]
            result = self._table.write(
                [_build_outcome_write(claim) for claim, _ in batch]
            )
            assert isinstance(result, Written)
            for _, answered_ms in batch:
                self._unrecorded_ms.append(self._simulation.now_ms - answered_ms)
        agent.is_flushing = False


def _build_outcome_write(claim):
    rule = FinishRule(claim, LedgerState.COMPLETED, ANSWER)
    key = ledger_key(claim.row.service, claim.row.key)
    return Write(key, encode_record(rule.outcome), claim.version)


def measure_ledger_costs(load):
    """Return the LedgerCost of each strategy under a LedgerLoad (tuple)."""
    return tuple(LedgerBench(strategy, load).run() for strategy in STRATEGIES)
