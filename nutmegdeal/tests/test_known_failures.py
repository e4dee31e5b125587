"""Tests of the list of tests that may fail."""

import importlib.util
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parents[2]


@pytest.fixture
def run_tests():
    spec = importlib.util.spec_from_file_location(
        "run_tests", ROOT / "scripts" / "run_tests.py"
    )
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_listed_test_that_passes_is_reported_unless_it_fails_at_times(
    run_tests, tmp_path
):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("# id | seen\na::x | always\nb::y (at times) | one in ten\n")
    known = run_tests.read_known_failures(path)
    assert known.keys() == {"a::x", "b::y"}
    assert run_tests.find_repaired({"a::x", "b::y", "c::z"}, known) == {"a::x"}
