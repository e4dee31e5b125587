"""Requests of callers, and the errors that end them."""

import attrs

from nutmegdeal.buffering.accounts import UNCOUNTED


class CallerLeftError(Exception):
    """The caller closed its connection or stopped reading."""


class CallerShedError(CallerLeftError):
    """The request ends because the process holds too many bytes.

    Parameters
    ----------
    held_bytes : int
        What was held for the request.
    waited_ms : float or None
        For how long it had waited for its caller, None if it did not.
    total_bytes : int
        What the process held.
    """

    def __init__(self, held_bytes, waited_ms, total_bytes):
        super().__init__(f"{held_bytes} of {total_bytes} bytes held")
        self.held_bytes = held_bytes
        self.waited_ms = waited_ms
        self.total_bytes = total_bytes


class GraceEndedError(CallerLeftError):
    """The request ends because the grace time of the process does."""


@attrs.frozen
class IncomingRequest:
    """A request that was received completely.

    Parameters
    ----------
    method, target : bytes
    headers : list of (bytes, bytes)
        Names are lower case.
    body : bytes or memoryview
        Valid until the request ends.
    arrived_ms : float
        When the first byte was read, on the monotonic clock.
    held : HeldAccount or UncountedAccount
        Counts the bytes that are held for the request.
    """

    method: bytes
    target: bytes
    # Headers and bodies must not be logged: they hold API keys and prompts.
    headers: list = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    arrived_ms: float
    held: object = attrs.field(default=UNCOUNTED, eq=False, repr=False)

    @property
    def path(self):
        """Return the path of the target, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")
