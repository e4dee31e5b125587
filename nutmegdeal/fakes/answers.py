"""Deterministic responses of the stand-ins, computed from the request.

Tests compute the expected response with the same functions.
"""

import enum
import hashlib
import json

import attrs

TOKENS_DEFAULT = 16
TOKENS_MAX = 4096
CREATED_UNIX_S = 1_700_000_000
DONE_EVENT = b"data: [DONE]\n\n"
FINISH_REASON = "length"
WORDS = (
    "jaw",
    "crusher",
    "quarry",
    "gravel",
    "hire",
    "booking",
    "zone",
    "kennel",
    "stay",
    "note",
    "care",
    "loader",
    "plate",
    "quote",
    "intake",
    "walk",
)


class ApiFormat(enum.Enum):
    """Formats of requests and responses, by the path below ``/v1/``."""

    COMPLETION = "completions"
    CHAT = "chat/completions"


@attrs.frozen
class Prompt:
    """Parsed request to a model engine.

    Parameters
    ----------
    api_format : ApiFormat
    engine_name : str
    text : str
    max_tokens : int
    stream : bool
    """

    api_format: ApiFormat
    engine_name: str
    text: str
    max_tokens: int
    stream: bool = False


def parse_prompt(api_format, body):
    """Return the Prompt in a request body.

    Parameters
    ----------
    api_format : ApiFormat
    body : bytes

    Raises
    ------
    ValueError, KeyError, TypeError
        If the body does not have that format.
    """
    fields = json.loads(body)
    if api_format is ApiFormat.CHAT:
        text = chat_text(fields["messages"])
    else:
        text = str(fields["prompt"])
    max_tokens = int(fields.get("max_tokens") or TOKENS_DEFAULT)
    return Prompt(
        api_format,
        str(fields["model"]),
        text,
        max(1, min(max_tokens, TOKENS_MAX)),
        bool(fields.get("stream", False)),
    )


def chat_text(messages):
    """Return the prompt (str) made of chat messages, one line per message."""
    return "\n".join(f"{message['role']}: {message['content']}" for message in messages)


def expected_tokens(engine_name, prompt, max_tokens):
    """Return the tokens (list of str) that an adapter version generates."""
    seed = hashlib.sha256(f"{engine_name}\n{prompt}".encode()).digest()
    return [_token(seed, position) for position in range(max_tokens)]


def _token(seed, position):
    digest = hashlib.sha256(seed + position.to_bytes(4, "big")).digest()
    word = WORDS[digest[0] % len(WORDS)]
    return f"{'' if position == 0 else ' '}{word}-{digest[1:3].hex()}"


def expected_answer(engine_name, prompt, max_tokens):
    """Return the complete text that an adapter version generates for a prompt.

    Parameters
    ----------
    engine_name : str
        ``adapter@version``.
    prompt : str
        The ``prompt`` of a completion, or `chat_text` of a chat's messages.
    max_tokens : int
    """
    return "".join(expected_tokens(engine_name, prompt, max_tokens))


def answer_chunks(prompt):
    """Return the body of a response in chunks, one for each token.

    Parameters
    ----------
    prompt : Prompt

    Returns
    -------
    list of bytes
        Without streaming, the last chunk is the complete body and the others are
        empty.
    """
    tokens = expected_tokens(prompt.engine_name, prompt.text, prompt.max_tokens)
    if not prompt.stream:
        return [b""] * (len(tokens) - 1) + [_complete_body(prompt, tokens)]
    last_position = len(tokens) - 1
    events = [
        _stream_event(
            prompt, token, FINISH_REASON if position == last_position else None
        )
        for position, token in enumerate(tokens)
    ]
    events[-1] += DONE_EVENT
    return events


def skip_bytes(chunks, byte_count):
    """Return `chunks` without their first `byte_count` bytes.

    Chunks that are skipped completely are left out, because their tokens are not
    generated again and take no time.
    """
    remaining_chunks = []
    for chunk in chunks:
        if byte_count >= len(chunk) > 0:
            byte_count -= len(chunk)
            continue
        remaining_chunks.append(chunk[byte_count:])
        byte_count = max(0, byte_count - len(chunk))
    return remaining_chunks


def _common_fields(prompt, object_name):
    key = f"{prompt.engine_name}\n{prompt.text}\n{prompt.max_tokens}"
    return {
        "id": f"cmpl-{hashlib.sha256(key.encode()).hexdigest()[:16]}",
        "object": object_name,
        "created": CREATED_UNIX_S,
        "model": prompt.engine_name,
    }


def _complete_body(prompt, tokens):
    text = "".join(tokens)
    choice = {"index": 0, "finish_reason": FINISH_REASON, "logprobs": None}
    if prompt.api_format is ApiFormat.CHAT:
        body = _common_fields(prompt, "chat.completion")
        choice["message"] = {"role": "assistant", "content": text}
    else:
        body = _common_fields(prompt, "text_completion")
        choice["text"] = text
    body["choices"] = [choice]
    prompt_token_count = len(prompt.text.split())
    body["usage"] = {
        "prompt_tokens": prompt_token_count,
        "completion_tokens": len(tokens),
        "total_tokens": prompt_token_count + len(tokens),
    }
    return json.dumps(body).encode()


def _stream_event(prompt, token, finish_reason):
    choice = {"index": 0, "finish_reason": finish_reason}
    if prompt.api_format is ApiFormat.CHAT:
        body = _common_fields(prompt, "chat.completion.chunk")
        choice["delta"] = {"role": "assistant", "content": token}
    else:
        body = _common_fields(prompt, "text_completion")
        choice["text"] = token
    body["choices"] = [choice]
    return b"data: " + json.dumps(body).encode() + b"\n\n"


def read_text(body, stream):
    """Return the generated text in the complete response body of a model engine.

    Parameters
    ----------
    body : bytes
    stream : bool
        True if the body is a stream of server-sent events.

    Raises
    ------
    ValueError
        If the response is incomplete.
    """
    if not stream:
        return _choice_text(json.loads(body)["choices"][0])
    events = body.decode().split("\n\n")
    if len(events) < 2 or events[-2:] != ["data: [DONE]", ""]:
        raise ValueError("the stream does not end with [DONE]")
    event_bodies = (json.loads(event.removeprefix("data: ")) for event in events[:-2])
    return "".join(
        _choice_text(event_body["choices"][0]) for event_body in event_bodies
    )


def _choice_text(choice):
    if "text" in choice:
        return choice["text"]
    return (choice.get("message") or choice.get("delta"))["content"]


def plain_answer(method, path, body_digest):
    """Return the response body (bytes) of a plain service.

    Parameters
    ----------
    method, path : str
    body_digest : str
        SHA-256 of the request body.
    """
    fields = {"method": method, "path": path, "body_digest": body_digest, "done": True}
    return json.dumps(fields).encode()
