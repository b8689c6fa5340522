"""A client's request, read completely, and its encoding for a server."""

from dataclasses import dataclass
from functools import cached_property

from turmericreel.gateway.header_names import HeaderNames
from turmericreel.model.ids import ClientAccountId, ContentDigest, PromptPartId
from turmericreel.model.routing import ModelName, Route
from turmericreel.model.server_crash import part_digest
from turmericreel.util.numbers import parse_count

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)

# Bounds the work for a request whose client states very many parts.
MAX_SHARED_PARTS = 64
# Shorter bodies are sent in one piece with their heads.
MAX_COPIED_BYTES = 65_536
MIN_SERVER_PRIORITY = 3
MAX_SERVER_PRIORITY = 9

Headers = list[tuple[str, str]]


@dataclass(frozen=True, kw_only=True)
class ClientRequest:
    """A request with its route, account and other values derived on arrival.

    Attributes
    ----------
    target : str
        Path and query as they were sent.
    headers : list of pairs
        Without hop-by-hop headers.
    body : bytes or None
        None if the request has none.
    content : ContentDigest
        Digest of the client account, method, target and body; a request that a client
        sends again has the same.
    deadline : float
        Earlier of the client's and the route's, in seconds on the monotonic clock.
    shared_parts : tuple of PromptPartId
        Parts of the prompt that other requests may have too, in order.
    prefix_key : str
        Id of the last prompt part that other requests may share; ``""`` without one.
    session : str
        ``""`` if the request belongs to none.
    priority : int
        Of the client account or the route; 0 is the most urgent.
    n_unshared_tokens : int
        Tokens of the last prompt part, which no other request shares.
    model : ModelName or None
        Model that the gateway chose, if the client left the choice to it.
    """

    attempt_id: str
    method: str
    target: str
    headers: Headers
    body: bytes | None
    content: ContentDigest
    route: Route
    account: ClientAccountId | None
    arrived: float
    deadline: float
    shared_parts: tuple[PromptPartId, ...] = ()
    prefix_key: str = ""
    session: str = ""
    priority: int = 0
    n_prompt_tokens: int = 0
    n_unshared_tokens: int = 0
    model: ModelName | None = None

    @cached_property
    def part_digests(self) -> tuple[ContentDigest, ...]:
        """Digests of the shared parts, without duplicates."""
        return tuple(dict.fromkeys(part_digest(part) for part in self.shared_parts))


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop ones."""
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP | connection_options
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def count_unshared_tokens(prompt_parts: str) -> int:
    """Return the tokens of the last prompt part, which no other request shares."""
    return parse_count(prompt_parts.rpartition(",")[2].partition(":")[2]) or 0


def parse_shared_parts(prompt_parts: str) -> tuple[PromptPartId, ...]:
    """Return the ids of the prompt parts that other requests may share.

    The final part belongs to the request or its session alone.
    """
    parts = prompt_parts.split(",")[:-1][:MAX_SHARED_PARTS]
    return tuple(PromptPartId(part.partition(":")[0].strip()) for part in parts)


def count_prompt_tokens(token_counts: str) -> int:
    """Return the number of tokens in a prompt; 0 if the client does not state it."""
    return parse_count(token_counts.partition(",")[0]) or 0


def server_priority(priority: int) -> int:
    """Return the priority to send to a server, which accepts 0 to 9."""
    return min(MIN_SERVER_PRIORITY + max(priority, 0), MAX_SERVER_PRIORITY)


def encode_for_server(
    request: ClientRequest,
    *,
    names: HeaderNames,
    server: str,
    left_ms: int,
    last_event_id: str | None,
) -> list[bytes]:
    """Return the encoded request in parts, with the headers that the gateway sets.

    A long body is a part of its own, which is not copied.
    """
    own = {
        names.deadline_ms: str(left_ms),
        names.expected_server: server,
        names.priority: str(server_priority(request.priority)),
    }
    if request.account is not None:
        own[names.account] = request.account
    if request.model is not None:
        own[names.model] = request.model
    if last_event_id is not None:
        own[names.last_event_id] = last_event_id
    replaced = {name.lower() for name in own} | {names.key.lower()}
    replaced |= {names.account.lower(), *(n.lower() for n in names.reserved)}
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [
        f"{name}: {_unfold(value)}"
        for name, value in request.headers
        if name.lower() not in replaced
    ]
    lines += [f"{n}: {v}" for n, v in own.items()]
    if request.body is not None:
        lines.append(f"Content-Length: {len(request.body)}")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    body = request.body or b""
    return [head, body] if len(body) > MAX_COPIED_BYTES else [head + body]


def _unfold(value: str) -> str:
    # A server must not read a line of a folded value as another header.
    if "\r" in value or "\n" in value:
        return " ".join(value.split())
    return value
