"""``nutmegdeal-soak``: soak test of the real programs with seeded faults."""

import json
import pathlib
import sys
import tempfile

import attrs
import cyclopts

from nutmegdeal import __version__, log
from nutmegdeal.soak.runs import run_soak

EXIT_RULES_VIOLATED = 1

app = cyclopts.App(
    name="nutmegdeal-soak",
    help="Run gateways and placers as processes on loopback and inject faults.",
    version=__version__,
)


@app.default
def run(
    *,
    seed: int,
    count: int = 1,
    for_s: float = 15.0,
    folder: str = "",
    crashing_prompts: bool = False,
    limits: bool = False,
    crashing_requests: bool = False,
    software_versions: bool = False,
    tenants: bool = False,
    faulty_servers: bool = False,
    adapter_versions: bool = False,
    suspended_servers: bool = False,
    random_faults: bool = True,
):
    """Run the soak test with `count` consecutive seeds, starting at `seed`.

    Parameters
    ----------
    seed
        First seed.
    count
        Number of runs.
    for_s
        Seconds of each run during which faults are started.
    folder
        Where settings and logs are kept; a new temporary folder by default.
    crashing_prompts
        Callers also send prompts that crash engines, beside planned work and before
        the other faults.
    crashing_requests
        The same with requests that crash servers.
    limits
        Servers name limits on their requests a second, with more gateways.
    software_versions
        More engines, of two software versions, which change one after another; callers
        break streams off and take them up at other gateways.
    tenants
        Callers have API keys of tenants. Keys are revoked, also beside a silent store;
        a tenant with a quota sends many times its usual, and its limit is lowered.
    faulty_servers
        Servers repeat their refusals late, and another writer leaves odd entries among
        the registrations, beside all other faults.
    adapter_versions
        Some adapters get one version after another, and gateways reload their
        settings, beside all other faults; engines queue few requests, and callers keep
        asking for these adapters.
    suspended_servers
        Servers are suspended for seconds, beside all other faults, and run afterwards
        what has reached them, also if its client has left.
    random_faults
        Faults of all other kinds come, too; many of them excuse what would otherwise
        break a rule.
    """
    log.configure("warning", "soak")
    base = pathlib.Path(folder or tempfile.mkdtemp(prefix="nutmegdeal-soak-"))
    is_violated = False
    for number in range(seed, seed + count):
        run_folder = base / str(number)
        run_folder.mkdir(parents=True, exist_ok=True)
        result = run_soak(
            number,
            for_s,
            run_folder,
            crashing_prompts,
            limits,
            crashing_requests,
            software_versions,
            tenants,
            faulty_servers,
            adapter_versions,
            suspended_servers,
            random_faults,
        )
        print(json.dumps(attrs.asdict(result)), flush=True)
        is_violated = is_violated or bool(result.violations)
    sys.exit(EXIT_RULES_VIOLATED if is_violated else 0)


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
