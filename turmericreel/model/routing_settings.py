"""Settings of gateways and coordinators, as they are needed inside the program."""

from dataclasses import dataclass

from turmericreel.model.ids import DataCentreId, InstanceId


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Settings of a gateway.

    Attributes
    ----------
    client_address : str
        ``ip:port`` for clients.
    seeds : tuple of InstanceId
        Coordinators to begin with; an instance's id is its control address.
    internal_port : int
        Where coordinators listen for instances, the same on all machines.
    retry_fraction, retry_window_s, retry_slack
        Bound on repeated sends over all gateways, for each service.
    list_validity_ms : int
        How long a client may use an address list.
    stop_deadline_ms : int
        How long a graceful stop may take.
    client_connections : int
        Client connections at once.
    session_idle_ms : int
        Idle time after which a session has ended.
    """

    instance: InstanceId
    data_centre: DataCentreId
    client_address: str
    seeds: tuple[InstanceId, ...]
    internal_port: int
    retry_fraction: float
    retry_window_s: float
    list_validity_ms: int
    stop_deadline_ms: int
    client_connections: int
    session_idle_ms: int


@dataclass(frozen=True, kw_only=True)
class CoordinatorSettings:
    """Settings of a coordinator.

    Attributes
    ----------
    is_founder : bool
        Whether the seeds form a new group with empty folders.
    data_folder : str or None
        None on a machine without a disk: what is known then lasts as long as the
        process, which never counts towards a quorum.
    raft_port : int
        Where coordinators listen for each other's log, the same on all machines.
    heartbeat_ms : int
        How often servers report.
    """

    instance: InstanceId
    data_centre: DataCentreId
    seeds: tuple[InstanceId, ...]
    is_founder: bool
    data_folder: str | None
    internal_port: int
    raft_port: int
    heartbeat_ms: int


def internal_address(instance: InstanceId, port: int) -> str:
    """Return an address on the machine of an instance whose id is ``ip:port``."""
    return f"{instance.rpartition(':')[0]}:{port}"
