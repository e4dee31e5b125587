"""How long the store's answers are waited for."""

# Limits on the time that a call is waited for, and that time as a multiple of the last
# answer's.
TIMEOUT_MIN_MS = 200.0
TIMEOUT_MAX_MS = 1_500.0
TIMEOUT_FACTOR = 3.0


class AnswerTimeout:
    """How long a call to the store is waited for.

    An answer takes 4 to 20 ms, and a hundred times that while the store is slow. A call
    whose answer is lost should not hold up requests for longer than a slow one.
    """

    def __init__(self):
        self.timeout_ms = TIMEOUT_MIN_MS

    def record_answer(self, taken_ms):
        """Record that a call was answered."""
        self.timeout_ms = max(TIMEOUT_MIN_MS, TIMEOUT_FACTOR * taken_ms)
        self.timeout_ms = min(self.timeout_ms, TIMEOUT_MAX_MS)

    def record_failure(self):
        """Record that a call was not answered."""
        self.timeout_ms = min(2 * self.timeout_ms, TIMEOUT_MAX_MS)
