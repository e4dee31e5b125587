"""Options and fault switches of the model engine stand-in."""

import attrs

from nutmegdeal.configuration import Fencing
from nutmegdeal.fakes.server import Chance


@attrs.frozen
class EngineOptions:
    """What kind of engine the stand-in is.

    Parameters
    ----------
    slot_count : int
        Adapters held at once.
    batch_size : int
        Requests run at once.
    token_ms : float
        Time of one token.
    fencing : Fencing
    secret : str
        Secret that calls must carry, "" for an engine that checks none.
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
        Engine names whose loads fail, "*" for all.
    load_slow_ms : float
        Time added to every load.
    lose_order_answer : Chance
        A load or unload order takes effect and its connection is cut.
    report_lag_ms : float
        Age of a change before reports show it.
    report_down : bool
        Reports answer 503.
    cut_after_bytes : int
        Answers are cut after so many bytes; 0 for never.
    cut_count : int
        Answers to cut before `cut_after_bytes` turns itself off; 0 for all.
    wrong_echo : Chance
        An answer names another adapter.
    not_run : Chance
        A request answers 503 and is not run.
    backend_error : Chance
        A request is run and answers 500.
    """

    slow_ms: float = 0.0
    load_fails: list[str] = attrs.field(factory=list)
    load_slow_ms: float = 0.0
    lose_order_answer: Chance = attrs.field(factory=Chance)
    report_lag_ms: float = 0.0
    report_down: bool = False
    cut_after_bytes: int = 0
    cut_count: int = 0
    wrong_echo: Chance = attrs.field(factory=Chance)
    not_run: Chance = attrs.field(factory=Chance)
    backend_error: Chance = attrs.field(factory=Chance)

    def take_cut(self):
        """Return the bytes after which the next answer is cut, 0 for never."""
        byte_count = self.cut_after_bytes
        if byte_count and self.cut_count:
            self.cut_count -= 1
            if self.cut_count == 0:
                self.cut_after_bytes = 0
        return byte_count
