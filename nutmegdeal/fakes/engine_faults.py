"""Options and fault switches of the stand-in model engine."""

import attrs

from nutmegdeal.configuration import Fencing
from nutmegdeal.fakes.server import FaultTrigger


@attrs.frozen
class EngineOptions:
    """Properties of the engine that the stand-in imitates.

    Parameters
    ----------
    slot_count : int
        Maximum number of adapters that are resident or loading.
    batch_size : int
        Maximum number of requests run at once.
    token_ms : float
        Time to generate one token.
    fencing : Fencing
        Whether the engine rejects orders with an old fencing number.
    secret : str
        Bearer token that calls must carry; "" if none is checked.
    """

    slot_count: int = 8
    batch_size: int = 8
    token_ms: float = 20.0
    fencing: Fencing = Fencing.IGNORED
    secret: str = ""


@attrs.define
class EngineFaults:
    """Fault switches of the model engine.

    Parameters
    ----------
    slow_ms : float
        Time added to every token.
    load_fails : list of str
        Adapters (``adapter@version``) whose loads fail, "*" for all.
    load_slow_ms : float
        Time added to every load.
    lose_order_answer : FaultTrigger
        A load or unload order takes effect, but its connection is aborted.
    report_lag_ms : float
        Delay until a change appears in reports.
    report_down : bool
        Requests for reports get 503.
    cut_after_bytes : int
        The connection is aborted after so many bytes of a response; 0 for never.
    cut_count : int
        Responses to abort until `cut_after_bytes` is reset; 0 to abort all.
    wrong_echo : FaultTrigger
        A response names another adapter in ``X-Adapter``.
    not_run : FaultTrigger
        A request gets 503 and is not run.
    backend_error : FaultTrigger
        A request is recorded as run and gets 500.
    """

    slow_ms: float = 0.0
    load_fails: list[str] = attrs.field(factory=list)
    load_slow_ms: float = 0.0
    lose_order_answer: FaultTrigger = attrs.field(factory=FaultTrigger)
    report_lag_ms: float = 0.0
    report_down: bool = False
    cut_after_bytes: int = 0
    cut_count: int = 0
    wrong_echo: FaultTrigger = attrs.field(factory=FaultTrigger)
    not_run: FaultTrigger = attrs.field(factory=FaultTrigger)
    backend_error: FaultTrigger = attrs.field(factory=FaultTrigger)

    def take_cut_bytes(self):
        """Return the bytes after which to abort the next response, 0 for never.

        Counts down `cut_count`.
        """
        byte_count = self.cut_after_bytes
        if byte_count and self.cut_count:
            self.cut_count -= 1
            if self.cut_count == 0:
                self.cut_after_bytes = 0
        return byte_count
