"""A caller's request and the token usage of its attempts."""

from dataclasses import dataclass, field
from enum import Enum

from turmericreel.model.ids import (
    ClientAccountId,
    ContentDigest,
    IdempotencyKey,
    RequestId,
    ServiceName,
    SessionId,
)


class RequestKind(Enum):
    """Kind of work that a request asks for; quality is estimated for each kind."""

    CHAT = "chat"
    CONVERSATION = "conversation"
    LONG = "long"
    IMAGE = "image"
    PLAIN = "plain"


@dataclass(frozen=True, kw_only=True)
class Request:
    """A caller's request that was admitted.

    Parameters
    ----------
    deadline : float
        Time on the monotonic clock, in seconds.
    repeatable : bool
        Whether the request can safely run more than once.
    digest : ContentDigest
        Digest of the content; requests with the same content have the same digest.
    prompt_parts : tuple of ContentDigest
        Digests of the messages before the last one, which other requests may share.
    key_created_ms : int or None
        Creation time of the idempotency key in Unix milliseconds; None if unknown.
    streaming : bool
        Whether the caller asked for server-sent events.
    """

    request_id: RequestId
    account: ClientAccountId
    service: ServiceName
    kind: RequestKind
    deadline: float
    method: str
    path: str
    body: bytes
    digest: ContentDigest
    prompt_parts: tuple[ContentDigest, ...] = ()
    repeatable: bool = True
    streaming: bool = False
    session: SessionId | None = None
    idempotency_key: IdempotencyKey | None = None
    key_created_ms: int | None = None
    priority: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    prompt_tokens: int = 0
    max_tokens: int = 256


@dataclass(frozen=True, kw_only=True)
class Usage:
    """Token usage that was reported for one attempt."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
