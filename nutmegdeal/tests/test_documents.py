"""Tests that the documentation matches the programs and the tests."""

import pathlib
import re
import subprocess
import sys

import pytest

from nutmegdeal.exit_codes import ExitCode
from nutmegdeal.tests.promises import Proof, collect_proofs

ROOT = pathlib.Path(__file__).resolve().parents[2]
DOCS = ROOT / "docs"
PROMISE_COUNT = 9
LINK_PATTERN = re.compile(r"\]\(([^)#\s]+)(?:#[^)]*)?\)")
TEST_PATTERN = re.compile(r"`(test_\w+\.py::\w+)`")
SECTION_PATTERN = re.compile(r"^## (\d+)\. ", re.MULTILINE)


def read_proofs_page():
    """Return the Proofs that the page lists, and the numbers of its sections."""
    text = (DOCS / "PROOFS.md").read_text(encoding="utf-8")
    parts = SECTION_PATTERN.split(text)
    listed = set()
    for number, section in zip(parts[1::2], parts[2::2], strict=True):
        listed |= {Proof(int(number), test) for test in TEST_PATTERN.findall(section)}
    return listed, [int(number) for number in parts[1::2]]


def test_proofs_page_lists_exactly_the_marked_tests():
    """If this fails after a test was added, run ``make pages``."""
    listed, numbers = read_proofs_page()
    assert numbers == list(range(1, PROMISE_COUNT + 1))
    assert sorted(listed) == list(collect_proofs())


@pytest.mark.parametrize("script", ["write_settings_page.py", "write_events_page.py"])
def test_generated_pages_are_up_to_date(script):
    """If this fails after a setting or a log event was changed, run ``make pages``."""
    path = str(ROOT / "scripts" / script)
    assert subprocess.call([sys.executable, path, "--check"]) == 0


def test_operators_page_lists_every_exit_code():
    text = (DOCS / "operators.md").read_text(encoding="utf-8")
    for code in ExitCode:
        assert re.search(rf"^\| {code.value} \|", text, re.MULTILINE), code


@pytest.mark.parametrize(
    "page", [ROOT / "README.md", *sorted(DOCS.rglob("*.md"))], ids=lambda p: p.name
)
def test_links_point_to_files(page):
    for target in LINK_PATTERN.findall(page.read_text(encoding="utf-8")):
        if "://" not in target:
            assert (page.parent / target).exists(), target
