"""Messages between entries and agents, and the wire format of all messages.

Every message is an attrs class. On the wire a batch is one msgpack array, whose items
are arrays of a tag (an index of `MESSAGE_TYPES`) and an array of the fields. Fields are
positional, so a field may only be added at the end and with a default.
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
    """Kind of the backend server of an agent."""

    MODEL_ENGINE = "model_engine"
    PLAIN_SERVICE = "plain_service"


class Urgency(enum.Enum):
    """Priority class of a request, most urgent first."""

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
    """First message of an entry on a new stream.

    Parameters
    ----------
    entry_id, zone : str
    generation : int
        Configuration generation in force at the entry.
    """

    entry_id: str
    zone: str
    generation: int


@attrs.frozen
class AgentReport:
    """State of an agent, sent first on a stream and again after changes.

    Parameters
    ----------
    agent_id, incarnation, service, zone : str
    generation : int
        Configuration generation in force at the agent.
    leaving : bool
        True once the agent accepts no new requests.
    queued_count, running_count : int
        Requests that wait in the agent's queue, and that it has dispatched.
    queue_wait_ms : float
        Expected wait of a new request whose adapter is resident.
    load_wait_ms : float
        Expected additional wait if the adapter has to be loaded first.
    resident : tuple of str
        Engine names of the adapters that are loaded or being loaded.
    valid_until_unix_ms : int
        When the report expires.
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
    """The frequently changing fields of an AgentReport, sent in reply to a Submit.

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
    """The sender knows that this configuration generation was accepted.

    Parameters
    ----------
    generation : int
    manifest : str
        Hash of the generation's manifest in the object store, "" if the sender does
        not have it.
    """

    generation: int
    manifest: str = ""


@attrs.frozen
class Submit:
    """Tells an agent to run one attempt of a request.

    Parameters
    ----------
    request_id, attempt_id : str
    service : str
    method, path : str
        HTTP method and path to call at the backend server.
    content_type : str
    body : bytes
    adapter, version : str
        Empty for a service without adapters.
    urgency : Urgency
    idempotent : bool
        False if the request may run at most once.
    idempotency_key : str
        Ledger key, required if `idempotent` is False.
    expiry_unix_ms : int
        When the key expires; 0 for an idempotent request.
    deadline_unix_ms : int
    generation : int
        Configuration generation with which the entry resolved the request.
    stream : bool
        True if the caller reads the answer as it is produced.
    resume_from : int
        Bytes of the answer that the caller already has.
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
    """The entry no longer needs the answer of an attempt."""

    attempt_id: str


@attrs.frozen
class AnswerHead:
    """Status and content type of an answer; sent before its first frame."""

    attempt_id: str
    status_code: int
    content_type: str


@attrs.frozen
class AnswerFrame:
    """A part of an answer's body; frames are numbered from 0 within the attempt."""

    attempt_id: str
    sequence: int
    payload: bytes


@attrs.frozen
class AnswerEnd:
    """End of an answer, with the data to verify that it is complete.

    Parameters
    ----------
    attempt_id : str
    frame_count : int
    digest : str
        SHA-256 of the concatenated payloads, in hexadecimal.
    load_stall_ms : float
        Time for which the request waited until its adapter was loaded.
    queue_ms : float
        Time for which it waited for other reasons.
    replication_degree_hint : int
        Recommended number of agents that hold the adapter, 0 for no recommendation.
    """

    attempt_id: str
    frame_count: int
    digest: str
    load_stall_ms: float = 0.0
    queue_ms: float = 0.0
    replication_degree_hint: int = 0


@attrs.frozen
class AttemptEnded:
    """End of an attempt without a complete answer.

    Parameters
    ----------
    attempt_id : str
    fate : Fate
        ``NOT_RUN`` only if the request was never sent to the backend server.
    reason : Reason
    step : Step
    peer : str
        Where the failure occurred.
    detail : str
    retry_at_unix_ms : int
        When the caller may retry, 0 if unknown.
    replication_degree_hint : int
        Recommended number of agents that hold the adapter, 0 for no recommendation.
    """

    attempt_id: str
    fate: Fate
    reason: Reason
    step: Step
    peer: str
    detail: str = ""
    retry_at_unix_ms: int = 0
    replication_degree_hint: int = 0


# The index of a type is its tag on the wire: append only.
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
    """Return one message, an item of a batch, as msgpack bytes."""
    return msgpack.packb((_TAG_OF[type(message)], _converter.unstructure(message)))


def join_batch(encoded):
    """Return the bytes of a batch of encoded messages (a sequence of bytes)."""
    return msgpack.Packer().pack_array_header(len(encoded)) + b"".join(encoded)


def decode_batch(data):
    """Return the messages of a batch as a list.

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
