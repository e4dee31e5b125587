"""Writes or checks a generated page; shared by the scripts ``write_*_page.py``."""

import sys


def write_or_check(page, text):
    """Write a page, or with ``--check`` only compare it; return the exit code (int).

    Parameters
    ----------
    page : pathlib.Path
    text : str
        Expected content of the page.
    """
    if "--check" in sys.argv[1:]:
        return 0 if page.read_text(encoding="utf-8") == text else 1
    page.write_text(text, encoding="utf-8")
    return 0
