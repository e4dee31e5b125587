"""What entries and agents say to each other, and the encoding of all messages.

Every message is an attrs class. On the wire a batch is one msgpack array of
``[tag, fields...]`` arrays. Fields are positional, so a field may only be added at the
end, with a default.
"""

import enum

import attrs
import msgpack
from cattrs import UnstructureStrategy
from cattrs.preconf.msgpack import make_converter

from nutmegdeal.engine_messages import (
    AdapterUnwanted,
    AdapterUses,
    AdapterWanted,
    EngineChange,
    EngineLimits,
    EngineState,
    PromptAsked,
    PromptCancelled,
    PromptGranted,
)
from nutmegdeal.errors import Reason, Step


class BackendKind(enum.Enum):
    """What stands behind an agent."""

    MODEL_ENGINE = "model_engine"
    PLAIN_SERVICE = "plain_service"


class Urgency(enum.Enum):
    """Class of urgency of a request, most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"


URGENCY_RANK = {Urgency.URGENT: 0, Urgency.NORMAL: 1, Urgency.BULK: 2}


class Fate(enum.Enum):
    """The final outcome of a request."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    IN_DOUBT = "in_doubt"
    FAILED = "failed"


@attrs.frozen
class EntryHello:
    """First message of an entry on a new stream."""

    entry_id: str
    zone: str
    generation: int


@attrs.frozen
class AgentReport:
    """State of an agent, sent first on a stream and again with what changed.

    Parameters
    ----------
    agent_id, incarnation, service, zone : str
    generation : int
        Configuration generation in force at the agent.
    leaving : bool
        True once the agent takes no new work.
    queued_count, running_count : int
        Requests waiting in, and dispatched by, this agent.
    queue_wait_ms : float
        Expected wait of a new request for a resident adapter.
    load_wait_ms : float
        Expected further wait if its adapter has to be loaded first.
    resident : tuple of str
        Engine names of the adapters held or being loaded.
    valid_until_unix_ms : int
        When a reader should stop relying on this report.
    """

    agent_id: str
    incarnation: str
    service: str
    zone: str
    generation: int
    leaving: bool = False
    queued_count: int = 0
    running_count: int = 0
    queue_wait_ms: float = 0.0
    load_wait_ms: float = 0.0
    resident: tuple[str, ...] = ()
    valid_until_unix_ms: int = 0


@attrs.frozen
class LoadHint:
    """What changes often in an AgentReport, sent after a Submit on the same stream.

    Parameters
    ----------
    queued_count, running_count : int
    queue_wait_ms, load_wait_ms : int
        As in an AgentReport.
    """

    queued_count: int
    running_count: int
    queue_wait_ms: int
    load_wait_ms: int


@attrs.frozen
class GenerationNotice:
    """A peer has seen this configuration generation accepted.

    Parameters
    ----------
    generation : int
    manifest : str
        Hash of its manifest in the object store, "" if the sender does not have it.
    """

    generation: int
    manifest: str = ""


@attrs.frozen
class Submit:
    """Order to run one attempt at a request.

    Parameters
    ----------
    request_id, attempt_id : str
    service : str
    method, path : str
        HTTP method and path to call at the backend server.
    content_type : str
    body : bytes
    adapter, version : str
        Empty for a plain service.
    urgency : Urgency
    idempotent : bool
        False if the request may run at most once.
    idempotency_key : str
        Ledger key, required when `idempotent` is False.
    expiry_unix_ms : int
        When the key expires; 0 for idempotent work.
    deadline_unix_ms : int
    generation : int
        Configuration generation under which the entry resolved the request.
    stream : bool
        True if the caller reads the answer as it is produced.
    resume_from : int
        Bytes of the answer that the caller already holds.
    traceparent : str
        W3C trace context of the entry's span.
    """

    request_id: str
    attempt_id: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    adapter: str
    version: str
    urgency: Urgency
    idempotent: bool
    idempotency_key: str
    expiry_unix_ms: int
    deadline_unix_ms: int
    generation: int
    stream: bool = False
    resume_from: int = 0
    traceparent: str = ""


@attrs.frozen
class Cancel:
    """The entry no longer wants the answer of an attempt."""

    attempt_id: str


@attrs.frozen
class AnswerHead:
    """Status and type of the answer; precedes its first frame."""

    attempt_id: str
    status_code: int
    content_type: str


@attrs.frozen
class AnswerFrame:
    """Bytes of an answer, numbered from 0 within the attempt."""

    attempt_id: str
    sequence: int
    payload: bytes


@attrs.frozen
class AnswerEnd:
    """Proof that an answer is whole.

    Parameters
    ----------
    attempt_id : str
    frame_count : int
    digest : str
        SHA-256 of all payloads joined, in hexadecimal.
    load_stall_ms : float
        Time the request waited for its adapter to arrive.
    queue_ms : float
        Time it waited for other reasons.
    degree_hint : int
        Number of homes the agent advises for the adapter, 0 for no advice.
    """

    attempt_id: str
    frame_count: int
    digest: str
    load_stall_ms: float = 0.0
    queue_ms: float = 0.0
    degree_hint: int = 0


@attrs.frozen
class AttemptEnded:
    """An attempt ended without a whole answer.

    Parameters
    ----------
    attempt_id : str
    fate : Fate
        ``NOT_RUN`` only if the backend server was never sent the request.
    reason : Reason
    step : Step
    peer : str
        Where the failure arose.
    detail : str
    retry_at_unix_ms : int
        When the caller may come back, 0 if unknown.
    degree_hint : int
        Number of homes the agent advises for the adapter, 0 for no advice.
    """

    attempt_id: str
    fate: Fate
    reason: Reason
    step: Step
    peer: str
    detail: str = ""
    retry_at_unix_ms: int = 0
    degree_hint: int = 0


MESSAGE_TYPES = (
    EntryHello,
    AgentReport,
    GenerationNotice,
    Submit,
    Cancel,
    AnswerHead,
    AnswerFrame,
    AnswerEnd,
    AttemptEnded,
    LoadHint,
    EngineLimits,
    AdapterWanted,
    AdapterUnwanted,
    AdapterUses,
    EngineState,
    PromptAsked,
    PromptCancelled,
    PromptGranted,
    EngineChange,
)
_TAG_OF = {message_type: tag for tag, message_type in enumerate(MESSAGE_TYPES)}
_converter = make_converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


def encode_message(message):
    """Return the msgpack bytes of one message, an item of a batch."""
    return msgpack.packb((_TAG_OF[type(message)], _converter.unstructure(message)))


def join_batch(encoded):
    """Return the bytes of a batch from a sequence of encoded messages."""
    return msgpack.Packer().pack_array_header(len(encoded)) + b"".join(encoded)


def decode_batch(data):
    """Return the messages in `data` as a list.

    Raises
    ------
    ValueError
        If `data` is not a batch of known messages.
    """
    try:
        return [
            _converter.structure(fields, MESSAGE_TYPES[tag])
            for tag, fields in msgpack.unpackb(data, use_list=False)
        ]
    except Exception as error:
        raise ValueError(f"not a batch of messages: {error}") from error
