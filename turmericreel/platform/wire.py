"""Structure of the platform's messages, with the platform's field names."""

from enum import Enum

import msgspec


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
    weight: float


class RouteEntry(PlatformStruct):
    """A route to one service, or to several services with weights."""

    name: str
    hostname: str
    path_prefix: str
    route_type: RouteType
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 0
    backend: str | None = None
    traffic_split: tuple[SplitEntry, ...] = ()
    max_attempts: int = 1
    public: bool = False
    session_affinity: bool = False
    stream_resume: bool = False
    itl_target_ms: float | None = None
    sizes: tuple[str, ...] = ()


class ModelEntry(PlatformStruct):
    """A model and its cost per 1,000 tokens."""

    name: str
    cost: float = 0


class RuntimeEntry(PlatformStruct):
    """Traits that all model engines of a service share."""

    slots: int
    kv_capacity: int
    models: tuple[ModelEntry, ...] = ()


class BackendEntry(PlatformStruct):
    """A service."""

    name: str
    health_check: str = ""
    max_connections: int = 0
    runtime: RuntimeEntry | None = None


class LimitsEntry(PlatformStruct):
    """Limits on client requests and connections."""

    max_header_bytes: int = 32_768
    max_body_bytes: int = 8_388_608
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000


class TenantEntry(PlatformStruct):
    """A client account."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class ConfigurationBody(PlatformStruct):
    """A complete configuration."""

    version: int
    routes: tuple[RouteEntry, ...]
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

    backend: str
    address: str
    zone: str
    version: str
    slots: int
    state: HeartbeatState
    sequence: int
    warmup_left_ms: float = 0
    born: int = msgspec.field(name="born", default=0)


class RolloutBody(PlatformStruct):
    """Request for a roll-out of a version of a service."""

    backend: str
    target: str
    duration_s: float


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


class BoundsEntry(PlatformStruct):
    """Limits on draining, stopping, sessions, retries, roll-outs and address lists."""

    drain_ms: int = 2_000
    grace_s: float = 8
    session_s: float = 5
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10
    budget_slack: float = 10
    canary_share: float = 0.15
    canary_slack: int = 30
    ttl_max_s: float = msgspec.field(name="ttl_max_s", default=5)


class ProcessSettings(PlatformStruct):
    """Settings file of a process; unknown fields are ignored."""

    node_name: str
    ip: str
    zone: str
    listen: ListenEntry
    internal_port_range: tuple[int, int]
    seed_nodes: tuple[str, ...]
    bootstrap: bool = False
    data_dir: str | None = None
    heartbeat_ms: int = 1_000
    limits: ProcessLimits = ProcessLimits()
    bounds: BoundsEntry = BoundsEntry()
