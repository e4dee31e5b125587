"""The bytes that a process holds for one request."""

import contextlib
import enum

import attrs


class HeldPart(enum.Enum):
    """What bytes are held for.

    ``BODY``: the body of the request, from its head to the end of the request; while it
    arrives, what it may take at most.
    ``SENDING``: what the system holds of the request until its server has read it.
    ``ANSWER``: an answer that is held until it is whole.
    ``EVENTS``: events that were read from a server and not written to the caller.
    ``WRITING``: what is being written to the caller.
    """

    BODY = "body"
    SENDING = "sending"
    ANSWER = "answer"
    EVENTS = "events"
    WRITING = "writing"


class UncountedAccount:
    """Stands for an account where nothing is bounded."""

    is_counted = False
    is_unread = False

    def set(self, part, bytes_count, holder=None):
        """Take no notice."""

    def release(self, holder):
        """Take no notice."""

    def waiting_for_caller(self, since_ms=None):
        """Return a context manager without effect."""
        return contextlib.nullcontext()

    def close(self):
        """Take no notice."""


UNCOUNTED = UncountedAccount()


@attrs.define(eq=False)
class HeldAccount:
    """The bytes held for one request, which count toward the bound of the process.

    Parameters
    ----------
    bound : MemoryBound
    interrupt : callable
        Called with the account and a CallerShedError to end the request, from another
        greenlet than its own.

    Attributes
    ----------
    held_bytes : int
    waiting_since_ms : float or None
        Since when the request waits for its caller to read or to send, on the monotonic
        clock; None if it does not.
    is_unread : bool
        The request has not arrived completely, so that it has certainly not run.
    is_shed : bool
        The request is being ended, so that its bytes count as free.
    is_closed : bool
        The request has ended.
    """

    is_counted = True

    _bound: object
    interrupt: object
    held_bytes: int = attrs.field(default=0, init=False)
    waiting_since_ms: float | None = attrs.field(default=None, init=False)
    is_unread: bool = attrs.field(default=False, init=False)
    is_shed: bool = attrs.field(default=False, init=False)
    is_closed: bool = attrs.field(default=False, init=False)
    _parts: dict = attrs.field(factory=dict, init=False)

    def set(self, part, bytes_count, holder=None):
        """Set how many bytes a part of the request takes.

        Parameters
        ----------
        part : HeldPart
        bytes_count : int
        holder : object, optional
            Tells apart what several runs of the request hold.

        Raises
        ------
        CallerShedError
            If this request has to end, as the process holds too much.
        """
        change = bytes_count - self._parts.get((holder, part), 0)
        if not change or self.is_closed:
            return
        self._parts[holder, part] = bytes_count
        self.held_bytes += change
        self._bound.record_change(self, change)

    def release(self, holder):
        """Remove what one run of the request holds."""
        for key in [key for key in self._parts if key[0] is holder]:
            self.set(key[1], 0, holder)
            del self._parts[key]

    @contextlib.contextmanager
    def waiting_for_caller(self, since_ms=None):
        """Count the time within the context as waiting for the caller.

        Parameters
        ----------
        since_ms : float, optional
            Since when it has waited, on the monotonic clock; by default from now on.
        """
        self.waiting_since_ms = self._bound.now_ms() if since_ms is None else since_ms
        try:
            yield
        finally:
            self.waiting_since_ms = None

    def close(self):
        """End the account, which holds nothing from now on."""
        if self.is_closed:
            return
        self.is_closed = True
        self._bound.remove(self)
