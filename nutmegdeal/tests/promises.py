"""Finds the tests marked with ``promise(n)``; n numbers a section of PROOFS.md."""

import ast
import pathlib
import re

import attrs

TESTS = pathlib.Path(__file__).resolve().parent
MARK_PATTERN = re.compile(r"mark\.promise\((\d+)\)")


@attrs.frozen(order=True)
class Proof:
    """A test and the number of one promise that it is marked with."""

    number: int
    test: str


def collect_proofs():
    """Return the Proofs of all test files as a sorted tuple.

    A mark on a test, on its class, in the module's ``pytestmark`` or around the value
    that is assigned to a name counts.
    """
    proofs = set()
    for path in TESTS.glob("test_*.py"):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        module_numbers = _find_module_promise_numbers(tree)
        for node in tree.body:
            for name, numbers in _find_marked_tests(node, module_numbers):
                proofs |= {Proof(n, f"{path.name}::{name}") for n in numbers}
    return tuple(sorted(proofs))


def _find_promise_numbers(nodes):
    text = "\n".join(ast.unparse(node) for node in nodes)
    return {int(number) for number in MARK_PATTERN.findall(text)}


def _find_module_promise_numbers(tree):
    marks = [
        node.value
        for node in tree.body
        if isinstance(node, ast.Assign) and ast.unparse(node.targets[0]) == "pytestmark"
    ]
    return _find_promise_numbers(marks)


def _find_marked_tests(node, module_numbers):
    """Yield (name, numbers) of the tests that a statement of a module defines."""
    if isinstance(node, ast.FunctionDef) and node.name.startswith("test_"):
        yield node.name, _find_promise_numbers(node.decorator_list) | module_numbers
    if isinstance(node, ast.ClassDef) and node.name.startswith("Test"):
        yield node.name, _find_promise_numbers(node.decorator_list) | module_numbers
    if isinstance(node, ast.Assign):
        name = ast.unparse(node.targets[0]).partition(".")[0]
        if name.startswith("Test"):
            yield name, _find_promise_numbers([node.value]) | module_numbers
