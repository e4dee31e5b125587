"""Write docs/settings.md from the table in nutmegdeal/settings.py.

``python scripts/write_settings_page.py`` rewrites the page. With ``--check`` it writes
nothing and exits with 1 if the page is out of date.
"""

import pathlib
import sys

import attrs
from page_writer import write_or_check

from nutmegdeal.settings import Settings

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "settings.md"
HEAD = """# Settings

Every program but `nutmegdeal-fakes` and `nutmegdeal-bench` reads one INI file, named
with `--settings FILE`. `nutmegdeal-ctl` uses the section `[platform]` alone. A file
with mistakes stops the program with exit code 2, and all of its mistakes are printed
at once with section, key and what is allowed. A key that is left out has its default.

These are the settings of one process. What a team wants is not here but in its
[questionnaire](questionnaire.md).

Units are in the names: `_ms` is milliseconds, `_bytes` bytes. Values of keys marked
*secret* are never logged. This page is written by `scripts/write_settings_page.py`.
"""
UNITS = {"_ms": "ms", "_bytes_max": "bytes", "_ratio": "ratio", "_port": "port"}
TABLE_HEAD = "| key | default | unit | allowed | meaning |\n|---|---|---|---|---|"


def find_unit(name):
    """Return the unit that the suffix of a key names, "" if there is none."""
    if name == "port":
        return "port"
    return next((unit for end, unit in UNITS.items() if name.endswith(end)), "")


def describe_key(field):
    """Return the table row of a key."""
    metadata = field.metadata
    allowed = str(metadata["allowed"] or f"any {field.type.__name__}")
    default = f"`{field.default}`" if field.default != "" else "empty"
    text = metadata["text"] + (" *Secret.*" if metadata["secret"] else "")
    return (
        f"| `{field.name}` | {default} | {find_unit(field.name)} | {allowed} | {text} |"
    )


def describe_section(field):
    """Return the heading and table of a section."""
    summary = field.type.__doc__.strip().splitlines()[0]
    meaning = summary.partition(": ")[2]
    meaning = meaning[0].upper() + meaning[1:]
    rows = [describe_key(key) for key in attrs.fields(field.type)]
    return "\n".join([f"## [{field.name}]\n\n{meaning}\n", TABLE_HEAD, *rows])


def format_page():
    """Return the text of the page."""
    sections = [describe_section(field) for field in attrs.fields(Settings)]
    return "\n\n".join([HEAD.strip(), *sections]) + "\n"


def main():
    """Write or check the page; return the exit code."""
    return write_or_check(PAGE, format_page())


if __name__ == "__main__":
    sys.exit(main())
