"""Headers of requests and answers on the platform.

Header names are lower-case bytes, as in h11.
"""

import math
import re

import attrs

from nutmegdeal.http_connections import find_header
from nutmegdeal.site_configuration import SERVER_PRIORITY_LAST

# Headers that apply to one connection only or are set anew for each hop.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# The only backend server that may execute the request; others answer 421.
TARGET_ID = b"x-target-instance"
# Headers that only the gateway sets; those of a caller are dropped.
GATEWAY_HEADERS = frozenset(
    (
        b"x-deadline-ms",
        TARGET_ID,
        b"x-request-priority",
        b"x-expected-version",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-ms"
MODEL = b"x-model"
# The announced usage: prompt tokens, then the maximum of generated tokens.
TOKEN_USAGE = b"x-token-usage"
# The parts of the prompt in order, as ``ID:TOKENS`` pairs. The last one belongs to the
# request or its session; the others may be shared with other requests.
PROMPT_PARTS = b"x-prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
# The caller's API key, which goes no further, and the name of its tenant.
CREDENTIAL = b"x-credential"
TENANT = b"x-tenant"
KEY_HEADERS = frozenset((CREDENTIAL, TENANT))
# Of a caller that takes a stream up: id of the attempt that brought the first event.
RESUMES = b"resumes"
# Headers that differ between two attempts of one caller at the same request.
ATTEMPT_HEADERS = frozenset(
    (
        REQUEST_ID,
        DEADLINE,
        LAST_EVENT_ID,
        RESUMES,
        b"x-length-hint",
        b"date",
        b"traceparent",
        b"tracestate",
    )
)
# A backend server's proof that it produced the answer (a "receipt" on the platform).
SIGNATURE = b"x-response-signature"
NOT_EXECUTED = b"x-not-executed"
SERVER_LOAD = b"x-server-load"
SERVER_ID = b"x-instance-id"
# In all answers of a backend server that will exit.
SERVER_LEAVING = b"server-leaving"
# In all answers of a backend server that takes only so many requests a second, from all
# gateways together, for as long as it says so.
SERVER_LIMIT = b"server-limit"
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
RETRY_AFTER = b"retry-after"
# In all answers of the store.
STORE_ERA = b"store-era"
STATUS_UNAVAILABLE = 503
# Most prompt parts of one request that are looked at.
SHARED_PARTS_MAX = 32
# Larger counts in a reported load are a mistake of the server.
LOAD_COUNT_MAX = 1_000_000
# Running, waiting and slots, the counts of a reported load.
LOAD_COUNTS = 3
PRIORITY_FIRST = 0
STATUS_MISDIRECTED = 421


@attrs.frozen
class RequestTerms:
    """The contents of the headers of a caller's request that the gateway uses.

    Parameters
    ----------
    request_id : str
    host : str
        In lower case, without a port.
    within_ms : float or None
        How long the caller waits after the arrival of the request.
    model, adapter : str
        ``""`` if the request names none.
    prompt_tokens : int
        0 if the request does not state it.
    shared_parts : tuple of str
        Ids of the parts of the prompt that other requests may have too, in order.
    has_events : bool
        The caller has events of the stream, and wants those after them.
    resumes_id : str
        Id of the attempt that brought the first of them, ``""`` if it is not named.
    credential : bytes
        API key, empty if there is none. Never logged.
    usage_tokens : int or None
        Prompt tokens and most generated tokens, None if the request does not state
        them.
    """

    request_id: str
    host: str
    within_ms: float | None
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    shared_parts: tuple[str, ...] = ()
    has_events: bool = False
    resumes_id: str = ""
    credential: bytes = attrs.field(default=b"", repr=False)
    usage_tokens: int | None = None


def decode_request_terms(headers):
    """Return the RequestTerms in h11's headers.

    Raises
    ------
    ValueError
        If a header has an invalid value.
    """
    within_ms = find_header(headers, DEADLINE)
    # "X-Model" is MODEL or MODEL/ADAPTER.
    model_and_adapter = (find_header(headers, MODEL) or b"").decode("latin-1")
    model, _, adapter = model_and_adapter.partition("/")
    return RequestTerms(
        request_id=(find_header(headers, REQUEST_ID) or b"").decode("latin-1"),
        host=decode_host(headers),
        within_ms=float(within_ms) if within_ms is not None else None,
        model=model,
        adapter=adapter,
        prompt_tokens=_decode_prompt_tokens(headers),
        shared_parts=_decode_shared_parts(headers),
        has_events=bool(find_header(headers, LAST_EVENT_ID)),
        resumes_id=(find_header(headers, RESUMES) or b"").decode("latin-1"),
        credential=decode_credential(headers),
        usage_tokens=_decode_usage_tokens(headers),
    )


def decode_host(headers):
    """Return the host that a request names (str), in lower case, without a port."""
    host = (find_header(headers, b"host") or b"").decode("latin-1").lower()
    return host.partition(":")[0]


def decode_credential(headers):
    """Return the API key (bytes) of a request, empty if there is none.

    Several different ones are joined as HTTP combines repeated fields (RFC 9110, 5.2),
    which is the key of nobody.
    """
    values = [value.strip() for name, value in headers if name == CREDENTIAL]
    return b", ".join(dict.fromkeys(values))


def replace_credential(headers, tenant_name):
    """Return the headers of a request without its key, and with its tenant.

    Names count in any spelling: many servers take an underscore for a hyphen.

    Parameters
    ----------
    headers : sequence of (bytes, bytes)
    tenant_name : str or None
        None sets no tenant; what the caller says of it is dropped in any case.
    """
    kept = [item for item in headers if item[0].replace(b"_", b"-") not in KEY_HEADERS]
    if tenant_name is not None:
        kept.append((TENANT, encode_text(tenant_name)))
    return kept


def encode_text(text):
    """Return a text as a header's value (bytes): Latin-1, or else UTF-8.

    There is no text that it fails for: the error would quote it.
    """
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        return text.encode(errors="surrogatepass")


def _decode_usage_tokens(headers):
    """Return the sum of the announced usage, None if it is missing or no numbers."""
    value = find_header(headers, TOKEN_USAGE)
    counts = [item.strip() for item in (value or b"").split(b",")]
    if not all(item.isdigit() for item in counts):
        return None
    return sum(map(int, counts[:2]))


def _decode_prompt_tokens(headers):
    value = (find_header(headers, TOKEN_USAGE) or b"").partition(b",")[0].strip()
    return int(value) if value.isdigit() else 0


def _decode_shared_parts(headers):
    """Return the ids of the shared prompt parts, without repetitions."""
    value = (find_header(headers, PROMPT_PARTS) or b"").decode("latin-1")
    parts = [item.partition(":")[0].strip().lower() for item in value.split(",")]
    shared = [part for part in parts[:-1] if part]
    return tuple(dict.fromkeys(shared[:SHARED_PARTS_MAX]))


def select_content_headers(headers):
    """Return the headers that are the same in all attempts at a request, sorted.

    They tell the host and the caller, if the request names one.
    """
    return sorted(
        item
        for item in headers
        if item[0] not in HOP_BY_HOP_HEADERS
        and item[0] not in GATEWAY_HEADERS
        and item[0] not in ATTEMPT_HEADERS
    )


def build_backend_headers(
    headers, remaining_ms, backend_id, priority, version, last_event_id
):
    """Return the headers of a request to a backend server.

    Parameters
    ----------
    headers : sequence of (bytes, bytes)
        The headers of the caller's request.
    remaining_ms : float
        Time until the deadline.
    backend_id : str
    priority : int or None
        Clamped to the range of the platform; None sets no priority.
    version : int or None
        Version of the adapter on which the request must run, None for any.
    last_event_id : int or None
        Id of the last event that the caller has; None keeps the caller's own header.
    """
    built = [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in GATEWAY_HEADERS
    ]
    if last_event_id is not None:
        built = [item for item in built if item[0] != LAST_EVENT_ID]
        built.append((LAST_EVENT_ID, b"%d" % last_event_id))
    built.append((DEADLINE, b"%d" % max(1, int(remaining_ms))))
    built.append((TARGET_ID, backend_id.encode("latin-1")))
    if priority is not None:
        clamped = min(max(priority, PRIORITY_FIRST), SERVER_PRIORITY_LAST)
        built.append((b"x-request-priority", b"%d" % clamped))
    if version is not None:
        built.append((b"x-expected-version", b"%d" % version))
    return built


def filter_answer_headers(headers):
    """Return the headers of a backend server's answer that go to the caller."""
    return [item for item in headers if item[0] not in HOP_BY_HOP_HEADERS]


def is_not_executed(status_code, headers):
    """Return whether an answer states that the request was not executed."""
    if status_code == STATUS_MISDIRECTED:
        return True
    return find_header(headers, NOT_EXECUTED) is not None


@attrs.frozen
class ServerLoad:
    """Load that a backend server reports in the headers of an answer.

    Parameters
    ----------
    running_count, waiting_count, slots : int
    work_time_percent : float or None
        How long work takes on the server's machine now, relative to the usual time.
        None if the server does not state it, or states no positive number.
    """

    running_count: int
    waiting_count: int
    slots: int
    work_time_percent: float | None = None


def decode_server_load(headers):
    """Return the ServerLoad in an answer's headers, None if missing or invalid.

    Figures after the three counts may be missing or malformed, and others may follow.
    """
    value = find_header(headers, SERVER_LOAD)
    if value is None:
        return None
    figures = value.split(b",")
    try:
        counts = tuple(map(int, figures[:LOAD_COUNTS]))
    except ValueError:
        return None
    if len(counts) < LOAD_COUNTS:
        return None
    if not all(0 <= count <= LOAD_COUNT_MAX for count in counts):
        return None
    return ServerLoad(*counts, _decode_work_time(figures[LOAD_COUNTS:]))


def _decode_work_time(figures):
    """Return the first of the figures after the counts, None if it is unusable."""
    figure = figures[0].strip() if figures else b""
    return float(figure) or None if _DECIMAL.fullmatch(figure) else None


def is_server_leaving(headers):
    """Return whether a backend server states that it will exit."""
    return (find_header(headers, SERVER_LEAVING) or b"").strip() == b"1"


def decode_server_limit(headers):
    """Return the requests a second that a backend server takes (float).

    None if it names no limit.

    Raises
    ------
    ValueError
        If the header is not a positive decimal number.
    """
    value = find_header(headers, SERVER_LIMIT)
    if value is None:
        return None
    limit_per_s = float(value) if _DECIMAL.fullmatch(value.strip()) else 0.0
    if not limit_per_s:
        raise ValueError("not a positive decimal number")
    return limit_per_s


def is_from_server(headers, backend_id):
    """Return whether an answer names no other backend server as its sender."""
    sender = find_header(headers, SERVER_ID)
    return sender is None or sender.decode("latin-1") == backend_id


def decode_retry_after_ms(status_code, headers):
    """Return for how long a backend server wants no requests, in ms (float).

    None if it does not say so. Only refusals by 503 can.
    """
    value = find_header(headers, RETRY_AFTER)
    if status_code != STATUS_UNAVAILABLE or value is None:
        return None
    try:
        pause_ms = float(value) * 1000
    except ValueError:
        return None
    return pause_ms if math.isfinite(pause_ms) and pause_ms > 0 else None


def decode_store_era(headers):
    """Return the era in the headers of an answer of the store (int).

    None if it states none.

    Raises
    ------
    ValueError
        If the header is not a whole number.
    """
    value = find_header(headers, STORE_ERA)
    return None if value is None else int(value)
