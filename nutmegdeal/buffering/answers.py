"""The bound on the answers that a process holds until they are whole.

Answers the load of a faulty server whose answers do not end: the large answers fail
before they fill the memory, and the small ones of sound servers are still taken.
"""

import weakref

# Most bytes of one answer that is held until it is whole.
ANSWER_BYTES_MAX = 67_108_864
SMALL_ANSWER_BYTES = 262_144
HELD_ANSWERS_BYTES_MAX = 67_108_864


class HeldAnswer:
    """The bytes held for one answer, which count while this object exists.

    Parameters
    ----------
    bound : AnswerBound

    Attributes
    ----------
    byte_count : int
    """

    def __init__(self, bound):
        self._bound = bound
        self.byte_count = 0

    def grow(self, byte_count):
        """Count further bytes; return whether they may be held (bool)."""
        self.byte_count += byte_count
        if self.byte_count <= self._bound.small_bytes:
            return True
        return self._bound.held_bytes <= self._bound.bytes_max

    def clear(self):
        """Hold nothing."""
        self.byte_count = 0


class AnswerBound:
    """Counts the bytes of all answers that a process holds.

    Parameters
    ----------
    bytes_max : int
        Most bytes of them beside the small ones.
    small_bytes : int
        An answer of at most so many bytes is always held.
    """

    def __init__(
        self, bytes_max=HELD_ANSWERS_BYTES_MAX, small_bytes=SMALL_ANSWER_BYTES
    ):
        self.bytes_max = bytes_max
        self.small_bytes = small_bytes
        self._answers = weakref.WeakSet()

    def open_answer(self):
        """Return the HeldAnswer of a new answer."""
        answer = HeldAnswer(self)
        self._answers.add(answer)
        return answer

    @property
    def held_bytes(self):
        """Return the bytes of all answers (int)."""
        return sum(answer.byte_count for answer in list(self._answers))


# Of this process.
HELD_ANSWERS = AnswerBound()
