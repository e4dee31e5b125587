"""Errors as values: a `Failure` carries its reason, step and peer."""

import enum

import attrs


class Reason(enum.Enum):
    """Why an operation failed or a request was refused."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    UNKNOWN_ADAPTER = "unknown_adapter"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_OPERATION = "unknown_operation"
    KEY_MISSING = "idempotency_key_missing"
    KEY_REUSED = "idempotency_key_reused"
    KEY_EXPIRED = "idempotency_key_expired"
    DEADLINE_PASSED = "deadline_passed"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    QUEUE_FULL = "queue_full"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    NO_REPLICA = "no_replica"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    STALE_GENERATION = "stale_generation"
    LEASE_LOST = "lease_lost"
    LOAD_FAILED = "load_failed"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_CONFLICT = "store_conflict"
    NOT_FOUND = "not_found"
    NOT_CONFIGURED = "not_configured"
    CONNECTION_LOST = "connection_lost"
    BACKEND_ERROR = "backend_error"
    BACKEND_RESTARTED = "backend_restarted"
    WRONG_ADAPTER = "wrong_adapter"
    INCOMPLETE_ANSWER = "incomplete_answer"
    CANCELLED = "cancelled"
    UNAUTHENTICATED = "unauthenticated"
    FENCED = "fenced"
    INTERNAL_ERROR = "internal_error"


class Step(enum.Enum):
    """Stage of request handling, or background task, in which something happened."""

    RECEIVE = "receive"
    RESOLVE = "resolve"
    ADMIT = "admit"
    ROUTE = "route"
    SUBMIT = "submit"
    QUEUE = "queue"
    LOAD = "load"
    EVICT = "evict"
    LEDGER = "ledger"
    DISPATCH = "dispatch"
    RELAY = "relay"
    ANSWER = "answer"
    CANCEL = "cancel"
    CONFIGURE = "configure"
    LEASE = "lease"
    FLUSH = "flush"
    REPORT = "report"
    DRAIN = "drain"
    PLATFORM = "platform"


@attrs.frozen
class Failure:
    """Error value that an operation returns in place of its result.

    Parameters
    ----------
    reason : Reason
    step : Step
        The step in which the failure occurred.
    peer : str
        The process, server, stored row or object, or configured name that it concerns;
        ``""`` for this process.
    detail : str
        One sentence for a human reader.
    maybe_applied : bool
        True if the operation may have taken effect in spite of the failure, for
        example because the answer to a write was lost.
    """

    reason: Reason
    step: Step
    peer: str = ""
    detail: str = ""
    maybe_applied: bool = False

    def __str__(self):
        where = f"{self.step.value} at {self.peer}" if self.peer else self.step.value
        text = f"{self.reason.value} in step {where}"
        return f"{text}: {self.detail}" if self.detail else text
