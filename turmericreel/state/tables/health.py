"""Health of versions: suspended, or gradually returning to service."""

from typing import Any

import msgspec

from turmericreel.model.health import VersionStanding
from turmericreel.model.ids import ServiceName, VersionId
from turmericreel.state.commands.base import Done
from turmericreel.state.commands.health import SetVersionHealth
from turmericreel.state.commands.union import Command, LogRecord, Result
from turmericreel.state.tables.table import Table


class VersionHealth(msgspec.Struct, frozen=True, kw_only=True):
    """Health of one version, with the log index and time of the last change."""

    standing: VersionStanding
    reason: str
    changed_index: int
    changed_ms: int


class HealthTable(Table):
    """Stores the newest health record of each version that was judged."""

    commands = (SetVersionHealth,)

    def __init__(self):
        self.versions: dict[str, VersionHealth] = {}

    def apply(self, command: Command, record: LogRecord) -> Result:
        """Record the health of a version unless a record as new is stored."""
        standing = command.standing
        key = health_key(standing.service, standing.version)
        known = self.versions.get(key)
        if known is not None and known.standing.number >= standing.number:
            return Done(changed=False)
        self.versions[key] = VersionHealth(
            standing=standing,
            reason=command.reason,
            changed_index=record.index,
            changed_ms=record.time_ms,
        )
        return Done()

    def standings(self) -> tuple[VersionStanding, ...]:
        """Return the standing of every version with a health record."""
        return tuple(health.standing for health in self.versions.values())

    def dump(self) -> Any:
        """Return all health records."""
        return self.versions

    def load(self, dumped: Any) -> None:
        """Replace the table by a decoded dump."""
        self.versions = msgspec.convert(dumped, type=dict[str, VersionHealth])


def health_key(service: ServiceName, version: VersionId) -> str:
    """Return the key of a version, unique across all services."""
    return f"{service}/{version}"
