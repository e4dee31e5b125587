"""Choice of the requests that end when a process holds too many bytes.

Answers the load of callers that send or read slowly, or of servers that do: a few of
the requests hold most of the bytes, while the others hold some KB for some ms.
"""

import attrs

from nutmegdeal.buffering.connections import STALLED_AFTER_MS


@attrs.frozen
class Holding:
    """What is held for one request.

    Parameters
    ----------
    account : HeldAccount
    held_bytes : int
    waited_ms : float or None
        For how long it has waited for its caller, None if it does not.
    is_unread : bool
        The request has not arrived completely.
    """

    account: object
    held_bytes: int
    waited_ms: float | None
    is_unread: bool = False

    @property
    def is_stalled(self):
        """Return whether its caller could go on, and has not for a while."""
        return self.waited_ms is not None and self.waited_ms >= STALLED_AFTER_MS

    @property
    def fault(self):
        """Return a key that is larger the more its caller is at fault.

        A request that holds much for a moment is not at fault, nor one that holds
        little for long.
        """
        if self.waited_ms is None:
            return False, 0.0, self.held_bytes
        return True, self.held_bytes * self.waited_ms, self.held_bytes


def choose_shed(holdings, excess_bytes, asking):
    """Return the Holdings to end so that the excess is free (list).

    First those whose callers have stalled. If they do not hold enough, a request that
    has not arrived completely is refused itself. For another one, those that have not
    arrived end next: they can be sent again. Last come the requests that servers may
    run, by what they hold.

    Parameters
    ----------
    holdings : iterable of Holding
    excess_bytes : float
    asking : Holding
        The one that needs the bytes.
    """
    stalled = _sort_by_fault(item for item in holdings if item.is_stalled)
    if not asking.is_unread:
        others = [item for item in holdings if not item.is_stalled]
        unread = _sort_by_fault(item for item in others if item.is_unread)
        rest = _sort_by_fault(item for item in others if not item.is_unread)
        return _take(stalled + unread + rest, excess_bytes)
    if sum(item.held_bytes for item in stalled) < excess_bytes:
        return [asking]
    return _take(stalled, excess_bytes)


def _sort_by_fault(holdings):
    return sorted(holdings, key=lambda item: item.fault, reverse=True)


def _take(holdings, excess_bytes):
    """Return the first Holdings that free the excess (list)."""
    chosen = []
    for holding in holdings:
        if excess_bytes <= 0:
            break
        if not holding.held_bytes:
            continue
        chosen.append(holding)
        excess_bytes -= holding.held_bytes
    return chosen
