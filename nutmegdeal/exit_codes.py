"""Exit codes of nutmegdeal-ctl."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of all commands; 2 also stands for an invalid command line."""

    DONE = 0
    INVALID_INPUT = 2
    SUPERSEDED = 3
    UNAVAILABLE = 4
    IN_DOUBT = 5
    NOT_FOUND = 6
