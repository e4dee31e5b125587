"""Parses and validates a caller's request against a configuration."""

import hashlib
import json
import re
import urllib.parse

import attrs

from nutmegdeal.configuration import OperationPolicy, ServicePolicy
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.identifiers import AdapterRef
from nutmegdeal.messages import BackendKind, Submit, Urgency

COMPLETION_PATHS = frozenset({"/v1/completions", "/v1/chat/completions"})
SERVICES_PREFIX = "/services/"
# Used if the caller sends no X-Expires-Ms.
IDEMPOTENCY_KEY_LIFETIME_MS = 86_400_000
DEADLINE_DISTANCE_MAX_MS = 3_600_000
KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
PROMPT_PREFIX_CHARACTERS = 1_024
YES = "yes"


@attrs.frozen
class CallerHeaders:
    """The request headers that nutmegdeal reads, as text; "" if absent."""

    content_type: str = ""
    idempotency_key: str = ""
    deadline: str = ""
    expires: str = ""
    unrepeatable: str = ""
    traceparent: str = ""


@attrs.frozen
class CallerRequest:
    """A request as received from the caller.

    Parameters
    ----------
    method : str
    path : str
        Percent-encoded path without the query.
    query : str
    headers : CallerHeaders
    body : bytes
    """

    method: str
    path: str
    query: str
    headers: CallerHeaders
    body: bytes


@attrs.frozen
class Target:
    """The service, operation and adapter that a request is resolved to.

    Parameters
    ----------
    service : ServicePolicy
    operation : OperationPolicy
    method, path : str
        To call at the backend server; the path includes the query.
    body : bytes
    urgency : Urgency
    adapter : AdapterRef or None
        None for a plain service.
    stream : bool
    prefix_digest : str
        Digest of the beginning of the prompt, "" if there is no prompt.
    """

    service: ServicePolicy
    operation: OperationPolicy
    method: str
    path: str
    body: bytes
    urgency: Urgency
    adapter: AdapterRef | None = None
    stream: bool = False
    prefix_digest: str = ""


@attrs.frozen
class ExecutionTerms:
    """Deadline and idempotency of a request.

    Parameters
    ----------
    idempotent : bool
    idempotency_key : str
    expiry_unix_ms : int
        When the idempotency key expires; 0 for an idempotent request.
    deadline_unix_ms : int
        Not later than the expiry.
    """

    idempotent: bool
    idempotency_key: str
    expiry_unix_ms: int
    deadline_unix_ms: int


@attrs.frozen
class PreparedRequest:
    """A request that was parsed and validated under one configuration generation.

    Parameters
    ----------
    target : Target
    terms : ExecutionTerms
    headers : CallerHeaders
    generation : int
    """

    target: Target
    terms: ExecutionTerms
    headers: CallerHeaders
    generation: int


def resolve(request, configuration):
    """Return the Target of a CallerRequest, or a Failure."""
    if request.path in COMPLETION_PATHS:
        return _resolve_completion(request, configuration)
    if request.path.startswith(SERVICES_PREFIX):
        return _resolve_plain(request, configuration)
    return _refuse(Reason.NOT_FOUND, f"no such path: {request.path}")


def _resolve_completion(request, configuration):
    fields = _read_fields(request.body)
    if isinstance(fields, Failure):
        return fields
    model = fields.get("model")
    if not isinstance(model, str):
        return _refuse(Reason.BAD_REQUEST, "the body has no string 'model'")
    stream = fields.get("stream", False)
    if not isinstance(stream, bool):
        return _refuse(Reason.BAD_REQUEST, "'stream' is neither true nor false")
    adapter = configuration.resolve_model(model)
    if isinstance(adapter, Failure):
        return adapter
    policy = configuration.adapters[adapter.name]
    service = configuration.find_service(policy.service)
    if isinstance(service, Failure):
        return service
    operation = service.find_operation(request.method, request.path)
    if isinstance(operation, Failure):
        return operation
    fields["model"] = adapter.engine_name
    return Target(
        service,
        operation,
        request.method,
        request.path,
        json.dumps(fields).encode(),
        policy.urgency or operation.urgency,
        adapter,
        stream,
        _digest_prefix(fields),
    )


def _read_fields(body):
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        return _refuse(Reason.BAD_REQUEST, f"the body is not JSON: {error}")
    if not isinstance(fields, dict):
        return _refuse(Reason.BAD_REQUEST, "the body is not a JSON object")
    return fields


def _digest_prefix(fields):
    prompt = fields.get("prompt") or fields.get("messages") or ""
    text = prompt if isinstance(prompt, str) else json.dumps(prompt)
    if not text:
        return ""
    return hashlib.sha256(text[:PROMPT_PREFIX_CHARACTERS].encode()).hexdigest()


def _resolve_plain(request, configuration):
    rest = request.path[len(SERVICES_PREFIX) :]
    name, _, tail = rest.partition("/")
    path = f"/{tail}"
    if not _is_unambiguous_path(path):
        return _refuse(Reason.BAD_REQUEST, "the path has empty or dot segments")
    service = configuration.find_service(name)
    if isinstance(service, Failure):
        return service
    if service.kind is not BackendKind.PLAIN_SERVICE:
        detail = f"{name} is called by /v1 paths only"
        return _refuse(Reason.UNKNOWN_SERVICE, detail)
    operation = service.find_operation(request.method, path)
    if isinstance(operation, Failure):
        return operation
    full_path = f"{path}?{request.query}" if request.query else path
    return Target(
        service,
        operation,
        request.method,
        full_path,
        request.body,
        operation.urgency,
    )


def _is_unambiguous_path(path):
    """Return whether every server reads `path` as the same path.

    Control characters, backslashes, encoded slashes, dot segments, and empty segments
    before the last are refused.
    """
    decoded = urllib.parse.unquote(path, encoding="latin-1")
    if any(ord(character) < 0x20 for character in decoded) or "\\" in decoded:
        return False
    if decoded.count("/") != path.count("/"):
        return False
    segments = decoded[1:].split("/")
    if "." in segments or ".." in segments:
        return False
    return "" not in segments[:-1]


def read_terms(headers, operation, default_timeout_ms, now_unix_ms):
    """Return the ExecutionTerms of a request, or a Failure.

    Parameters
    ----------
    headers : CallerHeaders
    operation : OperationPolicy
    default_timeout_ms : int
        Time until the deadline of a request that sets none.
    now_unix_ms : int
    """
    deadline = _read_unix_ms(headers.deadline, now_unix_ms + default_timeout_ms)
    expiry = _read_unix_ms(headers.expires, now_unix_ms + IDEMPOTENCY_KEY_LIFETIME_MS)
    if deadline is None or expiry is None:
        return _refuse(Reason.BAD_REQUEST, "X-Deadline-Ms and X-Expires-Ms are Unix ms")
    if headers.unrepeatable not in ("", YES):
        return _refuse(Reason.BAD_REQUEST, "X-Unrepeatable may only be 'yes'")
    deadline = min(deadline, now_unix_ms + DEADLINE_DISTANCE_MAX_MS)
    if deadline <= now_unix_ms:
        return _refuse(Reason.DEADLINE_PASSED, "the deadline has passed")
    key = headers.idempotency_key
    if key and not KEY_PATTERN.fullmatch(key):
        return _refuse(
            Reason.BAD_REQUEST, "Idempotency-Key is not 1 to 255 visible characters"
        )
    if operation.idempotent and headers.unrepeatable != YES:
        return ExecutionTerms(True, key, 0, deadline)
    if not key:
        detail = f"operation {operation.name} needs an Idempotency-Key"
        return _refuse(Reason.KEY_MISSING, detail)
    if expiry <= now_unix_ms:
        return _refuse(Reason.KEY_EXPIRED, "X-Expires-Ms has passed")
    return ExecutionTerms(False, key, expiry, min(deadline, expiry))


def _read_unix_ms(text, default):
    """Return the number in `text`, `default` if it is "", None if it is invalid."""
    if not text:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= 15):
        return None
    return int(text)


def build_submit(request_id, attempt_id, prepared, traceparent):
    """Return the Submit message of one attempt at a PreparedRequest."""
    target, terms = prepared.target, prepared.terms
    return Submit(
        request_id=request_id,
        attempt_id=attempt_id,
        service=target.service.name,
        method=target.method,
        path=target.path,
        content_type=prepared.headers.content_type,
        body=target.body,
        adapter=target.adapter.name if target.adapter else "",
        version=target.adapter.version if target.adapter else "",
        urgency=target.urgency,
        idempotent=terms.idempotent,
        idempotency_key=terms.idempotency_key,
        expiry_unix_ms=terms.expiry_unix_ms,
        deadline_unix_ms=terms.deadline_unix_ms,
        generation=prepared.generation,
        stream=target.stream,
        traceparent=traceparent,
    )


def _refuse(reason, detail):
    return Failure(reason, Step.RESOLVE, "", detail)
