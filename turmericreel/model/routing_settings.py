"""Settings of gateways and coordinators in their internal form."""

from dataclasses import dataclass

from turmericreel.model.ids import DataCentreId, InstanceId


@dataclass(frozen=True, kw_only=True)
class ColdBounds:
    """Requests that a cold server may get within one second.

    Attributes
    ----------
    overshoot : float
        Multiple of the rate that the service's configuration names.
    slack : float
        Requests in addition.
    """

    overshoot: float = 1.0
    slack: float = 0.0


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Settings of a gateway.

    Attributes
    ----------
    client_address : str
        ``ip:port`` for clients.
    seeds : tuple of InstanceId
        Coordinators to contact first; the id of an instance is its control address.
    internal_port : int
        Port on which coordinators accept instances, the same on all machines.
    relay_port : int
        Port on which gateways open connections to servers for each other, the same on
        all machines.
    retry_fraction : float
        Maximum number of retries over all gateways, as a fraction of the requests in
        the same window.
    retry_window_s : float
        Length of the window in seconds.
    list_validity_ms : int
        How long clients may use an address list.
    stop_deadline_ms : int
        Time limit of a graceful stop.
    client_connections : int
        Maximum number of concurrent client connections.
    session_idle_ms : int
        Idle time after which a session ends.
    cold_bounds : ColdBounds
    held_bytes : int
        Bytes of requests and unread answers that are held for all clients together.
    """

    instance: InstanceId
    data_centre: DataCentreId
    client_address: str
    seeds: tuple[InstanceId, ...]
    internal_port: int
    relay_port: int
    retry_fraction: float
    retry_window_s: float
    list_validity_ms: int
    stop_deadline_ms: int
    client_connections: int
    session_idle_ms: int
    cold_bounds: ColdBounds = ColdBounds()
    held_bytes: int = 33_554_432


@dataclass(frozen=True, kw_only=True)
class CoordinatorSettings:
    """Settings of a coordinator.

    Attributes
    ----------
    is_founder : bool
        Whether the seeds may form a new group when their data folders are empty.
    data_folder : str or None
        None on a machine without a disk: the state is then lost with the process,
        so that this coordinator never counts towards a quorum.
    raft_port : int
        Port for log replication between coordinators, the same on all machines.
    heartbeat_ms : int
        Interval between heartbeats of servers.
    exposure_share : float
        Maximum share of a service's requests at a new version during its roll-out.
    exposure_slack : int
        Requests that it may get in addition.
    cold_bounds : ColdBounds
    """

    instance: InstanceId
    data_centre: DataCentreId
    seeds: tuple[InstanceId, ...]
    is_founder: bool
    data_folder: str | None
    internal_port: int
    raft_port: int
    heartbeat_ms: int
    exposure_share: float = 0.15
    exposure_slack: int = 30
    cold_bounds: ColdBounds = ColdBounds()


def internal_address(instance: InstanceId, port: int) -> str:
    """Return ``ip:port`` of another port on the machine of an instance."""
    return f"{instance.rpartition(':')[0]}:{port}"
