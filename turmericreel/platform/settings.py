"""Reads the platform's settings file and translates it into internal settings."""

import os
from pathlib import Path

import msgspec
from eliot import log_message

from turmericreel.decisions.door_memory import connections_for, held_bytes_for
from turmericreel.model.failures import FailureError, FileUnreadable
from turmericreel.model.ids import DataCentreId, InstanceId
from turmericreel.model.routing_settings import (
    ColdBounds,
    CoordinatorSettings,
    GatewaySettings,
)
from turmericreel.platform.wire import ProcessSettings

PATH_VARIABLE = "TURMERICREEL_CONFIG"
# Clients refresh the address list at this interval; slow ones use a list for three
# times as long.
LIST_VALIDITY_MS = 1_500
# File descriptors reserved for connections to servers and coordinators, and for files.
N_RESERVED_DESCRIPTORS = 1_000
MIN_CLIENT_CONNECTIONS = 100
# Of a gateway's connections, those for address look-ups and readiness checks, which are
# short.
LOOKUP_CONNECTIONS = 512
READINESS_CONNECTIONS = 32
MB = 1024 * 1024


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(PATH_VARIABLE, "/etc/turmericreel/settings.json"))


def read_settings(path: Path) -> ProcessSettings:
    """Read and validate the settings file.

    Raises
    ------
    FailureError
        With `FileUnreadable` when the file cannot be read or is invalid.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=ProcessSettings)
    except (OSError, ValueError) as error:
        failure = FileUnreadable(path=str(path), detail=str(error))
        raise FailureError(failure) from error


def seeds_of(settings: ProcessSettings) -> tuple[InstanceId, ...]:
    """Return the coordinators that the settings list as seeds."""
    return tuple(InstanceId(address) for address in settings.seed_nodes)


def connections_of(settings: ProcessSettings) -> int:
    """Return the connections for which a process has descriptors and memory."""
    descriptors = settings.limits.max_fds - N_RESERVED_DESCRIPTORS
    memory_bytes = int(settings.limits.memory_mb * MB)
    return max(min(descriptors, connections_for(memory_bytes)), MIN_CLIENT_CONNECTIONS)


def held_bytes_of(settings: ProcessSettings) -> int:
    """Return the bytes that clients may make a process hold."""
    return held_bytes_for(int(settings.limits.memory_mb * MB))


def gateway_settings(settings: ProcessSettings) -> GatewaySettings:
    """Return the settings of a gateway."""
    validity_ms = min(LIST_VALIDITY_MS, int(settings.bounds.ttl_max_s * 1_000))
    others = LOOKUP_CONNECTIONS + READINESS_CONNECTIONS
    return GatewaySettings(
        instance=InstanceId(settings.listen.frontend),
        data_centre=DataCentreId(settings.zone),
        client_address=settings.listen.frontend,
        seeds=seeds_of(settings),
        internal_port=settings.internal_port_range[0],
        relay_port=settings.internal_port_range[0] + 2,
        retry_fraction=settings.bounds.retry_budget_ratio,
        retry_window_s=settings.bounds.retry_window_s,
        list_validity_ms=validity_ms,
        stop_deadline_ms=int(settings.bounds.grace_s * 1_000),
        client_connections=max(
            connections_of(settings) - others, MIN_CLIENT_CONNECTIONS
        ),
        held_bytes=held_bytes_of(settings),
        session_idle_ms=int(settings.bounds.session_s * 1_000),
        cold_bounds=_cold_bounds(settings),
    )


def coordinator_settings(settings: ProcessSettings) -> CoordinatorSettings:
    """Return the settings of a coordinator."""
    instance = InstanceId(settings.listen.control_plane)
    seeds = seeds_of(settings)
    return CoordinatorSettings(
        instance=instance,
        data_centre=DataCentreId(settings.zone),
        seeds=seeds,
        is_founder=settings.bootstrap and instance in seeds,
        data_folder=settings.data_dir or None,
        internal_port=settings.internal_port_range[0],
        raft_port=settings.internal_port_range[0] + 1,
        heartbeat_ms=settings.heartbeat_ms,
        exposure_share=settings.bounds.canary_share,
        exposure_slack=settings.bounds.canary_slack,
        cold_bounds=_cold_bounds(settings),
    )


def _cold_bounds(settings: ProcessSettings) -> ColdBounds:
    return ColdBounds(
        overshoot=settings.bounds.warmup_overshoot,
        slack=settings.bounds.warmup_slack,
    )


class CurrentSettings:
    """The parts of the settings file that may change while a process runs.

    Parameters
    ----------
    path : Path
        Settings file.
    settings : ProcessSettings
        Settings as read at the start.
    """

    def __init__(self, *, path: Path, settings: ProcessSettings):
        self.path = path
        self.settings = settings
        self.modified_ns = self._modified_ns()

    def seeds(self) -> list[InstanceId]:
        """Return the coordinators that the file lists as seeds."""
        return list(seeds_of(self._read()))

    def data_centres(self) -> set[DataCentreId]:
        """Return the data centres that the file names."""
        return {DataCentreId(name) for name in self._read().zones}

    def reload(self) -> None:
        """Reload the file; keep the former settings if it cannot be read."""
        try:
            self.settings = read_settings(self.path)
        except FailureError as error:
            log_message("platform:reload_failed", failure=error.failure.describe())
            return
        log_message("platform:reloaded", seeds=list(seeds_of(self.settings)))

    def _read(self) -> ProcessSettings:
        modified_ns = self._modified_ns()
        if modified_ns != self.modified_ns:
            self.modified_ns = modified_ns
            self.reload()
        return self.settings

    def _modified_ns(self) -> int:
        try:
            return self.path.stat().st_mtime_ns
        except OSError as error:
            log_message("platform:settings_missing", reason=str(error))
            return 0
