"""Types of the settings of one process, which are read from TOML."""

from importlib.resources import files
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from turmericreel.model.ids import DataCentreId, InstanceId

Fraction = Annotated[float, Meta(ge=0, le=1)]
Milliseconds = Annotated[int, Meta(gt=0)]
Count = Annotated[int, Meta(gt=0)]


class SettingsStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base class of the tables of the settings."""


class InstanceSettings(SettingsStruct):
    """Identity, roles and data folder of this instance."""

    id: InstanceId
    data_centre: DataCentreId
    roles: tuple[Literal["entry", "control", "relay"], ...] = ("entry", "control")
    data_folder: str = "data"


class ListenSettings(SettingsStruct):
    """Listener addresses as ``ip:port``; port 0 takes any free port."""

    http: str = "127.0.0.1:7080"
    control: str = "127.0.0.1:7081"
    raft: str = "127.0.0.1:7083"
    metrics: str = "127.0.0.1:7082"
    load: str = ""
    allow_plain_text: bool = False


class TlsSettings(SettingsStruct):
    """Paths of PEM files; empty paths disable TLS.

    Attributes
    ----------
    authority : str
        CA certificates that must have signed the certificates of peers.
    """

    certificate: str = ""
    private_key: str = ""
    authority: str = ""

    @property
    def enabled(self) -> bool:
        """Whether listeners use TLS."""
        return bool(self.certificate)


class LimitsSettings(SettingsStruct):
    """Limits on the resources that clients can use.

    Attributes
    ----------
    held_bytes : int
        Bytes of requests and unread answers that are held for all clients together.
    """

    connections: Count = 2_000
    held_bytes: Count = 50_331_648
    header_bytes: Count = 32_768
    body_bytes: Count = 8_388_608
    header_timeout_ms: Milliseconds = 10_000
    body_timeout_ms: Milliseconds = 30_000
    stall_timeout_ms: Milliseconds = 60_000


class ControlSettings(SettingsStruct):
    """Control instances and relays, and the timing of leases and elections."""

    peers: dict[InstanceId, str] = {}
    raft_peers: dict[InstanceId, str] = {}
    lease_ms: Milliseconds = 1_600
    clock_drift: Annotated[float, Meta(ge=0, lt=1)] = 0.01
    heartbeat_ms: Milliseconds = 100
    election_ms: Milliseconds = 500
    relays: dict[InstanceId, str] = {}
    data_centres: dict[InstanceId, DataCentreId] = {}
    fan_out: Count = 64
    subset_servers: Count = 40


class OperatorsSettings(SettingsStruct):
    """Operators' key hashes."""

    key_hashes: list[str] = []


class BackendServersSettings(SettingsStruct):
    """Backend servers' key hashes; if empty, any backend server may announce itself."""

    key_hashes: list[str] = []


class DrainSettings(SettingsStruct):
    """Graceful stops."""

    deadline_ms: int = 700_000


class RatingSettings(SettingsStruct):
    """The rating service; an empty address disables rating."""

    address: str = ""
    sample: Fraction = 0.2


class WeightStoreSettings(SettingsStruct):
    """Rate limit of load orders for the weight store."""

    orders_per_second: Annotated[float, Meta(gt=0)] = 0.5


class Settings(SettingsStruct):
    """All settings of one process."""

    instance: InstanceSettings
    listen: ListenSettings = ListenSettings()
    tls: TlsSettings = TlsSettings()
    limits: LimitsSettings = LimitsSettings()
    control: ControlSettings = ControlSettings()
    operators: OperatorsSettings = OperatorsSettings()
    backend_servers: BackendServersSettings = BackendServersSettings()
    drain: DrainSettings = DrainSettings()
    rating: RatingSettings = RatingSettings()
    weight_store: WeightStoreSettings = WeightStoreSettings()


def default_settings_source() -> str:
    """Return the default settings file, complete and commented."""
    return files("turmericreel.model").joinpath("default.toml").read_text()
