"""Write docs/log-events.md from the table in nutmegdeal/log_events.py.

``python scripts/write_events_page.py`` rewrites the page. With ``--check`` it writes
nothing and exits with 1 if the page is out of date.
"""

import pathlib
import sys

from page_writer import write_or_check

from nutmegdeal.log_events import EVENTS

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "log-events.md"
HEAD = """# Log lines

Lines of `nutmegdeal-gateway` and `nutmegdeal-placer` on the users' platform: JSON
objects with `event`, `timestamp` (ISO 8601, UTC), `process`, `level`, `module` and the
fields below. No line has a body, a query, or a header other than the ids of the request
and of its prompt parts. What to do about them is told in [operations](OPERATIONS.md).
This page is written by `scripts/write_events_page.py`.
"""
TYPE_NAMES = {
    str: "text",
    int: "whole number",
    float: "number",
    bool: "true or false",
    list: "list",
    dict: "object",
    type(None): "null",
}


def describe_field(name, field):
    """Return the table row of a field."""
    kinds = {TYPE_NAMES[kind] for kind in field.types}
    if "number" in kinds:
        kinds.discard("whole number")
    return f"| `{name}` | {' or '.join(sorted(kinds))} | {field.text} |"


def describe_event(event):
    """Return the section of the page on a LogEvent."""
    head = f"## {event.name}\n\n{event.process.value.capitalize()}: {event.text}."
    if not event.fields:
        return head
    rows = [describe_field(name, field) for name, field in event.fields.items()]
    return "\n".join([head, "", "| field | type | meaning |\n|---|---|---|", *rows])


def format_page():
    """Return the text of the page."""
    return "\n\n".join([HEAD.strip(), *map(describe_event, EVENTS.values())]) + "\n"


def main():
    """Write or check the page; return the exit code."""
    return write_or_check(PAGE, format_page())


if __name__ == "__main__":
    sys.exit(main())
