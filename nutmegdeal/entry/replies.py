"""HTTP answers to callers: status codes, headers and bodies by fate and reason."""

import json
import math

import attrs

from nutmegdeal.errors import Reason
from nutmegdeal.messages import Fate

REQUEST_ID_HEADER = "X-Request-Id"
FATE_HEADER = "X-Nutmegdeal-Fate"
RETRY_AFTER_HEADER = "Retry-After"
FATE_PENDING = "pending"
RETRY_AFTER_MIN_S = 1
JSON_TYPE = "application/json"
STATUS_NOT_RUN = 503
STATUS_MAYBE_RAN = 502
STATUS_OF_REFUSAL = {
    Reason.BAD_REQUEST: 400,
    Reason.KEY_MISSING: 400,
    Reason.DEADLINE_PASSED: 400,
    Reason.NOT_FOUND: 404,
    Reason.UNKNOWN_ADAPTER: 404,
    Reason.UNKNOWN_VERSION: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_OPERATION: 404,
    Reason.KEY_EXPIRED: 410,
    Reason.BODY_TOO_LARGE: 413,
    Reason.KEY_REUSED: 422,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.OVERLOADED: 429,
    Reason.QUEUE_FULL: 429,
    Reason.DEADLINE_UNREACHABLE: 429,
    Reason.RETRY_BUDGET_SPENT: 429,
}
RETRYABLE_STATUSES = frozenset({429, STATUS_NOT_RUN})


@attrs.frozen
class Reply:
    """A complete HTTP answer to a caller.

    Parameters
    ----------
    status_code : int
    headers : tuple of Header
    body : bytes
    """

    status_code: int
    headers: tuple
    body: bytes


@attrs.frozen
class Header:
    """One HTTP header of an answer."""

    name: str
    value: str


@attrs.frozen
class ErrorBody:
    """JSON body that a caller receives when its request has no complete answer."""

    error: str
    detail: str
    fate: str
    step: str
    peer: str
    request_id: str
    retry_at_unix_ms: int = 0


def describe_error(finish, request_id):
    """Return the ErrorBody of a Finish that has a failure, as JSON bytes."""
    failure = finish.failure
    body = ErrorBody(
        failure.reason.value,
        failure.detail,
        finish.fate.value,
        failure.step.value,
        failure.peer,
        request_id,
        finish.retry_at_unix_ms,
    )
    return json.dumps(attrs.asdict(body)).encode()


def describe_event(finish, request_id):
    """Return the server-sent error event that ends a failed stream."""
    return b"event: error\ndata: " + describe_error(finish, request_id) + b"\n\n"


def standard_headers(request_id, fate_text, content_type):
    """Return the headers that every answer has."""
    return (
        Header("Content-Type", content_type),
        Header(REQUEST_ID_HEADER, request_id),
        Header(FATE_HEADER, fate_text),
    )


def reply_to_finish(finish, request_id, now_unix_ms):
    """Return the Reply for a Finish of an answer that was not streamed."""
    if finish.answer is not None:
        answer = finish.answer
        headers = standard_headers(request_id, finish.fate.value, answer.content_type)
        return Reply(answer.status_code, headers, answer.body)
    headers = standard_headers(request_id, finish.fate.value, JSON_TYPE)
    status_code = _status_of(finish)
    if finish.fate is Fate.NOT_RUN and status_code in RETRYABLE_STATUSES:
        headers += (_retry_after(finish.retry_at_unix_ms, now_unix_ms),)
    return Reply(status_code, headers, describe_error(finish, request_id))


def _status_of(finish):
    if finish.fate is Fate.NOT_RUN:
        return STATUS_OF_REFUSAL.get(finish.failure.reason, STATUS_NOT_RUN)
    return STATUS_MAYBE_RAN


def _retry_after(retry_at_unix_ms, now_unix_ms):
    wait_s = math.ceil((retry_at_unix_ms - now_unix_ms) / 1000)
    return Header(RETRY_AFTER_HEADER, str(max(RETRY_AFTER_MIN_S, wait_s)))
