"""HTTP messages between backend servers and instances.

A backend server calls any instance to announce itself, to renew its announcement, to
report its load and usage, to publish cache events and to give notice that it leaves.
Instances send requests and orders to the backend server.
"""

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

from turmericreel.model.ids import (
    AttemptNumber,
    BackendServerId,
    FencingToken,
    Incarnation,
    RequestId,
    ServiceName,
    VersionId,
)
from turmericreel.util.numbers import Count

ANNOUNCE_PATH = "/v1/backend/announce"
LOAD_PATH = "/v1/backend/load"
CACHE_PATH = "/v1/backend/cache"
USAGE_PATH = "/v1/backend/usage"
LEAVE_PATH = "/v1/backend/leave"
ORDERS_PATH = "/orders"


class Renewal(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an announcement, with the time within which to announce again.

    Parameters
    ----------
    stale : bool
        Whether the instance knows a newer incarnation of the server.
    """

    renew_every_ms: int
    stale: bool = False


class LeaveNotice(msgspec.Struct, frozen=True, kw_only=True):
    """Notice that a backend server takes no new work from now on."""

    server: BackendServerId
    incarnation: Incarnation


class UsageReport(msgspec.Struct, frozen=True, kw_only=True):
    """Work that a backend server did for one attempt, in tokens.

    It may be sent in addition to the usage at the end of an answer, more than once, and
    late.
    """

    server: BackendServerId
    service: ServiceName
    version: VersionId
    request: RequestId
    attempt: AttemptNumber
    prompt_tokens: Count
    completion_tokens: Count
    cached_tokens: Count = 0


class CacheEventKind(Enum):
    """Kind of change to the prefix cache; `CLEARED` removes all blocks."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One change of the prefix cache.

    Parameters
    ----------
    block : str
        Hex digits of the xxh64 digest of a prompt prefix that consists of whole blocks
        of 1,024 bytes; a block is identified by the digest of the prefix that ends
        with it.  Unused if the cache was cleared.
    """

    kind: CacheEventKind
    block: Annotated[str, Meta(pattern="^[0-9a-f]{1,16}$")] = "0"


class CacheEvents(msgspec.Struct, frozen=True, kw_only=True):
    """Consecutive cache events.

    Parameters
    ----------
    first_sequence : int
        Sequence number of the first event; numbers increase by one with each event of
        an incarnation, so a gap shows that events were lost.
    """

    server: BackendServerId
    incarnation: Incarnation
    first_sequence: Count
    events: tuple[CacheEvent, ...]


class OrderKind(Enum):
    """Kind of an order to a backend server."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    UNLOAD_VERSION = "unload_version"
    CHANGE_ROLE = "change_role"


class ServerRole(Enum):
    """Phases of inference that an engine runs."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An order to a backend server; its id in `order` makes it idempotent.

    Parameters
    ----------
    order : str
        Id of the order; a resend has the same one.
    fencing_token : FencingToken
        Servers that check fencing refuse an order with a token below the highest that
        they have received.
    incarnation : Incarnation
        Incarnation of the server that the order is meant for.
    """

    order: str
    kind: OrderKind
    fencing_token: FencingToken
    incarnation: Incarnation
    version: VersionId = VersionId("")
    model: str = ""
    role: ServerRole = ServerRole.MIXED


class OrderState(Enum):
    """Progress of an order, or why it was refused."""

    DONE = "done"
    RUNNING = "running"
    FAILED = "failed"
    STALE_TOKEN = "stale_token"
    STALE_INCARNATION = "stale_incarnation"


class OrderAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an order; sending the same order again returns its current state."""

    order: str
    state: OrderState
    highest_token: FencingToken = FencingToken(0)
    detail: str = ""
