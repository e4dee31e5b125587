"""``nutmegdeal-bench``: measurements of the policies."""

import json
from typing import Annotated

import attrs
import cyclopts

from nutmegdeal import __version__
from nutmegdeal.bench.policies import PolicyName
from nutmegdeal.bench.runs import compare
from nutmegdeal.bench.sustained import Sustained, find_sustained_rate
from nutmegdeal.bench.teams import TEAMS
from nutmegdeal.bench.traffic import RunOptions, Scenario

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
    scenario: Scenario = Scenario.STEADY,
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
    options = _build_options(team, scenario, seed, skew, rate, seconds)
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


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
