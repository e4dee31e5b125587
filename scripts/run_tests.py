"""Run pytest, ignoring failures of exactly the tests listed in KNOWN-RED.txt.

Tests marked with ``apart`` run one at a time, after all others. The exit code is 0 if
only listed tests failed. A listed test that passes makes the run fail, so that its
entry is removed, unless the entry says that it fails at times.
"""

import pathlib
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_FAILURES_PATH = ROOT / "KNOWN-RED.txt"
PYTEST_TESTS_FAILED = 1
# Options of pytest for the tests that run alone; they override earlier ones.
APART_OPTIONS = ("-m", "apart", "-n", "0")
# Stands after the id of a test that does not fail in every run.
AT_TIMES = " (at times)"


def read_known_failures(path):
    """Return a dict from each listed test id to its line in the file."""
    lines = path.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {
        entry.split("|")[0].strip().removesuffix(AT_TIMES): entry for entry in entries
    }


def find_repaired(passed, known):
    """Return the listed tests that passed although they should fail in every run."""
    return {
        test_id
        for test_id in passed & known.keys()
        if not known[test_id].split("|")[0].strip().endswith(AT_TIMES)
    }


def read_report(path):
    """Return two sets: ids of the passed and of the failed tests of a JUnit report."""
    passed, failed = set(), set()
    for case in ElementTree.parse(path).iter("testcase"):
        test_id = f"{case.get('classname')}::{case.get('name')}"
        has_failed = case.find("failure") is not None or case.find("error") is not None
        (failed if has_failed else passed).add(test_id)
    return passed, failed


def run_pytest(options):
    """Run pytest; return the ids of the passed and of the failed tests (two sets).

    Exits with the code of pytest if it could not run the tests.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.xml"
        command = [sys.executable, "-m", "pytest", f"--junitxml={report}"]
        code = subprocess.call([*command, *options], cwd=ROOT)
        if code not in (0, PYTEST_TESTS_FAILED) or not report.exists():
            sys.exit(code or 1)
        return read_report(report)


def main():
    """Run the tests, compare failures with the known ones, return the exit code."""
    known = read_known_failures(KNOWN_FAILURES_PATH)
    passed, failed = run_pytest([*sys.argv[1:], "-m", "not apart"])
    passed_apart, failed_apart = run_pytest([*sys.argv[1:], *APART_OPTIONS])
    passed |= passed_apart
    failed |= failed_apart
    for test_id in sorted(failed & known.keys()):
        print(f"known failure: {known[test_id]}")
    repaired = find_repaired(passed, known)
    for test_id in sorted(repaired):
        print(f"listed in KNOWN-RED.txt but passes: {test_id}")
    unexpected = sorted(failed - known.keys())
    for test_id in unexpected:
        print(f"failed: {test_id}")
    return 1 if unexpected or repaired else 0


if __name__ == "__main__":
    sys.exit(main())
