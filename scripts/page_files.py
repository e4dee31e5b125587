"""What the scripts that write pages from tables have in common."""

import sys


def write_or_check(page, text):
    """Write a page, or with ``--check`` only compare it; return the exit code.

    Parameters
    ----------
    page : pathlib.Path
    text : str
        What it has to be.
    """
    if "--check" in sys.argv[1:]:
        return 0 if page.read_text(encoding="utf-8") == text else 1
    page.write_text(text, encoding="utf-8")
    return 0
