"""What gateways and placers say to each other; `messages` encodes it."""

import attrs


@attrs.frozen
class EngineLimits:
    """What the configuration lets a model engine hold; a gateway tells its placer.

    Parameters
    ----------
    model : str
        Base model.
    adapter_slots_max : int
        Adapters that the engine holds or loads at once.
    gap_target_ms : float
        Shortest of the service's longest pauses between events that are on time.
    """

    model: str
    adapter_slots_max: int
    gap_target_ms: float = 0.0


@attrs.frozen
class AdapterWanted:
    """Requests of a gateway wait for an adapter at this engine.

    Parameters
    ----------
    adapter : str
    version : int
        0 for the newest.
    remaining_ms : int
        Time until nobody needs it any more. Clocks differ, so no point in time.
    due_in_ms : int
        Time in which the first of them should have its first event.
    waiting_count : int
        Requests of the gateway that wait, 0 for a copy that later ones will use.
    """

    adapter: str
    version: int
    remaining_ms: int
    due_in_ms: int = 0
    waiting_count: int = 1


@attrs.frozen
class AdapterUnwanted:
    """No request of this gateway waits for the adapter any more."""

    adapter: str


@attrs.frozen
class AdapterUse:
    """Use of one adapter of an engine by one gateway.

    Parameters
    ----------
    adapter : str
    running_count : int
        Requests of the gateway that run on it now.
    started_count : int
        Requests sent since the last message.
    """

    adapter: str
    running_count: int
    started_count: int


@attrs.frozen
class AdapterUses:
    """What a gateway uses of an engine; adapters not named are not in use.

    Parameters
    ----------
    uses : tuple of AdapterUse
    longest_gaps_ms : tuple of int
        Longest pause between events of each stream that ended since the last message.
    """

    uses: tuple[AdapterUse, ...]
    longest_gaps_ms: tuple[int, ...] = ()


@attrs.frozen
class PromptAsked:
    """A gateway wants to send a prompt to the engine.

    Parameters
    ----------
    number : int
        Names the prompt on this stream.
    tokens : int
    due_in_ms : int
        Time until its first event should be there.
    """

    number: int
    tokens: int
    due_in_ms: int


@attrs.frozen
class PromptCancelled:
    """The prompt will not be sent, or was sent without waiting any longer."""

    number: int


@attrs.frozen
class PromptGranted:
    """The prompt may be sent now."""

    number: int


@attrs.frozen
class EngineLoad:
    """How busy a model engine is.

    Parameters
    ----------
    running_count, waiting_count : int
    queued_count : int
        Adapters that wait for their load to begin.
    gateway_count : int
        Gateways with an open stream to the placer.
    waiting_tokens : int
        Tokens of the prompts that wait to be sent.
    """

    running_count: int = 0
    waiting_count: int = 0
    queued_count: int = 0
    gateway_count: int = 0
    waiting_tokens: int = 0


@attrs.frozen
class EngineState:
    """State of a model engine, as its placer sees it.

    Parameters
    ----------
    backend_started_unix_ms : int
        Incarnation of the engine, 0 if it does not say.
    is_reachable : bool
        The engine answers its placer.
    has_model : bool
        The engine holds its base model.
    resident, loading : tuple of str
        Adapters as ``name@version``.
    load : EngineLoad
    """

    backend_started_unix_ms: int
    is_reachable: bool
    has_model: bool
    resident: tuple[str, ...]
    loading: tuple[str, ...]
    load: EngineLoad


@attrs.frozen
class EngineChange:
    """What is different from what a placer said before on the same stream.

    Parameters
    ----------
    arrived, left : tuple of str
        Adapters that the engine now holds, or no longer, as ``name@version``.
    loading : tuple of str
        All that are on their way.
    load : EngineLoad
    """

    arrived: tuple[str, ...]
    left: tuple[str, ...]
    loading: tuple[str, ...]
    load: EngineLoad
