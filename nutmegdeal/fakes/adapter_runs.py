"""Record of the adapter versions with which the stand-in for a model engine ran."""

import attrs


@attrs.frozen
class AdapterRun:
    """One run for an adapter that has begun; times are of the monotonic clock.

    Parameters
    ----------
    request_id, backend_id, adapter : str
    version : int
    arrived_s : float
        When the engine received the request.
    began_s : float
        When it wrote the first token.
    """

    request_id: str
    backend_id: str
    adapter: str
    version: int
    arrived_s: float
    began_s: float


@attrs.frozen
class VersionAck:
    """Acknowledgement of an adapter version by the store, on the monotonic clock."""

    adapter: str
    version: int
    acked_s: float
