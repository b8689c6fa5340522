"""Parses the HTTP requests of callers into `Request` objects."""

import contextlib
import re
from collections.abc import Sequence
from uuid import UUID, uuid4

import msgspec
import xxhash

from turmericreel.model.failures import FailureError, NotRun, NotRunReason
from turmericreel.model.ids import (
    ClientAccountId,
    ContentDigest,
    IdempotencyKey,
    PromptPartId,
    RequestId,
    ServiceName,
    SessionId,
)
from turmericreel.model.request import Request, RequestKind
from turmericreel.model.server_crash import part_digest
from turmericreel.protocols import headers
from turmericreel.protocols.chat import ChatMessage, ChatRequest

DEFAULT_DEADLINE_MS = 60_000
MAX_DEADLINE_MS = 600_000
BYTES_PER_TOKEN = 4
MIN_LONG_PROMPT_TOKENS = 2_000
MAX_ID_LENGTH = 255
# Bounds the work for a very long conversation.
MAX_PROMPT_PARTS = 64
NUMBER_PATTERN = re.compile(r"[0-9]{1,18}")
CHAT_PATH = "/v1/chat/completions"


def parse_chat(
    *,
    body: bytes,
    header: dict[str, str],
    account: ClientAccountId,
    now: float,
    priority: int = 0,
) -> Request:
    """Parse a chat-completions request.

    Parameters
    ----------
    body : bytes
    header : dict of str to str
        HTTP headers by their canonical names.
    account : ClientAccountId
    now : float
        Seconds on the monotonic clock.
    priority : int

    Raises
    ------
    FailureError
        With `NotRun`.
    """
    try:
        chat = msgspec.json.decode(body, type=ChatRequest)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise bad_request(str(error)) from error
    prompt_tokens = len(body) // BYTES_PER_TOKEN
    return Request(
        request_id=new_request_id(),
        account=account,
        service=ServiceName(chat.model),
        kind=_kind_of(chat.messages, prompt_tokens),
        deadline=parse_deadline(header, now),
        method="POST",
        path=CHAT_PATH,
        body=body,
        digest=content_digest(chat.model.encode(), body),
        prompt_parts=_part_digests(chat.messages[:-1]),
        streaming=chat.stream,
        session=_parse_id(header, headers.SESSION, SessionId),
        idempotency_key=_parse_id(header, headers.IDEMPOTENCY_KEY, IdempotencyKey),
        key_created_ms=key_created_ms(header),
        priority=priority,
        headers={"Content-Type": "application/json"},
        prompt_tokens=prompt_tokens,
        max_tokens=chat.max_tokens,
    )


def _part_digests(messages: Sequence[ChatMessage]) -> tuple[ContentDigest, ...]:
    encoded = (msgspec.json.encode(m) for m in messages[:MAX_PROMPT_PARTS])
    digests = (part_digest(PromptPartId(content_digest(b"", m))) for m in encoded)
    return tuple(dict.fromkeys(digests))


def parse_plain(
    *,
    service: ServiceName,
    method: str,
    path: str,
    body: bytes,
    header: dict[str, str],
    account: ClientAccountId,
    now: float,
    repeatable: bool,
    priority: int = 0,
) -> Request:
    """Build the request of a plain service's call."""
    content_type = header.get("Content-Type", "application/octet-stream")
    return Request(
        request_id=new_request_id(),
        account=account,
        service=service,
        kind=RequestKind.PLAIN,
        deadline=parse_deadline(header, now),
        method=method,
        path=path,
        body=body,
        digest=content_digest(f"{service} {method} {path}".encode(), body),
        repeatable=repeatable,
        session=_parse_id(header, headers.SESSION, SessionId),
        idempotency_key=_parse_id(header, headers.IDEMPOTENCY_KEY, IdempotencyKey),
        key_created_ms=key_created_ms(header),
        priority=priority,
        headers={"Content-Type": content_type},
    )


def new_request_id() -> RequestId:
    """Return a new random request id."""
    return RequestId(uuid4().hex)


def content_digest(prefix: bytes, body: bytes) -> ContentDigest:
    """Return a digest of the content; resends of the same content have the same."""
    digest = xxhash.xxh128(prefix + b"\0")
    digest.update(body)
    return ContentDigest(digest.hexdigest())


def parse_deadline(header: dict[str, str], now: float) -> float:
    """Return the deadline in seconds on the monotonic clock.

    The header holds the remaining time in milliseconds, which is capped.
    """
    left_ms = _parse_number(header, headers.DEADLINE_MS)
    if left_ms is None:
        left_ms = DEFAULT_DEADLINE_MS
    return now + min(left_ms, MAX_DEADLINE_MS) / 1_000


def key_created_ms(header: dict[str, str]) -> int | None:
    """Return when the caller created the idempotency key, in Unix milliseconds.

    A UUID of version 7 contains the time; for other keys a header may give it.  None
    when neither does.
    """
    key = header.get(headers.IDEMPOTENCY_KEY, "")
    with contextlib.suppress(ValueError):
        uuid = UUID(key)
        if uuid.version == 7:
            return uuid.int >> 80
    return _parse_number(header, headers.KEY_CREATED_MS)


def bad_request(detail: str) -> FailureError:
    """Return the error for a malformed request."""
    return FailureError(NotRun(reason=NotRunReason.BAD_REQUEST, detail=detail))


def _parse_id(header: dict[str, str], name: str, id_type):
    value = header.get(name)
    if not value:
        return None
    if len(value) > MAX_ID_LENGTH:
        # Ids are stored in the replicated state, so their length must be bounded.
        raise bad_request(f"{name} is over {MAX_ID_LENGTH} characters")
    return id_type(value)


def _parse_number(header: dict[str, str], name: str) -> int | None:
    number_text = header.get(name)
    if number_text is None:
        return None
    if not NUMBER_PATTERN.fullmatch(number_text):
        raise bad_request(f"{name} must be a number, got {number_text[:40]!r}")
    return int(number_text)


def _kind_of(messages: list[ChatMessage], prompt_tokens: int) -> RequestKind:
    if any(_has_image(message) for message in messages):
        return RequestKind.IMAGE
    if prompt_tokens >= MIN_LONG_PROMPT_TOKENS:
        return RequestKind.LONG
    if sum(message.role == "user" for message in messages) > 1:
        return RequestKind.CONVERSATION
    return RequestKind.CHAT


def _has_image(message: ChatMessage) -> bool:
    if not isinstance(message.content, list):
        return False
    return any(
        isinstance(part, dict) and part.get("type") == "image_url"
        for part in message.content
    )
