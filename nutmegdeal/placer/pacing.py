"""When a prompt may be sent to a model engine.

Answers the load of bursts of prompts: an engine reads prompts between the tokens of
the streams that it runs, so many prompts at once open a pause in every stream. Prompts
are let through so that those read within the longest pause on time leave room for the
streams' own tokens; the rest wait, the most urgent first.
"""

import collections

import attrs

# Prompt tokens that an engine reads in a ms: 38.4 and 38.7 on the sheets of the
# installations; the platform does not tell it to programs.
PROMPT_TOKENS_PER_MS = 38.0
# Share of a pause that may go to prompts; an event's own steps take 30 to 40 ms
# of it, and reading a long prompt costs more per token than a short one.
PROMPT_SHARE = 0.7


@attrs.frozen(order=True)
class _Ticket:
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
    """

    def __init__(self, window_ms=0.0):
        self.window_ms = window_ms
        self._waiting = {}
        self._admitted = collections.deque()
        self._admitted_tokens = 0
        self._number = 0

    @property
    def waiting_tokens(self):
        """Return the tokens of the prompts that wait."""
        return sum(ticket.tokens for ticket in self._waiting.values())

    def ask(self, key, tokens, due_ms):
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
        self._waiting[key] = _Ticket(due_ms, self._number, tokens, key)

    def cancel(self, key):
        """Forget a prompt that waits."""
        self._waiting.pop(key, None)

    def forget(self, session):
        """Forget all prompts of a session."""
        for key in [key for key in self._waiting if key[0] is session]:
            del self._waiting[key]

    def grant(self, now_ms):
        """Return the keys of the prompts that may be sent now."""
        self._expire(now_ms)
        granted = []
        while self._waiting:
            ticket = min(self._waiting.values())
            if not self._has_room(ticket.tokens):
                break
            del self._waiting[ticket.key]
            self._admitted.append((now_ms, ticket.tokens))
            self._admitted_tokens += ticket.tokens
            granted.append(ticket.key)
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
        most = self.window_ms * PROMPT_SHARE * PROMPT_TOKENS_PER_MS
        return self._admitted_tokens + tokens <= most
