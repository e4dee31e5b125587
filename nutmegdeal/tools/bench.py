"""``nutmegdeal-bench``: measurements of the policies."""

import json
from typing import Annotated, Literal

import attrs
import cyclopts

from nutmegdeal import __version__, log
from nutmegdeal.bench.bridge import run as measure_bridges
from nutmegdeal.bench.generations import run as run_generations
from nutmegdeal.bench.leases import run as run_leases
from nutmegdeal.bench.leases import run_pauses
from nutmegdeal.bench.ledger import LedgerLoad
from nutmegdeal.bench.ledger import run as run_ledger
from nutmegdeal.bench.path import Load
from nutmegdeal.bench.path import run as run_path
from nutmegdeal.bench.policies import PolicyName
from nutmegdeal.bench.runs import compare
from nutmegdeal.bench.slopes import measure_messages, measure_slopes
from nutmegdeal.bench.sustained import Sustained, find_sustained_rate
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
    help="Measure the policies on seeded traffic in simulated time.",
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
    """Compare our policies with the naive ones and the bound on the same traffic.

    Parameters
    ----------
    team
        knusepool or cascadia.
    scenario
        What happens during the run.
    seed
        Seed of the traffic and of all random choices.
    skew
        Exponent of the Zipf distribution over adapters.
    rate
        Requests a second; 0 for the team's own.
    seconds
        Simulated time that is measured.
    as_json
        Print one JSON line.
    """
    options = _build_options(team, Scenario(scenario), seed, skew, rate, seconds)
    _print_result(compare(options), as_json)


@app.command
def sustained(
    *,
    team: str = "knusepool",
    seed: int = 1,
    skew: float = 1.4,
    seconds: float = 120.0,
    as_json: JsonFlag = False,
):
    """Find the largest rate with short urgent load stalls and nothing refused.

    Parameters
    ----------
    team
        knusepool or cascadia.
    seed
        Seed of the traffic and of all random choices.
    skew
        Exponent of the Zipf distribution over adapters.
    seconds
        Simulated time that is measured.
    as_json
        Print one JSON line.
    """
    options = _build_options(team, Scenario.STEADY, seed, skew, 0.0, seconds)
    rates = [find_sustained_rate(name, options) for name in PolicyName]
    _print_result(Sustained(team, skew, seed, *rates), as_json)


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
    """Compare ways to keep the ledger: writes a request, and time added to it.

    Parameters
    ----------
    rate
        Non-idempotent requests a second.
    agents
        Agents that they are spread over.
    writes_per_s
        Rate of the table service.
    counts_rows
        Whether that rate counts rows instead of transactions.
    seconds
        Simulated time.
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
    for cost in run_ledger(load):
        _print_result(cost, True)


@app.command
def leases(*, replicas: int = 10_000, pauses: int = 20_000, seed: int = 1):
    """Show the renewals of each lease term, and the harm that random pauses do.

    Parameters
    ----------
    replicas
        Backend servers with a lease each.
    pauses
        Pauses of a holder to try.
    seed
        Seed of the pauses.
    """
    for fencing in Fencing:
        for term_ms in LEASE_TERMS_MS:
            _print_result(run_leases(term_ms, replicas, fencing), True)
    _print_result(run_pauses(pauses, seed), True)


@app.command
def generations(*, adapters: int = 37_000):
    """Show what a change of configuration costs a process and an operator.

    Parameters
    ----------
    adapters
        Adapters in the configuration.
    """
    _print_result(run_generations(adapters), True)


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
def bridge(*, count: int = 2_000):
    """Compare the ways to join gevent and grpclib, as JSON lines.

    Parameters
    ----------
    count
        Round trips for each way.
    """
    for cost in measure_bridges(count):
        print(json.dumps(attrs.asdict(cost)), flush=True)


@app.command
def slopes():
    """Measure memory, time and control bytes at two sizes, as JSON lines."""
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
    """Compare a load through a running entry with the same straight to the engine.

    ``make measure-path`` starts the processes and calls the same measurement.

    Parameters
    ----------
    engine_url
        Base URL of the stand-in engine.
    entry_url
        Base URL of the entry.
    entry_pid
        Process id of the entry.
    agent_pid
        Process id of the agent beside the engine.
    models
        Values of ``model``, taken in turn.
    rate
        Requests a second.
    count
        Requests.
    tokens
        Tokens of each answer.
    prompt_bytes
        Size of each prompt.
    seed
        Seed of the arrivals.
    """
    load = Load(rate, count, tokens, prompt_bytes, models, seed)
    for figures in run_path(engine_url, entry_url, entry_pid, agent_pid, load):
        print(json.dumps(attrs.asdict(figures)), flush=True)


def main():
    """Run the program; logs go to standard error, figures to standard output."""
    log.configure("error", app.name[0])
    app()


if __name__ == "__main__":
    main()
