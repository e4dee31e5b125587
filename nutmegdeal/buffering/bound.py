"""The bound on the bytes that a process holds for its callers and for servers."""

from nutmegdeal.buffering.accounts import UNCOUNTED, HeldAccount
from nutmegdeal.buffering.shedding import Holding, choose_shed
from nutmegdeal.incoming_requests import CallerShedError

BYTES_PER_MB = 1_048_576
# Memory of a gateway that is linked to its servers, before its first request.
INTERPRETER_MB = 48.0
# Share of the rest that may be held. Copies that exist for a moment, the parsers'
# buffers and what the allocator does not return take the other part.
HELD_SHARE = 0.4
# Least bound, so that a process with little memory still serves usual requests.
HELD_BYTES_MIN = 4 * BYTES_PER_MB
# Share of the bound that large requests may take together until they have arrived. The
# rest is for small ones and for answers.
LARGE_SHARE = 0.75
SMALL_REQUEST_BYTES = 65_536


def compute_held_bytes_max(memory_mb):
    """Return how many bytes a process may hold, None without a limit (int or None).

    Parameters
    ----------
    memory_mb : float or None
        Memory of the process.
    """
    if memory_mb is None:
        return None
    held_mb = max(memory_mb - INTERPRETER_MB, 0.0) * HELD_SHARE
    return max(int(held_mb * BYTES_PER_MB), HELD_BYTES_MIN)


class MemoryBound:
    """Counts the bytes that are held, and ends requests beyond the bound.

    Parameters
    ----------
    bytes_max : int or None
        None to count nothing.
    clock : Clock

    Attributes
    ----------
    held_bytes : int
        Of all requests that are not being ended.
    """

    def __init__(self, bytes_max, clock):
        self.bytes_max = bytes_max
        self.held_bytes = 0
        self._clock = clock
        self._accounts = set()

    def open_account(self, interrupt):
        """Return the account of a new request.

        Parameters
        ----------
        interrupt : callable
            As in HeldAccount.
        """
        if self.bytes_max is None:
            return UNCOUNTED
        return HeldAccount(self, interrupt)

    def now_ms(self):
        """Return the time on the monotonic clock (float)."""
        return self._clock.monotonic_ms()

    def record_change(self, account, change_bytes):
        """Count a change of an account, and end requests if too much is held.

        Raises
        ------
        CallerShedError
            If the account's own request is one of them.
        """
        if account.is_shed:
            return
        self._accounts.add(account)
        self.held_bytes += change_bytes
        excess_bytes = self.held_bytes - self._limit_for(account)
        if change_bytes > 0 and excess_bytes > 0:
            self._shed(account, excess_bytes)

    def _limit_for(self, account):
        if account.is_unread and account.held_bytes > SMALL_REQUEST_BYTES:
            return self.bytes_max * LARGE_SHARE
        return self.bytes_max

    def remove(self, account):
        """Stop counting an account whose request has ended."""
        if account in self._accounts:
            self._accounts.discard(account)
            self.held_bytes -= account.held_bytes

    def _shed(self, asking, excess_bytes):
        own_error = self._end_others(asking, excess_bytes)
        try:
            if own_error is not None:
                raise own_error
        finally:
            # Else the frames of the traceback would keep each other, and what they
            # hold, until the next collection of garbage.
            del own_error

    def _end_others(self, asking, excess_bytes):
        """End requests; return the error of the asking one if it has to end, or None.

        Parameters
        ----------
        asking : HeldAccount
        excess_bytes : float
        """
        now_ms, total_bytes = self.now_ms(), self.held_bytes
        holdings = {
            item: Holding(
                item, item.held_bytes, _waited_ms(item, now_ms), item.is_unread
            )
            for item in self._accounts
        }
        own_error = None
        for holding in choose_shed(holdings.values(), excess_bytes, holdings[asking]):
            account = holding.account
            self.remove(account)
            account.is_shed = True
            error = CallerShedError(holding.held_bytes, holding.waited_ms, total_bytes)
            if account is asking:
                own_error = error
            else:
                account.interrupt(account, error)
        return own_error


def _waited_ms(account, now_ms):
    if account.waiting_since_ms is None:
        return None
    return now_ms - account.waiting_since_ms
