"""When a prompt may be sent to a model engine.

Answers the load of bursts of prompts: an engine reads prompts between the tokens of
the streams that it runs, so many prompts at once open a pause in every stream. Prompts
are let through so that those read within the longest pause on time leave room for the
streams' own tokens; the rest wait, the most urgent first. Engines differ in speed and
do not tell it, so what is let through follows the pauses that callers see.
"""

import collections

import attrs

# Prompt tokens that an engine reads in a ms: 38.4 and 38.7 on the sheets of the
# installations; the platform does not tell it to programs.
PROMPT_TOKENS_PER_MS = 38.0
# Share of a pause that may go to prompts; an event's own steps take 30 to 40 ms
# of it, and reading a long prompt costs more per token than a short one.
PROMPT_SHARE = 0.7
# A pause over this part of the window shows that too much was let through.
LONG_PAUSE_SHARE = 0.9
# Pauses over this many windows have other causes, such as a frozen host.
PAUSE_WINDOWS_MAX = 2.0
# Part by which less is let through after such a pause, and part of the full amount by
# which more is after another; in balance 1 stream in 67 has a pause that long.
PACE_DECREASE_FACTOR = 0.06
PACE_INCREASE = 0.0009
# Least part of the full amount: engines are up to 1.3 times slower than others.
PACE_MIN = 0.75
# Full amounts that may wait before all is let through that a fast engine could read:
# prompts would be late themselves.
BACKLOG_MAX_WINDOWS = 1.0


@attrs.frozen(order=True)
class _WaitingPrompt:
    """A prompt that waits, in order of urgency."""

    due_ms: float
    number: int
    tokens: int = attrs.field(order=False)
    key: tuple = attrs.field(order=False)


class PromptPacer:
    """Lets prompts through, at most so many tokens in a sliding window.

    Parameters
    ----------
    window_ms : float
        Longest pause between events of a stream that is on time; 0 lets all through.

    Attributes
    ----------
    pace : float
        Part of the full amount that is let through, from PACE_MIN to 1.
    """

    def __init__(self, window_ms=0.0):
        self.window_ms = window_ms
        self.pace = 1.0
        self._waiting = {}
        self._admitted = collections.deque()
        self._admitted_tokens = 0
        self._number = 0

    @property
    def waiting_tokens(self):
        """Return the tokens of the prompts that wait."""
        return sum(prompt.tokens for prompt in self._waiting.values())

    def add(self, key, tokens, due_ms):
        """Note a prompt.

        Parameters
        ----------
        key : tuple
            Names the prompt; a session and a number.
        tokens : int
        due_ms : float
            When its first event should be there; the earliest goes first.
        """
        self._number += 1
        self._waiting[key] = _WaitingPrompt(due_ms, self._number, tokens, key)

    def cancel(self, key):
        """Forget a prompt that waits."""
        self._waiting.pop(key, None)

    def forget(self, session):
        """Forget all prompts of a session."""
        for key in [key for key in self._waiting if key[0] is session]:
            del self._waiting[key]

    def record_pause(self, pause_ms):
        """Note the longest pause between the events of a stream."""
        if pause_ms > PAUSE_WINDOWS_MAX * self.window_ms:
            return
        if pause_ms > LONG_PAUSE_SHARE * self.window_ms:
            self.pace = max(self.pace * (1 - PACE_DECREASE_FACTOR), PACE_MIN)
        else:
            self.pace = min(self.pace + PACE_INCREASE, 1.0)

    def grant(self, now_ms):
        """Return the keys of the prompts that may be sent now."""
        self._expire(now_ms)
        granted = []
        while self._waiting:
            prompt = min(self._waiting.values())
            if not self._has_room(prompt.tokens):
                break
            del self._waiting[prompt.key]
            self._admitted.append((now_ms, prompt.tokens))
            self._admitted_tokens += prompt.tokens
            granted.append(prompt.key)
        return granted

    def next_ms(self):
        """Return when the next prompt may have room, None if none waits."""
        if not self._waiting or not self._admitted:
            return None
        return self._admitted[0][0] + self.window_ms

    def _expire(self, now_ms):
        while self._admitted and now_ms - self._admitted[0][0] >= self.window_ms:
            _, tokens = self._admitted.popleft()
            self._admitted_tokens -= tokens

    def _has_room(self, tokens):
        if not self._admitted or self.window_ms <= 0:
            return True
        full = self.window_ms * PROMPT_SHARE * PROMPT_TOKENS_PER_MS
        has_backlog = self.waiting_tokens > BACKLOG_MAX_WINDOWS * full
        limit = full if has_backlog else full * self.pace
        return self._admitted_tokens + tokens <= limit
