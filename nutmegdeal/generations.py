"""Which configuration generation is in force in this process."""

import abc


class ConfigurationKeeper(abc.ABC):
    """Holds the newest configuration this process has seen; never steps back."""

    @property
    @abc.abstractmethod
    def current(self):
        """The Configuration in force, or None before the first was fetched."""

    @property
    @abc.abstractmethod
    def is_confirmed(self):
        """True if the head row has been read since this process started."""

    @abc.abstractmethod
    def observe(self, generation):
        """Note a generation that a peer has; a newer one makes `refresh` due."""

    @abc.abstractmethod
    def refresh(self):
        """Read the head and fetch what is newer.

        Returns
        -------
        Configuration or Failure
            The Configuration in force after the call.
        """
