"""Start a small site and measure the path of requests through entry and agent.

Prints one JSON line for each load and path: directly to the engine stand-in, and
through the entry. The batch of the engine is large, so that requests do not queue and
only the path is measured.
"""

import json
import pathlib
import sys
import tempfile

import nutmegdeal.tools  # noqa: F401  isort: skip

import attrs
import urllib3

from nutmegdeal.bench import request_path
from nutmegdeal.tests.process_site import Site, wait_until

ROOT = pathlib.Path(__file__).resolve().parent.parent
QUESTIONNAIRE = ROOT / "examples" / "knusepool" / "questionnaire.ini"
BATCH_SIZE = 256
MODELS = tuple(f"quote-{number:04}@2" for number in range(4))
SEED = 1
LOADS = (
    request_path.Load(20.0, 100, 16, 100, MODELS, SEED),
    request_path.Load(130.0, 1_300, 8, 100, MODELS, SEED),
    request_path.Load(130.0, 1_300, 64, 100, MODELS, SEED),
    request_path.Load(130.0, 1_300, 8, 20_000, MODELS, SEED),
)


def start_site(site, folder):
    """Start one engine, one agent and one entry; return the engine's host."""
    text = QUESTIONNAIRE.read_text()
    questionnaire = folder / "questionnaire.ini"
    questionnaire.write_text(
        text.replace("concurrency = 16", f"concurrency = {BATCH_SIZE}")
        .replace("replicas = 6", "replicas = 1")
        .replace("checks_orders = yes", "checks_orders = no")
    )
    site.start_platform(loads_per_s=20)
    site.accept_questionnaire(questionnaire)
    options = ("--token-ms", "20", "--batch-size", str(BATCH_SIZE))
    host = site.start_engine("assist-llm", *options, with_secret=False)
    site.start_entry()
    site.wait_until_ready()
    return host


def load_adapter(entry_url, model):
    """Send requests until one succeeds, so that the adapter is loaded."""

    def is_answered():
        body = {"model": model, "prompt": "warm", "max_tokens": 1}
        url = entry_url + "/v1/completions"
        return urllib3.request("POST", url, json=body, retries=False).status == 200

    wait_until(is_answered)


def main():
    """Measure all loads and print the results."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with Site(folder) as site:
            host = start_site(site, folder)
            (entry,) = site.entries
            for model in MODELS:
                load_adapter(entry.url, model)
            pids = (entry.process.pid, host.agent.process.pid)
            for load in LOADS:
                for result in request_path.measure_paths(
                    host.stand_in.url, entry.url, *pids, load
                ):
                    print(json.dumps(attrs.asdict(result)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
