"""Record of the runs of streams at the stand-in for a model engine."""

import attrs

SOFTWARE_VERSION = "v1"


@attrs.frozen
class StreamRun:
    """One run of a stream.

    Parameters
    ----------
    request_id : str
    first_event : int
        Number of the event with which the run begins.
    software_version : str
        Version of the engine's software as the run began.
    """

    request_id: str
    first_event: int
    software_version: str
