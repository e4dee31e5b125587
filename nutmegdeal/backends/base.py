"""What an agent asks of the backend server beside it."""

import abc

import attrs


@attrs.frozen
class EngineReport:
    """State of a model engine, as it reports it, with a lag.

    Parameters
    ----------
    incarnation : str
        Changes when the engine restarts.
    resident : tuple of str
        Engine names of the adapters held.
    loading : tuple of str
        Engine names of the adapters on their way.
    running_count : int
        Sequences in the current batch.
    batch_size_max : int
    """

    incarnation: str
    resident: tuple[str, ...]
    loading: tuple[str, ...] = ()
    running_count: int = 0
    batch_size_max: int = 1


@attrs.frozen
class BackendHead:
    """Status line of a backend server's answer.

    Parameters
    ----------
    status_code : int
    content_type : str
    adapter : str
        Engine name of the adapter that the server says it used; "" for a plain
        service.
    """

    status_code: int
    content_type: str
    adapter: str = ""


class BackendAnswer(abc.ABC):
    """An answer that is being read."""

    head: BackendHead

    @abc.abstractmethod
    def chunks(self):
        """Yield bytes, then end.

        The last item is a Failure with reason ``INCOMPLETE_ANSWER`` if the server
        broke off before the end that its protocol marks.
        """

    @abc.abstractmethod
    def close(self):
        """Stop reading; the server cancels the work when it notices."""


class Backend(abc.ABC):
    """A backend server of either kind."""

    @abc.abstractmethod
    def call(self, submit):
        """Send the request of a `messages.Submit` and wait for the answer's head.

        Returns
        -------
        BackendAnswer or Failure
            A Failure has ``maybe_applied=False`` only if the server cannot have run
            any of the request (the connection was refused, or the server said so).
        """


class ModelEngine(Backend):
    """A backend server that holds adapters."""

    @abc.abstractmethod
    def load(self, engine_name, fence):
        """Order an adapter to be loaded and wait until it is resident.

        Returns
        -------
        None or Failure
            With ``maybe_applied=True`` only `report` can settle what happened.
        """

    @abc.abstractmethod
    def unload(self, engine_name, fence):
        """Order an adapter to be dropped; return as `load` does."""

    @abc.abstractmethod
    def report(self):
        """Return an EngineReport or a Failure."""
