"""Events in a request's life, from which its account is joined."""

import abc

import attrs

from nutmegdeal.errors import Step


@attrs.frozen
class Event:
    """One thing that happened to a request.

    Parameters
    ----------
    request_id : str
    at_unix_ms : int
    process : str
        Name of the process that saw it.
    incarnation : str
        Incarnation of that process.
    step : Step
    outcome : str
        What happened in one word: ``received``, ``sent``, ``refused``, a fate or a
        reason.
    attempt_id : str
    peer : str
        Other process or server involved.
    adapter, version : str
    generation : int
    detail : str
    """

    request_id: str
    at_unix_ms: int
    process: str
    incarnation: str
    step: Step
    outcome: str
    attempt_id: str = ""
    peer: str = ""
    adapter: str = ""
    version: str = ""
    generation: int = 0
    detail: str = ""


class Recorder(abc.ABC):
    """Where a process's controllers put events."""

    @abc.abstractmethod
    def record(self, event):
        """Keep an Event; never blocks and never raises."""
