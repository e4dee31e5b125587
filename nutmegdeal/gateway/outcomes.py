"""Recent outcomes of requests to a backend server.

They reveal servers that fail part of their requests while they report themselves as
healthy, and servers that become unreachable without deregistering.
"""

import math

import attrs

# Weight of one outcome in the moving average, which thus covers about ten outcomes.
OUTCOME_WEIGHT = 0.12
# Without new outcomes the rate halves in this time: failing servers recover in seconds.
RATE_HALF_LIFE_MS = 3_000.0
# Time for which a server is avoided after a failed connect, doubled with each further
# failure. A restart takes seconds.
BLOCK_INITIAL_MS = 150.0
BLOCK_MAX_MS = 1_200.0


@attrs.define
class OutcomeHistory:
    """Moving average of failures, and a backoff after failed connects."""

    failure_rate_at_update: float = 0.0
    updated_ms: float = 0.0
    connect_failure_count: int = 0
    blocked_until_ms: float = 0.0

    def record_outcome(self, has_failed, now_ms):
        """Record the outcome of a request that reached the server."""
        rate = self.failure_rate(now_ms)
        target = 1.0 if has_failed else 0.0
        self.failure_rate_at_update = rate + OUTCOME_WEIGHT * (target - rate)
        self.updated_ms = now_ms
        if not has_failed:
            self.connect_failure_count = 0
            self.blocked_until_ms = 0.0

    def record_unreachable(self, now_ms):
        """Record a failed connect or a connection that stopped responding."""
        self.connect_failure_count += 1
        backoff_ms = BLOCK_INITIAL_MS * 2 ** (self.connect_failure_count - 1)
        self.blocked_until_ms = now_ms + min(backoff_ms, BLOCK_MAX_MS)

    def is_blocked(self, now_ms):
        """Return whether new requests should avoid the server if possible."""
        return now_ms < self.blocked_until_ms

    def failure_rate(self, now_ms):
        """Return the decayed share of failures, from 0 to 1 (float)."""
        age_ms = now_ms - self.updated_ms
        return self.failure_rate_at_update * math.exp2(-age_ms / RATE_HALF_LIFE_MS)
