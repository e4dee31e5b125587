"""What one gateway may use of a quota while the store is silent for it.

Points in time are on the gateway's monotonic clock.
"""

from nutmegdeal.quotas.bucket import SILENT_AFTER_MS

# When the row that grants no share was written.
NO_SHARE_MS = float("-inf")


class SilentShare:
    """What a gateway may use of a quota while the store is silent.

    Parameters
    ----------
    per_s : float
    carry : float
        Unused tokens that add up at most.
    written_ms : float
        When the row that grants it was written.
    kept_ms : float
    request_max : float
        A request may count so much, also if it exceeds `carry`.
    spent : float
        What was used while the row was being written.
    """

    def __init__(self, per_s, carry, written_ms, kept_ms, request_max, spent=0.0):
        self.spent = spent
        self.spent_ms = written_ms
        self._per_s = per_s
        self._carry = carry
        self._end_ms = written_ms + kept_ms
        self._level = -spent
        self._level_ms = written_ms + SILENT_AFTER_MS
        self._request_max = request_max

    def try_spend(self, charge, now_ms):
        """Use the share for a request; return whether it suffices."""
        if not self._level_ms <= now_ms < self._end_ms:
            return False
        gained = self._per_s * (now_ms - self._level_ms) / 1_000
        self._level = min(self._level + gained, self._carry)
        self._level_ms = now_ms
        if charge > max(self._carry, self._request_max):
            return False
        if not self._per_s or self._level < min(charge, self._carry):
            return False
        self._level -= charge
        self.spent += charge
        self.spent_ms = now_ms
        return True

    def drop_carry(self):
        """Drop what is unused: a call that failed may have given it back."""
        self._level = min(self._level, 0.0)
