"""Types that describe the log events and their fields."""

import enum

import attrs


class Process(enum.Enum):
    """The process that writes a log line."""

    GATEWAY = "gateway"
    PLACER = "placer"
    BOTH = "both"


@attrs.frozen
class Field:
    """One field of a log line.

    Parameters
    ----------
    types : tuple of type
        Types of the decoded JSON value; contains ``type(None)`` if it may be null.
    text : str
        Meaning of the field, for the generated page.
    """

    types: tuple
    text: str


@attrs.frozen
class LogEvent:
    """One kind of log line.

    Parameters
    ----------
    name : str
    process : Process
    text : str
        What one line stands for, for the generated page.
    fields : dict of str to Field
    """

    name: str
    process: Process
    text: str
    fields: dict[str, Field]


def text_field(text):
    """Return a Field that holds a text."""
    return Field((str,), text)


def count_field(text):
    """Return a Field that holds a whole number."""
    return Field((int,), text)


def version_field(text="version of the adapter that the server holds, if any"):
    """Return a Field that holds a version, or null."""
    return Field((int, type(None)), text)


def ms_field(text):
    """Return a Field that holds a time in ms."""
    return Field((float, int), f"{text}, in ms")


def optional_ms_field(text):
    """Return a Field that holds a time in ms, or null."""
    return Field((float, int, type(None)), f"{text}, in ms")


def ratio_field(text):
    """Return a Field that holds a number from 0 to 1."""
    return Field((float, int), f"{text}, from 0 to 1")


def names_field(text):
    """Return a Field that holds a list."""
    return Field((list,), text)


def flag_field(text):
    """Return a Field that holds true or false."""
    return Field((bool,), text)
