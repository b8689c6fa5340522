"""The chat completions format: requests, answers, chunks and server-sent events."""

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from turmericreel.model.request import Usage

DONE = b"[DONE]"
EVENT_LIMIT_BYTES = 65_536


class ChatMessage(msgspec.Struct, kw_only=True):
    """One message of a conversation; its content is a string or a list of parts."""

    role: str
    content: Any = ""


class ChatRequest(msgspec.Struct, kw_only=True):
    """The fields of a chat request that routing uses; others are passed through."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: Annotated[int, Meta(ge=1)] = 256


class PromptDetails(msgspec.Struct, kw_only=True):
    """Breakdown of the prompt tokens."""

    cached_tokens: int = 0


class ChatUsage(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Token usage in the format of the chat protocol."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0
    prompt_tokens_details: PromptDetails | None = None

    def to_usage(self) -> Usage:
        """Convert to the domain type."""
        details = self.prompt_tokens_details or PromptDetails()
        return Usage(
            prompt_tokens=self.prompt_tokens,
            completion_tokens=self.completion_tokens,
            cached_tokens=details.cached_tokens,
        )


def usage_to_chat(usage: Usage) -> ChatUsage:
    """Convert a usage to the format of the chat protocol."""
    return ChatUsage(
        prompt_tokens=usage.prompt_tokens,
        completion_tokens=usage.completion_tokens,
        total_tokens=usage.prompt_tokens + usage.completion_tokens,
        prompt_tokens_details=PromptDetails(cached_tokens=usage.cached_tokens),
    )


class Delta(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Text that a chunk adds to a streamed choice."""

    role: str | None = None
    content: str | None = None


class ChunkChoice(msgspec.Struct, kw_only=True):
    """One choice of a streamed chunk."""

    index: int = 0
    delta: Delta = msgspec.field(default_factory=Delta)
    finish_reason: str | None = None


class ChatChunk(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One streamed chunk.

    Parameters
    ----------
    sequence : int or None
        Index of the chunk's token in the whole answer, from 0 without gaps, also after
        a resume; None from servers that do not number their chunks.
    """

    id: str
    object: str = "chat.completion.chunk"
    model: str = ""
    choices: list[ChunkChoice] = []
    usage: ChatUsage | None = None
    sequence: int | None = None


class AnswerMessage(msgspec.Struct, kw_only=True):
    """The assistant's complete message."""

    role: str = "assistant"
    content: str = ""


class Choice(msgspec.Struct, kw_only=True):
    """One choice of a complete answer."""

    index: int = 0
    message: AnswerMessage
    finish_reason: str = "stop"


class ChatCompletion(msgspec.Struct, kw_only=True):
    """A complete, unstreamed answer."""

    id: str
    object: str = "chat.completion"
    model: str
    choices: list[Choice]
    usage: ChatUsage


def encode_event(message: msgspec.Struct) -> bytes:
    """Encode a message as a server-sent event."""
    return b"data: " + msgspec.json.encode(message) + b"\n\n"


def done_event() -> bytes:
    """Return the event that marks the end of a complete stream."""
    return b"data: " + DONE + b"\n\n"


def read_event_data(response) -> bytes | None:
    """Read the data of the next event.

    Returns
    -------
    bytes or None
        None at the end of the stream.
    """
    while True:
        line = response.readline(sep=b"\n")
        if not line:
            return None
        line = bytes(line).strip()
        if line.startswith(b"data:"):
            return line[len(b"data:") :].strip()
