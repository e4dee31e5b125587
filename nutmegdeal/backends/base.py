"""Abstract clients through which an agent uses its backend server."""

import abc

import attrs

EVENT_STREAM_TYPE = "text/event-stream"


@attrs.frozen
class EngineReport:
    """State of a model engine as it reports it; the report may lag behind.

    Parameters
    ----------
    incarnation : str
        Changes when the engine restarts.
    resident : tuple of str
        Engine names of the loaded adapters.
    loading : tuple of str
        Engine names of the adapters that are being loaded.
    running_count : int
        Sequences in the current batch.
    batch_size_max : int
        Sequences that fit into a batch.
    """

    incarnation: str
    resident: tuple[str, ...]
    loading: tuple[str, ...] = ()
    running_count: int = 0
    batch_size_max: int = 1


@attrs.frozen
class BackendHead:
    """Status and headers of a backend server's answer.

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

    @property
    def is_event_stream(self):
        """Return whether the body is a stream of server-sent events."""
        media_type = self.content_type.partition(";")[0].strip().lower()
        return media_type == EVENT_STREAM_TYPE


class BackendAnswer(abc.ABC):
    """An answer whose body is read in chunks."""

    head: BackendHead

    @abc.abstractmethod
    def chunks(self):
        """Yield the body as chunks of bytes.

        The last item is a Failure with reason ``INCOMPLETE_ANSWER`` if the body ended
        early: before its declared length, its last chunk or its ``[DONE]`` event.
        """

    @abc.abstractmethod
    def close(self):
        """Stop reading; the server cancels the request when it notices."""


class Backend(abc.ABC):
    """Client of a backend server: a model engine or a plain service."""

    @abc.abstractmethod
    def call(self, submit):
        """Send the request of a `messages.Submit` and wait for the response headers.

        Returns
        -------
        BackendAnswer or Failure
            A Failure has ``maybe_applied=False`` only if the server cannot have run
            any part of the request: the connection was refused, or the server said
            that it did not run it.
        """


class ModelEngine(Backend):
    """Client of a backend server that runs a base model with LoRA adapters."""

    @abc.abstractmethod
    def load(self, engine_name, fence):
        """Load an adapter and wait until it is resident.

        Parameters
        ----------
        engine_name : str
        fence : int
            Fencing number of the sender; an engine that checks it rejects a number
            lower than the highest it has seen.

        Returns
        -------
        None or Failure
            After a Failure with ``maybe_applied=True``, `report` shows whether the
            adapter was loaded.
        """

    @abc.abstractmethod
    def unload(self, engine_name, fence):
        """Unload an adapter; parameters and result are those of `load`."""

    @abc.abstractmethod
    def report(self):
        """Return the engine's EngineReport, or a Failure."""
