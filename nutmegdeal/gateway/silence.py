"""What happens to a run whose server sends nothing for a while."""

import abc
import enum


class OverlapEnd(enum.Enum):
    """What follows when two runs of a stream have overlapped for the allowed time.

    ``FIRST``: the silent run goes on, and the other is given up.
    ``SECOND``: the silent run is given up.
    ``BOTH``: both go on until one of them delivers.
    """

    FIRST = "first"
    SECOND = "second"
    BOTH = "both"


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
    def decide_overlap(self, exchange):
        """Decide which of two runs goes on after the time that they may overlap.

        The other one has delivered nothing so far.

        Parameters
        ----------
        exchange : Exchange
            The silent one.

        Returns
        -------
        OverlapEnd
        """

    @abc.abstractmethod
    def record_abandoned(self):
        """Record that the silent run has ended, as another has taken over."""
