"""Generates the answers of a stand-in model engine, optionally with a fault."""

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
from gevent import sleep

from turmericreel.fakes.behaviour import FakeBehaviour, FakeFault
from turmericreel.fakes.listener import broken_pipe_error
from turmericreel.model.request import Usage
from turmericreel.protocols.chat import (
    AnswerMessage,
    ChatChunk,
    ChatCompletion,
    ChatRequest,
    Choice,
    ChunkChoice,
    Delta,
    done_event,
    encode_event,
    usage_to_chat,
)

BYTES_PER_TOKEN = 4
ECHO_PREFIX = "echo:"
MIDDLE_DIVISOR = 2


@dataclass(frozen=True, kw_only=True)
class ChatCall:
    """A call of the stand-in's chat completion handler."""

    request_id: str
    attempt: str
    body: bytes
    chat: ChatRequest
    resume_from: int
    cached_tokens: int
    fault: FakeFault

    @property
    def chunk_id(self) -> str:
        """Id of the answer's chunks."""
        return f"{self.request_id}-{self.attempt}"

    @property
    def label(self) -> str:
        """Text with which every token of the answer begins.

        It is LABEL if a message contains ``echo:LABEL``, so that the caller can check
        that the answer belongs to its request.
        """
        for message in self.chat.messages:
            if isinstance(message.content, str) and ECHO_PREFIX in message.content:
                return message.content.partition(ECHO_PREFIX)[2].split()[0]
        return self.request_id[:8]


def token_text(label: str, number: int) -> str:
    """Return the text of one token."""
    return f"{label}:{number} "


def chat_events(call: ChatCall, behaviour: FakeBehaviour) -> Iterator[bytes]:
    """Yield the events of an answer, with the configured delays and the fault."""
    n_tokens = min(behaviour.n_tokens, call.chat.max_tokens)
    if call.fault is FakeFault.LATE:
        sleep(behaviour.late_ms / 1_000)
    sleep(behaviour.first_token_ms / 1_000)
    for number in _token_numbers(call, n_tokens):
        if _breaks_at(call, behaviour, number, n_tokens):
            raise broken_pipe_error()
        yield _token_event(call, number)
        if behaviour.between_tokens_ms:
            sleep(behaviour.between_tokens_ms / 1_000)
    if call.fault is FakeFault.NO_END:
        return
    yield _last_event(call, n_tokens)
    yield done_event()
    if call.fault is FakeFault.TWICE:
        yield _token_event(call, 0)
        yield _last_event(call, n_tokens)
        yield done_event()


def full_completion(call: ChatCall, behaviour: FakeBehaviour) -> bytes:
    """Return the answer as one JSON body, after the time it takes to generate."""
    n_tokens = min(behaviour.n_tokens, call.chat.max_tokens)
    sleep((behaviour.first_token_ms + n_tokens * behaviour.between_tokens_ms) / 1_000)
    content = "".join(token_text(call.label, n) for n in range(n_tokens))
    return msgspec.json.encode(
        ChatCompletion(
            id=call.chunk_id,
            model=call.chat.model,
            choices=[Choice(message=AnswerMessage(content=content))],
            usage=usage_to_chat(_usage(call, n_tokens)),
        )
    )


def _token_numbers(call: ChatCall, n_tokens: int) -> list[int]:
    numbers = list(range(call.resume_from, n_tokens))
    middle = len(numbers) // MIDDLE_DIVISOR
    if call.fault is FakeFault.OUT_OF_ORDER and len(numbers) > 1:
        numbers[middle - 1], numbers[middle] = numbers[middle], numbers[middle - 1]
    if call.fault is FakeFault.TWICE:
        numbers.insert(middle, numbers[middle])
    return numbers


def _breaks_at(
    call: ChatCall, behaviour: FakeBehaviour, number: int, n_tokens: int
) -> bool:
    if number == behaviour.break_after_tokens:
        return True
    return call.fault is FakeFault.TRUNCATED and number >= n_tokens // MIDDLE_DIVISOR


def _token_event(call: ChatCall, number: int) -> bytes:
    chunk_id = call.chunk_id
    if call.fault is FakeFault.FOREIGN_CHUNKS:
        chunk_id = "another-request-1"
    event = encode_event(
        ChatChunk(
            id=chunk_id,
            choices=[ChunkChoice(delta=Delta(content=token_text(call.label, number)))],
            sequence=number,
        )
    )
    return event[:-10] + b"\n\n" if call.fault is FakeFault.MALFORMED else event


def _last_event(call: ChatCall, n_tokens: int) -> bytes:
    return encode_event(
        ChatChunk(
            id=call.chunk_id,
            choices=[ChunkChoice(finish_reason="stop")],
            usage=usage_to_chat(_usage(call, n_tokens)),
        )
    )


def _usage(call: ChatCall, n_tokens: int) -> Usage:
    return Usage(
        prompt_tokens=len(call.body) // BYTES_PER_TOKEN,
        completion_tokens=n_tokens - call.resume_from,
        cached_tokens=call.cached_tokens,
    )
