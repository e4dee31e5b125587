"""``nutmegdeal-bench``: benchmarks of the policies and of single components."""

import json
from typing import Annotated, Literal

import attrs
import cyclopts

from nutmegdeal import __version__, log
from nutmegdeal.bench.bridge import measure_bridges
from nutmegdeal.bench.even_load_comparison import compare_even_load
from nutmegdeal.bench.generations import measure_generation_cost
from nutmegdeal.bench.leases import measure_lease_cost, measure_pause_harm
from nutmegdeal.bench.ledger import LedgerLoad, measure_ledger_costs
from nutmegdeal.bench.policies import PolicyName
from nutmegdeal.bench.policy_comparison import compare_policies
from nutmegdeal.bench.request_path import Load, measure_paths
from nutmegdeal.bench.slopes import measure_messages, measure_slopes
from nutmegdeal.bench.sustained_rate import SustainedRates, find_sustained_rate
from nutmegdeal.bench.teams import TEAMS
from nutmegdeal.bench.traffic import RunOptions, Scenario
from nutmegdeal.configuration import Fencing

LEASE_TERMS_MS = (15_000, 60_000, 300_000, 900_000)

ScenarioName = Literal[
    "steady",
    "shift",
    "cold_restart",
    "zone_loss",
    "half_rate",
    "overnight",
    "overload3x",
]
JsonFlag = Annotated[bool, cyclopts.Parameter(name="--json")]

app = cyclopts.App(
    name="nutmegdeal-bench",
    help="Benchmark the policies in simulated time, and single components.",
    version=__version__,
)


def _print_result(result, as_json):
    fields = attrs.asdict(result)
    if as_json:
        print(json.dumps(fields), flush=True)
        return
    for name, value in fields.items():
        print(f"{name}: {value}")


@app.command
def policy(
    *,
    team: str = "knusepool",
    scenario: ScenarioName = "steady",
    seed: int = 1,
    skew: float = 1.4,
    rate: float = 0.0,
    seconds: float = 120.0,
    as_json: JsonFlag = False,
):
    """Compare our policies with naive ones and a bound, on the same traffic.

    Parameters
    ----------
    team
        knusepool or cascadia.
    scenario
        Traffic pattern or disturbance of the run.
    seed
        Seed of the traffic and of all random choices.
    skew
        Exponent of the Zipf distribution over adapters.
    rate
        Requests per second; 0 for the default rate of the team.
    seconds
        Measured part of the simulated time, in seconds.
    as_json
        Print one JSON line.
    """
    options = _build_options(team, Scenario(scenario), seed, skew, rate, seconds)
    _print_result(compare_policies(options), as_json)


@app.command
def sustained(
    *,
    team: str = "knusepool",
    seed: int = 1,
    skew: float = 1.4,
    seconds: float = 120.0,
    as_json: JsonFlag = False,
):
    """Find the largest rate with short urgent load stalls and all answers in time.

    Parameters
    ----------
    team
        knusepool or cascadia.
    seed
        Seed of the traffic and of all random choices.
    skew
        Exponent of the Zipf distribution over adapters.
    seconds
        Measured part of the simulated time, in seconds.
    as_json
        Print one JSON line.
    """
    options = _build_options(team, Scenario.STEADY, seed, skew, 0.0, seconds)
    rates = [find_sustained_rate(name, options) for name in PolicyName]
    _print_result(SustainedRates(team, skew, seed, *rates), as_json)


@app.command
def ledger(
    *,
    rate: float = 5.0,
    agents: int = 3,
    writes_per_s: float = 300.0,
    counts_rows: bool = False,
    seconds: float = 20.0,
    seed: int = 1,
):
    """Compare ledger strategies by writes per request and added latency.

    Parameters
    ----------
    rate
        Non-idempotent requests per second.
    agents
        Number of agents among which the requests are distributed.
    writes_per_s
        Write rate limit of the table service.
    counts_rows
        Whether that limit counts rows instead of transactions.
    seconds
        Simulated time in seconds.
    seed
        Seed of the arrivals.
    """
    load = LedgerLoad(
        requests_per_s=rate,
        agent_count=agents,
        writes_per_s=writes_per_s,
        counts_rows=counts_rows,
        until_s=seconds,
        seed=seed,
    )
    for cost in measure_ledger_costs(load):
        _print_result(cost, True)


@app.command
def leases(*, replicas: int = 10_000, pauses: int = 20_000, seed: int = 1):
    """Show lease renewals for several terms, and late orders after random pauses.

    Parameters
    ----------
    replicas
        Number of backend servers, each with a lease.
    pauses
        Number of pauses of a lease holder to simulate.
    seed
        Seed of the pauses.
    """
    for fencing in Fencing:
        for term_ms in LEASE_TERMS_MS:
            _print_result(measure_lease_cost(term_ms, replicas, fencing), True)
    _print_result(measure_pause_harm(pauses, seed), True)


@app.command
def generations(*, adapters: int = 37_000):
    """Measure what a configuration change costs a process and an operator.

    Parameters
    ----------
    adapters
        Number of adapters in the configuration.
    """
    _print_result(measure_generation_cost(adapters), True)


def _build_options(team, scenario, seed, skew, rate, seconds):
    if team not in TEAMS:
        raise SystemExit(f"no team {team!r}; known: {', '.join(TEAMS)}")
    return RunOptions(
        team=TEAMS[team],
        scenario=scenario,
        seed=seed,
        skew=skew,
        rate_per_s=rate or TEAMS[team].rate_per_s,
        measured_ms=seconds * 1_000.0,
    )


@app.command
def even_load(*, engines: bool = False, seeds: int = 3, json_lines: JsonFlag = False):
    """Compare policies that choose servers by old load reports.

    Parameters
    ----------
    engines
        Compare for model engines instead of plain servers.
    seeds
        Number of seeds over which the figures are averaged.
    json_lines
        Print one JSON object per run instead of text.
    """
    for run in compare_even_load(engines, range(1, seeds + 1)):
        _print_result(run, json_lines)


@app.command
def bridge(*, count: int = 2_000):
    """Compare two ways to run grpclib with gevent; prints JSON lines.

    Parameters
    ----------
    count
        Number of round trips for each bridge.
    """
    for cost in measure_bridges(count):
        print(json.dumps(attrs.asdict(cost)), flush=True)


@app.command
def slopes():
    """Measure how memory, time and message sizes grow; prints JSON lines."""
    for slope in measure_slopes():
        fields = attrs.asdict(slope) | {"per_item": round(slope.per_item, 2)}
        print(json.dumps(fields), flush=True)
    for size in measure_messages():
        print(json.dumps(attrs.asdict(size)), flush=True)


@app.command
def path(
    *,
    engine_url: str,
    entry_url: str,
    entry_pid: int,
    agent_pid: int,
    models: tuple[str, ...],
    rate: float = 130.0,
    count: int = 1_300,
    tokens: int = 8,
    prompt_bytes: int = 100,
    seed: int = 1,
):
    """Compare a load through a running entry with the same load on the engine alone.

    ``make measure-path`` starts the processes and runs the same measurement.

    Parameters
    ----------
    engine_url
        Base URL of the stand-in for the engine.
    entry_url
        Base URL of the entry.
    entry_pid
        Process id of the entry.
    agent_pid
        Process id of the agent beside the engine.
    models
        Values of ``model``, used in rotation.
    rate
        Requests per second.
    count
        Number of requests.
    tokens
        Number of tokens of each answer.
    prompt_bytes
        Size of each prompt in bytes.
    seed
        Seed of the arrivals.
    """
    load = Load(rate, count, tokens, prompt_bytes, models, seed)
    for result in measure_paths(engine_url, entry_url, entry_pid, agent_pid, load):
        print(json.dumps(attrs.asdict(result)), flush=True)


def main():
    """Run the program; logs go to standard error, results to standard output."""
    log.configure("error", app.name[0])
    app()


if __name__ == "__main__":
    main()
