"""Pacing of the prompts sent to a model engine.

An engine processes prompts between the tokens of its running streams, so a burst of
prompts delays the next event of every stream. The pacer limits the prompt tokens in a
sliding window as long as the target for the gap between events, so that time is left
for the streams' own tokens. Other prompts wait, and the most urgent is sent first.
Those of resumed streams take the turns of new ones of the same rank, as their callers
have waited longest. The turns of other ranks stay as they are. Engines differ in speed.
Some state it to gateways, which pass it on; apart from that, the limit adapts to the
gaps that callers see.
"""

import collections
import statistics

import attrs

# Prompt tokens that an engine processes per ms: the installations' data sheets say 38.4
# and 38.7. The platform does not report it to programs.
PROMPT_TOKENS_PER_MS = 38.0
# Share of the window available to prompts: the steps of an event itself take 30 to
# 40 ms of it, and a long prompt takes more time per token than a short one.
PROMPT_SHARE = 0.7
# A gap longer than this share of the window means that too much was sent.
LONG_GAP_SHARE = 0.9
# Gaps longer than this many windows have other causes, such as a frozen host, and are
# ignored.
GAP_WINDOWS_MAX = 2.0
# The pace decreases multiplicatively after a long gap and increases additively after
# any other. At equilibrium 1 stream in 67 has a long gap.
PACE_DECREASE_SHARE = 0.06
PACE_INCREASE = 0.0009
# Lowest pace, for an engine that is up to 1.3 times slower than it states, or than
# others.
PACE_MIN = 0.75
# Range of the time that work takes at an engine, in percent of the usual time. No
# engine is known that is faster, and a prompt sent too soon delays all its streams.
WORK_TIME_PERCENT_MIN = 70.0
WORK_TIME_PERCENT_MAX = 400.0
WORK_TIME_PERCENT_USUAL = 100.0
# With a backlog of more than this many full windows the pace is ignored, as waiting
# would make the prompts themselves late.
BACKLOG_MAX_WINDOWS = 1.0


@attrs.frozen(order=True)
class _WaitingPrompt:
    """A waiting prompt, ordered by urgency."""

    due_ms: float
    number: int
    tokens: int = attrs.field(order=False)
    key: tuple = attrs.field(order=False)
    rank: int = attrs.field(order=False, default=0)
    is_resumed: bool = attrs.field(order=False, default=False)


class PromptPacer:
    """Limits the prompt tokens sent to an engine in a sliding window.

    Parameters
    ----------
    window_ms : float
        Length of the window: the target for the gap between events of a stream. With 0
        there is no limit.

    Attributes
    ----------
    pace : float
        Share of the full token limit that is used, from PACE_MIN to 1.
    """

    def __init__(self, window_ms=0.0):
        self.window_ms = window_ms
        self.pace = 1.0
        self._waiting = {}
        self._admitted = collections.deque()
        self._admitted_tokens = 0
        self._number = 0
        self._percent_of = {}
        self._work_factor = 1.0

    @property
    def waiting_tokens(self):
        """Return the total tokens of the waiting prompts (int)."""
        return sum(prompt.tokens for prompt in self._waiting.values())

    def add(self, key, tokens, due_ms, rank=0, is_resumed=False):
        """Add a waiting prompt.

        Parameters
        ----------
        key : tuple
            Session and number, which identify the prompt.
        tokens : int
        due_ms : float
            When the first event should be there; the prompt with the earliest time is
            granted first.
        rank : int, optional
            Urgency of the request.
        is_resumed : bool, optional
            The caller has events of the stream from an earlier attempt.
        """
        self._number += 1
        self._waiting[key] = _WaitingPrompt(
            due_ms, self._number, tokens, key, rank, is_resumed
        )

    def cancel(self, key):
        """Remove a waiting prompt."""
        self._waiting.pop(key, None)

    def remove_session(self, session):
        """Remove all waiting prompts of a session."""
        for key in [key for key in self._waiting if key[0] is session]:
            del self._waiting[key]
        self.record_work_time(session, 0)

    def record_work_time(self, session, percent):
        """Record how long work takes at the engine, as one gateway estimates it.

        Each gateway knows only its own requests, so the median of all estimates is
        used.

        Parameters
        ----------
        session : object
            Identifies the gateway.
        percent : float
            In percent of the usual time; 0 if the gateway does not know it.
        """
        if percent == self._percent_of.get(session, 0):
            return
        if percent > 0:
            self._percent_of[session] = percent
        else:
            self._percent_of.pop(session, None)
        percents = self._percent_of.values() or (WORK_TIME_PERCENT_USUAL,)
        median = max(statistics.median(percents), WORK_TIME_PERCENT_MIN)
        self._work_factor = min(median, WORK_TIME_PERCENT_MAX) / WORK_TIME_PERCENT_USUAL

    def record_gap(self, gap_ms):
        """Adapt the pace to the longest gap between the events of a stream."""
        if gap_ms > GAP_WINDOWS_MAX * self.window_ms:
            return
        if gap_ms > LONG_GAP_SHARE * self.window_ms:
            self.pace = max(self.pace * (1 - PACE_DECREASE_SHARE), PACE_MIN)
        else:
            self.pace = min(self.pace + PACE_INCREASE, 1.0)

    def grant(self, now_ms):
        """Return the keys of the prompts that may be sent now."""
        self._expire(now_ms)
        granted = []
        while self._waiting:
            turn = min(self._waiting.values())
            prompt = self._find_resumed(turn) or turn
            if not self._fits_window(prompt.tokens):
                break
            if prompt is not turn:
                # Each turn of a rank stays one, so that other ranks do not wait longer.
                self._waiting[turn.key] = attrs.evolve(
                    turn, due_ms=prompt.due_ms, number=prompt.number
                )
            del self._waiting[prompt.key]
            self._admitted.append((now_ms, prompt.tokens))
            self._admitted_tokens += prompt.tokens
            granted.append(prompt.key)
        return granted

    def _find_resumed(self, turn):
        """Return the resumed prompt that takes the turn of another, None if none."""
        if turn.is_resumed:
            return None
        resumed = (
            item
            for item in self._waiting.values()
            if item.is_resumed and item.rank == turn.rank
        )
        return min(resumed, default=None)

    def next_ms(self):
        """Return when the next prompt may fit in the window, None if none waits."""
        if not self._waiting or not self._admitted:
            return None
        return self._admitted[0][0] + self.window_ms

    def _expire(self, now_ms):
        while self._admitted and now_ms - self._admitted[0][0] >= self.window_ms:
            _, tokens = self._admitted.popleft()
            self._admitted_tokens -= tokens

    def _fits_window(self, tokens):
        if not self._admitted or self.window_ms <= 0:
            return True
        full = self.window_ms * PROMPT_SHARE * PROMPT_TOKENS_PER_MS / self._work_factor
        has_backlog = self.waiting_tokens > BACKLOG_MAX_WINDOWS * full
        limit = full if has_backlog else full * self.pace
        return self._admitted_tokens + tokens <= limit
