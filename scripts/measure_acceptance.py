"""Measure the time from acceptance of a configuration until every process applies it.

Starts a small site without traffic, with the default polling intervals, and accepts
changed configurations one after another. Prints one JSON line.
"""

import json
import pathlib
import sys
import tempfile
import time

import urllib3

from nutmegdeal.settings import PlatformSettings
from nutmegdeal.tests.process_site import Site, wait_until

ROOT = pathlib.Path(__file__).resolve().parent.parent
QUESTIONNAIRE = ROOT / "examples" / "knusepool" / "questionnaire.ini"
ROUND_COUNT = 10
ENTRY_COUNT = 3
POLL_SETTINGS = {
    "head_poll_every_ms": PlatformSettings().head_poll_every_ms,
    "hosts_poll_every_ms": PlatformSettings().hosts_poll_every_ms,
}


def read_generation(program):
    """Return the generation in force in an entry or agent."""
    answer = urllib3.request("GET", program.url + "/status", retries=False)
    return answer.json()["generation"]


def start_site(site):
    """Start three entries, two engines and a plain service with their agents."""
    site.start_platform()
    site.accept_questionnaire(QUESTIONNAIRE)
    site.start_engine("assist-llm")
    site.start_engine("assist-llm")
    site.start_plain("hire-core")
    for _ in range(ENTRY_COUNT):
        site.start_entry()
    site.wait_until_ready()


def measure_round_ms(site, generation):
    """Accept a changed configuration; return the ms until all processes apply it."""
    text = (site.folder / "configuration-1.ini").read_text()
    changed = site.folder / f"changed-{generation}.ini"
    weight = f"stall_weight = 0.{generation + 10}"
    changed.write_text(text.replace("stall_weight = 0.8", weight))
    programs = [*site.entries, *(host.agent for host in site.backends)]
    site.accept(changed, base=generation - 1)
    accepted_s = time.monotonic()
    wait_until(lambda: all(read_generation(each) == generation for each in programs))
    return (time.monotonic() - accepted_s) * 1000


def main():
    """Measure all rounds and print the median and the maximum."""
    settings = {"platform": POLL_SETTINGS}
    with (
        tempfile.TemporaryDirectory() as name,
        Site(pathlib.Path(name), settings) as site,
    ):
        start_site(site)
        times_ms = sorted(measure_round_ms(site, 2 + n) for n in range(ROUND_COUNT))
    median_ms = times_ms[len(times_ms) // 2]
    figures = {"rounds": ROUND_COUNT, "median_ms": median_ms, "max_ms": times_ms[-1]}
    print(json.dumps(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main())
