"""How long ago the configuration in force is known to have been the newest one.

All times are in ms. Those named `store_ms` are on the store's clock, all others on the
boot-time clock of this process's host, which also counts the time that the host is
suspended. The monotonic clock does not, and would make an old confirmation look recent.
"""

import math

from nutmegdeal.clock import RemoteClockBound


class Confirmation:
    """Records which answers of the store confirm the configuration.

    Attributes
    ----------
    confirmed_ms : float
        Latest time at which the configuration known now is known to have been the
        newest one, minus infinity before the first confirmation.
    is_blocked : bool
        A row of the configuration could not be decoded, and no newer one has been.
    """

    def __init__(self):
        self.confirmed_ms = -math.inf
        self.is_blocked = False
        self._clock_bound = RemoteClockBound()

    def record_clock(self, sent_ms, store_ms, received_ms):
        """Use an answer about any table, for the clock offset only.

        Parameters
        ----------
        sent_ms, store_ms, received_ms
            As for `RemoteClockBound.tighten`.
        """
        self._clock_bound.tighten(sent_ms, store_ms, received_ms)

    def record_answer(self, sent_ms, store_ms, received_ms):
        """Use an answer about the configuration, after all its rows were applied.

        Parameters
        ----------
        sent_ms, store_ms, received_ms
            As for `record_clock`.
        """
        self.record_clock(sent_ms, store_ms, received_ms)
        if self.is_blocked:
            return
        confirmed_ms = self._clock_bound.find_made_ms(sent_ms, store_ms, received_ms)
        self.confirmed_ms = max(self.confirmed_ms, confirmed_ms)
