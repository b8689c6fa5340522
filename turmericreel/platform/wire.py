"""Structure of the platform's messages, with the platform's field names."""

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

from turmericreel.util.numbers import Count, DurationMs

# An entry with a longer name or address comes from another writer.
MAX_NAME_LENGTH = 1_024
MAX_WEIGHT = 1e12
MAX_RANK = 2**31
MAX_ROLLOUT_S = 1e9
Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
Weight = Annotated[float, Meta(ge=-MAX_WEIGHT, le=MAX_WEIGHT)]
Rank = Annotated[int, Meta(ge=-MAX_RANK, le=MAX_RANK)]
Duration = Annotated[float, Meta(ge=0, le=MAX_ROLLOUT_S)]


class PlatformStruct(msgspec.Struct, frozen=True, kw_only=True, rename="pascal"):
    """Base of the messages; field names are encoded in Pascal case."""


class RouteType(Enum):
    """Kind of a route, which decides whether its requests may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class SplitEntry(PlatformStruct):
    """Weight of one service on a route."""

    backend: str
    weight: Weight


class RouteEntry(PlatformStruct):
    """A route to one service, or to several services with weights."""

    name: str
    hostname: str
    path_prefix: str
    route_type: RouteType
    timeout_ms: DurationMs
    target_latency_ms: DurationMs = 0
    priority: Rank = 0
    backend: str | None = None
    traffic_split: tuple[SplitEntry, ...] = ()
    max_attempts: Rank = 1
    public: bool = False
    session_affinity: bool = False
    stream_resume: bool = False
    itl_target_ms: DurationMs | None = None
    sizes: tuple[str, ...] = ()


class ModelEntry(PlatformStruct):
    """A model and its cost per 1,000 tokens."""

    name: str
    cost: Weight = 0


class RuntimeEntry(PlatformStruct):
    """Traits that all model engines of a service share."""

    slots: Count
    kv_capacity: Count
    models: tuple[ModelEntry, ...] = ()


class BackendEntry(PlatformStruct):
    """A service."""

    name: str
    health_check: str = ""
    max_connections: Count = 0
    warmup_per_s: Weight | None = None
    runtime: RuntimeEntry | None = None


class LimitsEntry(PlatformStruct):
    """Limits on client requests and connections."""

    max_header_bytes: Count = 32_768
    max_body_bytes: Count = 8_388_608
    header_timeout_ms: Count = 10_000
    idle_timeout_ms: Count = 60_000


class TenantEntry(PlatformStruct):
    """A client account."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: Rank | None = None


class ConfigurationBody(PlatformStruct):
    """A complete configuration.

    Attributes
    ----------
    routes : tuple of Raw
        Each is a `RouteEntry`, to be decoded on its own.
    """

    version: Count
    routes: tuple[msgspec.Raw, ...]
    backends: tuple[BackendEntry, ...]
    limits: LimitsEntry = LimitsEntry()
    tenants: tuple[TenantEntry, ...] | None = None


class HeartbeatState(Enum):
    """State that a server reports in its heartbeat."""

    READY = "ready"
    DRAINING = "draining"


class HeartbeatBody(PlatformStruct):
    """A server's heartbeat.

    Attributes
    ----------
    backend : str
        Name of the server's service.
    born : int
        Start time of the server, in milliseconds since the Unix epoch.
    """

    backend: Name
    address: Name
    zone: Name
    version: Name
    slots: Count
    state: HeartbeatState
    sequence: Count
    warmup_left_ms: DurationMs = 0
    born: Count = msgspec.field(name="born", default=0)


class RolloutBody(PlatformStruct):
    """Request for a roll-out of a version of a service."""

    backend: str
    target: str
    duration_s: Duration


class RolloutAnswer(PlatformStruct):
    """State of a roll-out."""

    state: str
    target: str


class ResolutionAnswer(PlatformStruct):
    """Gateway addresses for clients, and how long clients may use them."""

    addresses: list[str]
    ttl_s: float


class ListenEntry(PlatformStruct):
    """Addresses that a process listens on; None for those that it does not serve."""

    frontend: str | None = None
    readiness: str | None = None
    control_plane: str | None = None
    directory: str | None = None


class ProcessLimits(PlatformStruct):
    """Limits that the machine sets for a process."""

    max_fds: int = 1_024
    memory_mb: float = 150


class BoundsEntry(PlatformStruct):
    """Limits on stops, sessions, retries, roll-outs, cold servers and address lists."""

    drain_ms: int = 2_000
    grace_s: float = 8
    session_s: float = 5
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10
    budget_slack: float = 10
    canary_share: float = 0.15
    canary_slack: int = 30
    warmup_overshoot: float = 1
    warmup_slack: float = 0
    ttl_max_s: float = msgspec.field(name="ttl_max_s", default=5)


class ProcessSettings(PlatformStruct):
    """Settings file of a process; unknown fields are ignored.

    Attributes
    ----------
    zones : dict of str to str
        The region of each data centre.
    """

    node_name: str
    ip: str
    zone: str
    listen: ListenEntry
    internal_port_range: tuple[int, int]
    seed_nodes: tuple[str, ...]
    zones: dict[str, str] = {}
    bootstrap: bool = False
    data_dir: str | None = None
    heartbeat_ms: int = 1_000
    limits: ProcessLimits = ProcessLimits()
    bounds: BoundsEntry = BoundsEntry()
