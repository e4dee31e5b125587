"""Messages between gateways and placers; `nutmegdeal.messages` encodes them.

Gateways send EngineLimits, AdapterWanted, AdapterUnwanted, AdapterUses, PromptAsked and
PromptCancelled; placers send EngineState, EngineChange and PromptGranted.
"""

import attrs


@attrs.frozen
class EngineLimits:
    """Limits of a model engine, and its id; first message of a gateway.

    Parameters
    ----------
    model : str
        Base model.
    adapter_slots_max : int
        Most adapters that the engine may hold and load at the same time.
    gap_target_ms : float
        Smallest target for the longest pause between events of a stream, over all
        streams of the service; 0 if there is none.
    backend_id : str
        Id of the instance for which the gateway opened the stream.
    backend_started_unix_ms : int
        Start time of that instance, 0 if it does not report it.
    """

    model: str
    adapter_slots_max: int
    gap_target_ms: float = 0.0
    backend_id: str = ""
    backend_started_unix_ms: int = 0


@attrs.frozen
class AdapterWanted:
    """The gateway needs an adapter at this engine.

    Parameters
    ----------
    adapter : str
    version : int
        0 for the newest.
    remaining_ms : int
        Time until the adapter is no longer needed. A duration and not a point in time,
        because the clocks of gateway and placer differ.
    due_in_ms : int
        Time until the adapter must be loaded for the most urgent waiting request to get
        its first event in time.
    waiting_count : int
        Requests of the gateway that wait for the adapter; 0 if it is to be loaded for
        later requests.
    rank : int
        Urgency of the most urgent of them; 0 is the first. Gateways of earlier releases
        do not send it.
    resumed_rank : int or None
        The same of the streams among them that their callers have resumed, None if
        there are none. The adapter is due until the last of those is abandoned.
    """

    adapter: str
    version: int
    remaining_ms: int
    due_in_ms: int = 0
    waiting_count: int = 1
    rank: int = 0
    resumed_rank: int | None = None


@attrs.frozen
class AdapterUnwanted:
    """No request of the gateway waits for the adapter any longer."""

    adapter: str


@attrs.frozen
class AdapterUse:
    """Use of one adapter of an engine by one gateway; part of AdapterUses.

    Parameters
    ----------
    adapter : str
    running_count : int
        Requests of the gateway that use the adapter now.
    started_count : int
        Requests that the gateway sent since its last AdapterUses.
    """

    adapter: str
    running_count: int
    started_count: int


@attrs.frozen
class AdapterUses:
    """The adapters of an engine that a gateway uses.

    Parameters
    ----------
    uses : tuple of AdapterUse
        The gateway does not use the adapters that are missing here.
    longest_gaps_ms : tuple of int
        Longest pause between events of each stream that ended since the last
        AdapterUses.
    work_time_percent : int
        How long work takes at the engine, relative to the usual time, as the gateway
        estimates it; 0 if the engine does not state it. Gateways of earlier releases
        do not send it.
    """

    uses: tuple[AdapterUse, ...]
    longest_gaps_ms: tuple[int, ...] = ()
    work_time_percent: int = 0


@attrs.frozen
class PromptAsked:
    """A gateway requests permission to send a prompt to the engine.

    Parameters
    ----------
    number : int
        Identifies the prompt on this stream.
    tokens : int
        Length of the prompt.
    due_in_ms : int
        Time until the first event of its response is due.
    rank : int
        Urgency of the request; 0 is the most urgent. Gateways of earlier releases do
        not send it.
    is_resumed : bool
        The caller has events of the stream from an earlier attempt.
    """

    number: int
    tokens: int
    due_in_ms: int
    rank: int = 0
    is_resumed: bool = False


@attrs.frozen
class PromptCancelled:
    """The prompt will not be sent, or was sent without waiting for permission."""

    number: int


@attrs.frozen
class PromptGranted:
    """The gateway may send the prompt now."""

    number: int


@attrs.frozen
class EngineLoad:
    """Load of a model engine.

    Parameters
    ----------
    running_count, waiting_count : int
        Requests that the engine runs, and that wait in the engine.
    queued_count : int
        Adapters whose load has not begun yet.
    gateway_count : int
        Gateways with an open stream to the placer.
    waiting_tokens : int
        Tokens of the prompts that wait for permission to be sent.
    states_places : bool
        The fields below are set; placers of earlier releases do not send them.
    spare_count, in_time_count, place_interval_ms, late_interval_ms : int
        As in `nutmegdeal.placer.turnover.PlaceQueue`.
    resumed_count, urgent_rank : int
        The same. By default no resumed stream goes first, as at placers of earlier
        releases.
    """

    running_count: int = 0
    waiting_count: int = 0
    queued_count: int = 0
    gateway_count: int = 0
    waiting_tokens: int = 0
    states_places: bool = False
    spare_count: int = 0
    in_time_count: int = 0
    place_interval_ms: int = 0
    late_interval_ms: int = 0
    resumed_count: int = 0
    urgent_rank: int = -1


@attrs.frozen
class EngineState:
    """State of a model engine as known to its placer.

    Parameters
    ----------
    backend_started_unix_ms : int
        Start time of the engine, which identifies its incarnation; 0 if the engine
        does not report it.
    is_reachable : bool
        The engine responds to its placer.
    has_model : bool
        The engine has loaded its base model.
    resident, loading : tuple of str
        Adapters as ``name@version``.
    load : EngineLoad
    is_leaving : bool
        The engine will exit and should get no new requests.
    """

    backend_started_unix_ms: int
    is_reachable: bool
    has_model: bool
    resident: tuple[str, ...]
    loading: tuple[str, ...]
    load: EngineLoad
    is_leaving: bool = False


@attrs.frozen
class EngineChange:
    """Changes since the last EngineState or EngineChange on the same stream.

    Parameters
    ----------
    added_adapters, removed_adapters : tuple of str
        Adapters that the engine has loaded, or has unloaded, since then, as
        ``name@version``.
    loading : tuple of str
        All adapters that are being loaded now, as ``name@version``.
    load : EngineLoad
    """

    added_adapters: tuple[str, ...]
    removed_adapters: tuple[str, ...]
    loading: tuple[str, ...]
    load: EngineLoad
