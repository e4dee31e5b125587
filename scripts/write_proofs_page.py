"""Write the lists of tests in docs/PROOFS.md from the pytest marks of the tests.

``python scripts/write_proofs_page.py`` rewrites the lists. With ``--check`` it writes
nothing and exits with 1 if they are out of date.
"""

import pathlib
import re
import sys

from page_writer import write_or_check

from nutmegdeal.tests.promises import collect_proofs

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "PROOFS.md"
LIST_PATTERN = re.compile(
    r"(<!-- tests of (\d+) -->\n).*?(<!-- end of tests -->)", re.DOTALL
)


def format_list(number, proofs):
    """Return the Markdown list of the tests of one promise."""
    tests = [proof.test for proof in proofs if proof.number == number]
    return "".join(f"- `{test}`\n" for test in tests)


def format_page(text, proofs):
    """Return `text` of the page with all lists replaced."""

    def replace_list(match):
        return match[1] + format_list(int(match[2]), proofs) + match[3]

    return LIST_PATTERN.sub(replace_list, text)


def main():
    """Write or check the page; return the exit code."""
    text = PAGE.read_text(encoding="utf-8")
    return write_or_check(PAGE, format_page(text, collect_proofs()))


if __name__ == "__main__":
    sys.exit(main())
