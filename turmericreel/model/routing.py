"""Routing configuration: routes from hosts and paths to services, and account keys.

A configuration replaces the previous one entirely; the highest revision is in force.
"""

from enum import Enum
from typing import NewType

import msgspec

from turmericreel.model.ids import ClientAccountId, Revision, ServiceName, VersionId

RouteName = NewType("RouteName", str)
ModelName = NewType("ModelName", str)


class RoutingStruct(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the parts of a routing configuration."""


class RouteKind(Enum):
    """Kind of requests, which decides whether they may be repeated.

    See `Route.is_idempotent`.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class TrafficShare(RoutingStruct):
    """Weight of a service in the traffic split of a route."""

    service: ServiceName
    weight: float


class Route(RoutingStruct):
    """Rules for requests to one host below one path prefix.

    Attributes
    ----------
    path_prefix : str
        Begins and ends with a slash.
    timeout_ms : int
        Time-out of a request.
    latency_target_ms : int
        Target for the time to the answer, or to the first event of a stream.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Maximum number of servers that one request is sent to.
    resumable : bool
        Whether another server can continue a stream after its last event id.
    model_sizes : tuple of ModelName
        Models from smallest to largest, of which the router chooses one.  Empty when
        the client names the model.
    """

    name: RouteName
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[TrafficShare, ...]
    timeout_ms: int
    latency_target_ms: int
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    session_affinity: bool = False
    resumable: bool = False
    event_gap_target_ms: int | None = None
    model_sizes: tuple[ModelName, ...] = ()

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


class ModelCost(RoutingStruct):
    """Cost of a model per 1,000 generated tokens; prompt tokens cost a quarter."""

    model: ModelName
    cost: float


class EngineTraits(RoutingStruct):
    """Properties that all model engines of a service share.

    Attributes
    ----------
    n_slots : int
        Maximum number of requests in one batch.
    cache_tokens : int
        Number of tokens that the KV cache of an engine can hold.
    """

    n_slots: int
    cache_tokens: int
    models: tuple[ModelCost, ...] = ()


class RoutedService(RoutingStruct):
    """A service that routes refer to; `engine` is None for plain services.

    Attributes
    ----------
    cold_rate : float or None
        Requests a second that a cold server of the service takes from all gateways
        together; None if nothing limits them.
    """

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineTraits | None = None
    cold_rate: float | None = None


class AccountKeys(RoutingStruct):
    """A client account and its keys; without a `priority` the route's one applies."""

    account: ClientAccountId
    keys: tuple[str, ...]
    priority: int | None = None


class ClientLimits(RoutingStruct):
    """Limits on the size of client requests and on client time-outs."""

    header_bytes: int = 32_768
    body_bytes: int = 8_388_608
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000


class RoutingConfiguration(RoutingStruct):
    """A whole configuration; if `accounts` is None, clients need no key."""

    revision: Revision
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    limits: ClientLimits = ClientLimits()
    accounts: tuple[AccountKeys, ...] | None = None


class RolloutState(Enum):
    """State of a roll-out as shown to operators."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutStage(Enum):
    """Stage of a roll-out, which decides how traffic is split between versions."""

    PREPARING = "preparing"
    CANARY = "canary"
    SWITCHED = "switched"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def state(self) -> RolloutState:
        """State that is shown to operators at this stage."""
        if self is RolloutStage.COMPLETED:
            return RolloutState.COMPLETED
        if self is RolloutStage.ROLLED_BACK:
            return RolloutState.ROLLED_BACK
        return RolloutState.IN_PROGRESS


# Lower than the share that an unproven version may get in total, because the actual
# share varies when there are few requests.
MAX_CANARY_SHARE = 0.1


class Rollout(RoutingStruct):
    """An order to move a service's traffic to a version.

    Attributes
    ----------
    number : int
        Number of the order; increases with each order for the service.
    began_ms, deadline_ms : int
        Wall-clock time of the replicated log, in milliseconds.
    bound_sessions : tuple of int
        Hashes of the sessions that began on the old version; they stay there until
        the new version is proven.
    canary_share : float
        Fraction of the sessions that run on the new version while it is unproven.
    """

    service: ServiceName
    target: VersionId
    number: int
    began_ms: int
    deadline_ms: int
    stage: RolloutStage = RolloutStage.PREPARING
    bound_sessions: tuple[int, ...] = ()
    canary_share: float = MAX_CANARY_SHARE

    def without_sessions(self) -> "Rollout":
        """Return a copy without `bound_sessions`, which can be a long tuple."""
        return msgspec.structs.replace(self, bound_sessions=())
