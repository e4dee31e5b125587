"""What happens to a run whose server sends nothing for a while."""

import abc


class OvertakenError(Exception):
    """The exchange that was to be replaced has delivered a part of the answer."""


class SilenceHandler(abc.ABC):
    """Decides what happens to a run whose server sends nothing for a while."""

    @abc.abstractmethod
    def replace(self, exchange):
        """Run the request at another server if one can take it now.

        Parameters
        ----------
        exchange : Exchange
            The silent one; it is abandoned if the other server begins to answer.

        Returns
        -------
        Attempt or None
            None if the silent run goes on.
        """

    @abc.abstractmethod
    def keeps_run(self, exchange):
        """Decide which of two runs goes on, as they may not overlap for longer.

        The other one has delivered nothing so far.

        Parameters
        ----------
        exchange : Exchange
            The silent one.

        Returns
        -------
        bool
            False if the silent run is given up for the other one.
        """

    @abc.abstractmethod
    def record_abandoned(self):
        """Record that the silent run has ended, as another has taken over."""
